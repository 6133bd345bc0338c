package service

import (
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/instancestats"
)

// incrementedCounters returns the names of the counters that have counted one request of priority weight 2.5.
func incrementedCounters(f instancestats.Statistics) (names string) {
	for _, v := range []struct {
		name string
		is   bool
	}{
		{"asked", f.OfferedWeight == 2.5},
		{"served", f.Served == 2.5},
		{"refused", f.Rejected == 1},
		{"beyond", f.OverQuota == 1},
		{"failed", f.Failed == 1},
		{"late", f.Late == 1},
		{"left", f.ClientsGone == 1},
		{"breach", f.Breaches == 1},
		{"delays", f.Delays.Total() == 1},
	} {
		if v.is {
			names += " " + v.name
		}
	}
	return names
}

// TestStatisticsCountEachOutcomeOnce checks that each outcome of a request is counted once and in its own counter.
// A request above a quota is not counted as offered, and the counts of a loop that has ended are retained.
func TestStatisticsCountEachOutcomeOnce(t *testing.T) {
	var collector StatisticsCollector
	const class = "read"
	for name, tc := range map[string]struct {
		elapsed, left time.Duration // time since the request started; time until its deadline
		answer        Answer
		cause         control.Cause
		want          string // names, as in incrementedCounters, of the counters that are 1 or weighted
	}{
		"served":             {time.Millisecond, time.Second, Answer{Status: 200}, 0, "asked served delays"},
		"late":               {2 * time.Second, time.Second, Answer{Status: 200}, 0, "asked late delays"},
		"after the deadline": {2 * time.Second, -time.Second, Answer{Status: 200}, 0, "asked late breach delays"},
		"failed by the node": {0, 0, Answer{Kind: Failed, Status: 504}, 0, "asked failed"},
		"server error":       {0, 0, Answer{Status: 500}, 0, "asked failed"},
		"left":               {0, -time.Second, Answer{}, 0, "asked left"},
		"queue timeout":      {0, 0, Answer{Kind: Rejected, Status: 503}, control.CauseQueueTimeout, "asked refused"},
		"ceiling":            {0, 0, Answer{Kind: Rejected, Status: 503}, control.CauseHardLimit, "refused beyond"},
		"quota":              {0, 0, Answer{Kind: Rejected, Status: 503}, control.CauseProbability, "refused beyond"},
	} {
		t.Run(name, func(t *testing.T) {
			before := collector.Statistics()
			loop := collector.addLoop([]control.Class{{Name: class, PriorityWeight: 2.5, LatencyObjective: time.Second}})
			now := time.Now()
			x := &Exchange{Request: control.Request{Class: class, Units: 1.5}, Deadline: now.Add(tc.left), startedAt: now.Add(-tc.elapsed)}
			loop.attemptStarted(x.Request.Units)
			tc.answer.Cause = tc.cause
			loop.requestEnded(x, tc.answer)
			for range 2 { // while the loop runs, and after it has ended
				f, ok := collector.Statistics().Since(before)
				if got := incrementedCounters(f); !ok || got != " "+tc.want || f.Requests != 1 || f.Units != 1.5 {
					t.Errorf("counted as%s, want %s: %+v", got, tc.want, f)
				}
				if len(collector.loops) > 0 {
					collector.removeLoop(loop)
				}
			}
		})
	}
	tc := collector.addLoop(nil)
	tc.loopEnded(3, false)
	tc.loopEnded(3, true)
	if f := collector.Statistics(); f.Breaches != 4 || f.Panics != 1 {
		t.Errorf("statistics after the end of a loop: %+v, want 4 breaches and 1 panic", f)
	}
	if f := (*StatisticsCollector)(nil).Statistics(); f.Requests != 0 {
		t.Errorf("statistics of a nil collector: %+v", f)
	}
}

func BenchmarkStatistics(b *testing.B) {
	var m StatisticsCollector
	c := m.addLoop([]control.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: time.Second}})
	x := &Exchange{Request: control.Request{Class: "read", Units: 1}, Deadline: time.Now().Add(time.Hour), startedAt: time.Now()}
	b.ReportAllocs()
	for b.Loop() {
		c.attemptStarted(1)
		c.requestEnded(x, Answer{Status: 200})
	}
}
