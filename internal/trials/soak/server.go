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

// behaviour is how an app server treats requests.
type behaviour int32

// The behaviours.
const (
	behaves       behaviour = iota
	hangs                   // takes requests and never answers
	fails                   // runs them and answers 500
	rejects                 // answers that it has not run them
	breaksOff               // runs them and resets the connection
	breaksMidway            // resets it in the middle of the answer
	hasNoLength             // answers with no length, ended by the connection's end
	answersTwice            // a second answer comes some milliseconds late
	closesQuickly           // closes connections soon after an answer
	behaviours
)

var behaviourNames = [behaviours]string{"well", "hangs", "fails", "rejects", "breaks off", "breaks midway", "no length", "answers twice", "closes quickly"}

// serviceTime is how long an app server works on a request.
const serviceTime = 8 * time.Millisecond

// capacity is how many requests a second a warm app server bears.
const capacity = 100.0

// server is a stand-in for one app server, under a uid that outlasts its restarts.
type server struct {
	journal *journal
	uid     string
	cell    int
	how     atomic.Int32

	mu        sync.Mutex
	listener  net.Listener
	http      *http.Server
	startedAt time.Time // zero is long ago
	state     string    // as discovery lists it
	drainedAt time.Time // when it was listed as not up; zero is not
}

func newServer(j *journal, index int) (*server, error) {
	s := &server{journal: j, uid: fmt.Sprint("s-", index), cell: index % cells, state: "up"}
	return s, s.listen()
}

// listen begins a life of the server, at an address of its own.
func (s *server) listen() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("an app server: %w", err)
	}
	life := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: keepAlive}
	s.mu.Lock()
	s.listener, s.http = l, life
	s.mu.Unlock()
	go life.Serve(l) //nolint:errcheck // ends with close
	return nil
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

// restart ends the server with all its connections and begins it anew, cold.
func (s *server) restart(now time.Time) error {
	s.close()
	if err := s.listen(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.state, s.drainedAt = now, "up", time.Time{}
	return nil
}

// setState lists the server as up or not.
func (s *server) setState(state string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.drainedAt = state, time.Time{}
	if state != "up" {
		s.drainedAt = now
	}
}

func (s *server) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// serve takes one request: the node's attempt has come whole with the end of its body.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	headAt := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it did not come whole
	}
	how := behaviour(s.how.Load())
	id, key := r.Header.Get(protocol.HeaderID), r.Header.Get(protocol.HeaderIdempotencyKey)
	if how == rejects {
		s.journal.attempt(s, id, headAt, r.Header.Get(protocol.HeaderTimeLeft), false)
		w.Header().Set(protocol.HeaderUnprocessed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.journal.attempt(s, id, headAt, r.Header.Get(protocol.HeaderTimeLeft), true)
	s.journal.effect(s, id, key, time.Now())
	if how == hangs {
		<-r.Context().Done()
		return
	}
	time.Sleep(serviceTime)
	s.answer(w, how, id)
}

// answer answers a request that has run.
func (s *server) answer(w http.ResponseWriter, how behaviour, id string) {
	body := answerTo(id, s.uid)
	switch how {
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	case breaksOff, breaksMidway, hasNoLength, answersTwice, closesQuickly:
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = buffered.Flush() // nothing was written yet
		s.answerRaw(conn, how, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// answerRaw writes an answer that net/http would not.
func (s *server) answerRaw(conn net.Conn, how behaviour, body string) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch how {
	case breaksMidway:
		_, _ = io.WriteString(conn, head+body[:len(body)/2])
		time.Sleep(time.Millisecond)
		fallthrough
	case breaksOff:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case hasNoLength:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
	case closesQuickly:
		_, _ = io.WriteString(conn, head+body)
		time.Sleep(serviceTime)
	case answersTwice:
		_, _ = io.WriteString(conn, head+body)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(conn, strings.Replace(head+body, " 200 OK", " 200 Twice", 1))
		time.Sleep(100 * time.Millisecond) // the node may take it for the next request's
	}
}

// answerTo is the body of the answer of a server to a request.
func answerTo(id, uid string) string { return "done " + id + " by " + uid }
