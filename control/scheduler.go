package control

// dispatch starts attempts of queued requests while the concurrency limit allows.
func (c *Controller) dispatch() {
	for c.limiter.hasFreeSlot(c.now, c.slots.occupied(c.now)) {
		req, srv := c.nextTurn()
		if req == nil {
			return
		}
		c.startAttempt(req, srv)
	}
	c.window.limitReached = true
}

// nextTurn is one step of the weighted round robin among the plans that have an eligible request: the
// one that is farthest behind its share comes next.
func (c *Controller) nextTurn() (*request, *server) {
	var best *planQueue
	totalShare := 0.0
	for _, plan := range c.plans {
		plan.nextRequest, plan.nextServer = c.nextEligible(plan)
		if plan.nextRequest == nil {
			continue
		}
		plan.deficit += plan.share
		totalShare += plan.share
		if best == nil || plan.deficit > best.deficit {
			best = plan
		}
	}
	if best == nil {
		return nil, nil
	}
	best.deficit -= totalShare
	return best.nextRequest, best.nextServer
}

// nextEligible is a plan's first request that may be sent now, and its server. Requests that wait for
// an in-flight quota or for their repeat group let the next pass.
func (c *Controller) nextEligible(plan *planQueue) (*request, *server) {
	for _, req := range plan.queue {
		// A retry takes the place in the in-flight quota that its request has had.
		needsQuota := plan.MaxInFlight > 0 && req.attempts == 0
		if needsQuota && req.account.inFlight.isFull(c.now) {
			continue
		}
		if srv := c.chooseServer(req); srv != nil {
			return req, srv
		}
		if req.repeatGroup == nil {
			return nil, nil
		}
	}
	return nil, nil
}

// startAttempt sends a request to a server. The first attempt is charged to its account.
func (c *Controller) startAttempt(req *request, srv *server) {
	req.plan.remove(req)
	var charged charge
	if req.attempts == 0 {
		charged = c.chargeFirstAttempt(req.account, req.units)
	}
	if req.repeatGroup == nil && req.hasIdempotencyKey() {
		req.firstRunAt = c.now
	}
	if srv.inFlight == 0 {
		srv.lastActivityAt = c.now
	}
	if srv.slowStart.isActive {
		srv.slowStart.tokens -= c.countedUnits(req.units)
	}
	if srv.outlier.hasTripped() {
		srv.outlier.isProbing = true
	}
	c.recordAttemptStart(req, srv, charged)
	send := Send{ID: req.id, Server: srv.Server}
	// Guards against a connection that comes up when repeats run again.
	if req.mayHaveRun && req.hasIdempotencyKey() {
		send.WriteWithin = req.repeatsDroppedUntil() - c.now
	}
	c.emit(send)
}
