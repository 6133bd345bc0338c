package front

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"lockflow/internal/invariant"
	"lockflow/internal/protocol"
	"lockflow/internal/route"
	"lockflow/internal/service"
)

const (
	maxHeadBytes       = 16 << 10
	clientIdleTimeout  = 10 * time.Second
	requestReadTimeout = 2 * time.Second // for a request's head and body
	answerWriteTimeout = 2 * time.Second // for writing a buffered answer
)

// MaxTimeAfterDeadline is the longest time that a request can be in the node in addition to its
// deadline: while it is read and while its answer is written.
const MaxTimeAfterDeadline = requestReadTimeout + answerWriteTimeout

// RoutingTable maps requests to services. It must not be changed once it has been given to a Front.
type RoutingTable struct {
	// Router matches requests to rules. Nil sends all requests to the first target.
	Router *route.Router
	// Targets are in the order of the router's rules.
	Targets []Target
}

// Target is the destination of a route.
type Target struct {
	Service *service.Service
	// Class of the target's requests. If it is empty, the protocol determines it.
	Class string
	// MaxBodyBytes limits a request's body. A negative value means no limit.
	MaxBodyBytes int64
	// Protocol that clients use. Nil is the platform's protocol.
	Protocol Protocol
	// UpgradeProtocols are the protocols that requests may upgrade to, in lower case.
	UpgradeProtocols []string
	// ScatterGather is set for a scatter-gather service. Of the other fields such a target uses
	// Class only.
	ScatterGather *ScatterGather
}

// Protocol is what differs between the ways in which clients use services: how a request is read,
// which customer it belongs to, and how its answer is written.
type Protocol interface {
	// ReadRequest reads all of a request but its body. firstSegment is the first segment of its
	// path. A request that is not valid must not reach the service.
	ReadRequest(r *http.Request, target *Target, firstSegment string, arrived time.Time) (*service.Exchange, *BadRequest)
	// ReservedBytes returns how much memory to reserve for a request while it is served, in
	// addition to its answer.
	ReservedBytes(r *http.Request) int64
	// ReadBody reads the part of the body that has to be there before the service gets the request.
	ReadBody(w http.ResponseWriter, r *http.Request, exchange *service.Exchange) *BadRequest
	// Finish releases what ReadBody began. The request is not read after it.
	Finish(exchange *service.Exchange)
	// WriteAnswer writes the final answer to the client.
	WriteAnswer(front *Front, w http.ResponseWriter, r *http.Request, exchange *service.Exchange, answer service.Answer)
	// WriteBadRequest reports a client's mistake to it.
	WriteBadRequest(front *Front, w http.ResponseWriter, r *http.Request, badRequest *BadRequest)
}

func (t *Target) protocol() Protocol {
	if t.Protocol == nil {
		return platformProtocol{}
	}
	return t.Protocol
}

// tryAcquire keeps the services behind a target from shutting down until they are released. It
// returns false if one of them has shut down already.
func (t *Target) tryAcquire() bool {
	if t.ScatterGather != nil {
		return t.ScatterGather.tryAcquire()
	}
	return t.Service.TryAcquire()
}

// Front handles the requests of all clients. It is safe for concurrent use.
type Front struct {
	isReady    func() bool // whether load balancers may send requests to the node
	table      atomic.Pointer[RoutingTable]
	isDraining atomic.Bool

	clients clientRegistry
}

// New returns a Front with a routing table. isReady reports whether the node is ready for requests;
// the health check depends on it.
func New(table *RoutingTable, isReady func() bool) *Front {
	f := &Front{isReady: isReady}
	f.table.Store(table)
	return f
}

// SetTable replaces the routing table for all requests whose head is read from now on.
func (f *Front) SetTable(table *RoutingTable) { f.table.Store(table) }

// Drain makes each answer close its connection from now on, and the health check fail.
func (f *Front) Drain() { f.isDraining.Store(true) }

// Server returns the HTTP server for clients. Its timeouts bound how long a client may take to send
// a request; handlers lift the read timeout once the request is complete.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		MaxHeaderBytes:    maxHeadBytes,
		IdleTimeout:       clientIdleTimeout,
		ReadHeaderTimeout: requestReadTimeout,
		ReadTimeout:       requestReadTimeout,
		ConnState:         f.clients.trackState,
		ConnContext:       f.clients.register,
		// Without it net/http would answer OPTIONS * with a 200 that no app server sent.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.Default().With("from", "net/http").Handler(), slog.LevelWarn),
	}
}

// Evict closes one client connection to free its descriptor: one that lingers behind an answer that its client
// has received, else the oldest new one that has been silent for too long, else the one that has been idle for
// longest. It returns false if there is none.
func (f *Front) Evict() bool { return f.clients.evict() }

// BeginShutdown makes Evict close connections sooner, as the process is about to end all of them.
func (f *Front) BeginShutdown() { f.clients.beginShutdown() }

