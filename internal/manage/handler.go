package manage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"lockflow/internal/desiredstate"
)

// Limits of requests.
const (
	maxBodySize = 16 << 10 // of a request other than a command, in bytes
	// maxCommandSize has space for settings of which every byte takes two in JSON.
	maxCommandSize     = 2*desiredstate.MaxSettingsBytes + maxBodySize
	maxCommandReads    = 2                // command bodies that are read at the same time
	commandReadTimeout = 10 * time.Second // to read the body of a command
)

// handlers has the HTTP handlers of a control socket.
type handlers struct {
	daemon       func() Daemon // returns the daemon that is currently served
	commandReads chan struct{} // holds one element for each command body that is being read
}

func newHandler(daemon func() Daemon) http.Handler {
	h := &handlers{daemon: daemon, commandReads: make(chan struct{}, maxCommandReads)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("POST /v1/reload", h.reload)
	mux.HandleFunc("POST /v1/upgrade", h.upgrade)
	mux.HandleFunc("POST /v1/drain", h.drain)
	mux.HandleFunc("POST /v1/serve", h.serve)
	mux.HandleFunc("POST /v1/claim", h.claim)
	mux.HandleFunc("POST /v1/order", h.command)
	return mux
}

func (h *handlers) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.daemon().Status())
}

func (h *handlers) reload(w http.ResponseWriter, r *http.Request) {
	d := h.daemon()
	writeResult(w, d.Reload(r.Context()), d)
}

func (h *handlers) upgrade(w http.ResponseWriter, r *http.Request) {
	d := h.daemon()
	var request upgradeRequest
	if decodeBody(w, r, "upgrade", maxBodySize, &request) {
		writeResult(w, d.Upgrade(r.Context(), request.Program), d)
	}
}

func (h *handlers) drain(w http.ResponseWriter, r *http.Request) {
	d := h.daemon()
	var request drainRequest
	if !decodeBody(w, r, "drain", maxBodySize, &request) {
		return
	}
	if err := d.Drain(request.Keep); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, d.Status())
}

func (h *handlers) serve(w http.ResponseWriter, r *http.Request) {
	d := h.daemon()
	writeResult(w, d.Serve(r.Context()), d)
}

func (h *handlers) claim(w http.ResponseWriter, r *http.Request) {
	d := h.daemon()
	var claim Claim
	if decodeBody(w, r, "claim", maxBodySize, &claim) {
		writeResult(w, d.Claim(r.Context(), claim), d)
	}
}

func (h *handlers) command(w http.ResponseWriter, r *http.Request) {
	d := h.daemon()
	var command Command
	if h.readCommand(w, r, &command) {
		writeResult(w, d.RunCommand(r.Context(), command), d)
	}
}

// readCommand waits for a slot and reads a command's body, which may be large. If it returns false, the caller must not
// write an answer.
func (h *handlers) readCommand(w http.ResponseWriter, r *http.Request, command *Command) bool {
	select {
	case h.commandReads <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-h.commandReads }()
	connection := http.NewResponseController(w)
	// The error is ignored: it fails for a closed connection, for which reading fails too.
	_ = connection.SetReadDeadline(time.Now().Add(commandReadTimeout))
	defer connection.SetReadDeadline(time.Time{}) //nolint:errcheck // the deadline is for the body only; the command may run longer
	return decodeBody(w, r, "order", maxCommandSize, command)
}

var errTrailingData = errors.New("there is more behind it")

// decodeBody decodes a request's body of at most maxSize bytes into target. An empty body leaves target unchanged. If
// decodeBody returns false, it has written an error as the answer, in which name identifies the request.
func decodeBody(w http.ResponseWriter, r *http.Request, name string, maxSize int64, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSize))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if errors.Is(err, io.EOF) {
		return true
	}
	if err == nil {
		_, endErr := decoder.Token()
		if errors.Is(endErr, io.EOF) {
			return true
		}
		err = errTrailingData
	}
	writeJSON(w, http.StatusBadRequest, errorAnswer{
		Error: fmt.Sprintf("%s: %v", name, err),
		Code:  desiredstate.CodeInvalid,
	})
	return false
}

// writeResult answers with err, or with the daemon's status if err is nil.
func writeResult(w http.ResponseWriter, err error, d Daemon) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, d.Status())
}

func writeError(w http.ResponseWriter, err error) {
	answer := errorAnswer{Error: err.Error()}
	var rejected *desiredstate.RejectedError
	if errors.As(err, &rejected) {
		answer.Code = rejected.Code
	}
	status := http.StatusConflict
	if answer.Code == desiredstate.CodeInvalid {
		status = http.StatusBadRequest
	}
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
