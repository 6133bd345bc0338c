package eventlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

var base = time.UnixMilli(1_800_000_000_000)

func afterBase(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }

// Two instances each receive a part of a customer's requests. Only the sum of their logs shows that the customer
// is over quota, and that a server had an attempt of each instance in flight at the same time.
func TestSumOfSeveralInstances(t *testing.T) {
	var firstLog, secondLog bytes.Buffer
	firstWriter, secondWriter := NewWriter(&firstLog), NewWriter(&secondLog)
	for _, x := range []*Writer{firstWriter, secondWriter} {
		x.Plan(Plan{At: base, Name: "basic", Price: 1, QuotaRate: 1, QuotaBurst: 3})
		x.State(State{At: afterBase(100), ConcurrencyLimit: 4, AcceptedRequests: 1, AttemptsInFlight: 1, IdleConnections: 2, ListedServers: 5, AvailableServers: 4})
	}
	r := Request{At: base, Class: "read", Plan: "basic", Customer: 7, FanOut: 2, Units: 2, Outcome: "served", Duration: 300 * time.Millisecond, Attempts: 1}
	firstWriter.Request(r)
	firstWriter.Attempt(Attempt{At: base, Server: "s 1", Class: "read", Reason: "ok", Duration: 300 * time.Millisecond, ServerAge: time.Second, ServiceMS: 200, Utilization: 0.5, QueueLength: 0})
	r.At = afterBase(100)
	secondWriter.Request(r)
	secondWriter.Attempt(Attempt{At: afterBase(100), Server: "s 1", Class: "read", Reason: "ok", Duration: 300 * time.Millisecond, ServerAge: -time.Millisecond, IsOnNewConnection: true, ServiceMS: -1, Utilization: -1, QueueLength: -1})
	r.At, r.Outcome, r.Cause, r.Attempts = afterBase(1900), "refused", "by_chance", 0
	secondWriter.Request(r)
	r.At, r.Outcome, r.Cause = afterBase(2000), "refused", "over_store"
	r.Units = 3
	firstWriter.Request(r)

	summer := Aggregator{LatencyObjectiveMS: 200}
	for name, log := range map[string]*bytes.Buffer{"n0": &firstLog, "n1": &secondLog} {
		if err := summer.Read(name, log); err != nil {
			t.Fatal(err)
		}
	}
	sum := summer.Sum()
	if sum.Instances != 2 || sum.Skipped != 0 || len(sum.Seconds) != 3 || len(sum.Servers) != 1 || len(sum.Plans) != 1 {
		t.Fatalf("sum %+v, want 2 instances, 3 seconds, 1 server and 1 plan", sum)
	}
	first := sum.Seconds[0]
	if first.Requests["served"] != 2 || first.InTime != 0 || first.Attempts["ok"] != 2 || first.NewConnections != 1 || first.AtStartingServers != 1 ||
		first.MeanAttemptMS != 300 || first.ConcurrencyLimit != 4 || first.AvailableServers != 4 {
		t.Errorf("first second %+v", first)
	}
	if x := sum.Servers[0]; x.Server != "s_1" || x.Instances != 2 || x.PeakInFlight != 2 || x.MeanReportedMS != 200 || x.MeanUtilization != 0.5 {
		t.Errorf("server %+v", x)
	}
	// The bucket has 3 units at first, of which 2 are sent; 1.1 at the second request; 2.9 and 3 at the rejections.
	if p := sum.Plans[0]; p.Customers != 1 || p.SentUnderQuota != 2 || p.SentOverQuota != 2 || p.RejectedUnderQuota != 5 || p.RejectedOverQuota != 0 {
		t.Errorf("plan %+v", p)
	}
}

func TestUnparsableLinesAreSkipped(t *testing.T) {
	summer := Aggregator{}
	log := "2026 INFO serving\ntally\ntally a 1\ntally x 1 2\ntally s 1 NaN 1 1 1 1 1 1\ntally r\x00\n"
	if err := summer.Read("n0", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if s := summer.Sum(); s.Skipped != 4 || len(s.Seconds) != 0 {
		t.Errorf("sum %+v, want 4 skipped lines and no seconds", s)
	}
	if err := summer.Read("n0", strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil {
		t.Error("no error for a line longer than maxLineBytes")
	}
}

// failingLog is a log whose writes always fail.
type failingLog struct{ calls int }

func (f *failingLog) Write([]byte) (int, error) { f.calls++; return 0, errors.New("disk full") }

func TestFailingLogIsNotWrittenAfterFirstError(t *testing.T) {
	log := &failingLog{}
	w := NewWriter(log)
	for range 3 {
		w.State(State{})
	}
	if log.calls != 1 {
		t.Errorf("%d writes to a failing log, want 1", log.calls)
	}
	var nilWriter *Writer
	nilWriter.State(State{})
	nilWriter.Attempt(Attempt{})
	nilWriter.Request(Request{})
	nilWriter.Plan(Plan{})
}

func FuzzRead(f *testing.F) {
	f.Add("tally a 1 s-1 read 0 ok 1 -1 false true 2 3 4 0.5 0\ntally p 1 basic 1 1 3 1 0 0 0\ntally r 1 read basic 7 2 false 2 served - 3 1\n")
	f.Fuzz(func(_ *testing.T, log string) {
		a := Aggregator{}
		_ = a.Read("n0", strings.NewReader(log))
		a.Sum()
	})
}
