package service

import (
	"context"
	"net/http"
	"time"
)

// Admit reserves resources for a request with a body of some bytes and for its answer. Where there are none
// it returns false, and the module rejects the request in Do.
func (s *Service) Admit(x *Exchange, body int64) (ok bool) {
	if s.options.Limiter == nil {
		return true
	}
	answer := int64(s.upstream.MaxBodyBytes)
	if x.releaseResources, ok = s.options.Limiter.Admit(body + answer); !ok {
		x.Request.IsOverCapacity = true
		return false
	}
	x.references.Store(1)
	return true
}

// Do serves a request and waits for its final answer. It returns false where ctx, the client's, ended before,
// or where the client was found to have left.
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

// Unavailable is the answer to a request that no module has handled: a retry is safe.
func (s *Service) Unavailable() Answer {
	return Answer{
		Kind:       Rejected,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: min(time.Second, s.options.Settings.MaxRetryAfter),
	}
}

// doOnce is Do, but for a request that has to go to this service's replacement, which its answer says.
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
		default: // every request that has started is answered before the loop ends
			return s.Unavailable(), true
		}
	}
}

// Post has the service's event loop call a function between two events; false where the service has ended.
// A panic in it counts as one of the module.
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
