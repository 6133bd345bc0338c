package rollout

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Defaults of a Plan.
const (
	DefaultMinBake       = 10 * time.Second
	DefaultMaxBake       = 15 * time.Minute
	DefaultMemberTimeout = 30 * time.Second
)

// Member is one instance of the fleet.
type Member struct {
	Name   string `json:"name"` // unique in its plan
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Versions (key "gens") is what the member runs at each generation, in terms of MemberStatus.Version. A phase
	// whose two versions are equal leaves the member alone.
	Versions []string `json:"gens"`
}

// Plan is how a fleet changes. A zero duration, count or list of stages stands for its default.
type Plan struct {
	Members []Member `json:"members"` // each with as many versions
	// RegionOrder has, by phase, the regions that change one after another, each in stages of its own. The last
	// element counts for all phases after it too. Nil spreads every stage over all regions.
	RegionOrder [][]string `json:"order,omitempty"`
	Stages      Stages     `json:"stages"`
	// MaxUnavailable is how many members may change or be unavailable at once; its default is the square root of the
	// number of members.
	MaxUnavailable int           `json:"at_once"`
	MinBake        time.Duration `json:"bake"`      // a stage is watched for that long at least
	MaxBake        time.Duration `json:"bake_most"` // a stage without a verdict until then fails
	// MemberTimeout is how long a member may be unavailable or owe a reply; then it counts as failed.
	MemberTimeout     time.Duration `json:"away"`
	HasControls       bool          `json:"controls"`         // unchanged members restart together with those that change
	ReadinessSuffices bool          `json:"unjudged"`         // a stage without evidence passes if its members serve
	IsRestart         bool          `json:"same,omitempty"`   // both ends are the same version, restarted: nothing to roll back to
	DisableRollback   bool          `json:"noback,omitempty"` // a failed change stays as it is
}

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
		// A member that has restarted does not know which servers are warming up. The rule for these gives a group of
		// N a slack of 2 root N + 2, which root N such members at once do not exceed.
		p.MaxUnavailable = max(1, int(math.Sqrt(float64(len(p.Members)))))
	}
}

// Validate returns an error for a plan that can't be run.
func (p *Plan) Validate() error {
	if err := p.validateMembers(); err != nil {
		return err
	}
	if n := len(p.Stages); n > 0 && p.Stages[n-1].Share != 1 {
		return fmt.Errorf("plan: the last of its stages is %s, not 100%%", p.Stages[n-1])
	}
	if p.MaxBake > 0 && p.MaxBake < p.MinBake {
		return fmt.Errorf("plan: a stage is watched %v at most and %v at least", p.MaxBake, p.MinBake)
	}
	for _, regions := range p.RegionOrder {
		if err := p.validateRegions(regions); err != nil {
			return err
		}
	}
	_, err := p.buildPhases()
	return err
}

func (p *Plan) validateMembers() error {
	if len(p.Members) == 0 {
		return errors.New("plan: it has no member")
	}
	names := make(map[string]bool, len(p.Members))
	for _, m := range p.Members {
		switch {
		case names[m.Name]:
			return fmt.Errorf("plan: member %s is there twice", m.Name)
		case len(m.Versions) < 2 || len(m.Versions) != len(p.Members[0].Versions):
			return fmt.Errorf("plan: member %s has %d generations", m.Name, len(m.Versions))
		}
		names[m.Name] = true
	}
	return nil
}

// validateRegions checks that one phase's order of regions names each region of the members once.
func (p *Plan) validateRegions(regions []string) error {
	isNamed := make(map[string]bool, len(regions))
	for _, region := range regions {
		if isNamed[region] {
			return fmt.Errorf("plan: region %s is twice in the order", region)
		}
		isNamed[region] = true
	}
	for _, m := range p.Members {
		if !isNamed[m.Region] {
			return fmt.Errorf("plan: region %s of member %s is not in the order", m.Region, m.Name)
		}
	}
	return nil
}
