package service

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/control"
	"lockflow/internal/discovery"
	"lockflow/internal/eventlog"
	"lockflow/internal/upstream"
)

// minStateInterval is the least time between two lines of state. They come with what happens: an instance
// that does nothing writes none, and needs no timer.
const minStateInterval = time.Second

// eventRecorder has a loop's doings written. It is the loop's own.
type eventRecorder struct {
	writer      *eventlog.Writer
	lastStateAt time.Time
	causes      map[string]control.Cause // of what the module has just given up, by request
	servers     map[uint32]listedServer  // for as long as they are listed
}

type listedServer struct {
	uid      string
	bootedAt time.Time // zero is long ago
}

func newEventRecorder(w *eventlog.Writer, plans []control.Plan) *eventRecorder {
	for _, p := range plans {
		w.Plan(eventlog.Plan{
			At: time.Now(), Name: p.Name, Price: p.Price, Rate: p.QuotaRate, Depth: p.QuotaBurst, OverCost: p.OverQuotaCost,
			CeilingRate: p.HardLimitRate, CeilingBurst: p.HardLimitBurst, Slack: p.HardLimitSlack,
		})
	}
	return &eventRecorder{writer: w, causes: make(map[string]control.Cause), servers: make(map[uint32]listedServer)}
}

func (b *eventRecorder) serverListed(id uint32, t *discovery.Target) {
	s := listedServer{uid: t.UID}
	if t.BootMS > 0 {
		s.bootedAt = time.UnixMicro(int64(t.BootMS * 1000))
	}
	b.servers[id] = s
}

func (b *eventRecorder) serverRemoved(id uint32) { delete(b.servers, id) }

// noteCause keeps why a request is given up until its end, which follows at once.
func (b *eventRecorder) noteCause(a control.Action) {
	switch a := a.(type) {
	case control.Reject:
		b.causes[a.ID] = a.Cause
	case control.Fail:
		b.causes[a.ID] = a.Cause
	}
}

func (b *eventRecorder) requestEnded(x *Exchange, a Answer) {
	r := eventlog.Request{
		At: x.startedAt, Class: x.Request.Class, Plan: x.Request.Plan, Customer: uint32(xxhash.Sum64String(x.Request.Customer)),
		Spread: x.Request.FanOut, Repeat: x.Request.IsRetry, Units: x.Request.Units, Outcome: Outcomes[a.outcome()], Took: time.Since(x.startedAt), Sends: x.attemptCount,
	}
	if why, ok := b.causes[x.Request.ID]; ok {
		r.Why = why.String()
	}
	clear(b.causes)
	b.writer.Request(r)
}

func (b *eventRecorder) attemptEnded(x *Exchange, n int, server uint32, sent time.Time, o *upstream.Outcome, isAvailable bool) {
	s := b.servers[server]
	a := eventlog.Attempt{
		At: sent, Server: s.uid, Class: x.Request.Class, N: n, Reason: Reasons[reasonIndex[o.Reason]], Took: time.Since(sent),
		Age: -time.Millisecond, Drains: !isAvailable, Dialed: o.Dialed, ServiceMS: -1, Util: -1, Queue: -1,
	}
	if !s.bootedAt.IsZero() {
		a.Age = sent.Sub(s.bootedAt)
	}
	if o.Header != nil {
		a.Cost, a.Used = o.Cost(0), o.Used()
		if l := o.Load(); l != nil {
			a.ServiceMS, a.Util, a.Queue = l.MeanLatencyMS, l.Utilization, l.Queued
		}
	}
	b.writer.Attempt(a)
}

// recordState writes what the loop has, where it is time.
func (b *eventRecorder) recordState(l *loop) {
	now := time.Now()
	if now.Sub(b.lastStateAt) < minStateInterval {
		return
	}
	b.lastStateAt = now
	s := eventlog.State{At: now, Bound: l.concurrencyLimit(), Held: len(l.exchanges), Listed: len(l.serverIDs), Up: len(l.pools)}
	for _, x := range l.exchanges {
		s.Out += x.inFlight
	}
	s.Conns, _ = l.upstream.Conns()
	b.writer.State(s)
}
