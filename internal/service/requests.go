package service

import (
	"context"
	"net/http"
	"time"
)

// Admit reserves resources for a request with a body of this many bytes and for its answer. If none are available,
// it returns false, and the module rejects the request in Do.
func (s *Service) Admit(x *Exchange, body int64) (ok bool) {
	return s.reserve(x, body+int64(s.upstream.MaxBodyBytes))
}

// Announce is called for a request whose body is still to be read. If resources for the request are available, it reserves
// a slot, but no memory: a client that does not send its body must not occupy the memory for an answer. The caller releases
// the slot before it calls Admit. If no resources are available, Announce returns false, and the module rejects the request
// in Do.
func (s *Service) Announce(x *Exchange, body int64) bool {
	if !s.Admit(x, body) {
		return false
	}
	x.Release()
	return s.reserve(x, 0)
}

// reserve reserves a slot and memory for a request.
func (s *Service) reserve(x *Exchange, bytes int64) (ok bool) {
	if s.options.Limiter == nil {
		return true
	}
	if x.releaseResources, ok = s.options.Limiter.Admit(bytes); !ok {
		x.Request.IsOverCapacity = true
		return false
	}
	x.references.Store(1)
	return true
}

// Do serves a request and waits for its final answer. It returns false if ctx, the client's, ended before the
// answer, or if the client was found to have disconnected.
func (s *Service) Do(ctx context.Context, x *Exchange) (Answer, bool) {
	x.clientContext = ctx
	a, ok := s.doOnce(ctx, x)
	for next := a.replacement; next != nil; next = a.replacement {
		if !next.TryAcquire() {
			return s.Unavailable(), true
		}
		a, ok = next.doOnce(ctx, x)
		next.Release()
	}
	return a, ok
}

// Unavailable returns the answer to a request that no module has handled, which is safe to retry.
func (s *Service) Unavailable() Answer {
	return Answer{
		Kind:       Rejected,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: min(time.Second, s.options.Settings.MaxRetryAfter),
	}
}

// doOnce is Do, except that Answer.replacement may name a service that the request has to be passed to.
func (s *Service) doOnce(ctx context.Context, x *Exchange) (Answer, bool) {
	x.answer = make(chan Answer, 1)
	l := s.currentLoop()
	if !l.post(func() { l.acceptRequest(x) }) {
		return s.Unavailable(), true
	}
	select {
	case a := <-x.answer:
		return a, !a.clientHasLeft
	case <-ctx.Done():
		if !l.post(func() { l.clientLeft(x) }) {
			x.discardAnswer()
		}
		return Answer{}, false
	case <-l.ended:
		select {
		case a := <-x.answer:
			return a, !a.clientHasLeft
		default: // every accepted request is answered before the loop ends, so this one was not accepted
			return s.Unavailable(), true
		}
	}
}

// Post has the service's event loop call a function between two events. It returns false if the service has ended.
// A panic of the function is handled like one of the module.
func (s *Service) Post(event func()) bool { return s.currentLoop().post(event) }

// Alive reports whether the service's event loop executes events, waiting until ctx ends. A loop that has
// ended counts as alive, as it may be about to restart.
func (s *Service) Alive(ctx context.Context) bool {
	l := s.currentLoop()
	done := make(chan struct{})
	select {
	case l.events <- func() { close(done) }:
	case <-l.ended:
		return true
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
	case <-l.ended:
	case <-ctx.Done():
		return false
	}
	return true
}
