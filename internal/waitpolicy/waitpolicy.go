// Package waitpolicy decides for a scatter-gather query whether to wait for more of its parts or to answer with what
// has arrived. It learns the durations of the parts from their outcomes, including those of abandoned parts. It does
// no I/O; time and the seed of random numbers are arguments. docs/design/gather.md derives the decisions.
package waitpolicy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Mode determines how long a query waits.
type Mode uint8

// The wait modes.
const (
	Learned Mode = iota // as long as the expected value of waiting is higher than that of answering
	Fixed               // for a fixed time
	None                // for all parts, or until the client's deadline
)

// Limits of settings.
const (
	MaxParts      = 256
	MaxMargin     = time.Second
	maxPartWeight = 1e6
)

// Defaults of settings.
const (
	DefaultHalfLife    = time.Second
	DefaultMargin      = 10 * time.Millisecond
	DefaultAbandonCost = 0.05
	defaultPartWeight  = 1
)

// Part is one of the parts that a gatherer queries.
type Part struct {
	Name   string
	Weight float64 // relative to the weights of the other parts; 0 is 1
}

// Settings configure the wait policy of one gatherer. They must not change after a query has started with them.
type Settings struct {
	Parts    []Part
	MinShare float64       // minimum fraction of the parts' weight in an answer, 0 to 1
	HalfLife time.Duration // time in which an answer loses half of its value; 0 is DefaultHalfLife
	Mode     Mode
	Fixed    time.Duration // waiting time in mode Fixed
	Margin   time.Duration // time before the client's deadline for writing the answer; 0 is DefaultMargin
	// AbandonCost is the value that is lost if all parts are abandoned at full load: servers that continue to work on
	// abandoned parts delay other requests. 0 is DefaultAbandonCost; a value below 0 is no cost.
	AbandonCost float64
}

// Validate returns an error for the first setting that is out of range. The error names the setting by its key.
func (s *Settings) Validate() error {
	switch {
	case len(s.Parts) == 0:
		return errors.New("parts: the list is empty")
	case len(s.Parts) > MaxParts:
		return fmt.Errorf("parts: %d parts exceed the limit of %d", len(s.Parts), MaxParts)
	case !(s.MinShare >= 0 && s.MinShare <= 1):
		return fmt.Errorf("least: %g is not within 0 and 1", s.MinShare)
	case s.HalfLife < 0:
		return fmt.Errorf("half_life: %v is negative", s.HalfLife)
	case s.Mode > None:
		return fmt.Errorf("deadline: unknown wait mode %d", s.Mode)
	case s.Mode == Fixed && s.Fixed <= 0:
		return fmt.Errorf("deadline: fixed waiting time %v is not positive", s.Fixed)
	case s.Margin < 0 || s.Margin > MaxMargin:
		return fmt.Errorf("margin: %v is not within 0 and %v", s.Margin, MaxMargin)
	case !(s.AbandonCost <= 1):
		return fmt.Errorf("left: %g is above 1", s.AbandonCost)
	}
	return s.validateParts()
}

func (s *Settings) validateParts() error {
	isNamed := make(map[string]bool, len(s.Parts))
	for i, part := range s.Parts {
		switch {
		case part.Name == "" || len(part.Name) > MaxNameBytes:
			return fmt.Errorf("parts.%d: name of %d bytes is not within 1 and %d bytes", i, len(part.Name), MaxNameBytes)
		case isNamed[part.Name]:
			return fmt.Errorf("parts.%d: duplicate part %s", i, part.Name)
		case !(part.Weight >= 0 && part.Weight <= maxPartWeight):
			return fmt.Errorf("parts.%d: weight %g is out of range", i, part.Weight)
		}
		isNamed[part.Name] = true
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
	return defaultPartWeight
}

// valueOfShare returns the value of an immediate answer with a fraction of the parts' weight. The function is concave,
// as the first parts add more value than the last, and quadratic, so that its mean only depends on the mean and the
// variance of the share.
func valueOfShare(share float64) float64 { return share * (3 - share) / 2 }

// Value returns the value of an answer after a time, at a load of 0 to 1. share is the fraction of the parts' weight
// in the answer, abandoned the fraction that was abandoned.
func (s *Settings) Value(share, abandoned, load float64, after time.Duration) float64 {
	return s.decay(after)*valueOfShare(share) - s.abandonCost()*load*abandoned
}

// decay returns the fraction of its value that an answer retains after a time.
func (s *Settings) decay(after time.Duration) float64 {
	return math.Exp2(-float64(after) / float64(s.halfLife()))
}
