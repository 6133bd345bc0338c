package service

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lockflow/control"
	"lockflow/internal/eventlog"
	"lockflow/internal/upstream"
)

// minStateInterval is the minimum time between two state lines. They are written when attempts end, so that an
// idle instance writes none and needs no timer.
const minStateInterval = time.Second

// Values that stand for unknown ones in event log lines.
const (
	unknownAge    = -time.Millisecond // of a server without a boot time, which counts as booted long ago
	unknownReport = -1                // of a value that is missing from the load report
)

// eventRecorder writes a loop's events to the event log. It is used by the loop's goroutine only.
type eventRecorder struct {
	writer      *eventlog.Writer
	lastStateAt time.Time
	causes      map[string]control.Cause // why the module has just ended requests, by request id
	servers     map[uint32]listedServer
}

type listedServer struct {
	uid      string
	bootedAt time.Time // zero if unknown, which counts as long ago
}

func newEventRecorder(writer *eventlog.Writer, plans []control.Plan) *eventRecorder {
	for _, p := range plans {
		writer.Plan(eventlog.Plan{
			At:             time.Now(),
			Name:           p.Name,
			Price:          p.Price,
			QuotaRate:      p.QuotaRate,
			QuotaBurst:     p.QuotaBurst,
			OverQuotaCost:  p.OverQuotaCost,
			HardLimitRate:  p.HardLimitRate,
			HardLimitBurst: p.HardLimitBurst,
			HardLimitSlack: p.HardLimitSlack,
		})
	}
	return &eventRecorder{writer: writer, causes: make(map[string]control.Cause), servers: make(map[uint32]listedServer)}
}

func (r *eventRecorder) serverListed(id uint32, uid string, bootedAt time.Time) {
	r.servers[id] = listedServer{uid, bootedAt}
}

func (r *eventRecorder) serverRemoved(id uint32) { delete(r.servers, id) }

// recordCause stores why the module ends a request for requestEnded, which is called right after it.
func (r *eventRecorder) recordCause(a control.Action) {
	switch a := a.(type) {
	case control.Reject:
		r.causes[a.ID] = a.Cause
	case control.Fail:
		r.causes[a.ID] = a.Cause
	}
}

// requestEnded writes the final answer of a request.
func (r *eventRecorder) requestEnded(x *Exchange, a Answer) {
	line := eventlog.Request{
		At:       x.startedAt,
		Class:    x.Request.Class,
		Plan:     x.Request.Plan,
		Customer: uint32(xxhash.Sum64String(x.Request.Customer)),
		FanOut:   x.Request.FanOut,
		IsRetry:  x.Request.IsRetry,
		Units:    x.Request.Units,
		Outcome:  Outcomes[a.outcome()],
		Duration: time.Since(x.startedAt),
		Attempts: x.attemptCount,
		ID:       x.Request.ID,
	}
	if cause, ok := r.causes[x.Request.ID]; ok {
		line.Cause = cause.String()
	}
	clear(r.causes)
	r.writer.Request(line)
}

// attemptEnded writes the outcome of an attempt. isAvailable is whether its server still takes new requests.
func (r *eventRecorder) attemptEnded(job attemptJob, o *upstream.Outcome, isAvailable bool) {
	server := r.servers[job.server]
	line := eventlog.Attempt{
		At:                job.startedAt,
		Server:            server.uid,
		Class:             job.exchange.Request.Class,
		Number:            job.number,
		Reason:            Reasons[reasonIndex[o.Reason]],
		Duration:          time.Since(job.startedAt),
		ServerAge:         unknownAge,
		IsServerDraining:  !isAvailable,
		IsOnNewConnection: o.IsDialed,
		ServiceMS:         unknownReport,
		Utilization:       unknownReport,
		QueueLength:       unknownReport,
		ID:                job.exchange.Request.ID,
	}
	if !server.bootedAt.IsZero() {
		line.ServerAge = job.startedAt.Sub(server.bootedAt)
	}
	if o.Header != nil {
		line.ActualUnits = o.ActualUnits(0)
		line.QuotaUsage = o.QuotaUsage()
		if load := o.LoadReport(); load != nil {
			line.ServiceMS = load.MeanLatencyMS
			line.Utilization = load.Utilization
			line.QueueLength = load.Queued
		}
	}
	r.writer.Attempt(line)
}

// recordState writes the state of the loop, unless it was last written less than minStateInterval ago.
func (r *eventRecorder) recordState(l *loop) {
	now := time.Now()
	if now.Sub(r.lastStateAt) < minStateInterval {
		return
	}
	r.lastStateAt = now
	line := eventlog.State{
		At:               now,
		ConcurrencyLimit: l.concurrencyLimit(),
		AcceptedRequests: len(l.exchanges),
		ListedServers:    len(l.serverIDs),
		AvailableServers: len(l.pools),
	}
	for _, x := range l.exchanges {
		line.AttemptsInFlight += x.inFlight
	}
	line.IdleConnections, _ = l.upstream.CountIdle()
	r.writer.State(line)
}
