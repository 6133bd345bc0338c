package service

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// timerTest arms labels of a queue and records when they were due and when they were popped, both relative to start.
type timerTest struct {
	queue       timerQueue
	start       time.Time
	due, popped []time.Duration
}

func (tt *timerTest) arm(after time.Duration, label uint64) {
	tt.due = append(tt.due, time.Since(tt.start)+after)
	tt.queue.arm(time.Now().Add(after), label)
}

// popAll pops all labels that are due after the queue has fired.
func (tt *timerTest) popAll() {
	for {
		at := time.Since(tt.start)
		if _, ok := tt.queue.popDue(time.Now()); !ok {
			return
		}
		tt.popped = append(tt.popped, at)
	}
}

// step arms up to 3 labels, and pops those that are due if the queue fires within a random time below 100 ms.
func (tt *timerTest) step(rng *rand.Rand, label uint64) {
	for range rng.IntN(4) {
		tt.arm(time.Duration(rng.IntN(1000))*time.Millisecond, label)
	}
	if tt.queue.fired() == nil {
		return
	}
	select {
	case <-tt.queue.fired():
		tt.popAll()
	case <-time.After(time.Duration(rng.IntN(100)) * time.Millisecond):
	}
}

// TestTimerQueueFiresInOrderOnTime checks that labels are popped in the order of their due times and when they are
// due, in whatever order they were armed.
func TestTimerQueueFiresInOrderOnTime(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			test := &timerTest{start: time.Now()}
			for step := range uint64(200) {
				test.step(rng, step)
			}
			for len(test.queue.entries) > 0 {
				<-test.queue.fired()
				test.popAll()
			}
			slices.Sort(test.due)
			if !slices.IsSorted(test.popped) || len(test.popped) != len(test.due) {
				t.Fatalf("seed %d: %d of %d labels popped, or out of order", seed, len(test.popped), len(test.due))
			}
			for i, due := range test.due { // not before it is due, and at most one step of this test later
				if got := test.popped[i]; got < due || got > due+100*time.Millisecond {
					t.Fatalf("seed %d: label due at %v popped at %v", seed, due, got)
				}
			}
		})
	}
}

func BenchmarkTimerQueue(b *testing.B) {
	var set timerQueue
	now := time.Now()
	for i := range 10000 {
		set.arm(now.Add(time.Duration(i)*time.Microsecond+time.Hour), 1)
	}
	b.ReportAllocs()
	for i := range b.N {
		set.arm(now.Add(time.Duration(i%10000)*time.Microsecond), 1)
		set.popDue(now.Add(time.Hour))
	}
}
