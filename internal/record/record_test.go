package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"lockflow/control"
	"lockflow/internal/codec"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var settings = control.Settings{
	GroupSize: 2, MaxAttempts: 3, SupportsRetryAfter: true, MaxRetryAfter: time.Second, MeterPeriod: time.Second, UnitsInResponse: true,
	Classes: []control.Class{
		{Name: "read", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1},
		{Name: "write", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 5, Idempotency: control.IdempotentWithKey, KeyScope: control.ScopeCell, RepeatWindow: 15 * time.Second},
	},
	Plans: []control.Plan{{Name: "a", Price: 1, QuotaRate: 20, QuotaBurst: 40}, {Name: "b", Price: 2, QuotaRate: 20, QuotaBurst: 20, HardLimitRate: 40, HardLimitBurst: 40, HardLimitSlack: 4}},
}

// recordRandomHistory records a module that handles random events in the order in which a service would send them.
func recordRandomHistory(t testing.TB, seed uint64, steps int, options Options, afterStep func(m *Module, step int)) {
	t.Helper()
	c, err := control.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(c, settings, options)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{module: m, rng: rand.New(rand.NewPCG(seed, 41)), now: time.Hour, attempts: make(map[string]int)}
	list := control.EndpointList{Kind: control.ListComplete}
	for i := range 4 {
		list.Endpoints = append(list.Endpoints, control.Endpoint{Server: uint32(i + 1), Cell: i % 2, Size: 1, HasStartedAt: i == 3, StartedAt: d.now})
	}
	d.handle(list)
	for step := range steps {
		d.advance(time.Duration(d.rng.IntN(10)) * time.Millisecond)
		if choice := d.rng.IntN(10); choice < 5 {
			d.handle(control.Request{
				ID: fmt.Sprint(step), Class: []string{"read", "write"}[choice%2], Plan: []string{"a", "b"}[step%2], Customer: fmt.Sprint(d.rng.IntN(5)),
				Timeout: 3 * time.Second, Units: float64(1 + d.rng.IntN(3)), FanOut: 2, HasPendingBody: choice == 4,
			})
		} else if len(d.sent) > 0 {
			send := d.removeSent(d.rng.IntN(len(d.sent)))
			reason := []control.Reason{control.OK, control.OK, control.OK, control.Errored, control.RejectedByServer, control.ConnectFailed, control.TimedOut}[d.rng.IntN(7)]
			d.respond(send, control.AttemptResult{
				Reason: reason, IsFinal: reason == control.OK, QuotaUsage: d.rng.IntN(200), ActualUnits: 1,
				Delay: time.Millisecond, Load: &control.LoadReport{InFlight: 2, Utilization: 0.5},
			})
		}
		if afterStep != nil {
			afterStep(m, step)
		}
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
}

// driver passes events to a recorded module with a simulated clock, and fires the timers that the module starts.
type driver struct {
	module   *Module
	rng      *rand.Rand
	now      time.Duration
	sent     []control.Send // attempts in flight
	attempts map[string]int // number of ended attempts by request
	timers   []pendingTimer
}

type pendingTimer struct {
	due   time.Duration
	timer control.TimerFired
}

// handle passes an event to the module and keeps the attempts and timers that the module starts.
func (d *driver) handle(e control.Event) {
	for _, a := range d.module.Handle(d.now, e) {
		switch a := a.(type) {
		case control.Send:
			d.sent = append(d.sent, a)
		case control.StartTimer:
			d.timers = append(d.timers, pendingTimer{d.now + a.After, control.TimerFired{Label: a.Label}})
		}
	}
}

// advance advances the clock and then fires all timers that are due.
func (d *driver) advance(duration time.Duration) {
	d.now += duration
	for i := 0; i < len(d.timers); i++ {
		if due := d.timers[i]; due.due <= d.now {
			d.timers = append(d.timers[:i], d.timers[i+1:]...)
			d.handle(due.timer)
			i = -1
		}
	}
}

// removeSent removes an attempt from those in flight and returns it.
func (d *driver) removeSent(i int) control.Send {
	s := d.sent[i]
	d.sent = append(d.sent[:i], d.sent[i+1:]...)
	return s
}

// respond ends an attempt with a result.
func (d *driver) respond(s control.Send, r control.AttemptResult) {
	r.ID, r.Attempt, r.Server = s.ID, d.attempts[s.ID], s.Server
	d.attempts[s.ID]++
	d.handle(r)
}

func sectionPaths(t testing.TB, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*"+Suffix))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d sections found, error %v", len(paths), err)
	}
	return paths
}

var errDifferentActions = errors.New("actions differ from the recorded ones")

func replayAll(raw []byte) (events int, sum uint64, err error) {
	r, err := Open(bytes.NewReader(raw))
	if err != nil {
		return 0, 0, err
	}
	return r.Replay(func(s Step) error {
		if !s.IsAsRecorded {
			return errDifferentActions
		}
		return nil
	})
}

// Every section replays with the recorded actions up to its last event, even if the module's state was changed
// without an event between two sections.
func TestReplay(t *testing.T) {
	events := 0
	for seed := range uint64(60) {
		dir := t.TempDir()
		recordRandomHistory(t, seed, 1500, Options{Service: "s", Dir: dir, MaxBytes: 1 << 20}, func(m *Module, step int) {
			if step == 700 {
				given := m.HandOver(time.Hour+time.Duration(step)*5*time.Millisecond, 0.5)
				m.ReclaimRates(time.Hour+time.Duration(step)*5*time.Millisecond, &given)
			}
		})
		for _, path := range sectionPaths(t, dir) {
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			n, sum, err := replayAll(raw)
			if events += n; err != nil {
				t.Fatalf("seed %d, %s: after %d events: %v", seed, path, n, err)
			}
			if _, repeated, _ := replayAll(raw); repeated != sum {
				t.Fatalf("seed %d: two replays have different digests", seed)
			}
		}
	}
	t.Logf("%d events", events)
}

