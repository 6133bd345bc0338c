package quotalease

import (
	"math"
	"time"
)

// TickEvery is how often Tick is wanted, and by how much calls follow each other at least.
const TickEvery = 10 * time.Millisecond

// CallWithin is for how long a Holder waits for an answer.
const CallWithin = 250 * time.Millisecond

// What a holder does of itself; none of it bears on what is promised.
const (
	patience    = 300 * time.Millisecond // a request waits for units at most
	waitMost    = 64                     // requests of a customer that wait
	aheadPart   = 0.2                    // of a term, that is borrowed ahead by the learned demand
	demandOver  = time.Second            // that is learned over
	idlePart    = 0.4                    // of a term without a request, after which what is left is returned
	accountsMax = 200_000                // customers that are known
	leasesMost  = 8                      // of a customer
	evictOf     = 8                      // customers from whom the one that was quiet for longest is let go of
	sentMost    = 16                     // calls whose answer may still come
	wantsMost   = 256                    // customers that one call asks for, and that it returns from
)

// Kind is that of an Action.
type Kind int

// The kinds of action.
const (
	Let  Kind = iota + 1 // a request goes on; its units are spent
	Deny                 // a request is turned away
	Send                 // a call goes to the counter
)

// Action is what a Holder wants done.
type Action struct {
	Kind Kind
	ID   uint64 // of the request
	// Until is when what a request was let go on with ends; 0 where some of it was the holder's own part.
	Until time.Duration
	Call  *Call // to send
}

// Holder is an instance's side: it decides on its customers' requests. All times are of its own
// clock, which only goes forward, also while the process is stopped. The actions that a method gives
// are good until the next call of any. It is not safe for concurrent use.
type Holder struct {
	rules    Rules
	self     string
	accounts map[string]*account
	ownFrom  time.Duration // the part is its own to spend; where that is to come it is pledged, or not its yet

	n, nBefore int // instances, and before the last change
	settled    time.Duration

	counter    string        // that it holds to; "" is none yet
	echo       time.Duration // that counter's time
	echoAt     time.Duration // when it came
	echoFor    time.Duration // that the call took which brought it
	pledgeFrom time.Duration // it may pledge its part to that counter
	held       time.Duration // to that counter since
	lends      bool
	seen       uint64

	seq      uint64
	answered uint64 // the latest call that was
	switched uint64 // calls up to this one were for a counter before
	sent     map[uint64]time.Duration
	out      bool // a call is out, the latest
	failures int
	next     time.Duration // a call may be made
	quiet    time.Duration // a call is made even so, with nothing to ask for

	wanting []*account // whose requests wait, or which borrow ahead: the next call asks for them
	asked   []*account // for which the call that is out asks
	busy    []*account // that hold leases, or whose requests wait
	gives   []Give
	sweepAt time.Duration
	todo    []Action // given last

	without without
}

// NewHolder makes an instance's holder as it starts. It has no part until what its former self had,
// and maybe pledged, has ended, and all know of a group that has grown.
func NewHolder(now time.Duration, r Rules, self string) *Holder {
	h := &Holder{
		rules: r, self: self, accounts: make(map[string]*account), n: r.Instances, nBefore: r.Instances,
		sent: make(map[uint64]time.Duration),
	}
	h.ownFrom = now + max(r.Settle, stretch(r.Pledge, r.Drift))
	h.pledgeFrom = h.ownFrom
	return h
}

// size is the number of instances that is reckoned with: the larger one until a change has settled.
func (h *Holder) size(now time.Duration) int {
	if now < h.settled && !h.without.settle {
		return max(h.n, h.nBefore)
	}
	return h.n
}

// Resize tells of another number of instances. A part grows only once all have heard of it.
func (h *Holder) Resize(now time.Duration, n int) {
	if n == h.n {
		return
	}
	for _, a := range h.accounts {
		h.refill(now, a)
	}
	h.n, h.nBefore = n, h.size(now)
	h.settled = now + h.rules.Settle
}

// Resign has it spend no more of its own part, and pledge it to nobody, for good: another instance is
// to have it once its pledge has ended and the group has settled.
func (h *Holder) Resign() {
	h.ownFrom, h.pledgeFrom = never, never
	for _, a := range h.accounts {
		a.level, a.at = 0, never
	}
}

const never = time.Duration(math.MaxInt64)

// Ask decides on a request: a Let or a Deny follows, now or within a fraction of a second.
func (h *Holder) Ask(now time.Duration, id uint64, key string, c Ceiling, units float64) []Action {
	a := h.account(now, key, c)
	k := math.Exp(-(now - a.asked).Seconds() / demandOver.Seconds())
	a.demand, a.asked = a.demand*k+units/demandOver.Seconds(), now
	todo := h.todo[:0]
	until, ok := time.Duration(0), false
	if len(a.waiting) == 0 {
		until, ok = a.take(units)
	}
	switch {
	case ok:
		todo = append(todo, Action{Kind: Let, ID: id, Until: until})
		if h.borrows() && h.ahead(a, units) > 0 {
			h.want(a)
		}
	case !h.borrows() || len(a.waiting) >= waitMost || units > c.Burst:
		todo = append(todo, Action{Kind: Deny, ID: id})
		h.todo = todo
		return todo
	default:
		a.waiting = append(a.waiting, waiting{id: id, units: units, until: now + patience})
		h.want(a)
		h.attend(a)
	}
	return h.call(now, todo)
}

func (h *Holder) want(a *account) {
	if !a.wants {
		a.wants = true
		h.wanting = append(h.wanting, a)
	}
}

func (h *Holder) attend(a *account) {
	if !a.busy {
		a.busy = true
		h.busy = append(h.busy, a)
	}
}

// Tick does what is due by time; it is wanted every TickEvery or so.
func (h *Holder) Tick(now time.Duration) []Action {
	todo := h.todo[:0]
	if h.out && now-h.sent[h.seq] > CallWithin {
		todo = h.fail(now, todo)
	}
	kept := h.busy[:0]
	for _, a := range h.busy {
		h.refill(now, a)
		if len(a.waiting) > 0 {
			todo = h.decide(a, todo, func(w waiting) bool { return now >= w.until })
		} else if (now - a.asked).Seconds() > idlePart*h.rules.Term.Seconds() {
			h.giveBack(a)
		}
		if a.busy = len(a.leases)+len(a.waiting) > 0; a.busy {
			kept = append(kept, a)
		}
	}
	clear(h.busy[len(kept):])
	h.busy = kept
	if now >= h.sweepAt {
		h.sweepAt = now + time.Minute
		h.sweep(now)
	}
	return h.call(now, todo)
}
