package instancestats

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBucketHoldsItsDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.Int64Range(0, int64(200*time.Hour)).Draw(t, "delay"))
		bucket := Bucket(delay)
		if delay >= Edge(bucket) || bucket > 0 && delay < Edge(bucket-1) {
			t.Fatalf("delay %v was put in bucket %d, whose upper edge is %v", delay, bucket, Edge(bucket))
		}
	})
}

func TestSinceUndoesAdd(t *testing.T) {
	earlier := Statistics{Began: time.Unix(1, 0), OfferedWeight: 3, Served: 2, Requests: 4, Rejected: 1, Units: 4, CPU: 5}
	earlier.Delays.Add(20 * time.Millisecond)
	added := Statistics{Began: earlier.Began, OfferedWeight: 1, Requests: 2, Failed: 2, Late: 1, CPU: 7}
	added.Delays.Add(time.Second)
	sum := earlier
	sum.Add(added)
	if got, ok := sum.Since(earlier); !ok || got != added {
		t.Errorf("Since: got %+v, %v; want %+v, true", got, ok, added)
	}
	if p99 := sum.Delays.Quantile(0.99); p99 < time.Second || p99 > 1300*time.Millisecond {
		t.Errorf("got p99 %v, want 1s to 1.3s", p99)
	}
	sum.Began = time.Unix(2, 0)
	if _, ok := sum.Since(earlier); ok {
		t.Error("Since accepted readings of different processes")
	}
}
