package front

import (
	"context"
	"io"
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
	requestReadTimeout = 2 * time.Second // for reading a request's head and body
	answerWriteTimeout = 2 * time.Second // for writing a buffered answer
)

// MaxTimeAfterDeadline is the longest time that the node can spend on a request in addition to its
// deadline: reading the request and writing the answer.
const MaxTimeAfterDeadline = requestReadTimeout + answerWriteTimeout

// RoutingTable maps requests to services. It must not be modified after it has been passed to a Front.
type RoutingTable struct {
	// Router matches requests to rules. If it is nil, all requests go to the first target.
	Router *route.Router
	// Targets holds the target of each of the router's rules, in the order of the rules.
	Targets []Target
}

// Target is the destination of a route.
type Target struct {
	Service *service.Service
	// Class is the class of the target's requests. If it is empty, the protocol determines the class.
	Class string
	// MaxBodyBytes limits a request's body. A negative value means no limit.
	MaxBodyBytes int64
	// Protocol is the protocol that clients use. Nil means the platform's protocol.
	Protocol Protocol
	// UpgradeProtocols lists the protocols that a connection may be upgraded to, in lower case.
	UpgradeProtocols []string
	// ScatterGather is set for a scatter-gather service. Such a target uses none of the other fields
	// except Class.
	ScatterGather *ScatterGather
}

// Protocol defines how clients talk to a service: how a request is read, which customer it belongs
// to, and how its answer is written.
type Protocol interface {
	// ReadRequest validates the head of a request. firstSegment is the first segment of the request's
	// path. A request for which it returns a BadRequest does not reach the service.
	ReadRequest(r *http.Request, target *Target, firstSegment string, arrived time.Time) (*service.Exchange, *BadRequest)
	// ReservedBytes returns how much memory to reserve for a request while it is served, in
	// addition to its answer.
	ReservedBytes(r *http.Request) int64
	// ReadBody reads the part of the body that must be buffered before the service gets the request. Memory for the
	// answer is reserved afterwards.
	ReadBody(w http.ResponseWriter, r *http.Request, exchange *service.Exchange) *BadRequest
	// Finish releases the resources that ReadBody allocated. The request is not read any more afterwards.
	Finish(exchange *service.Exchange)
	// WriteAnswer writes the final answer to the client.
	WriteAnswer(front *Front, w http.ResponseWriter, r *http.Request, exchange *service.Exchange, answer service.Answer)
	// WriteBadRequest writes the error answer for an invalid request to the client.
	WriteBadRequest(front *Front, w http.ResponseWriter, r *http.Request, badRequest *BadRequest)
}

func (t *Target) protocol() Protocol {
	if t.Protocol == nil {
		return platformProtocol{}
	}
	return t.Protocol
}

// tryAcquire keeps the services of the target from shutting down until they are released. It returns
// false if one of them has already shut down.
func (t *Target) tryAcquire() bool {
	if t.ScatterGather != nil {
		return t.ScatterGather.tryAcquire()
	}
	return t.Service.TryAcquire()
}

// admit reserves the resources of a request at its service, which include the memory of its head. It returns false if they
// are not available. The caller releases them by Exchange.Release.
func (t *Target) admit(exchange *service.Exchange, bytes int64, input *inputReservation) bool {
	headBytes := input.headReservation()
	if !t.Service.Admit(exchange, bytes+headBytes) {
		return false
	}
	input.admitted(headBytes)
	return true
}

// Front handles the requests of all clients. It is safe for concurrent use.
type Front struct {
	isReady    func() bool // reports whether load balancers may send requests to the node
	table      atomic.Pointer[RoutingTable]
	isDraining atomic.Bool

	clients     clientRegistry
	badRequests badRequestPacer
}

// New returns a Front that uses the given routing table. isReady reports whether the node is ready for
// requests; while it returns false, the health check fails.
func New(table *RoutingTable, isReady func() bool) *Front {
	f := &Front{isReady: isReady}
	f.table.Store(table)
	return f
}

// SetTable replaces the routing table for all requests that are routed after the call.
func (f *Front) SetTable(table *RoutingTable) { f.table.Store(table) }

// LimitInput limits the memory of requests that clients are sending. It requires a ValidatingListener, and must be called
// before the first connection.
func (f *Front) LimitInput(memory InputMemory) { f.clients.inputMemory = memory }

// Drain makes every following answer close its connection, and makes the health check fail.
func (f *Front) Drain() { f.isDraining.Store(true) }

// Server returns the HTTP server for clients. Its timeouts limit how long a client may take to send a
// request; handlers clear the read deadline once the request is complete.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		MaxHeaderBytes:    maxHeadBytes,
		IdleTimeout:       clientIdleTimeout,
		ReadHeaderTimeout: requestReadTimeout,
		ReadTimeout:       requestReadTimeout,
		ConnState:         f.clients.trackState,
		ConnContext:       f.clients.register,
		// Otherwise net/http would itself answer OPTIONS * with a 200, without asking an app server.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.Default().With("from", "net/http").Handler(), slog.LevelWarn),
	}
}

// Evict closes one client connection to free its file descriptor. It prefers a lingering connection whose client has
// received the answer, then the oldest new connection that has sent no request within the grace period, then the
// connection that has been idle for longest. It returns false if no connection can be closed.
func (f *Front) Evict() bool { return f.clients.evict() }

