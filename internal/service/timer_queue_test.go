package service

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Whatever the order in which labels are armed, each is told at its time, and in order.
func TestTimerQueueFiresInOrderOnTime(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			start := time.Now()
			var set timerQueue
			var want, got []time.Duration
			for step := range 200 {
				for range rng.IntN(4) {
					after := time.Duration(rng.IntN(1000)) * time.Millisecond
					want = append(want, time.Since(start)+after)
					set.arm(time.Now().Add(after), uint64(step))
				}
				if set.fired() == nil {
					continue
				}
				select {
				case <-set.fired():
					for {
						at := time.Since(start)
						if _, ok := set.popDue(time.Now()); !ok {
							break
						}
						got = append(got, at)
					}
				case <-time.After(time.Duration(rng.IntN(100)) * time.Millisecond):
				}
			}
			for len(set.entries) > 0 {
				<-set.fired()
				for {
					at := time.Since(start)
					if _, ok := set.popDue(time.Now()); !ok {
						break
					}
					got = append(got, at)
				}
			}
			slices.Sort(want)
			if !slices.IsSorted(got) || len(got) != len(want) {
				t.Fatalf("seed %d: %d told of %d", seed, len(got), len(want))
			}
			for i := range want { // told no sooner, and no later than another step of this test
				if got[i] < want[i] || got[i] > want[i]+100*time.Millisecond {
					t.Fatalf("seed %d: label due at %v told at %v", seed, want[i], got[i])
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
