package quotalease

import (
	"math"
	"time"
)

// TickInterval is how often Tick is wanted, and by how much calls follow each other at least.
const TickInterval = 10 * time.Millisecond

// CallTimeout is for how long a Holder waits for an answer.
const CallTimeout = 250 * time.Millisecond

// What a holder does of itself; none of it bears on what is promised.
const (
	maxQueueTime       = 300 * time.Millisecond // a request waits for units at most
	maxQueuedRequests  = 64                     // requests of a customer that wait
	prefetchFraction   = 0.2                    // of a term, that is borrowed ahead by the learned demand
	demandTimeConstant = time.Second            // that is learned over
	idleReturnFraction = 0.4                    // of a term without a request, after which what is left is returned
	maxAccounts        = 200_000                // customers that are known
	maxLeases          = 8                      // of a customer
	evictionSample     = 8                      // customers from whom the one that was quiet for longest is let go of
	maxPendingCalls    = 16                     // calls whose answer may still come
	maxCallEntries     = 256                    // customers that one call asks for, and that it returns from
)

// Kind is that of an Action.
type Kind int

// The kinds of action.
const (
	Admit  Kind = iota + 1 // a request goes on; its units are spent
	Reject                 // a request is turned away
	Call                   // a call goes to the counter
)

// Action is what a Holder wants done.
type Action struct {
	Kind      Kind
	RequestID uint64 // of the request
	// RefundableUntil is when what a request was let go on with ends; 0 where some of it was the holder's own part.
	RefundableUntil time.Duration
	StoreCall       *StoreCall // to send
}

// Holder is an instance's side: it decides on its customers' requests. All times are of its own
// clock, which only goes forward, also while the process is stopped. The actions that a method gives
// are good until the next call of any. It is not safe for concurrent use.
type Holder struct {
	rules        Rules
	id           string
	accounts     map[string]*account
	ownQuotaFrom time.Duration // the part is its own to spend; where that is to come it is pledged, or not its yet

	instances, previousInstances int // instances, and before the last change
	resizedAt                    time.Duration

	storeID             string        // that it holds to; "" is none yet
	storeTime           time.Duration // that counter's time
	storeTimeReceivedAt time.Duration // when it came
	lastCallDuration    time.Duration // that the call took which brought it
	reservableFrom      time.Duration // it may pledge its part to that counter
	storeSince          time.Duration // to that counter since
	storeIsLending      bool
	lastToken           uint64

	lastSeq             uint64
	lastAnsweredSeq     uint64 // the latest call that was
	lastSeqOfOtherStore uint64 // calls up to this one were for a counter before
	pendingCalls        map[uint64]time.Duration
	isCalling           bool // a call is out, the latest
	consecutiveFailures int
	nextCallAt          time.Duration // a call may be made
	nextKeepAliveAt     time.Duration // a call is made even so, with nothing to ask for

	needUnits     []*account // whose requests wait, or which borrow ahead: the next call asks for them
	calledFor     []*account // for which the call that is out asks
	active        []*account // that hold leases, or whose requests wait
	returns       []LeaseReturn
	nextCleanupAt time.Duration
	actions       []Action // given last

	disabled protections
}

// NewHolder makes an instance's holder as it starts. It has no part until what its former self had,
// and maybe pledged, has ended, and all know of a group that has grown.
func NewHolder(now time.Duration, r Rules, self string) *Holder {
	h := &Holder{
		rules: r, id: self, accounts: make(map[string]*account), instances: r.Instances, previousInstances: r.Instances,
		pendingCalls: make(map[uint64]time.Duration),
	}
	h.ownQuotaFrom = now + max(r.ResizeTime, maxDuration(r.ReservationTime, r.MaxDrift))
	h.reservableFrom = h.ownQuotaFrom
	return h
}

// effectiveInstances is the number of instances that is reckoned with: the larger one until a change has settled.
func (h *Holder) effectiveInstances(now time.Duration) int {
	if now < h.resizedAt && !h.disabled.resizeDelay {
		return max(h.instances, h.previousInstances)
	}
	return h.instances
}

// Resize tells of another number of instances. A part grows only once all have heard of it.
func (h *Holder) Resize(now time.Duration, n int) {
	if n == h.instances {
		return
	}
	for _, a := range h.accounts {
		h.refill(now, a)
	}
	h.instances, h.previousInstances = n, h.effectiveInstances(now)
	h.resizedAt = now + h.rules.ResizeTime
}

// Resign has it spend no more of its own part, and pledge it to nobody, for good: another instance is
// to have it once its pledge has ended and the group has settled.
func (h *Holder) Resign() {
	h.ownQuotaFrom, h.reservableFrom = never, never
	for _, a := range h.accounts {
		a.ownTokens, a.refilledAt = 0, never
	}
}

const never = time.Duration(math.MaxInt64)

// RequestUnits decides on a request: a Let or a Deny follows, now or within a fraction of a second.
func (h *Holder) RequestUnits(now time.Duration, id uint64, key string, c HardLimit, units float64) []Action {
	a := h.account(now, key, c)
	k := math.Exp(-(now - a.lastRequestAt).Seconds() / demandTimeConstant.Seconds())
	a.demand, a.lastRequestAt = a.demand*k+units/demandTimeConstant.Seconds(), now
	todo := h.actions[:0]
	until, ok := time.Duration(0), false
	if len(a.queue) == 0 {
		until, ok = a.spend(units)
	}
	switch {
	case ok:
		todo = append(todo, Action{Kind: Admit, RequestID: id, RefundableUntil: until})
		if h.canBorrow() && h.prefetchUnits(a, units) > 0 {
			h.markNeedsUnits(a)
		}
	case !h.canBorrow() || len(a.queue) >= maxQueuedRequests || units > c.Burst:
		todo = append(todo, Action{Kind: Reject, RequestID: id})
		h.actions = todo
		return todo
	default:
		a.queue = append(a.queue, queuedRequest{id: id, units: units, deadline: now + maxQueueTime})
		h.markNeedsUnits(a)
		h.markActive(a)
	}
	return h.callIfDue(now, todo)
}

func (h *Holder) markNeedsUnits(a *account) {
	if !a.needsUnits {
		a.needsUnits = true
		h.needUnits = append(h.needUnits, a)
	}
}

func (h *Holder) markActive(a *account) {
	if !a.isActive {
		a.isActive = true
		h.active = append(h.active, a)
	}
}

// Tick does what is due by time; it is wanted every TickInterval or so.
func (h *Holder) Tick(now time.Duration) []Action {
	todo := h.actions[:0]
	if h.isCalling && now-h.pendingCalls[h.lastSeq] > CallTimeout {
		todo = h.failCall(now, todo)
	}
	kept := h.active[:0]
	for _, a := range h.active {
		h.refill(now, a)
		if len(a.queue) > 0 {
			todo = h.decideQueue(a, todo, func(w queuedRequest) bool { return now >= w.deadline })
		} else if (now - a.lastRequestAt).Seconds() > idleReturnFraction*h.rules.Term.Seconds() {
			h.returnLeases(a)
		}
		if a.isActive = len(a.leases)+len(a.queue) > 0; a.isActive {
			kept = append(kept, a)
		}
	}
	clear(h.active[len(kept):])
	h.active = kept
	if now >= h.nextCleanupAt {
		h.nextCleanupAt = now + time.Minute
		h.removeIdleAccounts(now)
	}
	return h.callIfDue(now, todo)
}
