package control

import (
	"time"

	"lockflow/control/sharecontrol"
)

// scheduler schedules the queues of the plans by weighted round robin, and sets their shares.
type scheduler struct {
	plans           []*planQueue
	plansByName     map[string]*planQueue
	shareController *sharecontrol.Controller
}

// newScheduler returns a scheduler in which all plans have equal shares.
func newScheduler(plans []Plan) scheduler {
	s := scheduler{plansByName: make(map[string]*planQueue)}
	prices := make([]float64, len(plans))
	for i, plan := range plans {
		queue := &planQueue{Plan: plan, index: i, share: 1 / float64(len(plans))}
		s.plans = append(s.plans, queue)
		s.plansByName[plan.Name] = queue
		prices[i] = plan.Price
	}
	s.shareController = sharecontrol.New(prices)
	return s
}

// countQueued returns the number of requests in all queues.
func (s *scheduler) countQueued() int {
	queued := 0
	for _, plan := range s.plans {
		queued += len(plan.queue)
	}
	return queued
}

// serverChooser chooses the server of a request's next attempt, or returns nil if the request has to wait.
type serverChooser interface {
	chooseServer(req *request) *server
}

// nextRequest performs one step of the weighted round robin among the plans that have an eligible request: it
// selects the plan with the largest deficit. It returns nil if no plan has an eligible request.
func (s *scheduler) nextRequest(now time.Duration, servers serverChooser) (next *request, srv *server) {
	var bestPlan *planQueue
	totalShare := 0.0
	for _, plan := range s.plans {
		eligible, chosen := plan.nextEligible(now, servers)
		if eligible == nil {
			continue
		}
		plan.deficit += plan.share
		totalShare += plan.share
		if bestPlan == nil || plan.deficit > bestPlan.deficit {
			bestPlan = plan
			next = eligible
			srv = chosen
		}
	}
	if bestPlan != nil {
		bestPlan.deficit -= totalShare
	}
	return next, srv
}

// nextEligible returns a plan's first request that may be sent now, and its server. Requests that wait for an
// in-flight quota or for a server of their repeat group do not block those behind them.
func (p *planQueue) nextEligible(now time.Duration, servers serverChooser) (*request, *server) {
	for _, req := range p.queue {
		// A retry reuses the place in the in-flight quota of the attempt before.
		needsQuota := p.MaxInFlight > 0 && req.attempts == 0
		if needsQuota && req.account.inFlight.isFull(now) {
			continue
		}
		if srv := servers.chooseServer(req); srv != nil {
			return req, srv
		}
		if req.repeatGroup == nil {
			return nil, nil
		}
	}
	return nil, nil
}

// updateShares sets the shares of the plans by the share controller, given their lateness in a control
// window.
func (s *scheduler) updateShares(window *controlWindow) {
	lateness := make([]float64, len(s.plans))
	shares := make([]float64, len(s.plans))
	for i, plan := range s.plans {
		lateness[i] = plan.endLatenessWindow()
		shares[i] = plan.share
	}
	if window.answers < minAnswersPerWindow {
		return
	}
	for i, share := range s.shareController.NextShares(shares, lateness, !window.isOverloaded) {
		s.plans[i].share = share
	}
}
