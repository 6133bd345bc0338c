package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"time"
)

// groupSizeInterval is the time between two comparisons of the configured group size with the load reports.
const groupSizeInterval = 2 * time.Second

// watchGroupSize compares the configured group size with the load reports of each service's servers until ctx ends. It
// logs when they begin to contradict each other and when they agree again.
func (d *daemon) watchGroupSize(ctx context.Context) {
	ticker := time.NewTicker(groupSizeInterval)
	defer ticker.Stop()
	wasContradicted := make(map[string]bool) // by service name
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_, configured := d.node.Instance()
		for _, s := range d.node.Status() {
			name := conditionGroupSizePrefix + s.Name
			low := s.GroupSizeRange[0]
			high := s.GroupSizeRange[1]
			switch {
			case s.IsGroupSizeContradicted && !wasContradicted[s.Name]:
				slog.Warn("configured group size contradicts load reports, limits and slow start depend on it", "service", s.Name,
					"group_size", configured, "reported_min", math.Round(low), "reported_max", math.Round(high))
				d.conditions.add(name, fmt.Sprintf("%d configured, load reports indicate %.0f to %.0f", configured, low, high))
			case !s.IsGroupSizeContradicted && wasContradicted[s.Name]:
				slog.Info("configured group size agrees with load reports again", "service", s.Name, "group_size", configured)
				d.conditions.clear(name)
			}
			wasContradicted[s.Name] = s.IsGroupSizeContradicted
		}
	}
}
