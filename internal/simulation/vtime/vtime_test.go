package vtime

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each event runs once, at its time and in order. Events scheduled for a past time, or for a time after the end of Run,
// are neither lost nor run early.
func TestEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		var ran []time.Duration
		scheduled := 0
		until := time.Duration(rapid.IntRange(0, 100).Draw(t, "until"))
		var schedule func(depth int)
		schedule = func(depth int) {
			at := time.Duration(rapid.IntRange(0, 120).Draw(t, "at"))
			scheduled++
			c.At(at, func() {
				if c.Now() < at {
					t.Fatalf("event scheduled for %v ran at %v", at, c.Now())
				}
				ran = append(ran, c.Now())
				if depth < 2 {
					schedule(depth + 1)
				}
			})
		}
		for range rapid.IntRange(0, 20).Draw(t, "first") {
			schedule(0)
		}
		c.Run(until)
		for i := 1; i < len(ran); i++ {
			if ran[i] < ran[i-1] {
				t.Fatal("events ran out of order")
			}
		}
		if n := len(ran); n > 0 && ran[n-1] > until {
			t.Fatal("an event after the end of Run ran")
		}
		c.Run(time.Hour)
		if len(ran) != scheduled {
			t.Fatalf("%d of %d scheduled events ran", len(ran), scheduled)
		}
	})
}
