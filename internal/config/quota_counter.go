package config

import (
	"net"
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/config/tree"
	"lockflow/internal/quotalease"
)

// readCounter reads how a service's ceilings are shared. What can't be kept by its figures is wrong here,
// and not found out in service.
func (r *reader) readCounter(t tree.Table, name string, plans []control.Plan) Counter {
	c := Counter{
		Addresses: t.Texts("addresses"), Name: t.String("name", name), Username: t.String("username", ""), PasswordFile: readPath(t, "password_file"),
		CallTimeout: t.Duration("within", 200*time.Millisecond, time.Millisecond, quotalease.CallTimeout), HardLimits: make(map[string]quotalease.HardLimit),
	}
	c.Rules = quotalease.Rules{
		Instances: max(1, r.group.size), Term: t.Duration("term", time.Second, 10*time.Millisecond, time.Minute),
		ReservationTime: t.Duration("pledge", 2*time.Second, 10*time.Millisecond, time.Hour), ResizeTime: t.Duration("settle", 10*time.Second, 10*time.Millisecond, day),
		MaxDrift: t.Number("drift", 0.001, 0, 0.1),
	}
	maxOver := t.Number("over", 0.05, 0, 1)
	if len(c.Addresses) == 0 {
		t.Errorf("addresses", "a counter needs one at least")
	}
	for i, a := range c.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			t.Errorf("addresses", "%q: %v", a, err)
		}
		if slices.Contains(c.Addresses[:i], a) {
			t.Errorf("addresses", "%q is there twice", a)
		}
	}
	if c.Name == "" || strings.ContainsAny(c.Name, "{} \t\r\n") {
		t.Errorf("name", "%q can't be a part of keys", c.Name)
	}
	// Guards against two that each have a part of the same ceiling.
	if r.counterNames[c.Name] {
		t.Errorf("name", "another service counts as %q", c.Name)
	}
	r.counterNames[c.Name] = true
	if err := c.Rules.Validate(); err != nil {
		t.Errorf("term", "%v", err)
	}
	for _, p := range plans {
		if p.HardLimitRate == 0 {
			continue
		}
		of := quotalease.HardLimit{Rate: p.HardLimitRate, Burst: p.HardLimitBurst}
		c.HardLimits[p.Name] = of
		if over := c.Rules.MaxExcess(of, time.Minute); over > maxOver {
			b := c.Rules.Bound(of)
			t.Errorf("over", "plan %s: a minute may hold %.4g + 60*%.4g units, which is %.1f%% more than %.4g + 60*%.4g, and not %.1f%%: its term is too long, or clocks too wrong",
				p.Name, b.Burst, b.Rate, 100*over, of.Burst, of.Rate, 100*maxOver)
		}
	}
	if len(c.HardLimits) == 0 {
		t.Errorf("addresses", "no plan of the service has a ceiling")
	}
	t.Done()
	return c
}
