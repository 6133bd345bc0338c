package node

import (
	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/route"
)

// routeTable returns the routing table of a configuration, with the services and gatherers as targets.
func routeTable(
	cfg *config.Config, services map[string]*runningService, gatherers map[string]*gatherer,
) *front.RoutingTable {
	table := &front.RoutingTable{}
	if cfg.Routes == nil {
		c := cfg.Services[0]
		table.Targets = []front.Target{{Service: services[c.Name].Service, MaxBodyBytes: c.MaxBodyBytes}}
		return table
	}
	var rules []route.Rule
	gatherTargets := make(map[string]*front.ScatterGather)
	for _, r := range cfg.Routes {
		rules = append(rules, r.Rule)
		if gatherers[r.Service] != nil {
			if gatherTargets[r.Service] == nil {
				gatherTargets[r.Service] = gatherTarget(r.Service, gatherers, services)
			}
			table.Targets = append(table.Targets, front.Target{
				Class:         r.RequestClass,
				ScatterGather: gatherTargets[r.Service],
			})
			continue
		}
		s := services[r.Service]
		target := front.Target{
			Service:          s.Service,
			Class:            r.RequestClass,
			MaxBodyBytes:     s.cfg.MaxBodyBytes,
			UpgradeProtocols: r.Upgrade,
		}
		if s.genericHTTP != nil {
			target.Protocol = s.genericHTTP
		}
		table.Targets = append(table.Targets, target)
	}
	table.Router, _ = route.New(rules) // can't fail: reading the configuration has validated the rules
	return table
}
