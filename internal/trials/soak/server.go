package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/protocol"
)

// behaviour is the way in which an app server responds to requests.
type behaviour int32

// The behaviours of app servers.
const (
	respondsNormally  behaviour = iota // runs requests and responds with 200
	hangs                              // runs requests and never responds
	fails                              // runs requests and responds with 500
	rejects                            // responds with 503 and the header that marks the request as not processed
	resetsConn                         // runs requests and resets the connection
	resetsMidResponse                  // runs requests and resets the connection in the middle of the response
	omitsLength                        // sends a response without a length, whose body ends with the connection
	respondsTwice                      // sends a second response some milliseconds after the first
	closesQuickly                      // closes the connection shortly after the response
	behaviourCount                     // number of behaviours
)

// behaviourNames are the names of the behaviours in the list of disturbances.
var behaviourNames = [behaviourCount]string{"well", "hangs", "fails", "rejects", "breaks off", "breaks midway", "no length", "answers twice", "closes quickly"}

// serviceTime is the time that an app server takes to run a request.
const serviceTime = 8 * time.Millisecond

// capacity is the capacity of a warm app server, in requests per second.
const capacity = 100.0

// server is a fake app server. It keeps its uid across restarts.
type server struct {
	journal *journal
	uid     string
	cell    int
	mode    atomic.Int32

	mu        sync.Mutex
	listener  net.Listener
	http      *http.Server
	startedAt time.Time // time of the last restart; zero if the server is warm
	state     string    // its state in the endpoint list
	drainedAt time.Time // since when the server is not listed as up; zero if it is
}

func newServer(j *journal, index int) (*server, error) {
	s := &server{journal: j, uid: fmt.Sprint("s-", index), cell: index % cells, state: "up"}
	return s, s.listen()
}

// listen starts an HTTP server on a new address.
func (s *server) listen() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("starting a fake app server: %w", err)
	}
	httpServer := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: keepAlive}
	s.mu.Lock()
	s.listener = l
	s.http = httpServer
	s.mu.Unlock()
	go httpServer.Serve(l) //nolint:errcheck // returns an error after close
	return nil
}

// close closes the listener and all connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

// restart closes the server with all its connections and starts it on a new address, warming up.
func (s *server) restart(now time.Time) error {
	s.close()
	if err := s.listen(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = now
	s.state = "up"
	s.drainedAt = time.Time{}
	return nil
}

// setState sets the server's state in the endpoint list, which is sent to the discovery servers by publish.
func (s *server) setState(state string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.drainedAt = time.Time{}
	if state != "up" {
		s.drainedAt = now
	}
}

// address returns the address on which the server listens.
func (s *server) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// serve handles one attempt. The attempt is recorded only when its body has been read completely.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // an incomplete attempt is not run
	}
	mode := behaviour(s.mode.Load())
	id := r.Header.Get(protocol.HeaderID)
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	if mode == rejects {
		s.journal.attempt(s, id, receivedAt, r.Header.Get(protocol.HeaderTimeLeft), false)
		w.Header().Set(protocol.HeaderUnprocessed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.journal.attempt(s, id, receivedAt, r.Header.Get(protocol.HeaderTimeLeft), true)
	s.journal.effect(s, id, key, time.Now())
	if mode == hangs {
		<-r.Context().Done()
		return
	}
	time.Sleep(serviceTime)
	s.respond(w, mode, id)
}

// respond sends the response to a request that was run.
func (s *server) respond(w http.ResponseWriter, mode behaviour, id string) {
	body := responseBody(id, s.uid)
	switch mode {
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	case resetsConn, resetsMidResponse, omitsLength, respondsTwice, closesQuickly:
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = buffered.Flush() // empty, as nothing has been written yet
		s.respondRaw(conn, mode, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// respondRaw writes a response that net/http's server can't produce.
func (s *server) respondRaw(conn net.Conn, mode behaviour, body string) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch mode {
	case resetsMidResponse:
		_, _ = io.WriteString(conn, head+body[:len(body)/2])
		time.Sleep(time.Millisecond)
		fallthrough
	case resetsConn:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case omitsLength:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
	case closesQuickly:
		_, _ = io.WriteString(conn, head+body)
		time.Sleep(serviceTime)
	case respondsTwice:
		_, _ = io.WriteString(conn, head+body)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(conn, strings.Replace(head+body, " 200 OK", " 200 Twice", 1))
		time.Sleep(100 * time.Millisecond) // gives the node time to mistake the second response for that of its next request
	}
}

// responseBody returns the body of a server's response to a request.
func responseBody(id, uid string) string { return "done " + id + " by " + uid }
