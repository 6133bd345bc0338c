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

// scriptedCall is what a discovery does with one call: what it sends at once and 2 s later, and whether the watch ends
// then or falls silent. One of the zero value accepts the call and sends nothing.
type scriptedCall struct {
	sends, later  string
	ends          bool
	beats         bool // goes on with heartbeats instead
	neverConnects bool
	dialTimesOut  bool // the same, and the dialer's own timeout ends it first
}

const responseHead = "HTTP/1.1 200 OK\r\n\r\n"

var (
	beating  = scriptedCall{sends: responseHead + "\n", later: "\n"}
	mute     = scriptedCall{}
	headOnly = scriptedCall{sends: responseHead}
	cutHead  = scriptedCall{sends: "HTTP/1.1 200 OK\r\nX-"}
	cutShort = scriptedCall{sends: responseHead + "\n", later: `{"rev":44,"all":fal`}
	cutLater = scriptedCall{sends: responseHead + `{"rev":44,"all":fal`, beats: true}
	cutNext  = scriptedCall{sends: responseHead + `{"rev":43}` + "\n" + `{"rev":44,`, beats: true}
	reset    = scriptedCall{sends: responseHead + "\n", later: "\n", ends: true}
	away     = scriptedCall{neverConnects: true}
	timedOut = scriptedCall{dialTimesOut: true}
)

// finalAnswer is the list that a scripted discovery sends after its script.
const finalAnswer = responseHead + `{"rev":45,"all":true,"targets":[]}` + "\n"

// scriptedDiscovery answers one call after another by a script, and the calls after it with finalAnswer, which takes
// maxAnswerTime.
type scriptedDiscovery struct {
	script []scriptedCall
	tasks  sync.WaitGroup // that have to end within the test's bubble

	mu        sync.Mutex
	calls     int
	lastHeard time.Time // when a call of the script was made, or it last sent something
}

func (d *scriptedDiscovery) markHeard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeard = time.Now()
}

// nextCall is what the discovery does with the next call.
func (d *scriptedDiscovery) nextCall() (call scriptedCall, isFinal bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.calls > len(d.script) {
		return scriptedCall{sends: finalAnswer}, true
	}
	d.lastHeard = time.Now()
	return d.script[d.calls-1], false
}

// dial connects a call.
func (d *scriptedDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	d.tasks.Add(1)
	defer d.tasks.Done()
	call, isFinal := d.nextCall()
	if call.neverConnects {
		time.Sleep(time.Hour) // http.Transport goes on with a dial that nobody waits for
		return nil, errors.New("nobody came")
	}
	if call.dialTimesOut {
		time.Sleep(watchSilenceTimeout - time.Nanosecond)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	client, server := net.Pipe()
	d.tasks.Go(func() { d.serve(server, call, isFinal) })
	return client, nil
}

// serve answers a call.
func (d *scriptedDiscovery) serve(conn net.Conn, call scriptedCall, isFinal bool) {
	defer conn.Close()
	http.ReadRequest(bufio.NewReader(conn))
	if isFinal {
		time.Sleep(maxAnswerTime)
	}
	for _, text := range []string{call.sends, call.later} {
		if text != "" {
			if _, err := io.WriteString(conn, text); err == nil && !isFinal {
				d.markHeard()
			}
			time.Sleep(2 * time.Second)
		}
	}
	for call.beats {
		if _, err := io.WriteString(conn, "\n"); err != nil {
			return
		}
		time.Sleep(2 * time.Second)
	}
	if !call.ends {
		io.Copy(io.Discard, conn) // until the other side gives up
	}
}

// playScript runs a feed on a scripted discovery. It returns when the script was last heard, or called where it sent
// nothing, and when the list behind it was delivered.
func playScript(t *testing.T, f *Feed, script []scriptedCall) (lastHeard, delivered time.Time) {
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
		t.Error("never delivered")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastHeard, delivered
}

// What a watch misses has to be known 6 s after it fell silent, wherever in its answer that was, for groups of every
// size: by then another one has delivered it, though its answer takes as long as answers may.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for name, script := range map[string][]scriptedCall{
		"after a heartbeat":         {beating},
		"from its start":            {mute},
		"in its head":               {cutHead},
		"behind its head":           {headOnly},
		"in a message":              {cutShort},
		"in one, with heartbeats":   {cutLater},
		"in the next, the same":     {cutNext},
		"never connected":           {away},
		"by the dialer's clock":     {timedOut},
		"twice by it":               {reset, timedOut, timedOut},
		"reset":                     {reset},
		"silent, and mute":          {beating, mute},
		"reset, and mute":           {reset, mute},
		"mute again and again":      {mute, mute, mute, mute},
		"away, and silent in a row": {away, headOnly, cutShort, away},
	} {
		for _, group := range []int{1, 3, 40, 300} {
			for _, agent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/agent=%v", strings.ReplaceAll(name, " ", "_"), group, agent), func(t *testing.T) {
					for seed := range uint64(8) {
						synctest.Test(t, func(t *testing.T) {
							f := NewFeed(Source{Address: "discovery:1", IsOwnAgent: agent}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
							silent, delivered := playScript(t, f, script)
							if late := delivered.Sub(silent); late > missedEventDeadline-deadlineMargin/2 {
								t.Errorf("delivered %v after the silence began, of %v", late, missedEventDeadline)
							}
						})
					}
				})
			}
		}
	}
}

