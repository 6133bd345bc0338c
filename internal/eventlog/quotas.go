package eventlog

import (
	"cmp"
	"slices"
)

// bucket is the token bucket of one customer. at is the time of the last refill in milliseconds.
type bucket struct{ tokens, at float64 }

// refill adds the tokens that have accrued since the last refill.
func (b *bucket) refill(p plan, at float64) {
	b.tokens, b.at = min(p.quotaBurst, b.tokens+(at-b.at)/1000*p.quotaRate), at
}

// sumPlans replays the token bucket of each customer over the customer's requests at all instances.
func (s *Aggregator) sumPlans() []PlanSum {
	buckets := make(map[string]*bucket)
	sums := make(map[string]*PlanSum)
	for _, r := range s.requests {
		p, ok := s.plans[r.plan]
		if !ok || p.quotaRate <= 0 {
			continue
		}
		sum := sums[r.plan]
		if sum == nil {
			sum = &PlanSum{Plan: r.plan}
			sums[r.plan] = sum
		}
		key := r.plan + " " + r.customer
		customer := buckets[key]
		if customer == nil {
			customer = &bucket{p.quotaBurst, r.at}
			buckets[key] = customer
			sum.Customers++
		}
		customer.refill(p, r.at)
		sum.addRequest(customer, r)
	}
	var all []PlanSum
	for _, sum := range sums {
		all = append(all, *sum)
	}
	slices.SortFunc(all, func(a, b PlanSum) int { return cmp.Compare(a.Plan, b.Plan) })
	return all
}

// addRequest adds a request to the sum, and takes its units from the customer's bucket if it was forwarded and
// within the quota.
func (p *PlanSum) addRequest(customer *bucket, r request) {
	p.Requests++
	isUnderQuota := customer.tokens >= r.units
	switch {
	case r.attempts > 0 && isUnderQuota:
		customer.tokens -= r.units
		p.SentUnderQuota += r.units
	case r.attempts > 0:
		p.SentOverQuota += r.units
	case isUnderQuota:
		p.RejectedUnderQuota += r.units
	default:
		p.RejectedOverQuota += r.units
	}
}
