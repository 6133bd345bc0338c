package rollout

import "time"

// maxUtilization is the share of their capacity that the others may use while some members are unavailable.
const maxUtilization = 0.9

// unavailableCount counts the members, except one, that change or do not serve. During a rollback those that do not
// serve do not count: the change may be what has broken them.
func (r *Rollout) unavailableCount(except int) int {
	count := 0
	for i := range r.members {
		if i != except && r.members[i].isUnavailable(r.now, r.state) {
			count++
		}
	}
	return count
}

func (m *member) isUnavailable(now time.Duration, s state) bool {
	if m.isAbandoned {
		return false
	}
	if !m.isServing && s == stateForward {
		return true
	}
	return !m.isIdle() || m.mayRunDroppedCommand || now < m.slotReservedUntil
}

// unavailableLimit returns how many members may be unavailable at once: MaxUnavailable, or as many as the others have
// capacity for where that is less, but minimum at least. As long as there is any capacity it is one: a member that
// changes hands its work over.
func (r *Rollout) unavailableLimit(minimum int) int {
	sum, known, serving := 0.0, 0, 0
	for i := range r.members {
		m := &r.members[i]
		if !m.isServing {
			continue
		}
		serving++
		if m.load >= 0 {
			sum += m.load
			known++
		}
	}
	if known == 0 {
		return r.plan.MaxUnavailable
	}
	mean := sum / float64(known)
	spare := int(float64(serving) * (1 - mean/maxUtilization))
	if mean < maxUtilization {
		spare = max(spare, 1)
	}
	return min(max(spare, minimum), r.plan.MaxUnavailable)
}
