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
	refusing outage = "connections are refused"
	breaking outage = "calls are reset"
	ending   outage = "watches end instead of sending"
	rejects  outage = "calls are rejected"
	silent   outage = "calls get no answer"
)

// notifiedAfterOutage returns how long after its return the list of a discovery was delivered that was out for some time,
// where each answer takes some time. A call that was not answered meanwhile is answered at the return.
func notifiedAfterOutage(t *testing.T, how outage, out, answer time.Duration, f *Feed) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	defer func() { cancel(); all.Wait() }()
	returns, delivered := time.Now().Add(out), make(chan time.Time, 10)
	f.deliver = func(EndpointList) { delivered <- time.Now() }
	f.transport = &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		isOut := time.Now().Before(returns)
		if isOut && how == refusing {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		here, there := net.Pipe()
		all.Go(func() {
			defer there.Close()
			http.ReadRequest(bufio.NewReader(there))
			switch {
			case isOut && how == breaking:
				return
			case isOut && how == ending:
				io.WriteString(there, responseHead+"\n")
				return
			case isOut && how == rejects:
				io.WriteString(there, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				return
			}
			time.Sleep(max(time.Until(returns), 0) + answer)
			if _, err := io.WriteString(there, responseHead+`{"rev":45,"all":true,"targets":[]}`+"\n"); err == nil {
				io.Copy(io.Discard, there)
			}
		})
		return here, nil
	}}
	all.Go(func() { f.Run(ctx) })
	select {
	case at := <-delivered:
		return at.Sub(returns)
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
	for _, how := range []outage{refusing, breaking, ending, rejects, silent} {
		for _, group := range []int{1, 3, 24, 300} {
			for _, agent := range []bool{true, false} {
				if (how == rejects || how == breaking) && group > 3 && !agent {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d/agent=%v", how, group, agent), func(t *testing.T) {
					limit, answer := missedEventDeadline, maxAnswerTime
					if agent { // it answers at once
						limit, answer = 2*minRetryDelay, 0
					}
					for _, out := range []time.Duration{300 * time.Millisecond, 4 * time.Second, 8 * time.Second, 13 * time.Second} {
						for seed := range uint64(10) {
							synctest.Test(t, func(t *testing.T) {
								f := NewFeed(Source{Address: "discovery:1", IsOwnAgent: agent}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
								if late := notifiedAfterOutage(t, how, out, answer, f); late > limit {
									t.Errorf("out for %v, delivered %v after the return", out, late)
								}
							})
						}
					}
				})
			}
		}
	}
}
