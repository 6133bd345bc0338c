package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// outage is how a discovery fails until it is back.
type outage string

const (
	refusesConnections outage = "connections are refused"
	resetsCalls        outage = "calls are reset"
	endsWatches        outage = "watches end instead of sending"
	rejectsCalls       outage = "calls are rejected"
	neverAnswers       outage = "calls get no answer"
)

// notifiedAfterOutage returns how long after its return the list of a discovery was delivered that was out for some time,
// where each answer takes some time. A call that was not answered meanwhile is answered at the return.
func deliveryDelayAfterOutage(t *testing.T, kind outage, duration, answerTime time.Duration, feed *Feed) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	defer func() { cancel(); tasks.Wait() }()
	restoredAt, delivered := time.Now().Add(duration), make(chan time.Time, 10)
	feed.deliver = func(EndpointList) { delivered <- time.Now() }
	feed.transport = &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		isOut := time.Now().Before(restoredAt)
		if isOut && kind == refusesConnections {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		clientConn, serverConn := net.Pipe()
		tasks.Go(func() {
			defer serverConn.Close()
			http.ReadRequest(bufio.NewReader(serverConn))
			switch {
			case isOut && kind == resetsCalls:
				return
			case isOut && kind == endsWatches:
				io.WriteString(serverConn, responseHead+"\n")
				return
			case isOut && kind == rejectsCalls:
				io.WriteString(serverConn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				return
			}
			time.Sleep(max(time.Until(restoredAt), 0) + answerTime)
			if _, err := io.WriteString(serverConn, responseHead+`{"rev":45,"all":true,"targets":[]}`+"\n"); err == nil {
				io.Copy(io.Discard, serverConn)
			}
		})
		return clientConn, nil
	}}
	tasks.Go(func() { feed.Run(ctx) })
	select {
	case at := <-delivered:
		return at.Sub(restoredAt)
	case <-time.After(time.Hour):
		t.Error("never delivered")
		return time.Hour
	}
}

// However a discovery failed, and for however long, what it has at its return is delivered 6 s later at the latest,
// for groups of every size; what an agent has is delivered at once. A large group that is rejected, by an answer or
// by an end before one, waits for longer: with shorter delays a discovery that takes a call of each in 8 s notifies
// nobody, as TestSimultaneousSilenceNotifiesWholeGroup shows, which checks that case.
func TestEventsArriveInTimeAfterOutage(t *testing.T) {
	for _, kind := range []outage{refusesConnections, resetsCalls, endsWatches, rejectsCalls, neverAnswers} {
		for _, group := range []int{1, 3, 24, 300} {
			for _, agent := range []bool{true, false} {
				if (kind == rejectsCalls || kind == resetsCalls) && group > 3 && !agent {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d/agent=%v", kind, group, agent), func(t *testing.T) {
					limit, answerTime := missedEventDeadline, maxAnswerTime
					if agent { // it answers at once
						limit, answerTime = 2*minRetryDelay, 0
					}
					for _, duration := range []time.Duration{300 * time.Millisecond, 4 * time.Second, 8 * time.Second, 13 * time.Second} {
						for seed := range uint64(10) {
							synctest.Test(t, func(t *testing.T) {
								feed := NewFeed(Source{Address: "discovery:1", IsOwnAgent: agent}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
								if delay := deliveryDelayAfterOutage(t, kind, duration, answerTime, feed); delay > limit {
									t.Errorf("out for %v, delivered %v after the return", duration, delay)
								}
							})
						}
					}
				})
			}
		}
	}
}