// Files rotate within their size limit, and each can be replayed without the others.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	recordRandomHistory(t, 1, 20_000, Options{Service: "s", Dir: dir, MaxBytes: 1 << 20}, nil)
	paths := sectionPaths(t, dir)
	if len(paths) != filesPerService {
		t.Errorf("%d files, want filesPerService", len(paths))
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil || len(raw) > 1<<20/filesPerService+1<<16 {
			t.Errorf("%s: file of %d bytes, error %v", path, len(raw), err)
		}
		if n, _, err := replayAll(raw); err != nil || n == 0 {
			t.Errorf("%s: %d events replayed, error %v", path, n, err)
		}
	}
}

// A truncated recording is replayed up to the end of the data; data that is not a recording is rejected.
func TestDamagedRecordings(t *testing.T) {
	dir := t.TempDir()
	recordRandomHistory(t, 2, 2000, Options{Service: "s", Dir: dir, MaxBytes: 64 << 20}, nil)
	raw, err := os.ReadFile(sectionPaths(t, dir)[0])
	if err != nil {
		t.Fatal(err)
	}
	eventCount, _, err := replayAll(raw)
	if err != nil || eventCount < 1000 {
		t.Fatalf("%d events replayed, error %v", eventCount, err)
	}
	if n, _, err := replayAll(raw[:len(raw)/2]); err != nil || n == 0 || n >= eventCount {
		t.Errorf("truncated recording: %d of %d events replayed, error %v", n, eventCount, err)
	}
	for _, bad := range [][]byte{nil, []byte("noise"), raw[:20]} {
		if _, _, err := replayAll(bad); err == nil {
			t.Errorf("invalid data of %d bytes accepted as a recording", len(bad))
		}
	}
}

// Replay detects a decision that differs from the recorded one.
func TestReplayDetectsDifferentDecision(t *testing.T) {
	dir := t.TempDir()
	recordRandomHistory(t, 3, 500, Options{Service: "s", Dir: dir, MaxBytes: 64 << 20}, nil)
	raw, err := os.ReadFile(sectionPaths(t, dir)[0])
	if err != nil {
		t.Fatal(err)
	}
	r, err := Open(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	r.header.Settings.Plans[0].QuotaRate /= 10 // makes the replay decide differently, as another build might
	r.header.Settings.Plans[0].QuotaBurst /= 10
	events := 0
	if _, _, err = r.Replay(func(s Step) error {
		if events++; !s.IsAsRecorded {
			return errDifferentActions
		}
		return nil
	}); !errors.Is(err, errDifferentActions) {
		t.Errorf("no difference detected in %d events: error %v", events, err)
	}
}

// Frames of arbitrary bytes with a valid checksum are replayed or rejected, without a panic.
func FuzzFrames(f *testing.F) {
	frame := func(b, raw []byte) []byte {
		b = binary.BigEndian.AppendUint32(b, uint32(len(raw)))
		return append(binary.BigEndian.AppendUint32(b, codec.Checksum(raw)), raw...)
	}
	c, err := control.New(settings, 1)
	if err != nil {
		f.Fatal(err)
	}
	first, err := cbor.Marshal(sectionHeader{Version: Version, Settings: settings, Image: c.Image()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(2), int64(1), []byte{0xa1, 0x62, 'I', 'D', 0x61, 'x'})
	f.Add(uint8(4), int64(1), []byte{0xa1, 0x61, 'N', 0x01})
	f.Add(uint8(1), int64(-1), []byte{0xa0})
	f.Fuzz(func(t *testing.T, kind uint8, now int64, body []byte) {
		event, err := cbor.Marshal(recordedEvent{Now: time.Duration(now), Kind: eventKind(kind), Body: body})
		if err != nil {
			return // body is not valid CBOR
		}
		r, err := readHeader(bytes.NewReader(frame(frame([]byte(fileMagic), first), event)))
		if err != nil {
			t.Fatal(err)
		}
		_, _, _ = r.Replay(func(Step) error { return nil })
	})
}

func BenchmarkHandle(b *testing.B) {
	for _, name := range []string{"plain", "recorded"} {
		b.Run(name, func(b *testing.B) {
			c, err := control.New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			handle := c.Handle
			if name == "recorded" {
				m, err := New(c, settings, Options{Service: "s", Dir: b.TempDir(), MaxBytes: 64 << 20})
				if err != nil {
					b.Fatal(err)
				}
				defer m.Close()
				handle = m.Handle
			}
			now := time.Hour
			handle(now, control.EndpointList{Kind: control.ListComplete, Endpoints: []control.Endpoint{{Server: 1, Size: 1}, {Server: 2, Size: 1}}})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 10 * time.Millisecond
				id := strings.Repeat("x", 8) + fmt.Sprint(i)
				for _, a := range append([]control.Action(nil), handle(now, control.Request{ID: id, Class: "read", Plan: "a", Customer: "c", Timeout: time.Second, Units: 1, FanOut: 1})...) {
					if s, ok := a.(control.Send); ok {
						handle(now+time.Millisecond, control.AttemptResult{ID: id, Server: s.Server, Reason: control.OK, IsFinal: true})
					}
				}
			}
		})
	}
}
