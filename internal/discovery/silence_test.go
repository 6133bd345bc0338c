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

// A watch of a scripted discovery: what it says at once and 2 s later, and whether it ends then or falls
// silent. A watch of the zero value takes its call and says nothing.
type scriptedCall struct {
	says, later string
	ends        bool
	beats       bool // goes on with heartbeats instead
	nobody      bool // the connection never comes up
	dialer      bool // the same, and the dialer's own clock tells so first
}

const responseHead = "HTTP/1.1 200 OK\r\n\r\n"

var (
	beating  = scriptedCall{says: responseHead + "\n", later: "\n"}
	mute     = scriptedCall{}
	headOnly = scriptedCall{says: responseHead}
	cutHead  = scriptedCall{says: "HTTP/1.1 200 OK\r\nX-"}
	cutShort = scriptedCall{says: responseHead + "\n", later: `{"rev":44,"all":fal`}
	cutLater = scriptedCall{says: responseHead + `{"rev":44,"all":fal`, beats: true}
	cutNext  = scriptedCall{says: responseHead + `{"rev":43}` + "\n" + `{"rev":44,`, beats: true}
	reset    = scriptedCall{says: responseHead + "\n", later: "\n", ends: true}
	away     = scriptedCall{nobody: true}
	timedOut = scriptedCall{dialer: true}
)

// playScript holds a watch on discoveries that answer one call after another by a script, and the calls after
// with the list, after some time. It gives when the last of the script had been heard, or was
// called where it said nothing, and when the list was told.
func playScript(t *testing.T, f *Feed, script []scriptedCall) (silent, told time.Time) {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup // of all that the bubble has to see the end of
	defer func() { cancel(); all.Wait() }()
	var mu sync.Mutex // of the calls and of silent
	n := 0
	now := func() {
		mu.Lock()
		defer mu.Unlock()
		silent = time.Now()
	}
	f.transport = &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		all.Add(1)
		defer all.Done()
		s := scriptedCall{says: responseHead + `{"rev":45,"all":true,"targets":[]}` + "\n"}
		mu.Lock()
		call := n
		n++
		mu.Unlock()
		last := call >= len(script)
		if !last {
			s = script[call]
			now()
		}
		if s.nobody {
			time.Sleep(time.Hour) // http.Transport goes on with a dial that nobody waits for
			return nil, errors.New("nobody came")
		}
		if s.dialer {
			time.Sleep(watchSilenceTimeout - time.Nanosecond)
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		here, there := net.Pipe()
		all.Go(func() {
			defer there.Close()
			http.ReadRequest(bufio.NewReader(there))
			if last {
				time.Sleep(maxAnswerTime)
			}
			for _, say := range []string{s.says, s.later} {
				if say != "" {
					if _, err := io.WriteString(there, say); err == nil && !last {
						now()
					}
					time.Sleep(2 * time.Second)
				}
			}
			for s.beats {
				if _, err := io.WriteString(there, "\n"); err != nil {
					return
				}
				time.Sleep(2 * time.Second)
			}
			if !s.ends {
				io.Copy(io.Discard, there) // until the other gives up
			}
		})
		return here, nil
	}}
	f.deliver = func(l EndpointList) {
		if l.Revision == 45 && told.IsZero() {
			told = time.Now()
			close(done)
		}
	}
	all.Go(func() { f.Run(ctx) })
	select {
	case <-done:
	case <-time.After(time.Hour):
		t.Error("never told")
	}
	mu.Lock()
	defer mu.Unlock()
	return silent, told
}

// What a watch misses counts as told 6 s after it fell silent, wherever in its answer that was, for groups of
// every size: by then another one has brought it, though its answer takes as long as answers may.
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
							silent, told := playScript(t, f, script)
							if late := told.Sub(silent); late > missedEventDeadline-deadlineMargin/2 {
								t.Errorf("told %v after the silence began, of %v", late, missedEventDeadline)
							}
						})
					}
				})
			}
		}
	}
}

// After a move news counts as told 4 s later, also where the move comes before the first call, and
// where the first calls are turned away.
func TestMovedFeedReceivesListInTime(t *testing.T) {
	turned := scriptedCall{says: "HTTP/1.1 503 Service Unavailable\r\n\r\n"}
	for _, group := range []int{1, 3, 40, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.HasCachedList = true
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				_, told := playScript(t, f, nil)
				if late := told.Sub(moved); late > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: told %v after the move", group, late)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				_, told := playScript(t, f, []scriptedCall{turned})
				if late := told.Sub(moved); late > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: told %v after the move, though turned away once", group, late)
				}
			})
		}
	}
}

// A configuration that is read again before the new discovery has answered leaves the call to it alone, however
// often: its news counts from the first.
func TestRepeatedMoveKeepsCallInProgress(t *testing.T) {
	for _, group := range []int{1, 40, 300} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(seed, 1))}, nil)
				f.SetSource(Source{Address: "discovery:1"})
				moved := time.Now()
				for _, later := range []time.Duration{0, 900 * time.Millisecond, 1900 * time.Millisecond} {
					again := time.AfterFunc(later, func() { f.SetSource(Source{Address: "discovery:1"}) })
					defer again.Stop()
				}
				_, told := playScript(t, f, nil)
				if late := told.Sub(moved); late > missedEventDeadline-moveTimeSpent {
					t.Errorf("group of %d: told %v after the first move", group, late)
				}
			})
		}
	}
}

// A configuration that is read while the watch is in any state, or twice, or that leads back to the old
// discovery, has the list told 4 s later.
func TestMoveDuringWatchReceivesListInTime(t *testing.T) {
	for name, old := range map[string]scriptedCall{
		"beating": beating, "mute": mute, "in its head": cutHead, "behind its head": headOnly, "in a message": cutShort,
		"in one, with heartbeats": cutNext, "never connected": away, "by the dialer's clock": timedOut, "reset": reset,
	} {
		for _, group := range []int{1, 3, 40, 300} {
			for _, at := range []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, watchSilenceTimeout, watchSilenceTimeout + minRetryDelay/2} {
				for way, to := range map[string][]string{"once": {"discovery:1"}, "twice": {"discovery:1", "discovery:1"}, "and back": {"discovery:1", "old:1"}} {
					t.Run(fmt.Sprint(name, " ", group, " ", at, " ", way), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							f := NewFeed(Source{Address: "old:1"}, 41, Pacer{GroupSize: group, Rand: rand.New(rand.NewPCG(1, 1))}, nil)
							var moved time.Time
							move := time.AfterFunc(at, func() {
								moved = time.Now()
								for _, a := range to {
									f.SetSource(Source{Address: a})
								}
							})
							defer move.Stop()
							if _, told := playScript(t, f, []scriptedCall{old}); told.Sub(moved) > missedEventDeadline-moveTimeSpent || told.Before(moved) {
								t.Errorf("told %v after the move", told.Sub(moved))
							}
						})
					})
				}
			}
		}
	}
}
