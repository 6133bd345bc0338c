package service

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/internal/quotalease"
)

// LeaseStore lends units of shared hard limits. It is safe for concurrent use.
type LeaseStore interface {
	Call(context.Context, *quotalease.StoreCall) (quotalease.StoreReply, error)
}

// SharedHardLimits are the hard limits that a service shares with other instances through lease stores. Requests
// are checked against them before the module gets them; the module itself then has no hard limits.
type SharedHardLimits struct {
	Rules      quotalease.Rules
	ByPlan     map[string]quotalease.HardLimit
	StoreNames []string     // by which customers are assigned to stores, in the order of Stores
	Stores     []LeaseStore // each lends to the customers that are assigned to it
}

// HardLimitStatus is the state of a service's quota leases at one lease store.
type HardLimitStatus struct {
	StoreName string `json:"counter"`
	quotalease.Status
}

// hardLimiter decides on requests by shared hard limits. It belongs to a loop and is transferred to the
// replacement of its service.
type hardLimiter struct {
	*SharedHardLimits
	startedAt  time.Time
	holders    []*quotalease.Holder // by store
	callErrors []error              // by store: of the last call, nil if it succeeded
	// undecided are the requests that wait for a holder's decision, by decision ID.
	undecided      map[uint64]*Exchange
	lastDecisionID uint64
	hasResigned    bool   // the leases were handed over to another process
	keyBuffer      []byte // reused for customers' keys
}

// newHardLimiter returns nil if no hard limit is shared.
func newHardLimiter(limits *SharedHardLimits) *hardLimiter {
	if limits == nil || len(limits.Stores) == 0 || len(limits.ByPlan) == 0 {
		return nil
	}
	h := &hardLimiter{
		SharedHardLimits: limits,
		startedAt:        time.Now(),
		callErrors:       make([]error, len(limits.Stores)),
		undecided:        make(map[uint64]*Exchange),
	}
	h.resetHolders()
	return h
}

// resetHolders replaces the holders with new ones, which have no leases and a new identity at the stores.
func (h *hardLimiter) resetHolders() {
	h.holders = make([]*quotalease.Holder, len(h.Stores))
	for i := range h.holders {
		h.holders[i] = quotalease.NewHolder(h.now(), h.Rules, fmt.Sprintf("%016x", rand.Uint64()))
	}
}

// now returns the time on the holders' clock.
func (h *hardLimiter) now() time.Duration { return time.Since(h.startedAt) }

// storeFor returns the store that a customer is assigned to and the customer's key there. It is the store
// with the highest hash of its name and the customer (rendezvous hashing), so that adding or removing a
// store moves the fewest customers.
func (h *hardLimiter) storeFor(plan, customer string) (store int, key string) {
	h.keyBuffer = append(h.keyBuffer[:0], plan...)
	h.keyBuffer = append(h.keyBuffer, '/')
	h.keyBuffer = append(h.keyBuffer, customer...)
	n := len(h.keyBuffer)
	var maxSum uint64
	for i := 0; len(h.StoreNames) > 1 && i < len(h.StoreNames); i++ {
		h.keyBuffer = append(h.keyBuffer[:n], h.StoreNames[i]...)
		if sum := xxhash.Sum64(h.keyBuffer); i == 0 || sum > maxSum {
			store = i
			maxSum = sum
		}
	}
	return store, h.holders[store].Key(h.keyBuffer[:n])
}

// hardLimitCharge is what a request has been charged against its shared hard limit. The zero value is no charge.
type hardLimitCharge struct {
	store           int
	key             string
	units           float64
	refundableUntil time.Duration // on the limiter's clock; 0 if not refundable
}

// requestHardLimit starts the decision on a request by its shared hard limit, after which the request is submitted to
// the module. It returns false if the request has no shared hard limit.
func (l *loop) requestHardLimit(x *Exchange) bool {
	h := l.hardLimiter
	if h == nil || x.Request.IsOverCapacity {
		return false
	}
	limit, ok := h.ByPlan[x.Request.Plan]
	if !ok {
		return false
	}
	h.lastDecisionID++
	h.undecided[h.lastDecisionID] = x
	store, key := h.storeFor(x.Request.Plan, x.Request.Customer)
	x.charge = hardLimitCharge{store: store, key: key, units: x.Request.Units}
	l.applyLeaseActions(store, h.holders[store].RequestUnits(h.now(), h.lastDecisionID, key, limit, x.Request.Units))
	return true
}

// applyLeaseActions carries out the actions of a store's holder.
func (l *loop) applyLeaseActions(store int, actions []quotalease.Action) {
	for _, a := range actions {
		if a.Kind == quotalease.Call {
			l.callLeaseStore(store, a.StoreCall)
		} else {
			l.applyDecision(store, a)
		}
	}
}

// callLeaseStore makes a call in a new goroutine. The call ends with the loop's lifetime at the latest.
func (l *loop) callLeaseStore(store int, call *quotalease.StoreCall) {
	h := l.hardLimiter
	leaseStore := h.Stores[store]
	go func() {
		answer, err := leaseStore.Call(l.lifetime, call)
		l.post(func() { l.leaseStoreAnswered(h, store, answer, err) })
	}()
}

