package quotalease

import (
	"math"
	"time"
)

// TickInterval is how often Holder.Tick has to be called, and the smallest time between two calls to the store.
const TickInterval = 10 * time.Millisecond

// CallTimeout is how long a Holder waits for the reply to a call.
const CallTimeout = 250 * time.Millisecond

// Limits and targets of a holder. None of them affects what Rules guarantees.
const (
	maxQueueTime        = 300 * time.Millisecond // of a request that waits for units
	maxQueuedRequests   = 64                     // for each customer
	maxAccounts         = 200_000
	maxLeases           = 8   // for each customer, not counting those that one reply brings
	maxPendingCalls     = 16  // calls whose replies are still accepted
	maxCallEntries      = 256 // customers to borrow for, and returns, in one call
	evictionSample      = 8   // accounts
	prefetchFraction    = 0.2 // of a term's demand, borrowed in advance
	idleReturnFraction  = 0.4 // of a term without a request, after which leases are returned
	demandTimeConstant  = time.Second
	accountIdleTime     = time.Minute // after which an account may be removed
	cleanupInterval     = time.Minute
	maxCallBackoff      = time.Second
	maxBackoffDoublings = 7 // of TickInterval
	// keepAliveDivisor divides the reservation time, so that several calls in sequence may fail before a
	// reservation ends.
	keepAliveDivisor = 5
	// maxBorrowFailures is the number of consecutive failures from which a holder does not borrow.
	maxBorrowFailures = 2
)

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// Kind is the kind of an Action.
type Kind int

// The kinds of actions.
const (
	Admit  Kind = iota + 1 // forward a request; its units are spent
	Reject                 // reject a request
	Call                   // make a call to the store
)

// Action is what a Holder wants done.
type Action struct {
	Kind      Kind
	RequestID uint64 // with Admit and Reject
	// RefundableUntil is until when the units of an admitted request can be refunded; 0 is not at all, as some
	// were of the holder's own quota.
	RefundableUntil time.Duration
	StoreCall       *StoreCall // with Call
}

// Holder is an instance's part: it decides on requests by the instance's own quota and by leases of one store.
// All times are of the instance's own clock, which is monotonic and also runs while the process is stopped.
// The actions that a method returns are valid until the next method call. It does no I/O and is not safe for
// concurrent use.
type Holder struct {
	rules    Rules
	id       string // unique to one run of the instance
	accounts map[string]*account
	// ownQuotaFrom is from when the own quota is the holder's to spend. Until then it is reserved for the
	// store, or may be by an earlier run of the instance.
	ownQuotaFrom time.Duration

	instances         int           // group size
	previousInstances int           // before the last change
	resizeCompleteAt  time.Duration // when all instances know the group size

	storeID             string        // empty if not known yet
	storeSwitchedAt     time.Duration // when the store became the current one
	storeTime           time.Duration // in the latest reply
	storeTimeReceivedAt time.Duration
	storeIsLending      bool
	lastCallDuration    time.Duration // of the latest call that was answered
	reservableFrom      time.Duration // from when the own quota can be reserved for this store
	lastToken           uint64        // the largest that the store has granted

	lastSeq                uint64
	lastAnsweredSeq        uint64
	lastSeqToPreviousStore uint64                   // calls up to this one were for another store
	pendingCalls           map[uint64]time.Duration // when each was made, by Seq
	isCalling              bool                     // the call with lastSeq has neither been answered nor failed
	consecutiveFailures    int
	nextCallAt             time.Duration // earliest
	nextKeepAliveAt        time.Duration // when a call is made even if it has no requests and returns

	needUnits      []*account    // to borrow for with the next call
	accountsInCall []*account    // that the current call borrows for
	active         []*account    // with leases or queued requests
	returns        []LeaseReturn // for the next calls
	nextCleanupAt  time.Duration
	actions        []Action // returned last; its memory is reused

	disabled protections
}

// NewHolder returns the holder of an instance that has just started. id is unique to this run. The holder has
// no quota of its own until all reservations of an earlier run have ended and all instances know the group size.
func NewHolder(now time.Duration, rules Rules, id string) *Holder {
	h := &Holder{
		rules:             rules,
		id:                id,
		accounts:          make(map[string]*account),
		instances:         rules.Instances,
		previousInstances: rules.Instances,
		pendingCalls:      make(map[uint64]time.Duration),
	}
	h.ownQuotaFrom = now + max(rules.ResizeTime, maxDuration(rules.ReservationTime, rules.MaxDrift))
	h.reservableFrom = h.ownQuotaFrom
	return h
}

