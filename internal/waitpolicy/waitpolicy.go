// Package waitpolicy decides for a query that was scattered over parts whether to go on waiting or to
// answer with what has come, and learns from each answer, and from each that was not waited for, how
// long the parts take. It does no I/O; time and randomness are told. docs/design/gather.md derives it.
package waitpolicy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Mode is how long a query waits.
type Mode uint8

// The modes of waiting.
const (
	Learned Mode = iota // as long as waiting is expected to be worth more than answering
	Fixed               // for a fixed time
	None                // for all parts, or the client's time
)

// Bounds of what one gatherer is made of.
const (
	MaxParts  = 256
	MaxMargin = time.Second
)

// What the settings are where they say nothing.
const (
	DefaultHalfLife    = time.Second
	DefaultMargin      = 10 * time.Millisecond
	DefaultAbandonCost = 0.05
)

// Part is one of those a query asks.
type Part struct {
	Name   string
	Weight float64 // of it in the completeness, over the sum of all; 0 is 1
}

// Settings are of one gatherer. They are read only once a query has begun with them.
type Settings struct {
	Parts    []Part
	MinShare float64       // share of the parts, by weight, without which there is no answer
	HalfLife time.Duration // in which an answer's worth halves; 0 is DefaultHalfLife
	Mode     Mode
	Fixed    time.Duration // with the mode Fixed
	Margin   time.Duration // of the client's time, in which the answer is written; 0 is DefaultMargin
	// AbandonCost is the worth lost with what is cut, for all parts and a full load: a cancel stops nothing
	// at the servers, which do for nobody what others wait for. 0 is DefaultAbandonCost, below 0 none.
	AbandonCost float64
}

// Validate tells what can't be.
func (s *Settings) Validate() error {
	switch {
	case len(s.Parts) == 0:
		return errors.New("parts: there is none")
	case len(s.Parts) > MaxParts:
		return fmt.Errorf("parts: %d are more than %d", len(s.Parts), MaxParts)
	case !(s.MinShare >= 0 && s.MinShare <= 1):
		return fmt.Errorf("least: %g is no share from 0 to 1", s.MinShare)
	case s.HalfLife < 0:
		return fmt.Errorf("half_life: %v is below 0", s.HalfLife)
	case s.Mode > None:
		return fmt.Errorf("deadline: there is no mode %d", s.Mode)
	case s.Mode == Fixed && s.Fixed <= 0:
		return fmt.Errorf("deadline: a fixed one of %v", s.Fixed)
	case s.Margin < 0 || s.Margin > MaxMargin:
		return fmt.Errorf("margin: %v is none of 0 to %v", s.Margin, MaxMargin)
	case !(s.AbandonCost <= 1):
		return fmt.Errorf("left: %g is above 1", s.AbandonCost)
	}
	seen := make(map[string]bool, len(s.Parts))
	for i, p := range s.Parts {
		switch {
		case p.Name == "" || len(p.Name) > MaxNameBytes:
			return fmt.Errorf("parts.%d: a name of %d bytes; 1 to %d can be", i, len(p.Name), MaxNameBytes)
		case seen[p.Name]:
			return fmt.Errorf("parts.%d: %s is named twice", i, p.Name)
		case !(p.Weight >= 0 && p.Weight <= 1e6):
			return fmt.Errorf("parts.%d: a weight of %g", i, p.Weight)
		}
		seen[p.Name] = true
	}
	return nil
}

func (s *Settings) halfLife() time.Duration {
	if s.HalfLife > 0 {
		return s.HalfLife
	}
	return DefaultHalfLife
}

func (s *Settings) margin() time.Duration {
	if s.Margin > 0 {
		return s.Margin
	}
	return DefaultMargin
}

func (s *Settings) abandonCost() float64 {
	if s.AbandonCost == 0 {
		return DefaultAbandonCost
	}
	return max(0, s.AbandonCost)
}

func (p *Part) weight() float64 {
	if p.Weight > 0 {
		return p.Weight
	}
	return 1
}

// valueOfShare is what a complete share c of an answer is worth at once: concave, as the first parts of a
// list tell more than the last. It is a square, so that its mean needs the share's mean and variance only.
func valueOfShare(c float64) float64 { return c * (3 - c) / 2 }

// Value is what an answer earns that comes after a time, with a share of the parts by weight in it
// and another share cut while its servers were still at work, at a load of 0 to 1.
func (s *Settings) Value(share, cut, load float64, after time.Duration) float64 {
	return s.decay(after)*valueOfShare(share) - s.abandonCost()*load*cut
}

// decay is what is left of a worth after a time.
func (s *Settings) decay(after time.Duration) float64 {
	return math.Exp2(-float64(after) / float64(s.halfLife()))
}
