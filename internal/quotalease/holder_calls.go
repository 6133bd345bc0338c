package quotalease

import (
	"slices"
	"time"
)

// callIfDue makes a call where one is due.
func (h *Holder) callIfDue(now time.Duration, todo []Action) []Action {
	h.actions = todo
	if h.isCalling || now < h.nextCallAt || len(h.needUnits) == 0 && len(h.returns) == 0 && now < h.nextKeepAliveAt {
		return todo
	}
	h.lastSeq++
	q := &StoreCall{HolderID: h.id, Seq: h.lastSeq, StoreID: h.storeID, EchoedTime: h.storeTime, LastToken: h.lastToken}
	n := min(len(h.returns), maxCallEntries)
	q.Returns, h.returns = h.returns[:n:n], h.returns[n:]
	// The pledge counts from the counter's own time, however late this call comes.
	// To one whose answers come too late to be of use nothing is pledged.
	if ends := h.storeTimeReceivedAt + maxDuration(h.rules.ReservationTime, h.rules.MaxDrift); h.storeID != "" && now >= h.reservableFrom && now < ends && h.lastCallDuration <= CallTimeout {
		q.ReservedFraction = 1 / float64(h.effectiveInstances(now))
		h.ownQuotaFrom = max(h.ownQuotaFrom, ends)
	}
	n = min(len(h.needUnits), maxCallEntries)
	for _, a := range h.needUnits[:n] {
		a.needsUnits = false
		w := LeaseRequest{Key: a.key, Limit: a.limit}
		have := a.ownTokens + a.leasedUnits()
		for i := range a.queue {
			a.queue[i].isInCall = true
			w.Units += a.queue[i].units
		}
		if len(a.queue) > 0 {
			w.MinUnits = max(0, a.queue[0].units-have)
		}
		w.Units = max(0, w.Units-have)
		w.Units += h.prefetchUnits(a, 1)
		if w.Units > 0 {
			q.Requests = append(q.Requests, w)
		}
	}
	h.calledFor = append(h.calledFor[:0], h.needUnits[:n]...)
	h.needUnits = slices.Delete(h.needUnits, 0, n)
	if len(h.pendingCalls) >= maxPendingCalls {
		for s := range h.pendingCalls {
			if s+maxPendingCalls <= h.lastSeq {
				delete(h.pendingCalls, s)
			}
		}
	}
	h.pendingCalls[h.lastSeq] = now
	h.isCalling, h.nextCallAt, h.nextKeepAliveAt = true, now+TickInterval, now+h.rules.ReservationTime/5
	h.actions = append(todo, Action{Kind: Call, StoreCall: q})
	return h.actions
}

// maxDuration is how long a time of another clock may last by this one.
func maxDuration(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 + drift) / (1 - drift))
}

// HandleReply takes a counter's answer.
func (h *Holder) HandleReply(now time.Duration, r StoreReply) []Action {
	sent, ok := h.pendingCalls[r.Seq]
	if !ok || r.Seq <= h.lastSeqOfOtherStore { // of another time, or to what was asked of another counter
		return nil
	}
	delete(h.pendingCalls, r.Seq)
	if r.Seq > h.lastAnsweredSeq {
		h.lastAnsweredSeq = r.Seq
		if r.StoreID != h.storeID {
			h.switchStore(now, r.StoreID)
		}
		h.storeTime, h.storeTimeReceivedAt, h.lastCallDuration, h.storeIsLending = r.StoreTime, now, now-sent, r.IsLending
	}
	for _, g := range r.Grants {
		h.lastToken = max(h.lastToken, g.Token)
		if a := h.accounts[g.Key]; a != nil {
			a.leases = append(a.leases, lease{g.Token, g.Units, sent + h.rules.Term})
			h.markActive(a)
		}
	}
	todo := h.actions[:0]
	if r.Seq == h.lastSeq {
		h.isCalling, h.consecutiveFailures = false, 0
		todo = h.decideCalled(now, todo)
	}
	return h.callIfDue(now, todo)
}

// switchStore has it hold to another counter, to which it pledges once what it pledged to the last is its own again.
func (h *Holder) switchStore(now time.Duration, counter string) {
	h.storeID, h.lastToken, h.lastSeqOfOtherStore, h.storeSince = counter, 0, h.lastSeq, now
	h.returns = nil // they are of the other's tokens, as is what is held
	for _, a := range h.active {
		for i := range a.leases {
			a.leases[i].token = 0
		}
	}
	if h.reservableFrom = h.ownQuotaFrom; h.disabled.storeChangeDelay {
		h.reservableFrom = 0
	}
}

// resizeDelay decides on the requests that the latest call has asked for.
func (h *Holder) decideCalled(now time.Duration, todo []Action) []Action {
	for _, a := range h.calledFor {
		h.refill(now, a)
		todo = h.decideQueue(a, todo, func(w queuedRequest) bool { return w.isInCall })
		for i := range a.queue {
			a.queue[i].isInCall = false
		}
	}
	h.calledFor = h.calledFor[:0]
	return todo
}

// decideQueue lets waiting requests go in their order while there are units for them; of the rest those
// are turned away of which over tells so.
func (h *Holder) decideQueue(a *account, todo []Action, over func(queuedRequest) bool) []Action {
	kept := a.queue[:0]
	for _, w := range a.queue {
		until, ok := time.Duration(0), false
		if len(kept) == 0 {
			until, ok = a.spend(w.units)
		}
		switch {
		case ok:
			todo = append(todo, Action{Kind: Admit, RequestID: w.id, RefundableUntil: until})
		case over(w):
			todo = append(todo, Action{Kind: Reject, RequestID: w.id})
		default:
			kept = append(kept, w)
		}
	}
	if a.queue = kept; len(kept) > 0 {
		h.markNeedsUnits(a)
	}
	return todo
}

// CallFailed tells that what calls go by is gone: no answer comes to what is out, and the next may be
// another counter's.
func (h *Holder) CallFailed(now time.Duration) []Action {
	if !h.isCalling {
		return nil
	}
	return h.failCall(now, h.actions[:0])
}

func (h *Holder) failCall(now time.Duration, todo []Action) []Action {
	h.isCalling = false
	h.consecutiveFailures++
	h.nextCallAt = now + min(time.Second, TickInterval<<min(h.consecutiveFailures, 7))
	todo = h.decideCalled(now, todo)
	return h.callIfDue(now, todo)
}
