package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

const (
	queuedClients = 60 // that wait in the listener's queue when SIGTERM comes

	// severalConnections is a limit on descriptors that leaves two to clients and two to app servers.
	severalConnections = limits.MinDescriptors + 2
)

// shutdownQueueCase is a way in which clients keep the descriptors that others wait for in the listener's queue.
type shutdownQueueCase struct {
	name        string
	descriptors int
	play        func(*crossing)
}

var shutdownQueueCases = []shutdownQueueCase{
	{"many clients wait", limits.MinDescriptors, func(x *crossing) {
		x.playShutdownQueue(1, nil, nil)
	}},
	{"an answered client begins another request and stays", limits.MinDescriptors, func(x *crossing) {
		x.playShutdownQueue(1, (*caller).beginNextRequest, nil)
	}},
	{"several answered clients begin another request and stay", severalConnections, func(x *crossing) {
		x.playShutdownQueue(2, (*caller).beginNextRequest, nil)
	}},
	{"waiting clients begin another request and stay", limits.MinDescriptors, func(x *crossing) {
		x.playShutdownQueue(1, nil, (*caller).beginNextRequest)
	}},
	{"waiting clients acknowledge late", limits.MinDescriptors, func(x *crossing) {
		x.playShutdownQueue(1, (*caller).delayAcknowledgements, (*caller).delayAcknowledgements)
	}},
	{"a client reads no answer", limits.MinDescriptors, func(x *crossing) {
		reader := x.clientThatReadsNothing()
		x.waitUntilServed("large-0")
		queued := x.queue(nil)
		x.term()
		x.allAnswered(queued)
		_ = reader.Close()
	}},
	{"silent clients wait first", limits.MinDescriptors, func(x *crossing) {
		first := x.held("hang-0", "enterprise")
		for range queuedClients {
			x.client()
		}
		queued := x.queue(nil)
		x.term()
		x.getsAnswer(first, "hang-0")
		x.allAnswered(queued)
	}},
	{"clients with half a request wait first", limits.MinDescriptors, func(x *crossing) {
		first := x.held("hang-0", "enterprise")
		for range 4 {
			c := x.client()
			io.WriteString(c, c.text("half", "enterprise")[:20])
		}
		queued := x.queue(nil)
		x.term()
		x.getsAnswer(first, "hang-0")
		x.allAnswered(queued)
	}},
}

// Guards against the reset of clients in the listener's queue at the last step of a shutdown: whoever has sent a
// request there gets an answer, whatever clients that hold descriptors do.
func TestShutdownAnswersClientsInListenerQueue(t *testing.T) {
	for _, c := range shutdownQueueCases {
		for _, s := range []site{sites[3], sites[5]} {
			s.sockets = c.descriptors
			t.Run(fmt.Sprint(c.name, " ", s.effect, " ", s.deadline), func(t *testing.T) {
				t.Parallel()
				app := newBackend(t)
				config := s.config(t, discovery(t, "s-1", app.Server).Listener.Addr().String())
				x := &crossing{T: t, site: s, program: start(t, config, ""), app: app, config: config}
				c.play(x)
				x.until("drained")
				if err := x.Wait(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// playShutdownQueue has clients keep all descriptors, with a request each that its app server does not answer, while
// others wait in the listener's queue, and ends the program. Each client's preparation follows its request.
func (x *crossing) playShutdownQueue(holders int, prepareHolder, prepareQueued func(*caller)) {
	x.Helper()
	var held []*caller
	for i := range holders {
		c := x.held(fmt.Sprint("hang-", i), "enterprise")
		if prepareHolder != nil {
			prepareHolder(c)
		}
		held = append(held, c)
	}
	queued := x.queue(prepareQueued)
	x.term()
	for i, c := range held {
		x.getsAnswer(c, fmt.Sprint("hang-", i))
	}
	x.allAnswered(queued)
}

// queue has clients send a request each over a new connection, which no descriptor is left for.
func (x *crossing) queue(prepare func(*caller)) []*caller {
	x.Helper()
	var queued []*caller
	for i := range queuedClients {
		c := x.client()
		c.ask(fmt.Sprint("q-", i), "enterprise")
		if prepare != nil {
			prepare(c)
		}
		queued = append(queued, c)
	}
	return queued
}

// allAnswered wants an answer for each client of queue. They read at the same time.
func (x *crossing) allAnswered(queued []*caller) {
	x.Helper()
	var all sync.WaitGroup
	for i, c := range queued {
		all.Go(func() { x.getsAnswer(c, fmt.Sprint("q-", i)) })
	}
	all.Wait()
}

// getsAnswer wants an answer that is due, as answered does; on a busy machine it may come before SIGTERM, so that its
// connection stays open.
func (x *crossing) getsAnswer(c *caller, id string) {
	x.Helper()
	status, body, _, err := c.answer()
	if err != nil || !x.due(status, body, id) {
		x.Errorf("%s: %d %q, %v; forwarded %d times", id, status, body, err, x.app.times(id))
	}
}

// beginNextRequest sends the beginning of another request, of which the rest never comes.
func (c *caller) beginNextRequest() {
	io.WriteString(c, c.text("next", "enterprise")[:20])
}

// delayAcknowledgements has the client's system acknowledge what it receives as late as it may.
func (c *caller) delayAcknowledgements() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 0) })
}

// clientThatReadsNothing sends a request whose answer its socket can't hold, and never reads.
func (x *crossing) clientThatReadsNothing() *caller {
	x.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536)
		})
	}}
	conn, err := dialer.Dial("tcp", x.addr)
	if err != nil {
		x.Fatal(err)
	}
	x.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	c := &caller{conn.(*net.TCPConn), bufio.NewReaderSize(conn, 16), x.site, nil}
	c.ask("large-0", "enterprise")
	return c
}

// waitUntilServed waits until the app server has got a request.
func (x *crossing) waitUntilServed(id string) {
	x.Helper()
	for got := ""; !strings.HasPrefix(got, id); {
		got = testkit.Next(x.T, x.app.came)
	}
}
