package quotalease

import (
	"maps"
	"slices"
	"time"
)

// maxLoans limits how many outstanding grants can be returned. Older grants can no longer be returned, and their
// unspent units are lost when their terms end.
const maxLoans = 1 << 16

// Store is a lease store: it lends the quota that holders have reserved for it. It may lose its state at any time,
// provided that it has another identity afterwards. Rules.Guarantees describes the effect of a store that returns
// to an older state under the same identity. It does no I/O and is not safe for concurrent use.
type Store struct {
	rules          Rules
	identity       string
	lastCallAt     time.Duration
	lastToken      uint64
	reservations   map[string]reservation // by holder ID
	reservedMinima []reservedMinimum      // oldest first, with increasing fractions
	buckets        map[string]*bucket     // by customer
	loans          map[uint64]loan        // outstanding grants, by token
	loanOrder      []uint64               // tokens of loans, ordered by expiry

	disabled protections
}

// protections are switches that disable the safety mechanisms of stores and holders. Tests use them to show that each
// mechanism is needed.
type protections struct {
	// Mechanisms of stores.
	emptyStart          bool // buckets start empty
	reservationFromEcho bool // a reservation counts from the echoed time, not from the arrival of the call
	clockStepReset      bool // state is dropped when the clock steps back
	rollbackReset       bool // state is dropped when a holder has received a later token

	// Mechanisms of holders.
	exclusiveReservation bool // reserved quota is not spent by the holder itself
	leaseExpiry          bool // leases end with their terms
	storeChangeDelay     bool // nothing is reserved for a new store until the last reservation has ended
	resizeDelay          bool // the larger group size applies until all instances know of a resize
}

// reservation is the fraction of each hard limit that one holder has reserved for the store.
type reservation struct {
	expiresAt time.Duration
	fraction  float64
}

// loan is a grant that may still be returned.
type loan struct {
	holderID  string
	key       string // the customer
	units     float64
	expiresAt time.Duration
}

// NewStore returns a store that has lent nothing. The identity must be one that no other store and no earlier
// incarnation of this store has had.
func NewStore(rules Rules, identity string) *Store {
	return &Store{
		rules:        rules,
		identity:     identity,
		reservations: make(map[string]reservation),
		buckets:      make(map[string]*bucket),
		loans:        make(map[uint64]loan),
	}
}

// clone returns a snapshot of the store's state.
func (s *Store) clone() *Store {
	snapshot := *s
	snapshot.reservations = maps.Clone(s.reservations)
	snapshot.loans = maps.Clone(s.loans)
	snapshot.loanOrder = slices.Clone(s.loanOrder)
	snapshot.reservedMinima = slices.Clone(s.reservedMinima)
	snapshot.buckets = make(map[string]*bucket, len(s.buckets))
	for key, b := range s.buckets {
		copied := *b
		snapshot.buckets[key] = &copied
	}
	return &snapshot
}

// Handle processes a call and returns the reply. now is the time of the store's own clock, which may step forwards or
// backwards.
func (s *Store) Handle(now time.Duration, call StoreCall) StoreReply {
	if now < s.lastCallAt && !s.disabled.clockStepReset {
		s.reset() // the times in reservations and buckets may be in the future
	}
	s.lastCallAt = now
	reply := StoreReply{StoreID: s.identity, Seq: call.Seq, StoreTime: now}
	if call.StoreID != s.identity {
		return reply
	}
	if call.LastToken > s.lastToken && !s.disabled.rollbackReset {
		s.reset() // the holder has a later token, so the store was restored from an older snapshot
		s.lastToken = call.LastToken
	}
	s.updateReservation(now, call)
	for _, returned := range call.Returns {
		s.acceptReturn(now, call.HolderID, returned)
	}
	reply.IsLending = s.reservedMinima[len(s.reservedMinima)-1].fraction > 0
	if !reply.IsLending {
		return reply
	}
	for _, request := range call.Requests {
		if grant, ok := s.lend(now, call.HolderID, request); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// reset drops all state except the last token, because tokens must keep increasing.
func (s *Store) reset() {
	clear(s.reservations)
	clear(s.buckets)
	clear(s.loans)
	s.loanOrder = nil
	s.reservedMinima = nil
}

// updateReservation records a call's reservation and the total reserved fraction. Between two calls reservations only
// expire, so the reservations that remain at a call were in force throughout the time since the previous call.
func (s *Store) updateReservation(now time.Duration, call StoreCall) {
	s.recordReserved(now, s.reservedFraction(now))
	if call.ReservedFraction > 0 && (call.EchoedTime <= now || s.disabled.clockStepReset) {
		from := call.EchoedTime
		if s.disabled.reservationFromEcho {
			from = now
		}
		updated := reservation{expiresAt: from + s.rules.ReservationTime, fraction: call.ReservedFraction}
		if updated.expiresAt > now && updated.expiresAt >= s.reservations[call.HolderID].expiresAt {
			s.reservations[call.HolderID] = updated
		}
	}
	s.recordReserved(now, s.reservedFraction(now))
}

// lend grants units from a customer's bucket. It returns false if the bucket holds none, or fewer than the request's
// minimum.
func (s *Store) lend(now time.Duration, holderID string, request LeaseRequest) (Grant, bool) {
	b := s.refilledBucket(now, request.Key, request.Limit)
	units := min(request.Units, b.tokens)
	if units <= 0 || units < request.MinUnits {
		return Grant{}, false
	}
	b.tokens -= units
	s.lastToken++
	s.removeExpiredLoans(now)
	s.loans[s.lastToken] = loan{holderID: holderID, key: request.Key, units: units, expiresAt: now + s.rules.Term}
	s.loanOrder = append(s.loanOrder, s.lastToken)
	return Grant{Key: request.Key, Token: s.lastToken, Units: units}, true
}

// removeExpiredLoans removes expired loans, and the oldest loans where there is no room below maxLoans for one more.
func (s *Store) removeExpiredLoans(now time.Duration) {
	for len(s.loanOrder) > 0 {
		oldest := s.loanOrder[0]
		if s.loans[oldest].expiresAt > now && len(s.loanOrder) < maxLoans {
			return
		}
		delete(s.loans, oldest)
		s.loanOrder = s.loanOrder[1:]
	}
}

// acceptReturn adds the units of a grant that its holder returns to the customer's bucket, at most once.
func (s *Store) acceptReturn(now time.Duration, holderID string, returned LeaseReturn) {
	l, ok := s.loans[returned.Token]
	if !ok || l.holderID != holderID || l.key != returned.Key {
		return
	}
	if l.expiresAt <= now || !(returned.Units > 0) { // not positive, or NaN
		return
	}
	delete(s.loans, returned.Token)
	if b := s.buckets[returned.Key]; b != nil { // the next refill discards what is no longer reserved
		b.tokens += min(returned.Units, l.units)
	}
}