// CloseWhenIdle closes the connections without an open request, and from now on each that becomes
// idle. It replaces http.Server's Shutdown and SetKeepAlivesEnabled: Shutdown may close a connection
// after its request has been read and forwarded, and SetKeepAlivesEnabled may drop such a request.
func (f *Front) CloseWhenIdle() { f.clients.closeWhenIdle() }

// WaitDisconnected waits, after CloseWhenIdle, until no client is connected. It returns false if ctx
// ended first. Connections that have been upgraded to another protocol are not waited for.
func (f *Front) WaitDisconnected(ctx context.Context) bool { return f.clients.waitEmpty(ctx) }

// ServeHTTP handles one client request until its final answer has been written.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	client := clientOf(r)
	if client.isClosed() {
		// Nothing has been forwarded, so the client can safely retry; but it has no answer.
		invariant.Violated(invariant.ClosedUnanswered, r.Header.Get(protocol.HeaderID), "its connection was closed as idle")
		panic(http.ErrAbortHandler)
	}
	if client != nil {
		arrived = client.arrivalOf(arrived)
	}
	if r.URL.Path == route.HealthPath {
		f.serveHealthCheck(w)
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
		// The decision module will reject this request, so its body is not read. Closing the
		// connection keeps net/http from reading a slow body before it sends the answer.
		w.Header().Set("Connection", "close")
	}
	answer, ok := target.Service.Do(r.Context(), exchange)
	if !ok && isStillConnected(r) {
		// The request was not forwarded because of bytes that the client sent after it; the client is
		// still connected, so it gets the answer.
		w.Header().Set("Connection", "close")
		ok = true
	}
	if !ok {
		// If the handler just returned, net/http would send a 200, which a client that has closed
		// only its sending side would take for the answer.
		panic(http.ErrAbortHandler)
	}
	clientProtocol.WriteAnswer(f, w, r, exchange, answer)
}

// serveHealthCheck answers the node's own health check.
func (f *Front) serveHealthCheck(w http.ResponseWriter) {
	status := http.StatusOK
	if !f.isReady() || f.isDraining.Load() {
		status = http.StatusServiceUnavailable
	}
	f.writeAnswer(w, service.Answer{Status: status})
}

// findTarget returns the target of a request, with its services acquired: a service that a reload
// removes still serves the requests that arrived before.
func (f *Front) findTarget(r *http.Request) (*Target, string, *BadRequest) {
	for {
		table := f.table.Load()
		target, firstSegment, badRequest := table.findTarget(r)
		if badRequest != nil || target.tryAcquire() {
			return target, firstSegment, badRequest
		}
		// The service has shut down since the table was loaded, so there is a newer table.
	}
}

func (t *RoutingTable) findTarget(r *http.Request) (target *Target, firstSegment string, badRequest *BadRequest) {
	if t.Router == nil {
		return &t.Targets[0], firstSegmentOf(r.URL), nil
	}
	authority, rawPath, err := route.SplitTarget(r.RequestURI)
	if err != nil {
		return nil, "", newBadRequest(http.StatusBadRequest, "target: %v", err)
	}
	path, err := route.CanonicalPath(rawPath)
	if err != nil {
		return nil, "", newBadRequest(http.StatusBadRequest, "path: %v", err)
	}
	if authority == "" {
		authority = r.Host
	}
	host, err := route.CanonicalHost(authority)
	if err != nil {
		return nil, "", newBadRequest(http.StatusBadRequest, "host: %v", err)
	}
	index, ok := t.Router.Find(host, path, r.Method, r.Header)
	if !ok {
		return nil, "", newBadRequest(http.StatusNotFound, "no route leads from %s%s to a service", host, path)
	}
	return &t.Targets[index], route.FirstSegment(path), nil
}

// firstSegmentOf returns the first segment of the path of a request that no rules are matched with.
// It is decoded after the split, because it may contain an encoded slash.
func firstSegmentOf(u *url.URL) string {
	if u.RawPath != "" { // it always is if a slash is encoded
		if first, err := url.PathUnescape(route.FirstSegment(u.RawPath)); err == nil {
			return first
		}
	}
	return route.FirstSegment(u.Path)
}

// writeBadRequest reports a client's mistake in the form of the platform's protocol.
func (f *Front) writeBadRequest(w http.ResponseWriter, badRequest *BadRequest) {
	if badRequest.closeConnection {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, service.Answer{Status: badRequest.status, Body: []byte(badRequest.text + "\n")})
}

// writeAnswer writes a buffered answer in the form of the platform's protocol.
func (f *Front) writeAnswer(w http.ResponseWriter, answer service.Answer) {
	// A client that reads nothing must not block the handler forever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	header := w.Header()
	// The node may have started to drain after this request arrived. Checking now keeps clients from
	// sending another request on the same connection.
	if f.isDraining.Load() {
		header.Set("Connection", "close")
	}
	for name, values := range answer.Header {
		if !protocol.IsInternalHeader(name) {
			header[name] = values
		}
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from guessing it from the body
	}
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a departed client is noticed by its context
}
