package traffic

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lockflow/internal/testsupport/fake"
)

// Server is a fake server on loopback.
type Server struct {
	Addr string

	http  *http.Server
	ended chan struct{} // closed once it no longer accepts connections
}

// StartServer starts a server. onFailure is called if it ends before Close.
func StartServer(handler http.HandlerFunc, onFailure func(error)) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a fake server: %w", err)
	}
	s := &Server{
		Addr:  listener.Addr().String(),
		http:  &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		ended: make(chan struct{}),
	}
	go func() {
		defer close(s.ended)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			onFailure(err)
		}
	}()
	return s, nil
}

// Close closes the server and its connections, and waits for its end.
func (s *Server) Close() {
	s.http.Close()
	<-s.ended
}

// WriteAnswer answers a request with its ID and with a body of the size that its query asks for.
func WriteAnswer(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.ParseInt(r.URL.Query().Get("n"), 10, 64)
	w.Header().Set(IDField, r.Header.Get(IDField))
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	_, _ = io.Copy(w, fake.PatternReader(n)) // the client may have disconnected
}
