package quotalease

import (
	"math"
	"slices"
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

type account struct {
	key     string
	ceiling Ceiling
	level   float64 // of its own part
	at      time.Duration
	asked   time.Duration // last
	demand  float64       // units a second, learned
	leases  []lease
	waiting []waiting
	wants   bool // is in wanting
	busy    bool // is in busy
}

type lease struct {
	token uint64
	units float64
	until time.Duration
}

type waiting struct {
	id    uint64
	units float64
	until time.Duration
	told  bool // the call that is out asks for it
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

func (h *Holder) account(now time.Duration, key string, c Ceiling) *account {
	a := h.accounts[key]
	if a == nil {
		if len(h.accounts) >= accountsMax {
			h.evict(now)
		}
		a = &account{key: key, at: h.ownFrom}
		h.accounts[key] = a
	}
	a.ceiling = c
	h.refill(now, a)
	return a
}

// Key is a customer's name as a string; of one that is known it is made of nothing new.
func (h *Holder) Key(name []byte) string {
	if a := h.accounts[string(name)]; a != nil {
		return a.key
	}
	return string(name)
}

// evict makes room for another customer. One whose part is not full is not to have a full one
// again: whoever is new from now on begins empty.
func (h *Holder) evict(now time.Duration) {
	var oldest *account
	n := 0
	for _, a := range h.accounts { // some, which a map's order makes random ones
		if !a.busy && !a.wants && (oldest == nil || a.asked < oldest.asked) {
			oldest = a
		}
		if n++; n == evictOf {
			break
		}
	}
	if oldest != nil {
		h.ownFrom = max(h.ownFrom, now)
		delete(h.accounts, oldest.key)
	}
}

// refill fills the own part up to now, from when it was the holder's own to spend, and lets go of
// what has ended.
func (h *Holder) refill(now time.Duration, a *account) {
	n := h.size(now)
	if a.at < h.settled && !h.without.settle { // some of the time was before
		n = max(n, h.nBefore)
	}
	own := a.ceiling.times(1 / float64(n))
	if a.at < h.ownFrom && !h.without.cede {
		a.level, a.at = 0, h.ownFrom
	}
	if now > a.at {
		a.level = min(own.Burst, a.level+(now-a.at).Seconds()*own.Rate)
		a.at = now
	}
	if h.without.term {
		return
	}
	kept := a.leases[:0]
	for _, l := range a.leases {
		if now < l.until {
			kept = append(kept, l)
		}
	}
	a.leases = kept
}

// lent is what an account has borrowed and not spent.
func (a *account) lent() (units float64) {
	for _, l := range a.leases {
		units += l.units
	}
	return units
}

// least is the smallest part of a unit that counts: what is a sum of parts is never exactly one.
const least = 1e-9

// take spends units, of what ends first; false where there are too few. Until is when the first of
// what was lent ends; 0 where some was the holder's own.
func (a *account) take(units float64) (until time.Duration, ok bool) {
	if a.level+a.lent() < units-least {
		return 0, false
	}
	for len(a.leases) > 0 && units > 0 {
		l := &a.leases[0]
		if until == 0 || l.until < until { // a late answer's may end before one that came first
			until = l.until
		}
		used := min(units, l.units)
		l.units -= used
		if units -= used; l.units > least {
			break
		}
		a.leases = a.leases[1:]
	}
	if units > least {
		until = 0
	}
	a.level -= units
	return until, true
}

// Refund gives back units that a Let has spent and that were never sent, until what they were lent by ends.
func (h *Holder) Refund(now time.Duration, key string, units float64, until time.Duration) {
	if a := h.accounts[key]; a != nil && now < until && units > 0 && len(a.leases) < leasesMost {
		a.leases = append(a.leases, lease{0, units, until})
		h.attend(a)
	}
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

// Status is what a holder has.
type Status struct {
	Identity  string  `json:"identity"`  // of the counter that it holds to; "" is none yet
	Since     float64 `json:"since_s"`   // s that it has held to that one
	Lends     bool    `json:"lends"`     // and whether it can borrow there now
	Own       bool    `json:"own"`       // its part is its own to spend
	Pledged   float64 `json:"pledged"`   // part of each ceiling that is pledged to that counter
	Customers int     `json:"customers"` // that it knows of
	Borrowed  float64 `json:"borrowed"`  // units that it holds
	Waiting   int     `json:"waiting"`   // requests that wait for units
	Calls     uint64  `json:"calls"`     // made
}

// Status tells what it has.
func (h *Holder) Status(now time.Duration) Status {
	s := Status{Identity: h.counter, Lends: h.borrows(), Own: now >= h.ownFrom, Customers: len(h.accounts), Calls: h.seq}
	if !s.Own && h.counter != "" && now >= h.pledgeFrom {
		s.Pledged = 1 / float64(h.size(now))
	}
	if h.counter != "" {
		s.Since = (now - h.held).Seconds()
	}
	for _, a := range h.busy {
		h.refill(now, a)
		s.Borrowed += a.lent()
		s.Waiting += len(a.waiting)
	}
	return s
}

// borrows tells whether there is a counter to ask.
func (h *Holder) borrows() bool { return h.counter != "" && h.lends && h.failures < 2 }

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

// ahead is what an account borrows beside what its requests wait for.
func (h *Holder) ahead(a *account, units float64) float64 {
	wish := a.demand * aheadPart * h.rules.Term.Seconds()
	if have := a.lent(); wish >= 2*units && have < wish/2 && len(a.leases) < leasesMost {
		return wish - have
	}
	return 0
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

// call makes a call where one is due.
func (h *Holder) call(now time.Duration, todo []Action) []Action {
	h.todo = todo
	if h.out || now < h.next || len(h.wanting) == 0 && len(h.gives) == 0 && now < h.quiet {
		return todo
	}
	h.seq++
	q := &Call{From: h.self, Seq: h.seq, Counter: h.counter, Echo: h.echo, Seen: h.seen}
	n := min(len(h.gives), wantsMost)
	q.Gives, h.gives = h.gives[:n:n], h.gives[n:]
	// The pledge counts from the counter's own time, however late this call comes.
	// To one whose answers come too late to be of use nothing is pledged.
	if ends := h.echoAt + stretch(h.rules.Pledge, h.rules.Drift); h.counter != "" && now >= h.pledgeFrom && now < ends && h.echoFor <= CallWithin {
		q.Pledge = 1 / float64(h.size(now))
		h.ownFrom = max(h.ownFrom, ends)
	}
	n = min(len(h.wanting), wantsMost)
	for _, a := range h.wanting[:n] {
		a.wants = false
		w := Want{Key: a.key, Ceiling: a.ceiling}
		have := a.level + a.lent()
		for i := range a.waiting {
			a.waiting[i].told = true
			w.Units += a.waiting[i].units
		}
		if len(a.waiting) > 0 {
			w.Need = max(0, a.waiting[0].units-have)
		}
		w.Units = max(0, w.Units-have)
		w.Units += h.ahead(a, 1)
		if w.Units > 0 {
			q.Wants = append(q.Wants, w)
		}
	}
	h.asked = append(h.asked[:0], h.wanting[:n]...)
	h.wanting = slices.Delete(h.wanting, 0, n)
	if len(h.sent) >= sentMost {
		for s := range h.sent {
			if s+sentMost <= h.seq {
				delete(h.sent, s)
			}
		}
	}
	h.sent[h.seq] = now
	h.out, h.next, h.quiet = true, now+TickEvery, now+h.rules.Pledge/5
	h.todo = append(todo, Action{Kind: Send, Call: q})
	return h.todo
}

// stretch is how long a time of another clock may last by this one.
func stretch(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 + drift) / (1 - drift))
}

// Answered takes a counter's answer.
func (h *Holder) Answered(now time.Duration, r Answer) []Action {
	sent, ok := h.sent[r.Seq]
	if !ok || r.Seq <= h.switched { // of another time, or to what was asked of another counter
		return nil
	}
	delete(h.sent, r.Seq)
	if r.Seq > h.answered {
		h.answered = r.Seq
		if r.Counter != h.counter {
			h.holdTo(now, r.Counter)
		}
		h.echo, h.echoAt, h.echoFor, h.lends = r.Now, now, now-sent, r.Lends
	}
	for _, g := range r.Grants {
		h.seen = max(h.seen, g.Token)
		if a := h.accounts[g.Key]; a != nil {
			a.leases = append(a.leases, lease{g.Token, g.Units, sent + h.rules.Term})
			h.attend(a)
		}
	}
	todo := h.todo[:0]
	if r.Seq == h.seq {
		h.out, h.failures = false, 0
		todo = h.settle(now, todo)
	}
	return h.call(now, todo)
}

// holdTo has it hold to another counter, to which it pledges once what it pledged to the last is its own again.
func (h *Holder) holdTo(now time.Duration, counter string) {
	h.counter, h.seen, h.switched, h.held = counter, 0, h.seq, now
	h.gives = nil // they are of the other's tokens, as is what is held
	for _, a := range h.busy {
		for i := range a.leases {
			a.leases[i].token = 0
		}
	}
	if h.pledgeFrom = h.ownFrom; h.without.wait {
		h.pledgeFrom = 0
	}
}

// settle decides on the requests that the latest call has asked for.
func (h *Holder) settle(now time.Duration, todo []Action) []Action {
	for _, a := range h.asked {
		h.refill(now, a)
		todo = h.decide(a, todo, func(w waiting) bool { return w.told })
		for i := range a.waiting {
			a.waiting[i].told = false
		}
	}
	h.asked = h.asked[:0]
	return todo
}

// decide lets waiting requests go in their order while there are units for them; of the rest those
// are turned away of which over tells so.
func (h *Holder) decide(a *account, todo []Action, over func(waiting) bool) []Action {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		until, ok := time.Duration(0), false
		if len(kept) == 0 {
			until, ok = a.take(w.units)
		}
		switch {
		case ok:
			todo = append(todo, Action{Kind: Let, ID: w.id, Until: until})
		case over(w):
			todo = append(todo, Action{Kind: Deny, ID: w.id})
		default:
			kept = append(kept, w)
		}
	}
	if a.waiting = kept; len(kept) > 0 {
		h.want(a)
	}
	return todo
}

// Lost tells that what calls go by is gone: no answer comes to what is out, and the next may be
// another counter's.
func (h *Holder) Lost(now time.Duration) []Action {
	if !h.out {
		return nil
	}
	return h.fail(now, h.todo[:0])
}

func (h *Holder) fail(now time.Duration, todo []Action) []Action {
	h.out = false
	h.failures++
	h.next = now + min(time.Second, TickEvery<<min(h.failures, 7))
	todo = h.settle(now, todo)
	return h.call(now, todo)
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

// giveBack returns what an account has borrowed and does not spend.
func (h *Holder) giveBack(a *account) {
	if !h.borrows() {
		return
	}
	for _, l := range a.leases {
		if l.token != 0 {
			h.gives = append(h.gives, Give{a.key, l.token, l.units})
		}
	}
	a.leases = nil
}

// sweep forgets customers that would be as they are if they were new.
func (h *Holder) sweep(now time.Duration) {
	for key, a := range h.accounts {
		if h.refill(now, a); a.busy || a.wants || now-a.asked < time.Minute {
			continue
		}
		if full := a.ceiling.Burst / float64(h.size(now)); a.level >= full || now < h.ownFrom {
			delete(h.accounts, key)
		}
	}
}
