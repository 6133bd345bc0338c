package quotalease

import (
	"math"
	"time"
)

// TickInterval is the interval at which Holder.Tick has to be called, and the minimum time between two calls to the
// store.
const TickInterval = 10 * time.Millisecond

// CallTimeout is how long a Holder waits for the reply to a call.
const CallTimeout = 250 * time.Millisecond

// Limits and targets of a holder. None of them affects what Rules guarantees.
const (
	maxQueueTime        = 300 * time.Millisecond // of a request that waits for units
	maxQueuedRequests   = 64                     // for each customer
	maxAccounts         = 200_000
	maxLeases           = 8   // for each customer; a single reply may exceed it
	maxPendingCalls     = 16  // calls whose replies are still accepted
	maxCallEntries      = 256 // in one call: customers to borrow for, and lease returns
	evictionSample      = 8   // accounts
	prefetchFraction    = 0.2 // fraction of the demand during a term that is borrowed in advance
	idleReturnFraction  = 0.4 // fraction of a term without requests after which leases are returned
	demandTimeConstant  = time.Second
	accountIdleTime     = time.Minute // after which an account may be removed
	cleanupInterval     = time.Minute
	maxCallBackoff      = time.Second
	maxBackoffDoublings = 7 // of TickInterval
	// keepAliveDivisor is the number of keep-alive calls in a reservation time, so that several consecutive
	// calls may fail before a reservation ends.
	keepAliveDivisor = 5
	// maxBorrowFailures is the number of consecutive failed calls at which a holder stops borrowing.
	maxBorrowFailures = 2
)

// never is a time that no clock reaches.
const never = time.Duration(math.MaxInt64)

// Kind is the kind of an Action.
type Kind int

// The kinds of actions.
const (
	Admit  Kind = iota + 1 // forward a request, whose units have been spent
	Reject                 // reject a request
	Call                   // make a call to the store
)

// Action is an action that the caller of a Holder's method has to carry out.
type Action struct {
	Kind      Kind
	RequestID uint64 // with Admit and Reject
	// RefundableUntil is the time until which the units of an admitted request can be refunded. It is 0 if they
	// cannot be refunded because some came from the holder's own quota.
	RefundableUntil time.Duration
	StoreCall       *StoreCall // with Call
}

// Holder is the instance's side of the lease protocol: it admits requests against the instance's own quota and
// against leases of one store. All its times are those of the instance's own clock, which is monotonic and advances
// while the process is stopped. The actions that a method returns are valid until the next method call. A Holder
// does no I/O and is not safe for concurrent use.
type Holder struct {
	rules    Rules
	id       string // unique to one incarnation of the instance
	accounts map[string]*account
	// ownQuotaFrom is the time from which the holder may spend its own quota. Until then the quota is reserved
	// for the store, or may have been reserved by an earlier incarnation of the instance.
	ownQuotaFrom time.Duration

	instances         int           // group size
	previousInstances int           // before the last resize
	resizeCompleteAt  time.Duration // when all instances know the new group size

	storeID             string        // empty if not known yet
	storeSwitchedAt     time.Duration // when the store became the current one
	storeTime           time.Duration // in the latest reply
	storeTimeReceivedAt time.Duration
	storeIsLending      bool
	lastCallDuration    time.Duration // of the latest call that was answered
	reservableFrom      time.Duration // the time from which the own quota can be reserved for this store
	lastToken           uint64        // the largest token granted by the store

	lastSeq                uint64
	lastAnsweredSeq        uint64
	lastSeqToPreviousStore uint64                   // calls up to this one were addressed to the previous store
	pendingCalls           map[uint64]time.Duration // when each was made, by Seq
	isCalling              bool                     // the call with lastSeq has neither been answered nor failed
	consecutiveFailures    int
	nextCallAt             time.Duration // the earliest time of the next call
	nextKeepAliveAt        time.Duration // when a call is made even if it has no requests and returns

	needUnits      []*account    // accounts to borrow for in the next call
	accountsInCall []*account    // accounts that the current call borrows for
	active         []*account    // accounts with leases or queued requests
	returns        []LeaseReturn // to be sent with the next calls
	nextCleanupAt  time.Duration
	actions        []Action // the actions last returned; the memory is reused

	disabled protections
}

// NewHolder returns the holder of an instance that has just started. id must be unique to this incarnation. The
// holder has no quota of its own until all reservations of an earlier incarnation have ended and all instances know
// the group size.
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

// effectiveInstances returns the group size by which hard limits are divided. Until all instances know of a resize,
// that is the larger of the old and the new size.
func (h *Holder) effectiveInstances(now time.Duration) int {
	if now < h.resizeCompleteAt && !h.disabled.resizeDelay {
		return max(h.instances, h.previousInstances)
	}
	return h.instances
}

// Resize sets the group size. If the group shrinks, the own quota grows only after Rules.ResizeTime.
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

// Resign permanently stops the holder from spending or reserving its own quota. Another instance may take over the
// quota once the last reservation has ended and all instances know of the change.
func (h *Holder) Resign() {
	h.ownQuotaFrom = never
	h.reservableFrom = never
	for _, a := range h.accounts {
		a.ownTokens = 0
		a.refilledAt = never
	}
}

// RequestUnits requests units for a customer's request. The Admit or Reject for it is returned by this call or by a
// later one, at most maxQueueTime plus a TickInterval from now.
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

// canBorrow reports whether the store is known, is lending and has answered recent calls.
func (h *Holder) canBorrow() bool {
	return h.storeID != "" && h.storeIsLending && h.consecutiveFailures < maxBorrowFailures
}

// markNeedsUnits marks an account to be borrowed for in the next call.
func (h *Holder) markNeedsUnits(a *account) {
	if !a.needsUnits {
		a.needsUnits = true
		h.needUnits = append(h.needUnits, a)
	}
}

// markActive marks an account to be processed by Tick.
func (h *Holder) markActive(a *account) {
	if !a.isActive {
		a.isActive = true
		h.active = append(h.active, a)
	}
}

// Tick handles timeouts, idle leases, cleanups and keep-alive calls. It has to be called every TickInterval.
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