// applyDecision submits a request to the module after a holder has decided on it.
func (l *loop) applyDecision(store int, a quotalease.Action) {
	h := l.hardLimiter
	x := h.undecided[a.RequestID]
	delete(h.undecided, a.RequestID)
	isAdmitted := a.Kind == quotalease.Admit
	switch {
	case x == nil: // it was passed to a replacement of the service
		return
	case x.isAnswered: // its client has disconnected
		if isAdmitted {
			h.holders[store].Refund(h.now(), x.charge.key, x.charge.units, a.RefundableUntil)
		}
		return
	case isAdmitted:
		x.charge.refundableUntil = a.RefundableUntil
	default:
		x.Request.IsOverHardLimit = true
	}
	l.submit(x)
}

// leaseStoreAnswered handles the result of a call, or ignores it if the limiter was transferred in the meantime.
func (l *loop) leaseStoreAnswered(h *hardLimiter, store int, answer quotalease.StoreReply, err error) {
	if l.hardLimiter != h {
		return
	}
	hadFailed := h.callErrors[store] != nil
	h.callErrors[store] = err
	if err != nil {
		if !hadFailed {
			l.log.Warn("lease store call failed", "counter", h.StoreNames[store], "err", err)
		}
		l.applyLeaseActions(store, h.holders[store].CallFailed(h.now()))
		return
	}
	if hadFailed {
		l.log.Info("lease store available again", "counter", h.StoreNames[store])
	}
	l.applyLeaseActions(store, h.holders[store].HandleReply(h.now(), answer))
}

// tickLeaseHolders calls Tick of the current loop's holders every quotalease.TickInterval until ctx ends.
func (s *Service) tickLeaseHolders(ctx context.Context) {
	ticker := time.NewTicker(quotalease.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l := s.currentLoop()
		l.post(func() {
			if h := l.hardLimiter; h != nil {
				for store, holder := range h.holders {
					l.applyLeaseActions(store, holder.Tick(h.now()))
				}
			}
		})
	}
}

// refundUnsent refunds the charge of a request that was not sent and will not be.
func (l *loop) refundUnsent(x *Exchange) {
	if h := l.hardLimiter; h != nil && x.charge.refundableUntil > 0 && x.isUnwritten() {
		h.holders[x.charge.store].Refund(h.now(), x.charge.key, x.charge.units, x.charge.refundableUntil)
	}
	x.charge.refundableUntil = 0
}

// detachHardLimiter removes the limiter from the loop and returns it for the service's replacement. Undecided
// requests are passed to the replacement, or answered if that does not accept them.
func (l *loop) detachHardLimiter(replacement *Service, unavailable Answer) *hardLimiter {
	h := l.hardLimiter
	l.hardLimiter = nil
	if h == nil {
		return nil
	}
	for id, x := range h.undecided {
		delete(h.undecided, id)
		if !x.isAnswered && replacement.accepts(x, l.classes) {
			delete(l.exchanges, x.Request.ID)
			l.endRun(x)
			x.unretain()
			x.answer <- Answer{replacement: replacement} // from now on x belongs to the replacement
			continue
		}
		l.answerUnserved(x, unavailable)
	}
	return h
}

// adoptHardLimiter has the loop continue with the limiter of the service that it replaces, if that has the same
// stores and, apart from the number of instances, the same rules. Otherwise the old leases are left to expire and
// this loop starts without any.
func (l *loop) adoptHardLimiter(h *hardLimiter) {
	if h == nil || l.hardLimiter == nil || !slices.Equal(h.StoreNames, l.hardLimiter.StoreNames) {
		return
	}
	rules := h.Rules
	newRules := l.hardLimiter.Rules
	rules.Instances = newRules.Instances
	if rules != newRules {
		return
	}
	for _, holder := range h.holders {
		holder.Resize(h.now(), newRules.Instances)
	}
	h.SharedHardLimits = l.hardLimiter.SharedHardLimits // the limits themselves may differ
	l.hardLimiter = h
}

// resignLeases stops the limiter from spending its leases, which are handed over to another process.
func (l *loop) resignLeases() {
	if l.hardLimiter == nil {
		return
	}
	l.hardLimiter.hasResigned = true
	for _, holder := range l.hardLimiter.holders {
		holder.Resign()
	}
}

// reclaimLeases restarts a limiter that has resigned, after the process that took over its leases has ended. It starts
// without leases, as that process may have spent them. Requests that wait for units are rejected.
func (l *loop) reclaimLeases() {
	h := l.hardLimiter
	if h == nil || !h.hasResigned {
		return
	}
	h.hasResigned = false
	h.resetHolders()
	for id, x := range h.undecided {
		delete(h.undecided, id)
		if !x.isAnswered {
			x.Request.IsOverHardLimit = true
			l.submit(x)
		}
	}
}

// hardLimitStatus returns the state of the leases at each store.
func (l *loop) hardLimitStatus() []HardLimitStatus {
	h := l.hardLimiter
	if h == nil {
		return nil
	}
	var statuses []HardLimitStatus
	for i, holder := range h.holders {
		statuses = append(statuses, HardLimitStatus{StoreName: h.StoreNames[i], Status: holder.Status(h.now())})
	}
	return statuses
}
