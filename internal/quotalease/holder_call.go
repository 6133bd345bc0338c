package quotalease

import (
	"slices"
	"time"
)

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
