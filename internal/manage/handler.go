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
	maxBodySize = 16 << 10 // of a request that is no command, in bytes
	// maxCommandSize allows for settings each of whose bytes takes two in JSON.
	maxCommandSize     = 2*desiredstate.MaxSettingsBytes + maxBodySize
	maxCommandReads    = 2                // commands whose bodies are read at once
	commandReadTimeout = 10 * time.Second // of a body
)

// handlers are the handlers of a control socket.
type handlers struct {
	daemon       func() Daemon // the one that is served now
	commandReads chan struct{} // slots for bodies of commands
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

// readCommand reads a command's body, which may be large, once it has a slot. Where it returns false there is nothing
// more to answer.
func (h *handlers) readCommand(w http.ResponseWriter, r *http.Request, command *Command) bool {
	select {
	case h.commandReads <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-h.commandReads }()
	connection := http.NewResponseController(w)
	// It fails for a closed connection, as reading does.
	_ = connection.SetReadDeadline(time.Now().Add(commandReadTimeout))
	defer connection.SetReadDeadline(time.Time{}) //nolint:errcheck // the command may take longer than its body
	return decodeBody(w, r, "order", maxCommandSize, command)
}

var errTrailingData = errors.New("there is more behind it")

// decodeBody decodes a request's body of at most maxSize bytes into target; an empty one leaves that as it is. Where
// it returns false it has answered the error. name is the request's in that error.
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

// writeResult answers with err, or where that is nil with the daemon's status.
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
	_ = json.NewEncoder(w).Encode(v) // a client that has gone gets nothing
}
