// Package front takes in what clients ask, finds the service that it is for and gives the
// clients their answers. It decides nothing but whether a request can be read.
package front

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"lockflow/internal/protocol"
	"lockflow/internal/route"
	"lockflow/internal/service"
)

const (
	maxHeadBytes       = 16 << 10
	clientIdleTimeout  = 10 * time.Second
	requestReadTimeout = 2 * time.Second        // of a request's head and body
	newConnGracePeriod = 250 * time.Millisecond // of a new connection where others want its place
	answerWriteTimeout = 2 * time.Second        // of the writing of an answer
)

// MaxTimeBeyondDeadline is the longest that a request is held beside its deadline: while it is read, and while
// its answer is written.
const MaxTimeBeyondDeadline = requestReadTimeout + answerWriteTimeout

// RoutingTable says which service a request is for. It is not changed once a Front has it.
type RoutingTable struct {
	Router *route.Router // nil: all requests are for the first target
	// Targets are by their place among the router's rules.
	Targets []Target
}

// Target is where a route leads.
type Target struct {
	Service          *service.Service
	Class            string         // of its requests; "" is for the protocol to tell
	MaxBodyBytes     int64          // most bytes of a request's body; below zero is any number
	Protocol         Protocol       // of its clients; nil is the platform's
	UpgradeProtocols []string       // protocols that its requests may change to, in lower case
	ScatterGather    *ScatterGather // of a service that asks others, which has nothing else but a class; nil for any other
}

// Protocol is what differs between the ways in which services are asked: how a request is read,
// whose it is, and how an answer is given. Each has a file of its own here.
type Protocol interface {
	// ReadRequest reads a request but for its body; first is the first segment of its path. The module
	// must not hear of one that is wrong.
	ReadRequest(r *http.Request, to *Target, first string, arrived time.Time) (*service.Exchange, *BadRequest)
	// ReservedBytes is the most bytes that are held of a request while it is served, beside its answer.
	ReservedBytes(r *http.Request) int64
	// ReadBody reads what has to be there before the module hears of the request.
	ReadBody(w http.ResponseWriter, r *http.Request, x *service.Exchange) *BadRequest
	// Finish ends what Body began; nothing of the request is read any more.
	Finish(x *service.Exchange)
	// WriteAnswer gives the client its final answer.
	WriteAnswer(f *Front, w http.ResponseWriter, r *http.Request, x *service.Exchange, a service.Answer)
	// WriteBadRequest tells a client its mistake.
	WriteBadRequest(f *Front, w http.ResponseWriter, r *http.Request, wrong *BadRequest)
}

func (t *Target) protocol() Protocol {
	if t.Protocol == nil {
		return platformProtocol{}
	}
	return t.Protocol
}

// tryAcquire keeps what serves a target's requests from ending.
func (t *Target) tryAcquire() bool {
	if t.ScatterGather != nil {
		return t.ScatterGather.tryAcquire()
	}
	return t.Service.TryAcquire()
}

// Front is the side to the clients. It is safe for concurrent use.
type Front struct {
	isReady    func() bool // whether the node may be sent requests
	table      atomic.Pointer[RoutingTable]
	isDraining atomic.Bool

	clients clientRegistry
}

// New makes a front; ready tells whether the node may be sent requests.
func New(table *RoutingTable, isReady func() bool) *Front {
	f := &Front{isReady: isReady}
	f.table.Store(table)
	return f
}

// SetTable puts another table in force for requests whose head is read from now on.
func (f *Front) SetTable(table *RoutingTable) { f.table.Store(table) }

// Drain has each answer close its connection from now on.
func (f *Front) Drain() { f.isDraining.Store(true) }

// Server is the HTTP server of the clients. An answer or a close is owed to each soon after
// it has connected, so a request has to come whole in time; ServeHTTP then lifts the limit.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f, MaxHeaderBytes: maxHeadBytes, IdleTimeout: clientIdleTimeout, ConnState: f.clients.trackState,
		ReadHeaderTimeout: requestReadTimeout, ReadTimeout: requestReadTimeout,
		ConnContext: f.clients.register,
		// Guards against an answer 200 to OPTIONS * that no app server made.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.Default().With("from", "net/http").Handler(), slog.LevelWarn),
	}
}

// Evict closes a client connection that has said nothing for too long, else the one that
// has been idle for the longest time.
func (f *Front) Evict() bool { return f.clients.closeOldestIdle() }

// CloseWhenIdle closes the connections on which no request is open, from now on. It stands in for
// http.Server's Shutdown and SetKeepAlivesEnabled, which would close some whose request they have
// read, or drop such a request: after the first of these it may have been sent on.
func (f *Front) CloseWhenIdle() { f.clients.closeWhenIdle() }

// WaitDisconnected waits until no client is connected, after Leave, and tells whether that came before ctx
// ended. Connections whose protocol has changed are not waited for.
func (f *Front) WaitDisconnected(ctx context.Context) bool { return f.clients.waitEmpty(ctx) }

