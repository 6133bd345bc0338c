package instancestats

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBucketHoldsItsDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(200*time.Hour)).Draw(t, "delay"))
		i := Bucket(d)
		if d >= Edge(i) || i > 0 && d < Edge(i-1) {
			t.Fatalf("%v is in bucket %d, which ends at %v", d, i, Edge(i))
		}
	})
}

func TestSinceUndoesAdd(t *testing.T) {
	a := Statistics{Began: time.Unix(1, 0), OfferedWeight: 3, Served: 2, Requests: 4, Rejected: 1, Units: 4, CPU: 5}
	a.Delays.Add(20 * time.Millisecond)
	more := Statistics{Began: a.Began, OfferedWeight: 1, Requests: 2, Failed: 2, Late: 1, CPU: 7}
	more.Delays.Add(time.Second)
	sum := a
	sum.Add(more)
	if got, ok := sum.Since(a); !ok || got != more {
		t.Errorf("got %+v, %v; want %+v", got, ok, more)
	}
	if p := sum.Delays.Quantile(0.99); p < time.Second || p > 1300*time.Millisecond {
		t.Errorf("p99 %v", p)
	}
	sum.Began = time.Unix(2, 0)
	if _, ok := sum.Since(a); ok {
		t.Error("another process's figures were compared")
	}
}
