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

// pipes is a listener whose connections are pipes, so that a node runs in virtual time. A pipe holds
// nothing: an answer is being written until its client has read it.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	all    []net.Conn // the node's ends
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// send connects and writes, without waiting for it to be read.
func (p *pipes) send(text string) net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	p.all = append(p.all, server)
	go io.WriteString(client, text)
	return client
}

const (
	health  = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n"
	endless = "POST /visit-update?account=00000000b4d65521 HTTP/1.1\r\nHost: n\r\nX-Correlation-Id: id-1\r\nX-Tariff: enterprise\r\n" +
		"X-Time-Left: 1m\r\nIdempotency-Key: k\r\nContent-Length: 9\r\n\r\nhalf"
)

// A node that is told to end is gone before SIGKILL may come, whatever its clients do and its settings
// are; who asks until it stops listening is answered, and an answer that is being written at the last
// step has its time.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	raw, err := os.ReadFile("../config/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, effect := range []string{"free", "guarded", "single_shot"} {
		for _, ms := range []int{1, 50, 99, 250, 400, 1500, 3000, 7500} {
			for _, client := range []string{"none", "silent", "half a head", "half a body", "takes no answer", "takes its answer late", "asks late"} {
				t.Run(fmt.Sprintf("%s %d ms %s", effect, ms, client), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						cfg, err := config.ParsePlatform([]byte(strings.NewReplacer(`"deadline": 7500.0, "effect": "free"`, fmt.Sprintf(`"deadline": %d, "effect": %q`, ms, effect),
							`"deadline": 7500.0`, `"deadline": 1`).Replace(string(raw))))
						if err != nil {
							t.Fatal(err)
						}
						cfg.Services[0].Source = discovery.Source{Kind: discovery.Static}
						at := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
						n, err := NewInheriting(cfg, map[string]net.Listener{cfg.Listeners[0]: at})
						if err != nil {
							t.Fatal(err)
						}
						ctx, term := context.WithCancel(t.Context())
						ended := make(chan error, 1)
						go func() { ended <- n.Run(ctx) }()
						synctest.Wait()
						begun, most := time.Now(), cfg.Process.Drain.Most
						told := make(chan struct{})
						answered := func(c net.Conn) {
							defer close(told)
							if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
								t.Errorf("%v, %v", resp, err)
							}
						}
						// It connects at the last moment, as whoever says nothing for 2 s is closed anyway.
						asks, connect := "", cfg.Process.Drain.Accept-time.Millisecond
						late := most - time.Millisecond // when it asks
						switch client {
						case "half a head":
							asks, late = health[:20], 0
						case "half a body":
							asks, late = endless, 0
						case "takes no answer", "takes its answer late":
							asks = health
						case "asks late":
							asks, late = health, most+finalAnswerTime/2
						}
						if late = min(late, connect+1500*time.Millisecond); client != "none" {
							time.AfterFunc(connect, func() {
								c := at.send("")
								t.Cleanup(func() { c.Close() })
								time.AfterFunc(late-connect, func() { io.WriteString(c, asks) })
								if strings.HasSuffix(client, "late") {
									time.AfterFunc(most+finalAnswerTime/2-connect, func() { answered(c) })
								}
							})
						}
						term()
						if err := <-ended; err != nil {
							t.Error(err)
						}
						for _, c := range at.all { // as the process's end does
							c.Close()
						}
						if took, kill := time.Since(begun), min(time.Duration(ms)*time.Millisecond, 3*time.Second)+700*time.Millisecond; took >= kill {
							t.Errorf("it took %v, and SIGKILL may come after %v", took, kill)
						}
						if strings.HasSuffix(client, "late") {
							<-told
						}
					})
				})
			}
		}
	}
}
