package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedCall is what a discovery does with one call: the texts that it sends immediately and 2 s later, and whether
// the watch then ends or falls silent. The zero value accepts the call and sends nothing.
type scriptedCall struct {
	firstText, secondText string
	endsWatch             bool
	sendsHeartbeats       bool // continues with heartbeats instead of silence
	neverConnects         bool
	dialTimesOut          bool // never connects, and the dialer's own timeout fires before the silence timeout
}

const responseHead = "HTTP/1.1 200 OK\r\n\r\n"

var (
	silentAfterHeartbeats          = scriptedCall{firstText: responseHead + "\n", secondText: "\n"}
	unanswered                     = scriptedCall{}
	headOnly                       = scriptedCall{firstText: responseHead}
	truncatedHead                  = scriptedCall{firstText: "HTTP/1.1 200 OK\r\nX-"}
	truncatedMessage               = scriptedCall{firstText: responseHead + "\n", secondText: `{"rev":44,"all":fal`}
	truncatedMessageWithHeartbeats = scriptedCall{firstText: responseHead + `{"rev":44,"all":fal`, sendsHeartbeats: true}
	truncatedSecondMessage         = scriptedCall{firstText: responseHead + `{"rev":43}` + "\n" + `{"rev":44,`, sendsHeartbeats: true}
	endedAfterHeartbeats           = scriptedCall{firstText: responseHead + "\n", secondText: "\n", endsWatch: true}
	unreachable                    = scriptedCall{neverConnects: true}
	dialTimeout                    = scriptedCall{dialTimesOut: true}
)

// finalAnswer is the answer of a scripted discovery to calls after the end of its script.
const finalAnswer = responseHead + `{"rev":45,"all":true,"targets":[]}` + "\n"

// scriptedDiscovery answers one call after another as its script says, and later calls with finalAnswer after
// maxAnswerTime.
type scriptedDiscovery struct {
	script []scriptedCall
	tasks  sync.WaitGroup // goroutines that have to end within the test's synctest bubble

	mu           sync.Mutex
	calls        int
	lastActivity time.Time // of the script: the last time that it was called or sent a text
}

func (d *scriptedDiscovery) recordActivity() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastActivity = time.Now()
}

// nextCall returns what the discovery does with the next call.
func (d *scriptedDiscovery) nextCall() (call scriptedCall, isFinal bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.calls > len(d.script) {
		return scriptedCall{firstText: finalAnswer}, true
	}
	d.lastActivity = time.Now()
	return d.script[d.calls-1], false
}

// dial accepts the connection of a call, unless the script says otherwise.
func (d *scriptedDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	d.tasks.Add(1)
	defer d.tasks.Done()
	call, isFinal := d.nextCall()
	if call.neverConnects {
		time.Sleep(time.Hour) // http.Transport continues a dial after its request was cancelled
		return nil, errors.New("connection never established")
	}
	if call.dialTimesOut {
		time.Sleep(watchSilenceTimeout - time.Nanosecond)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	client, server := net.Pipe()
	d.tasks.Go(func() { d.serve(server, call, isFinal) })
	return client, nil
}

// serve answers a call as the script says.
func (d *scriptedDiscovery) serve(conn net.Conn, call scriptedCall, isFinal bool) {
	defer conn.Close()
	http.ReadRequest(bufio.NewReader(conn))
	if isFinal {
		time.Sleep(maxAnswerTime)
	}
	for _, text := range []string{call.firstText, call.secondText} {
		if text != "" {
			if _, err := io.WriteString(conn, text); err == nil && !isFinal {
				d.recordActivity()
			}
			time.Sleep(2 * time.Second)
		}
	}
	for call.sendsHeartbeats {
		if _, err := io.WriteString(conn, "\n"); err != nil {
			return
		}
		time.Sleep(2 * time.Second)
	}
	if !call.endsWatch {
		io.Copy(io.Discard, conn) // until the client closes the connection
	}
}

// runScript runs a feed on a scripted discovery. It returns the time when the script last sent a text or was called, and
// the time when finalAnswer was delivered.
func runScript(t *testing.T, f *Feed, script []scriptedCall) (lastActivity, delivered time.Time) {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	d := &scriptedDiscovery{script: script}
	defer func() { cancel(); d.tasks.Wait() }()
	f.transport = &http.Transport{DisableKeepAlives: true, DialContext: d.dial}
	f.deliver = func(l EndpointList) {
		if l.Revision == 45 && delivered.IsZero() {
			delivered = time.Now()
			close(done)
		}
	}
	d.tasks.Go(func() { f.Run(ctx) })
	select {
	case <-done:
	case <-time.After(time.Hour):
		t.Error("no list delivered within an hour")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastActivity, delivered
}

// A change that a silent watch missed must be delivered within 6 s of the start of the silence, at whatever point of the
// answer it began and for every group size: a new watch must deliver the list by then, although its answer takes
// maxAnswerTime.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for name, script := range map[string][]scriptedCall{
		"after a heartbeat":         {silentAfterHeartbeats},
		"from its start":            {unanswered},
		"in its head":               {truncatedHead},
		"behind its head":           {headOnly},
		"in a message":              {truncatedMessage},
		"in one, with heartbeats":   {truncatedMessageWithHeartbeats},
		"in the next, the same":     {truncatedSecondMessage},
		"never connected":           {unreachable},
		"by the dialer's clock":     {dialTimeout},
		"twice by it":               {endedAfterHeartbeats, dialTimeout, dialTimeout},
		"reset":                     {endedAfterHeartbeats},
		"silent, and mute":          {silentAfterHeartbeats, unanswered},
		"reset, and mute":           {endedAfterHeartbeats, unanswered},
		"mute again and again":      {unanswered, unanswered, unanswered, unanswered},
		"away, and silent in a row": {unreachable, headOnly, truncatedMessage, unreachable},
	} {
		for _, group := range []int{1, 3, 40, 300} {
			for _, agent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/agent=%v", strings.ReplaceAll(name, " ", "_"), group, agent), func(t *testing.T) {
					for seed := range uint64(8) {
						synctest.Test(t, func(t *testing.T) {
							f := NewFeed(Source{Address: "discovery:1", IsOwnAgent: agent}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
							silentSince, delivered := runScript(t, f, script)
							if delay := delivered.Sub(silentSince); delay > missedEventDeadline-deadlineMargin/2 {
								t.Errorf("list delivered %v after the silence began, deadline %v", delay, missedEventDeadline)
							}
						})
					}
				})
			}
		}
	}
}