// effectiveInstances returns the group size to divide by, which is the larger one until a change is known
// everywhere.
func (h *Holder) effectiveInstances(now time.Duration) int {
	if now < h.resizeCompleteAt && !h.disabled.resizeDelay {
		return max(h.instances, h.previousInstances)
	}
	return h.instances
}

// Resize sets the group size. The own quota only grows after Rules.ResizeTime.
func (h *Holder) Resize(now time.Duration, instances int) {
	if instances == h.instances {
		return
	}
	for _, a := range h.accounts {
		h.refill(now, a)
	}
	h.previousInstances = h.effectiveInstances(now)
	h.instances = instances
	h.resizeCompleteAt = now + h.rules.ResizeTime
}

// Resign stops the holder from spending or reserving its own quota for good. Another instance may have the
// quota once the last reservation has ended and the change is known everywhere.
func (h *Holder) Resign() {
	h.ownQuotaFrom = never
	h.reservableFrom = never
	for _, a := range h.accounts {
		a.ownTokens = 0
		a.refilledAt = never
	}
}

// RequestUnits decides on a request of a customer. Its Admit or Reject is returned by this call, or by a later
// one within maxQueueTime and a TickInterval.
func (h *Holder) RequestUnits(now time.Duration, requestID uint64, key string, limit HardLimit, units float64) []Action {
	a := h.account(now, key, limit)
	decay := math.Exp(-(now - a.lastRequestAt).Seconds() / demandTimeConstant.Seconds())
	a.demand = a.demand*decay + units/demandTimeConstant.Seconds()
	a.lastRequestAt = now
	actions := h.actions[:0]
	if len(a.queue) == 0 {
		if refundableUntil, ok := a.spend(units); ok {
			actions = append(actions, Action{Kind: Admit, RequestID: requestID, RefundableUntil: refundableUntil})
			if h.canBorrow() && h.prefetchUnits(a, units) > 0 {
				h.markNeedsUnits(a)
			}
			return h.callIfDue(now, actions)
		}
	}
	if !h.canBorrow() || len(a.queue) >= maxQueuedRequests || units > limit.Burst {
		h.actions = append(actions, Action{Kind: Reject, RequestID: requestID})
		return h.actions
	}
	a.queue = append(a.queue, queuedRequest{id: requestID, units: units, deadline: now + maxQueueTime})
	h.markNeedsUnits(a)
	h.markActive(a)
	return h.callIfDue(now, actions)
}

// canBorrow reports whether the store is known, lends and replies.
func (h *Holder) canBorrow() bool {
	return h.storeID != "" && h.storeIsLending && h.consecutiveFailures < maxBorrowFailures
}

// markNeedsUnits has the next call borrow for an account.
func (h *Holder) markNeedsUnits(a *account) {
	if !a.needsUnits {
		a.needsUnits = true
		h.needUnits = append(h.needUnits, a)
	}
}

// markActive has Tick visit an account.
func (h *Holder) markActive(a *account) {
	if !a.isActive {
		a.isActive = true
		h.active = append(h.active, a)
	}
}

// Tick does what is due by time. It has to be called every TickInterval.
func (h *Holder) Tick(now time.Duration) []Action {
	actions := h.actions[:0]
	if h.isCalling && now-h.pendingCalls[h.lastSeq] > CallTimeout {
		actions = h.failCall(now, actions)
	}
	active := h.active[:0]
	for _, a := range h.active {
		h.refill(now, a)
		if len(a.queue) > 0 {
			actions = h.decideQueue(a, actions, func(r queuedRequest) bool { return now >= r.deadline })
		} else if (now - a.lastRequestAt).Seconds() > idleReturnFraction*h.rules.Term.Seconds() {
			h.returnLeases(a)
		}
		a.isActive = len(a.leases)+len(a.queue) > 0
		if a.isActive {
			active = append(active, a)
		}
	}
	clear(h.active[len(active):])
	h.active = active
	if now >= h.nextCleanupAt {
		h.nextCleanupAt = now + cleanupInterval
		h.removeIdleAccounts(now)
	}
	return h.callIfDue(now, actions)
}
