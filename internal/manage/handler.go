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

const (
	maxBodySize = 16 << 10
	// maxCommandSize is room for settings, of which a byte may take two in JSON.
	maxCommandSize     = 2*desiredstate.TextMost + maxBodySize
	maxCommandReads    = 2                // whose bodies are read at once
	commandReadTimeout = 10 * time.Second // of a body
)

func handler(daemon func() Daemon) http.Handler {
	mux := http.NewServeMux()
	on := func(pattern string, h func(w http.ResponseWriter, r *http.Request, d Daemon)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { h(w, r, daemon()) })
	}
	on("GET /v1/status", func(w http.ResponseWriter, _ *http.Request, d Daemon) { writeJSON(w, http.StatusOK, d.Status()) })
	on("POST /v1/reload", func(w http.ResponseWriter, r *http.Request, d Daemon) { writeResult(w, d.Reload(r.Context()), d) })
	on("POST /v1/upgrade", func(w http.ResponseWriter, r *http.Request, d Daemon) {
		var ask struct {
			Program string `json:"program"`
		}
		if decodeBody(w, r, "upgrade", maxBodySize, &ask) {
			writeResult(w, d.Upgrade(r.Context(), ask.Program), d)
		}
	})
	on("POST /v1/drain", func(w http.ResponseWriter, r *http.Request, d Daemon) {
		var ask struct {
			Keep bool `json:"keep"`
		}
		if !decodeBody(w, r, "drain", maxBodySize, &ask) {
			return
		}
		if err := d.Drain(ask.Keep); err != nil {
			writeResult(w, err, d)
			return
		}
		writeJSON(w, http.StatusAccepted, d.Status())
	})
	on("POST /v1/serve", func(w http.ResponseWriter, r *http.Request, d Daemon) { writeResult(w, d.Serve(r.Context()), d) })
	on("POST /v1/claim", func(w http.ResponseWriter, r *http.Request, d Daemon) {
		var c Claim
		if decodeBody(w, r, "claim", maxBodySize, &c) {
			writeResult(w, d.Claim(r.Context(), c), d)
		}
	})
	places := make(chan struct{}, maxCommandReads)
	on("POST /v1/order", func(w http.ResponseWriter, r *http.Request, d Daemon) {
		select {
		case places <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		var o Order
		ctl := http.NewResponseController(w)
		_ = ctl.SetReadDeadline(time.Now().Add(commandReadTimeout))
		ok := decodeBody(w, r, "order", maxCommandSize, &o)
		_ = ctl.SetReadDeadline(time.Time{}) // what it asks for may take longer
		<-places
		if ok {
			writeResult(w, d.RunCommand(r.Context(), o), d)
		}
	})
	return mux
}

// decodeBody reads what is asked; of an empty one nothing. It answers itself where it gives false.
func decodeBody(w http.ResponseWriter, r *http.Request, what string, most int64, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, most))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, more := dec.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("there is more behind it")
		}
	}
	if err == nil || errors.Is(err, io.EOF) {
		return true
	}
	writeJSON(w, http.StatusBadRequest, errorAnswer{fmt.Sprintf("%s: %v", what, err), desiredstate.Bad})
	return false
}

type errorAnswer struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"`
}

func writeResult(w http.ResponseWriter, err error, d Daemon) {
	if err != nil {
		f := errorAnswer{Error: err.Error()}
		var r *desiredstate.RejectedError
		if errors.As(err, &r) {
			f.Code = r.Code
		}
		status := http.StatusConflict
		if f.Code == desiredstate.Bad {
			status = http.StatusBadRequest
		}
		writeJSON(w, status, f)
		return
	}
	writeJSON(w, http.StatusOK, d.Status())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // whoever has left hears nothing
}