// After a move the list has to be known 4 s later, also where the move comes before the first call, and where the
// first call is rejected.
func TestMovedFeedReceivesListInTime(t *testing.T) {
	rejected := scriptedCall{sends: "HTTP/1.1 503 Service Unavailable\r\n\r\n"}
	for _, group := range []int{1, 3, 40, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.HasCachedList = true
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				_, delivered := playScript(t, f, nil)
				if late := delivered.Sub(moved); late > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: delivered %v after the move", group, late)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				_, delivered := playScript(t, f, []scriptedCall{rejected})
				if late := delivered.Sub(moved); late > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: delivered %v after the move, though rejected once", group, late)
				}
			})
		}
	}
}

// A configuration that is read again before the new discovery has answered leaves the call to it alone, however
// often: the time counts from the first.
func TestRepeatedMoveKeepsCallInProgress(t *testing.T) {
	for _, group := range []int{1, 40, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				for _, later := range []time.Duration{0, 900 * time.Millisecond, 1900 * time.Millisecond} {
					timer := time.AfterFunc(later, func() { f.SetSource(Source{Address: "discovery:1"}) })
					defer timer.Stop()
				}
				_, delivered := playScript(t, f, nil)
				if late := delivered.Sub(moved); late > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: delivered %v after the first move", group, late)
				}
			})
		}
	}
}

// After a move in any state of the watch, also twice or back to the old discovery, the list is delivered 4 s later.
func TestMoveDuringWatchReceivesListInTime(t *testing.T) {
	for name, old := range map[string]scriptedCall{
		"beating": beating, "mute": mute, "in its head": cutHead, "behind its head": headOnly, "in a message": cutShort,
		"in one, with heartbeats": cutNext, "never connected": away, "by the dialer's clock": timedOut, "reset": reset,
	} {
		for _, group := range []int{1, 3, 40, 300} {
			for _, at := range []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, watchSilenceTimeout, watchSilenceTimeout + minRetryDelay/2} {
				for move, to := range map[string][]string{"once": {"discovery:1"}, "twice": {"discovery:1", "discovery:1"}, "and back": {"discovery:1", "old:1"}} {
					t.Run(fmt.Sprint(name, " ", group, " ", at, " ", move), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkMove(t, old, group, at, to) })
					})
				}
			}
		}
	}
}

// checkMove moves a feed whose watch is in some state to one discovery after another.
func checkMove(t *testing.T, old scriptedCall, groupSize int, at time.Duration, to []string) {
	f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: groupSize, Rand: rand.New(rand.NewPCG(1, 1))}, nil)
	var moved time.Time
	move := time.AfterFunc(at, func() {
		moved = time.Now()
		for _, address := range to {
			f.SetSource(Source{Address: address})
		}
	})
	defer move.Stop()
	if _, delivered := playScript(t, f, []scriptedCall{old}); delivered.Sub(moved) > missedEventDeadline-moveTimeSpent || delivered.Before(moved) {
		t.Errorf("delivered %v after the move", delivered.Sub(moved))
	}
}

// Heartbeats keep a watch open, before the first message and after it.
func TestHeartbeatsKeepWatchOpen(t *testing.T) {
	for name, text := range map[string]string{"before a message": "\n", "after a message": `{"rev":43}` + "\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "discovery:1"}, 41, Pacer{}, func(EndpointList) {})
				d := &scriptedDiscovery{script: []scriptedCall{{sends: responseHead + text, beats: true}}}
				f.transport = &http.Transport{DisableKeepAlives: true, DialContext: d.dial}
				ctx, cancel := context.WithTimeout(t.Context(), 5*watchSilenceTimeout)
				defer cancel()
				f.Run(ctx)
				d.tasks.Wait()
				if d.calls != 1 {
					t.Errorf("%d calls in %v", d.calls, 5*watchSilenceTimeout)
				}
			})
		})
	}
}
