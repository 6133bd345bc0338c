package service

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/eventlog"
	"lockflow/internal/upstream"
)

// stateEvery is the least time between two lines of state. They come with what happens: an instance
// that does nothing writes none, and needs no timer.
const stateEvery = time.Second

// book has a loop's doings written. It is the loop's own.
type book struct {
	to      *eventlog.Writer
	stated  time.Time
	why     map[string]control.Cause // of what the module has just given up, by request
	servers map[uint32]booked        // for as long as they are listed
}

type booked struct {
	uid  string
	boot time.Time // zero is long ago
}

func newBook(w *eventlog.Writer, plans []control.Plan) *book {
	for _, p := range plans {
		w.Plan(eventlog.Plan{
			At: time.Now(), Name: p.Name, Price: p.Price, Rate: p.Rate, Depth: p.Depth, OverCost: p.OverCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, Slack: p.CeilingSlack,
		})
	}
	return &book{to: w, why: make(map[string]control.Cause), servers: make(map[uint32]booked)}
}

func (b *book) listed(id uint32, t *discovery.Target) {
	s := booked{uid: t.UID}
	if t.BootMS > 0 {
		s.boot = time.UnixMicro(int64(t.BootMS * 1000))
	}
	b.servers[id] = s
}

func (b *book) gone(id uint32) { delete(b.servers, id) }

// decided keeps why a request is given up until its end, which follows at once.
func (b *book) decided(a control.Action) {
	switch a := a.(type) {
	case control.Refuse:
		b.why[a.ID] = a.Why
	case control.Fail:
		b.why[a.ID] = a.Why
	}
}

func (b *book) ended(x *Exchange, a Answer) {
	r := eventlog.Request{
		At: x.began, Class: x.Request.Class, Plan: x.Request.Plan, Customer: uint32(xxhash.Sum64String(x.Request.Customer)),
		Spread: x.Request.Spread, Repeat: x.Request.Repeat, Units: x.Request.Units, Outcome: Outcomes[a.outcome()], Took: time.Since(x.began), Sends: x.sends,
	}
	if why, ok := b.why[x.Request.ID]; ok {
		r.Why = why.String()
	}
	clear(b.why)
	b.to.Request(r)
}

func (b *book) attempt(x *Exchange, n int, server uint32, sent time.Time, o *upstream.Outcome, up bool) {
	s := b.servers[server]
	a := eventlog.Attempt{
		At: sent, Server: s.uid, Class: x.Request.Class, N: n, Reason: Reasons[reasonOf[o.Reason]], Took: time.Since(sent),
		Age: -time.Millisecond, Drains: !up, Dialed: o.Dialed, ServiceMS: -1, Util: -1, Queue: -1,
	}
	if !s.boot.IsZero() {
		a.Age = sent.Sub(s.boot)
	}
	if o.Header != nil {
		a.Cost, a.Used = o.Cost(0), o.Used()
		if l := o.Load(); l != nil {
			a.ServiceMS, a.Util, a.Queue = l.AvgMS, l.CPU, l.Waiting
		}
	}
	b.to.Attempt(a)
}

// state writes what the loop has, where it is time.
func (b *book) state(l *loop) {
	now := time.Now()
	if now.Sub(b.stated) < stateEvery {
		return
	}
	b.stated = now
	s := eventlog.State{At: now, Bound: l.bound(), Held: len(l.exchanges), Listed: len(l.ids), Up: len(l.pools)}
	for _, x := range l.exchanges {
		s.Out += x.out
	}
	s.Conns, _ = l.upstream.Conns()
	b.to.State(s)
}
