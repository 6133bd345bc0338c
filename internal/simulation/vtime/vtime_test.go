package vtime

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each event runs once, at its time and in order; events that are late or after the end are neither
// lost nor run early.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		var played []time.Duration
		scheduled := 0
		until := time.Duration(rapid.IntRange(0, 100).Draw(t, "until"))
		var add func(depth int)
		add = func(depth int) {
			at := time.Duration(rapid.IntRange(0, 120).Draw(t, "at"))
			scheduled++
			c.At(at, func() {
				if c.Now() < at {
					t.Fatalf("due at %v, played at %v", at, c.Now())
				}
				played = append(played, c.Now())
				if depth < 2 {
					add(depth + 1)
				}
			})
		}
		for range rapid.IntRange(0, 20).Draw(t, "first") {
			add(0)
		}
		c.Run(until)
		for i := 1; i < len(played); i++ {
			if played[i] < played[i-1] {
				t.Fatal("out of order")
			}
		}
		if n := len(played); n > 0 && played[n-1] > until {
			t.Fatal("played beyond the end")
		}
		c.Run(time.Hour)
		if len(played) != scheduled {
			t.Fatalf("%d played of %d", len(played), scheduled)
		}
	})
}