// After a move the list must be delivered within 4 s, even if the move precedes the first call or the first call to the
// new discovery is rejected.
func TestMovedFeedReceivesListInTime(t *testing.T) {
	rejected := scriptedCall{firstText: "HTTP/1.1 503 Service Unavailable\r\n\r\n"}
	for _, group := range []int{1, 3, 40, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.HasCachedList = true
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				_, delivered := runScript(t, f, nil)
				if delay := delivered.Sub(moved); delay > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: list delivered %v after the move", group, delay)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				_, delivered := runScript(t, f, []scriptedCall{rejected})
				if delay := delivered.Sub(moved); delay > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: list delivered %v after the move, with one rejected call", group, delay)
				}
			})
		}
	}
}

// Setting the same new source repeatedly, as reloads of the configuration do, must not restart the call to it: the list
// must be delivered within 4 s of the first SetSource.
func TestRepeatedMoveKeepsCallInProgress(t *testing.T) {
	for _, group := range []int{1, 40, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				for _, offset := range []time.Duration{0, 900 * time.Millisecond, 1900 * time.Millisecond} {
					timer := time.AfterFunc(offset, func() { f.SetSource(Source{Address: "discovery:1"}) })
					defer timer.Stop()
				}
				_, delivered := runScript(t, f, nil)
				if delay := delivered.Sub(moved); delay > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: list delivered %v after the first move", group, delay)
				}
			})
		}
	}
}

// After a move in any state of the watch, also after a repeated one or one back to the old discovery, the list is
// delivered within 4 s.
func TestMoveDuringWatchReceivesListInTime(t *testing.T) {
	for name, state := range map[string]scriptedCall{
		"beating": silentAfterHeartbeats, "mute": unanswered, "in its head": truncatedHead, "behind its head": headOnly, "in a message": truncatedMessage,
		"in one, with heartbeats": truncatedSecondMessage, "never connected": unreachable, "by the dialer's clock": dialTimeout, "reset": endedAfterHeartbeats,
	} {
		for _, group := range []int{1, 3, 40, 300} {
			for _, moveAt := range []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, watchSilenceTimeout, watchSilenceTimeout + minRetryDelay/2} {
				for move, targets := range map[string][]string{"once": {"discovery:1"}, "twice": {"discovery:1", "discovery:1"}, "and back": {"discovery:1", "old:1"}} {
					t.Run(fmt.Sprint(name, " ", group, " ", moveAt, " ", move), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkMove(t, state, group, moveAt, targets) })
					})
				}
			}
		}
	}
}

// checkMove moves a feed whose watch is in some state to the target discoveries, one after another.
func checkMove(t *testing.T, state scriptedCall, groupSize int, moveAt time.Duration, targets []string) {
	f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: groupSize, Rand: rand.New(rand.NewPCG(1, 1))}, nil)
	var moved time.Time
	move := time.AfterFunc(moveAt, func() {
		moved = time.Now()
		for _, address := range targets {
			f.SetSource(Source{Address: address})
		}
	})
	defer move.Stop()
	if _, delivered := runScript(t, f, []scriptedCall{state}); delivered.Sub(moved) > missedEventDeadline-moveTimeSpent || delivered.Before(moved) {
		t.Errorf("list delivered %v after the move", delivered.Sub(moved))
	}
}

// Heartbeats keep a watch open, both before and after its first message.
func TestHeartbeatsKeepWatchOpen(t *testing.T) {
	for name, text := range map[string]string{"before a message": "\n", "after a message": `{"rev":43}` + "\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "discovery:1"}, 41, Pacer{}, func(EndpointList) {})
				d := &scriptedDiscovery{script: []scriptedCall{{firstText: responseHead + text, sendsHeartbeats: true}}}
				f.transport = &http.Transport{DisableKeepAlives: true, DialContext: d.dial}
				ctx, cancel := context.WithTimeout(t.Context(), 5*watchSilenceTimeout)
				defer cancel()
				f.Run(ctx)
				d.tasks.Wait()
				if d.calls != 1 {
					t.Errorf("%d calls in %v, want 1", d.calls, 5*watchSilenceTimeout)
				}
			})
		})
	}
}