// ServeHTTP holds a client's request until its final answer.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if clientOf(r).isClosed() {
		panic(http.ErrAbortHandler) // the client asks again, and nothing has been sent on
	}
	if r.URL.Path == route.Health {
		status := http.StatusOK
		if !f.isReady() || f.isDraining.Load() {
			status = http.StatusServiceUnavailable
		}
		f.writeAnswer(w, service.Answer{Status: status})
		return
	}
	target, firstSegment, badRequest := f.findTarget(r)
	if badRequest != nil {
		f.writeBadRequest(w, badRequest)
		return
	}
	if target.ScatterGather != nil {
		target.ScatterGather.handle(f, w, r, target.Class, arrived)
		return
	}
	defer target.Service.Release()
	clientProtocol := target.protocol()
	exchange, badRequest := clientProtocol.ReadRequest(r, target, firstSegment, arrived)
	if badRequest != nil {
		clientProtocol.WriteBadRequest(f, w, r, badRequest)
		return
	}
	exchange.Client = waitingClient(r)
	if target.Service.Admit(exchange, clientProtocol.ReservedBytes(r)) {
		defer exchange.Release()
		if badRequest := clientProtocol.ReadBody(w, r, exchange); badRequest != nil {
			clientProtocol.WriteBadRequest(f, w, r, badRequest)
			return
		}
		defer clientProtocol.Finish(exchange)
	} else if r.ContentLength != 0 {
		// What there is no room for is not read, and turned away by the module. Guards against
		// a refusal that waits for a slow body: net/http reads it first where the connection stays.
		w.Header().Set("Connection", "close")
	}
	answer, ok := target.Service.Do(r.Context(), exchange)
	if client := clientOf(r); !ok && r.Context().Err() == nil && client != nil && client.There() {
		// It was not sent on, or not again, only for what has come behind it.
		w.Header().Set("Connection", "close")
		ok = true
	}
	if !ok {
		// Guards against an answer that nobody made: net/http gives 200 where a handler gives none,
		// and a client that has closed one way only would read it.
		panic(http.ErrAbortHandler)
	}
	clientProtocol.WriteAnswer(f, w, r, exchange, answer)
}

// findTarget gives the target of a request, whose service is held for it: one that a reload removes
// still serves what came before.
func (f *Front) findTarget(r *http.Request) (*Target, string, *BadRequest) {
	for {
		table := f.table.Load()
		target, firstSegment, badRequest := table.findTarget(r)
		if badRequest != nil || target.tryAcquire() {
			return target, firstSegment, badRequest
		}
		// Its service has ended since the table was read: there is another table by now.
	}
}

func (t *RoutingTable) findTarget(r *http.Request) (target *Target, firstSegment string, badRequest *BadRequest) {
	if t.Router == nil {
		return &t.Targets[0], firstSegmentOf(r.URL), nil
	}
	authority, rawPath, err := route.Target(r.RequestURI)
	if err != nil {
		return nil, "", newBadRequest(http.StatusBadRequest, "target: %v", err)
	}
	path, err := route.Path(rawPath)
	if err != nil {
		return nil, "", newBadRequest(http.StatusBadRequest, "path: %v", err)
	}
	if authority == "" {
		authority = r.Host
	}
	host, err := route.Host(authority)
	if err != nil {
		return nil, "", newBadRequest(http.StatusBadRequest, "host: %v", err)
	}
	index, ok := t.Router.Find(host, path, r.Method, r.Header)
	if !ok {
		return nil, "", newBadRequest(http.StatusNotFound, "no route leads from %s%s to a service", host, path)
	}
	return &t.Targets[index], route.First(path), nil
}

// firstSegmentOf is the first segment of a path that is matched with no rule, decoded by itself: what
// it names may hold a slash.
func firstSegmentOf(u *url.URL) string {
	if u.RawPath != "" { // as always where a slash is encoded
		if first, err := url.PathUnescape(route.First(u.RawPath)); err == nil {
			return first
		}
	}
	return route.First(u.Path)
}

// writeBadRequest tells a client its mistake.
func (f *Front) writeBadRequest(w http.ResponseWriter, badRequest *BadRequest) {
	if badRequest.closeConnection {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, service.Answer{Status: badRequest.status, Body: []byte(badRequest.text + "\n")})
}

// writeAnswer sends an answer, whatever it is.
func (f *Front) writeAnswer(w http.ResponseWriter, answer service.Answer) {
	// Guards against a client that takes nothing.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	header := w.Header()
	// Guards against requests that come on a held one's connection after the drain: what
	// counts is whether the node drains now, not when the request came.
	if f.isDraining.Load() {
		header.Set("Connection", "close")
	}
	for name, values := range answer.Header {
		if !protocol.OwnHeader(name) {
			header[name] = values
		}
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // not to be guessed from the body
	}
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a client that has left is noticed by its context
}
