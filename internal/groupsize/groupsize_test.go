package groupsize

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// poisson draws a number of mean m.
func poisson(rng *rand.Rand, m float64) float64 {
	n, p := 0.0, rng.Float64()
	for l := math.Exp(-m); p > l; n++ {
		p *= rng.Float64()
	}
	return n
}

// Servers that hold what a group of some size sends them: the estimate is near, whether or not a
// report counts the request that it answers, and a wrong size is doubted.
func TestCensus(t *testing.T) {
	for _, tc := range []struct {
		real, told int
		mean       float64 // that one instance holds at a server
		doubts     bool
	}{{40, 40, 0.3, false}, {40, 20, 0.3, true}, {40, 10, 0.3, true}, {1, 1, 0.2, false}, {3, 40, 2, true}, {4, 4, 1, false}, {1, 1, 3, false}, {1, 4, 3, true}, {400, 40, 0.05, true}} {
		for counts := range 2 {
			rng := rand.New(rand.NewPCG(7, uint64(counts)))
			c := New(tc.told)
			now := time.Duration(0)
			for range 20000 {
				now += 5 * time.Millisecond
				own := poisson(rng, tc.mean)
				c.Saw(now, own+poisson(rng, tc.mean*float64(tc.real-1))+float64(counts), own)
			}
			least, most, ok := c.Seen(now)
			if real := float64(tc.real); !ok || least > 1.25*real || most < 0.8*real {
				t.Errorf("%d instances are taken for %.1f to %.1f, %v", tc.real, least, most, ok)
			}
			if doubts := c.ContradictsConfiguration(now); doubts != tc.doubts {
				t.Errorf("%d of %d told: doubted %v (%.1f to %.1f)", tc.real, tc.told, doubts, least, most)
			}
		}
	}
}

func TestTooLittle(t *testing.T) {
	c := New(4)
	for range 1000 {
		c.Saw(time.Second, 40, 0) // never anything of ours beside
		c.Saw(time.Second, math.NaN(), 1)
		c.Saw(time.Second, math.Inf(1), 1)
		c.Saw(time.Second, -1, 1)
	}
	if _, most, ok := c.Seen(time.Second); ok || c.ContradictsConfiguration(time.Second) {
		t.Errorf("%g", most)
	}
	for range 50 {
		c.Saw(time.Second, 40, 1)
	}
	if !c.ContradictsConfiguration(time.Second) {
		t.Error("no doubt")
	}
	if c.ContradictsConfiguration(time.Hour) {
		t.Error("doubts by what was an hour ago")
	}
}
