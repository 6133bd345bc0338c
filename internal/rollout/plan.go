// Package rollout decides how a change goes over a fleet in stages: who changes when, beside which
// control, when a stage has passed its judge, when all is taken back, and who may decide that at all.
// It is a state machine: Handle takes an event and the time and returns what is to be done, in order. It
// does no I/O, and what it decides is a Write before it is anything else.
//
// A change has generations: 0 is what runs before it, the last is what is wanted, those between are
// settings that make the mixture safe. A phase leads from one generation to the next, and begins only when
// every member runs the one before, so that at most two neighbouring generations are ever in force.
package rollout

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Member is one instance of the fleet.
type Member struct {
	Name     string   `json:"name"`
	Region   string   `json:"region,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	Versions []string `json:"gens"` // what it runs at each generation, as Seen.Runs tells it; neighbours may be equal
}

// Plan is how a change goes over a fleet. The zero durations stand for the defaults.
type Plan struct {
	Members []Member `json:"members"`
	// RegionOrder has, by phase, the regions that change one after another, each in stages of its own; nil spreads
	// every stage over all regions. The last counts for all phases after it.
	RegionOrder       [][]string    `json:"order,omitempty"`
	Stages            Stages        `json:"stages"`
	MaxUnavailable    int           `json:"at_once"`          // members that change or are away at once; 0 is the root of all
	MinBake           time.Duration `json:"bake"`             // least time a stage is watched
	MaxBake           time.Duration `json:"bake_most"`        // most; after it a stage without evidence stops the change
	MemberTimeout     time.Duration `json:"away"`             // a member may be away, or owe an answer; then it counts as failed
	HasControls       bool          `json:"controls"`         // old members start again beside those that change
	ReadinessSuffices bool          `json:"unjudged"`         // readiness is enough where there is no evidence
	IsRestart         bool          `json:"same,omitempty"`   // both ends are the same thing, begun again: nothing to take back to
	DisableRollback   bool          `json:"noback,omitempty"` // a failed change is left as it is
}

// Defaults of a plan.
const (
	DefaultMinBake       = 10 * time.Second
	DefaultMaxBake       = 15 * time.Minute
	DefaultMemberTimeout = 30 * time.Second

	retryInterval            = 500 * time.Millisecond // until a lost answer is asked for again
	maxCommandsPerGeneration = 3                      // orders for one member in one generation: it may lose what it was given
	maxClaimAttempts         = 6                      // epochs tried before another coordinator's are left alone
	// maxUtilization is the share of a member's room that the others may fill while some are away.
	maxUtilization = 0.9
)

func (p *Plan) setDefaults() {
	if p.MinBake <= 0 {
		p.MinBake = DefaultMinBake
	}
	if p.MaxBake <= 0 {
		p.MaxBake = max(DefaultMaxBake, p.MinBake)
	}
	if p.MemberTimeout <= 0 {
		p.MemberTimeout = DefaultMemberTimeout
	}
	if len(p.Stages) == 0 {
		p.Stages = DefaultStages()
	}
	if p.MaxUnavailable <= 0 {
		// What starts anew knows of no cold server. The cold rule gives a group of N a slack of 2 root N + 2:
		// root N such members at once stay inside it.
		p.MaxUnavailable = max(1, int(math.Sqrt(float64(len(p.Members)))))
	}
}

// Validate tells what in a plan can't be carried out.
func (p *Plan) Validate() error {
	if len(p.Members) == 0 {
		return errors.New("plan: it has no member")
	}
	names := make(map[string]bool, len(p.Members))
	for i, m := range p.Members {
		switch {
		case names[m.Name]:
			return fmt.Errorf("plan: member %s is there twice", m.Name)
		case len(m.Versions) < 2 || len(m.Versions) != len(p.Members[0].Versions):
			return fmt.Errorf("plan: member %s has %d generations", m.Name, len(m.Versions))
		}
		names[p.Members[i].Name] = true
	}
	if n := len(p.Stages); n > 0 && p.Stages[n-1].Share != 1 {
		return fmt.Errorf("plan: the last of its stages is %s, not 100%%", p.Stages[n-1])
	}
	if p.MaxBake > 0 && p.MaxBake < p.MinBake {
		return fmt.Errorf("plan: a stage is watched %v at most and %v at least", p.MaxBake, p.MinBake)
	}
	for _, order := range p.RegionOrder {
		at := make(map[string]bool)
		for _, r := range order {
			if at[r] {
				return fmt.Errorf("plan: region %s is twice in the order", r)
			}
			at[r] = true
		}
		for _, m := range p.Members {
			if !at[m.Region] {
				return fmt.Errorf("plan: region %s of member %s is not in the order", m.Region, m.Name)
			}
		}
	}
	_, err := p.layout()
	return err
}

// Stage is a part of the fleet: a number of members, or a share.
type Stage struct {
	Count int     `json:"count,omitempty"`
	Share float64 `json:"share,omitempty"` // above 0 and up to 1; 0 has Count count
}

// Stages are the parts that have changed at the end of each stage.
type Stages []Stage

// DefaultStages are one member, a tenth, half, and all.
func DefaultStages() Stages { return Stages{{Count: 1}, {Share: 0.1}, {Share: 0.5}, {Share: 1}} }

func (s Stage) String() string {
	if s.Share == 0 {
		return strconv.Itoa(s.Count)
	}
	return strconv.FormatFloat(100*s.Share, 'f', -1, 64) + "%"
}

func (s Stage) size(n int) int {
	if s.Share == 0 {
		return min(s.Count, n)
	}
	return min(max(int(math.Ceil(s.Share*float64(n)-1e-9)), 1), n)
}

// ParseStages reads "1, 10%, 50%, 100%".
func ParseStages(text string) (Stages, error) {
	var all Stages
	for i, word := range strings.Split(text, ",") {
		word = strings.TrimSpace(word)
		bad := func(why string) (Stages, error) {
			return nil, fmt.Errorf("stages: stage %d, %q, %s", i+1, word, why)
		}
		var s Stage
		if share, ok := strings.CutSuffix(word, "%"); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(share), 64)
			if err != nil || !(v > 0) || v > 100 {
				return bad("is no share above 0% and up to 100%")
			}
			s.Share = v / 100
		} else {
			n, err := strconv.Atoi(word)
			if err != nil || n < 1 {
				return bad("is neither a number of members nor a share such as 10%")
			}
			s.Count = n
		}
		if i > 0 {
			last := all[i-1]
			if s.Share > 0 && last.Share > 0 && s.Share <= last.Share || s.Share == 0 && last.Share == 0 && s.Count <= last.Count {
				return bad("is no more than the one before it, " + last.String())
			}
			if last.Share == 1 {
				return bad("comes after 100%")
			}
		}
		all = append(all, s)
	}
	if last := all[len(all)-1]; last.Share != 1 {
		return nil, fmt.Errorf("stages: the last, %q, is not 100%%", last)
	}
	return all, nil
}
