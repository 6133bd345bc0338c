package daemon

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Names of degraded conditions, as the status shows them.
const (
	conditionConfigFile     = "configuration file"
	conditionLastCheckpoint = "state of the last run"
	conditionQuotaUsage     = "what was spent before the start"
	conditionMetrics        = "metrics"
	conditionDesiredState   = "orders"
	conditionStateDirectory = "state directory"
	// conditionGroupSizePrefix is followed by a service's name.
	conditionGroupSizePrefix = "size of the group, by the servers of "
)

// degradedConditions is the set of the daemon's current degraded conditions: data or resources that it cannot rely on.
// The status lists them under the key distrusts. It is safe for concurrent use, and its zero value is empty.
type degradedConditions struct {
	mu     sync.Mutex
	byName map[string]condition
}

// condition is a degraded condition without its name.
type condition struct {
	since time.Time
	cause string
}

// add adds a condition, or replaces the cause of an existing one and keeps its start.
func (d *degradedConditions) add(name, cause string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = make(map[string]condition)
	}
	c, ok := d.byName[name]
	if !ok {
		c.since = time.Now()
	}
	c.cause = cause
	d.byName[name] = c
}

func (d *degradedConditions) clear(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byName, name)
}

// list returns the conditions as text, sorted; an empty list is not nil.
func (d *degradedConditions) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	lines := []string{}
	for name, c := range d.byName {
		lines = append(lines, fmt.Sprintf("%s, since %s: %s", name, c.since.UTC().Format(time.RFC3339), c.cause))
	}
	slices.Sort(lines)
	return lines
}
