package service

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"lockflow/control"
)

// The backoff before a restart doubles with each consecutive restart.
const (
	minRestartBackoff   = 200 * time.Millisecond // of the second consecutive restart; the first one is immediate
	maxRestartBackoff   = 10 * time.Second
	restartBackoffReset = time.Minute // a module that ran for longer resets the backoff
)

// Run serves until ctx ends or, once the service is retired, until nothing references it. Requests without
// an answer at the end are answered then: as rejected if they cannot have run, otherwise as failed. Run returns
// an error if the module panicked and was not restarted, because of Options.OnPanic, an ended ctx or a failure.
func (s *Service) Run(ctx context.Context) error {
	defer close(s.ended)
	ctx, stop := context.WithCancel(ctx)
	lifetime, endLifetime := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer endLifetime()
	defer stop()
	tasks.Go(func() { s.feed.Run(lifetime) })
	tasks.Go(func() { s.upstream.WatchIdle(lifetime) })
	if s.options.SharedHardLimits != nil {
		tasks.Go(func() { s.tickLeaseHolders(lifetime) })
	}
	tasks.Go(func() {
		select {
		case <-s.unused:
			stop()
		case <-lifetime.Done():
		}
	})
	return s.runLoops(ctx)
}

// runLoops runs the current loop, and a new one after each panic that is followed by a restart.
func (s *Service) runLoops(ctx context.Context) error {
	backoff := time.Duration(0)
	startedAt := time.Now()
	for {
		l := s.currentLoop()
		l.run(ctx)
		s.retirePools(l)
		if l.err == nil || s.options.OnPanic != RestartService || ctx.Err() != nil {
			return l.err
		}
		s.log.Error("decision module failed: restarting the service with empty state", "err", l.err)
		if time.Since(startedAt) > restartBackoffReset {
			backoff = 0
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return l.err
		}
		startedAt = time.Now()
		backoff = min(max(2*backoff, minRestartBackoff), maxRestartBackoff)
		if err := s.restart(); err != nil {
			return err
		}
	}
}

// restart replaces the current loop with one that has a new module. The module gets no state but the endpoint list.
func (s *Service) restart() error {
	module, err := s.options.NewModule()
	if err != nil {
		return fmt.Errorf("restarting the service: creating its module: %w", err)
	}
	s.restarts.Add(1)
	l := s.newLoop(module)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loop = l
	s.postEndpoints(l, control.ListCached, s.endpointList())
	return nil
}

// retirePools closes the connections of a loop that has ended (those in use once they are returned to the pool).
// Pools that were transferred to a replacement are left to it.
func (s *Service) retirePools(l *loop) {
	for uid, id := range l.serverIDs {
		if pool := l.pools[id]; pool != nil && l.transferredPools[uid] != pool {
			s.upstream.RetirePool(pool)
		}
	}
}

// TryAcquire acquires a reference, which keeps the service from ending until Release. It returns false if the
// service has been retired and nothing references it.
func (s *Service) TryAcquire() bool {
	for {
		n := s.references.Load()
		if n < 0 {
			return false
		}
		if s.references.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release releases a reference that TryAcquire has acquired.
func (s *Service) Release() {
	if s.references.Add(-1) == 0 && s.isRetired.Load() {
		s.endIfUnused()
	}
}

// Retire ends the service as soon as nothing references it. Requests that it has accepted are still served.
func (s *Service) Retire() {
	s.isRetired.Store(true)
	s.endIfUnused()
}

func (s *Service) endIfUnused() {
	if s.references.CompareAndSwap(0, math.MinInt64) {
		close(s.unused)
	}
}

// Ended returns a channel that is closed when Run has returned.
func (s *Service) Ended() <-chan struct{} { return s.ended }
