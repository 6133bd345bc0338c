package quotalease

import "time"

// StoreCall is a holder's call to a lease store.
type StoreCall struct {
	HolderID string // unique to one run of an instance
	Seq      uint64 // counts up by one for each call of a holder
	StoreID  string // the store that the call is meant for; empty if not known yet
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
	Units    float64 // wanted
	MinUnits float64 // a smaller grant is of no use
}

// LeaseReturn returns the units of a grant that were not spent and never will be.
type LeaseReturn struct {
	Key   string // the customer
	Token uint64 // the grant's
	Units float64
}

// Grant lends units for Rules.Term, counted from when the call was made.
type Grant struct {
	Key   string // the customer
	Token uint64 // unique to the grant within its store; tokens count up
	Units float64
}

// StoreReply is a lease store's reply to a call.
type StoreReply struct {
	StoreID   string
	Seq       uint64        // the call's
	StoreTime time.Duration // by the store's clock
	IsLending bool          // whether anything is reserved for the store
	Grants    []Grant
}
