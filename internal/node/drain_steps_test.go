package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/discovery"
)

// pipeListener is a listener whose connections are pipes, so that a node can run in virtual time. Pipes have no buffer:
// writing an answer blocks until the client has read it.
type pipeListener struct {
	conns      chan net.Conn
	closed     chan struct{}
	once       sync.Once
	serverEnds []net.Conn // the node's ends of the pipes
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect opens a connection and writes text to it without waiting until the node has read it.
func (p *pipeListener) connect(text string) net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	p.serverEnds = append(p.serverEnds, server)
	go io.WriteString(client, text)
	return client
}

const (
	healthzRequest     = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n"
	partialBodyRequest = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: n\r\nX-Correlation-Id: id-1\r\nX-Tariff: enterprise\r\n" +
		"X-Time-Left: 1m\r\nIdempotency-Key: k\r\nContent-Length: 9\r\n\r\nhalf"
)

// drainCase is a class's settings and the behaviour of a client while the node drains.
type drainCase struct {
	effect     string
	deadlineMs int // of the class
	client     string
}

// TestDrainEndsBeforeSIGKILL checks that a node that is asked to end does so before SIGKILL may be sent, with any settings
// and client behaviour. A client that sends its request before the node stops listening is answered, and an answer that
// is being written at the last step of the drain has finalAnswerTime to complete.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	raw, err := os.ReadFile("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, effect := range []string{"free", "guarded", "single_shot"} {
		for _, ms := range []int{1, 50, 99, 250, 400, 1500, 3000, 7500} {
			for _, client := range []string{"none", "silent", "partial head", "partial body", "reads no answer", "reads its answer late", "sends its request late"} {
				c := drainCase{effect, ms, client}
				t.Run(fmt.Sprintf("%s %d ms %s", effect, ms, client), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { c.check(t, string(raw)) })
				})
			}
		}
	}
}

// check drains a node in virtual time, with the platform's settings changed as the case requires.
func (c drainCase) check(t *testing.T, settings string) {
	cfg, err := config.ParsePlatform([]byte(strings.NewReplacer(`"deadline": 7500.0, "effect": "free"`, fmt.Sprintf(`"deadline": %d, "effect": %q`, c.deadlineMs, c.effect),
		`"deadline": 7500.0`, `"deadline": 1`).Replace(settings)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Services[0].Source = discovery.Source{Kind: discovery.Static}
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n, err := NewInheriting(cfg, map[string]net.Listener{cfg.Listeners[0]: listener})
	if err != nil {
		t.Fatal(err)
	}
	ctx, terminate := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	synctest.Wait()
	startedAt := time.Now()
	answered := c.startClient(t, listener, cfg.Process.Drain)
	terminate()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	for _, conn := range listener.serverEnds { // as the end of the process does
		conn.Close()
	}
	if elapsed, killAfter := time.Since(startedAt), min(time.Duration(c.deadlineMs)*time.Millisecond, 3*time.Second)+700*time.Millisecond; elapsed >= killAfter {
		t.Errorf("the drain took %v, and SIGKILL may be sent after %v", elapsed, killAfter)
	}
	if c.readsAnswerLate() {
		<-answered
	}
}

// readsAnswerLate reports whether the client reads its answer only after the last step of the drain.
func (c drainCase) readsAnswerLate() bool { return strings.HasSuffix(c.client, "late") }

// request returns what the client sends and when, counted from the start of the drain.
func (c drainCase) request(drain config.Drain) (text string, at time.Duration) {
	switch c.client {
	case "partial head":
		return healthzRequest[:20], 0
	case "partial body":
		return partialBodyRequest, 0
	case "reads no answer", "reads its answer late":
		return healthzRequest, drain.Max - time.Millisecond
	case "sends its request late":
		return healthzRequest, drain.Max + finalAnswerTime/2
	}
	return "", drain.Max - time.Millisecond
}

// startClient schedules the client of a drain that begins now. The client connects just before the node stops accepting,
// since the connection of a client that sends nothing for 2 s is closed anyway. The channel is closed once a client that
// reads its answer late has read it.
func (c drainCase) startClient(t *testing.T, listener *pipeListener, drain config.Drain) (answered chan struct{}) {
	answered = make(chan struct{})
	if c.client == "none" {
		return answered
	}
	connectAt := drain.Accept - time.Millisecond
	text, sendAt := c.request(drain)
	sendAt = min(sendAt, connectAt+1500*time.Millisecond)
	time.AfterFunc(connectAt, func() {
		conn := listener.connect("")
		t.Cleanup(func() { conn.Close() })
		time.AfterFunc(sendAt-connectAt, func() { io.WriteString(conn, text) })
		if !c.readsAnswerLate() {
			return
		}
		time.AfterFunc(drain.Max+finalAnswerTime/2-connectAt, func() {
			defer close(answered)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("late client: answer %v, error %v, want 503 and close", resp, err)
			}
		})
	})
	return answered
}