// BeginShutdown makes Evict close connections sooner, because the process is about to close all of them.
func (f *Front) BeginShutdown() { f.clients.beginShutdown() }

// CloseWhenIdle closes the connections without an open request, and closes each other connection when
// it becomes idle. It is used instead of http.Server's Shutdown and SetKeepAlivesEnabled: Shutdown may
// close a connection after a request on it has been read and forwarded, and SetKeepAlivesEnabled may
// drop such a request.
func (f *Front) CloseWhenIdle() { f.clients.closeWhenIdle() }

// WaitDisconnected waits until no client is connected; CloseWhenIdle must have been called before. It
// returns false if ctx ends first. It does not wait for connections that have been upgraded to another
// protocol.
func (f *Front) WaitDisconnected(ctx context.Context) bool { return f.clients.waitEmpty(ctx) }

// ServeHTTP handles one client request until its final answer has been written.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	client := clientOf(r)
	if client.isClosed() {
		// The request has not been forwarded, so the client can safely retry it, but it gets no answer.
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
	defer discardUnreadBody(w, r)
	if badRequest := checkSize(r); badRequest != nil {
		f.writeBadRequest(w, r, badRequest)
		return
	}
	target, firstSegment, badRequest := f.findTarget(r)
	if badRequest != nil {
		f.writeBadRequest(w, r, badRequest)
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
	f.serveExchange(w, r, target, exchange)
}

// serveExchange reads the body of a request whose head is valid, has its service process it, and writes the answer.
func (f *Front) serveExchange(w http.ResponseWriter, r *http.Request, target *Target, exchange *service.Exchange) {
	clientProtocol := target.protocol()
	reservedBytes := clientProtocol.ReservedBytes(r)
	hasBody := r.ContentLength != 0
	if hasBody && !target.Service.Announce(exchange, reservedBytes) {
		// The decision module will reject this request, so its body is not read. "Connection: close"
		// keeps net/http from reading a slow body before it sends the answer.
		w.Header().Set("Connection", "close")
	} else {
		badRequest := clientProtocol.ReadBody(w, r, exchange)
		if hasBody {
			exchange.Release() // of what Announce has reserved
		}
		if badRequest != nil {
			clientProtocol.WriteBadRequest(f, w, r, badRequest)
			return
		}
		clientOf(r).endBody()
		defer clientProtocol.Finish(exchange)
		if target.admit(exchange, reservedBytes, inputOf(r)) {
			defer exchange.Release()
		}
	}
	answer, ok := target.Service.Do(r.Context(), exchange)
	if !ok && isStillConnected(r) {
		// The request was not forwarded because the client sent so many bytes after it that a disconnect
		// could not have been detected. The client turns out to be connected, so it gets the answer.
		w.Header().Set("Connection", "close")
		ok = true
	}
	if !ok {
		// If the handler returned normally, net/http would send a 200, and a client that has closed
		// only its sending side would take it for the answer.
		panic(http.ErrAbortHandler)
	}
	clientProtocol.WriteAnswer(f, w, r, exchange, answer)
}

// discardUnreadBody discards what has been received of a request's body after an answer that closes the connection.
// Otherwise net/http would read it once the handler has returned, for as long as the client takes to send it, and then start
// a goroutine that keeps the request in memory while nothing waits for it.
func discardUnreadBody(w http.ResponseWriter, r *http.Request) {
	if client := clientOf(r); client == nil || !client.input.isBodyUnread() || w.Header().Get("Connection") != "close" {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(expired)
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerBytes)
}

// serveHealthCheck answers a health check of the node itself.
func (f *Front) serveHealthCheck(w http.ResponseWriter) {
	status := http.StatusOK
	if !f.isReady() || f.isDraining.Load() {
		status = http.StatusServiceUnavailable
	}
	f.writeAnswer(w, service.Answer{Status: status})
}

// findTarget returns the target of a request after acquiring its services, so that a service that a
// reload removes still serves the requests that arrived before.
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

// firstSegmentOf returns the decoded first segment of a URL's path. It is used without a Router. The
// path is split before it is decoded, because the segment may contain an encoded slash.
func firstSegmentOf(u *url.URL) string {
	if u.RawPath != "" { // RawPath is always set if a slash is encoded
		if first, err := url.PathUnescape(route.FirstSegment(u.RawPath)); err == nil {
			return first
		}
	}
	return route.FirstSegment(u.Path)
}

// writeBadRequest writes the error answer for an invalid request in the format of the platform's protocol.
func (f *Front) writeBadRequest(w http.ResponseWriter, r *http.Request, badRequest *BadRequest) {
	f.paceBadRequest(r, badRequest)
	if badRequest.closeConnection {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, service.Answer{
		Status:     badRequest.status,
		Body:       []byte(badRequest.text + "\n"),
		RetryAfter: badRequest.retryAfter,
	})
}

// writeAnswer writes a buffered answer in the format of the platform's protocol.
func (f *Front) writeAnswer(w http.ResponseWriter, answer service.Answer) {
	// A client that reads nothing must not block the handler forever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	header := w.Header()
	// The node may have started to drain after this request arrived. Checking here keeps clients from
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
		header["Content-Type"] = nil // keeps net/http from guessing the type from the body
	}
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the request's context reports a disconnected client
}
