package quotalease

import (
	"slices"
	"time"
)

// maxDuration returns the longest time on the own clock that a span of another clock can take, if each clock drifts
// by at most drift.
func maxDuration(span time.Duration, drift float64) time.Duration {
	return time.Duration(float64(span) * (1 + drift) / (1 - drift))
}

// callIfDue adds a call to the actions if one is due, and returns them.
func (h *Holder) callIfDue(now time.Duration, actions []Action) []Action {
	h.actions = actions
	hasEntries := len(h.needUnits) > 0 || len(h.returns) > 0
	if h.isCalling || now < h.nextCallAt || !hasEntries && now < h.nextKeepAliveAt {
		return actions
	}
	h.lastSeq++
	call := &StoreCall{HolderID: h.id, Seq: h.lastSeq, StoreID: h.storeID, EchoedTime: h.storeTime, LastToken: h.lastToken}
	h.addReturns(call)
	h.addReservation(now, call)
	h.addRequests(call)
	if len(h.pendingCalls) >= maxPendingCalls {
		h.removeOldPendingCalls()
	}
	h.pendingCalls[h.lastSeq] = now
	h.isCalling = true
	h.nextCallAt = now + TickInterval
	h.nextKeepAliveAt = now + h.rules.ReservationTime/keepAliveDivisor
	h.actions = append(actions, Action{Kind: Call, StoreCall: call})
	return h.actions
}

// addReturns moves up to maxCallEntries pending returns into a call.
func (h *Holder) addReturns(call *StoreCall) {
	n := min(len(h.returns), maxCallEntries)
	call.Returns = h.returns[:n:n]
	h.returns = h.returns[n:]
}

// addReservation reserves the own quota for the store in a call. The reservation time counts from the store time in
// the latest reply, so that a late call does not extend it. Nothing is reserved for a store whose replies take longer
// than CallTimeout, as they arrive too late to be used.
func (h *Holder) addReservation(now time.Duration, call *StoreCall) {
	expiresAt := h.storeTimeReceivedAt + maxDuration(h.rules.ReservationTime, h.rules.MaxDrift)
	isStoreUsable := h.storeID != "" && h.lastCallDuration <= CallTimeout
	if !isStoreUsable || now < h.reservableFrom || now >= expiresAt {
		return
	}
	call.ReservedFraction = 1 / float64(h.effectiveInstances(now))
	h.ownQuotaFrom = max(h.ownQuotaFrom, expiresAt)
}

// addRequests adds a lease request to a call for each of up to maxCallEntries accounts that need units.
func (h *Holder) addRequests(call *StoreCall) {
	n := min(len(h.needUnits), maxCallEntries)
	for _, a := range h.needUnits[:n] {
		a.needsUnits = false
		request := LeaseRequest{Key: a.key, Limit: a.limit}
		available := a.ownTokens + a.leasedUnits()
		for i := range a.queue {
			a.queue[i].isInCall = true
			request.Units += a.queue[i].units
		}
		if len(a.queue) > 0 {
			request.MinUnits = max(0, a.queue[0].units-available)
		}
		request.Units = max(0, request.Units-available)
		request.Units += h.prefetchUnits(a, 1)
		if request.Units > 0 {
			call.Requests = append(call.Requests, request)
		}
	}
	h.accountsInCall = append(h.accountsInCall[:0], h.needUnits[:n]...)
	h.needUnits = slices.Delete(h.needUnits, 0, n)
}

// removeOldPendingCalls forgets all but the last maxPendingCalls calls, so that replies to the others are ignored.
func (h *Holder) removeOldPendingCalls() {
	for seq := range h.pendingCalls {
		if seq+maxPendingCalls <= h.lastSeq {
			delete(h.pendingCalls, seq)
		}
	}
}

