package regions

import "fmt"

// mayBeDead reports whether a rule with a condition can be dead. Most rules win the minimal request of their
// own conditions, because any rule of higher precedence there requires an additional method or header. Rules
// with a class are the exception, since a class has a lower precedence than a prefix of the same segment.
func (c *condition) mayBeDead() bool { return c.canonical.Rule().Class != "" || c.matchesNothing() }

// findDeadRules finds the regions in which no request is routed by a rule with the condition.
func (x *Index) findDeadRules(c *condition) (findings []finding) {
	for _, variant := range x.variants(c.requests, nil) {
		request := x.minimalRequest(variant)
		if request != nil {
			x.chooseRules(request)
		}
		for _, use := range c.uses {
			region := uint16(use.region)
			found := finding{
				kind: DeadKind, winner: c, winningRegions: []int32{use.region}, pairs: [][2]uint16{{region, region}},
				reason: "no request has such a host or path",
			}
			if request != nil {
				chosen := x.chosen[use.region]
				if chosen.condition == c {
					continue
				}
				found.witness = request
				found.reason = x.describeDeadRule(use.ruleID, chosen.ruleID)
			}
			findings = append(findings, found)
		}
	}
	return findings
}

// describeDeadRule names the rule that wins all requests of a dead one.
func (x *Index) describeDeadRule(dead, winner int32) string {
	info := &x.ruleInfos.values[winner]
	text := fmt.Sprintf("all its requests lead by the more specific route %q to service %q", info.name, x.outcomeOf(winner).service)
	if x.ruleInfos.values[dead].isFromBase && !info.isFromBase {
		text += ", which the region adds to the base"
	}
	return text
}
