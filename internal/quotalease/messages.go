package quotalease

import "time"

// StoreCall is a holder's call to a lease store.
type StoreCall struct {
	HolderID string // unique to one incarnation of an instance
	Seq      uint64 // incremented by one for each call of a holder
	StoreID  string // the store that the call is addressed to; empty if not known yet
	// EchoedTime is the latest time of the store's clock that the holder has received.
	EchoedTime time.Duration
	// ReservedFraction is the fraction of each hard limit, 0 to 1, that the holder reserves for the store
	// until Rules.ReservationTime after EchoedTime. 0 reserves nothing.
	ReservedFraction float64
	LastToken        uint64 // the latest token that the holder has received from this store
	Requests         []LeaseRequest
	Returns          []LeaseReturn
}

// LeaseRequest requests units of a customer's hard limit.
type LeaseRequest struct {
	Key      string // the customer
	Limit    HardLimit
	Units    float64 // requested
	MinUnits float64 // the smallest useful grant
}

// LeaseReturn gives back the unspent units of a grant, which the holder no longer spends.
type LeaseReturn struct {
	Key   string // the customer
	Token uint64 // of the grant
	Units float64
}

// Grant lends units for Rules.Term, counted from the time at which the holder made the call.
type Grant struct {
	Key   string // the customer
	Token uint64 // unique to the grant within its store; tokens increase
	Units float64
}

// StoreReply is a lease store's reply to a call.
type StoreReply struct {
	StoreID   string
	Seq       uint64        // of the call
	StoreTime time.Duration // on the store's clock
	IsLending bool          // whether anything is reserved for the store
	Grants    []Grant
}
