package front

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// badRequestInterval is the time between two error answers to invalid requests, over all clients, once they come faster
	// than that. Answering them takes time of the processor from valid requests.
	badRequestInterval = 2 * time.Millisecond
	// maxBadRequestBurst is the number of invalid requests that are answered without a delay after a quiet time.
	maxBadRequestBurst = 50
	// maxBadRequestDelay limits the delay of one error answer.
	maxBadRequestDelay = 250 * time.Millisecond
)

// badRequestPacer delays the error answers to invalid requests. A client that sends one after the other is so held to a small
// part of the processor. Its zero value is ready for use, and it is safe for concurrent use.
type badRequestPacer struct {
	mu     sync.Mutex
	nextAt time.Time // when the next answer may be written without a delay
}

// delay returns the delay of an answer at the time now.
func (p *badRequestPacer) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-maxBadRequestBurst * badRequestInterval); p.nextAt.Before(earliest) {
		p.nextAt = earliest
	}
	wait := min(p.nextAt.Sub(now), maxBadRequestDelay)
	if wait < maxBadRequestDelay {
		p.nextAt = p.nextAt.Add(badRequestInterval)
	}
	return max(wait, 0)
}

// wait waits until an error answer may be written, or until ctx ends.
func (p *badRequestPacer) wait(ctx context.Context) {
	wait := p.delay(time.Now())
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// paceBadRequest waits until the error answer to an invalid request may be written. One that closes its connection is not
// delayed, as the client has to connect again, and neither is one to a valid request for which there is no memory.
func (f *Front) paceBadRequest(r *http.Request, badRequest *BadRequest) {
	if badRequest.closeConnection || badRequest.retryAfter > 0 || f.isDraining.Load() {
		return
	}
	f.badRequests.wait(r.Context())
}