// HandleReply processes a store's reply. It ignores a reply to an unknown call, or to a call that was addressed to a
// previous store.
func (h *Holder) HandleReply(now time.Duration, reply StoreReply) []Action {
	calledAt, ok := h.pendingCalls[reply.Seq]
	if !ok || reply.Seq <= h.lastSeqToPreviousStore {
		return nil
	}
	delete(h.pendingCalls, reply.Seq)
	if reply.Seq > h.lastAnsweredSeq {
		h.lastAnsweredSeq = reply.Seq
		if reply.StoreID != h.storeID {
			h.switchStore(now, reply.StoreID)
		}
		h.storeTime = reply.StoreTime
		h.storeTimeReceivedAt = now
		h.lastCallDuration = now - calledAt
		h.storeIsLending = reply.IsLending
	}
	for _, grant := range reply.Grants {
		h.lastToken = max(h.lastToken, grant.Token)
		if a := h.accounts[grant.Key]; a != nil {
			a.leases = append(a.leases, lease{token: grant.Token, units: grant.Units, expiresAt: calledAt + h.rules.Term})
			h.markActive(a)
		}
	}
	actions := h.actions[:0]
	if reply.Seq == h.lastSeq {
		h.isCalling = false
		h.consecutiveFailures = 0
		actions = h.decideRequestsInCall(now, actions)
	}
	return h.callIfDue(now, actions)
}

// switchStore makes another store the current one. Nothing is reserved for it until the reservation for the previous
// store has ended. Leases of the previous store remain valid but cannot be returned.
func (h *Holder) switchStore(now time.Duration, storeID string) {
	h.storeID = storeID
	h.storeSwitchedAt = now
	h.lastToken = 0
	h.lastSeqToPreviousStore = h.lastSeq
	h.returns = nil
	for _, a := range h.active {
		for i := range a.leases {
			a.leases[i].token = 0
		}
	}
	h.reservableFrom = h.ownQuotaFrom
	if h.disabled.storeChangeDelay {
		h.reservableFrom = 0
	}
}

// decideRequestsInCall admits or rejects the requests whose units the latest call requested, as that call will bring
// no more units.
func (h *Holder) decideRequestsInCall(now time.Duration, actions []Action) []Action {
	for _, a := range h.accountsInCall {
		h.refill(now, a)
		actions = h.decideQueue(a, actions, func(r queuedRequest) bool { return r.isInCall })
		for i := range a.queue {
			a.queue[i].isInCall = false
		}
	}
	h.accountsInCall = h.accountsInCall[:0]
	return actions
}

// decideQueue admits an account's queued requests in order while there are units. Each of the others is rejected if
// isExpired returns true for it, and otherwise remains in the queue.
func (h *Holder) decideQueue(a *account, actions []Action, isExpired func(queuedRequest) bool) []Action {
	remaining := a.queue[:0]
	for _, r := range a.queue {
		if len(remaining) == 0 {
			if refundableUntil, ok := a.spend(r.units); ok {
				actions = append(actions, Action{Kind: Admit, RequestID: r.id, RefundableUntil: refundableUntil})
				continue
			}
		}
		if isExpired(r) {
			actions = append(actions, Action{Kind: Reject, RequestID: r.id})
			continue
		}
		remaining = append(remaining, r)
	}
	a.queue = remaining
	if len(remaining) > 0 {
		h.markNeedsUnits(a)
	}
	return actions
}

// CallFailed tells the holder that the current call has failed, for example because the connection was closed, and
// that no reply will arrive.
func (h *Holder) CallFailed(now time.Duration) []Action {
	if !h.isCalling {
		return nil
	}
	return h.failCall(now, h.actions[:0])
}

// failCall ends the current call without a reply and delays the next one by an exponential backoff.
func (h *Holder) failCall(now time.Duration, actions []Action) []Action {
	h.isCalling = false
	h.consecutiveFailures++
	h.nextCallAt = now + min(maxCallBackoff, TickInterval<<min(h.consecutiveFailures, maxBackoffDoublings))
	actions = h.decideRequestsInCall(now, actions)
	return h.callIfDue(now, actions)
}
