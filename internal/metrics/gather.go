package metrics

import "lockflow/internal/scattergather"

// Gathering is a Source with services that gather; *node.Node is one.
type Gathering interface{ GathererStatus() []scattergather.Status }

var (
	gathered  = family{"gather_queries_total", "counter", "Queries of a gathering service by how they ended.", []string{"service", "outcome"}}
	gathers   = family{"gather_queries_open", "gauge", "Queries of a gathering service that are under way.", []string{"service"}}
	missed    = family{"gather_missing_total", "counter", "Answers of a gathering service without a part.", []string{"service", "part"}}
	waits     = family{"gather_deadline_seconds", "gauge", "For how long one part that does not come is waited for at the most.", []string{"service"}}
	knows     = family{"gather_known", "gauge", "Whether enough is learned of all parts to decide by it.", []string{"service"}}
	usual     = family{"gather_part_p90_seconds", "gauge", "Time within which nine of ten answers of a part come.", []string{"service", "part"}}
	explored  = family{"gather_explored_total", "counter", "Queries that waited longer than was worth it, to learn.", []string{"service"}}
	changed   = family{"gather_changes_total", "counter", "Sudden changes of a part that were noticed.", []string{"service"}}
	members   = family{"gather_members", "gauge", "Other instances whose knowledge is used.", []string{"service"}}
	exchanges = family{"gather_exchanges_total", "counter", "Exchanges with stores of what is learned.", []string{"service"}}
	failures  = family{"gather_exchange_failures_total", "counter", "Exchanges that failed.", []string{"service"}}
	trusted   = family{"gather_trust", "gauge", "In what other instances have learned, 0 to 1.", []string{"service"}}
)

// gather tells of services that gather.
func (p *page) gather(of Gathering) {
	for _, s := range of.GathererStatus() {
		for _, name := range scattergather.Outcomes {
			p.add(&gathered, float64(s.Queries[name]), s.Name, name)
		}
		p.add(&gathers, float64(s.InFlight), s.Name)
		for i, part := range s.Parts {
			p.add(&missed, float64(s.MissingCounts[part]), s.Name, part)
			if s.TypicalTimes[i] > 0 {
				p.add(&usual, s.TypicalTimes[i].Seconds(), s.Name, part)
			}
		}
		p.add(&waits, s.Deadline.Seconds(), s.Name)
		p.add(&knows, oneIf(s.IsKnown), s.Name)
		p.add(&explored, float64(s.Learned.Explored), s.Name)
		p.add(&changed, float64(s.Learned.Changes), s.Name)
		if h := s.Shared; h != nil {
			p.add(&members, float64(h.Members), s.Name)
			p.add(&exchanges, float64(h.Exchanges), s.Name)
			p.add(&failures, float64(h.Failures), s.Name)
		}
		p.add(&trusted, s.Learned.Trust, s.Name)
	}
}
