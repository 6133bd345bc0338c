package service

import (
	"math"
	"sync"
	"time"
)

const (
	// maxUptime is the highest age that a server has by the first list. A higher one is due to a wall clock that was
	// never set.
	maxUptime = 10 * 365 * 24 * time.Hour

	// maxListDelay is how long after its start a server is first listed at the latest, where lists arrive in time: clients
	// get a change within 6 s after discovery has it, and discovery needs time to detect it.
	maxListDelay = 10 * time.Second

	// maxClockDrift is how far wall time and monotonic time may differ without that being a step of the wall clock.
	maxClockDrift = 500 * time.Millisecond

	// maxBootMS is the largest valid boot time; a larger one counts as unknown.
	maxBootMS = float64(math.MaxInt64 / int64(time.Millisecond))

	// maxUnlistedStarts is how many servers that are no longer listed are remembered.
	maxUnlistedStarts = 1024
)

// ServerStart is when a server started.
type ServerStart struct {
	BootMS    float64       `cbor:"boot"` // Unix time in ms, as in the endpoint list
	StartedAt time.Duration `cbor:"at"`   // on the module's clock
}

// serverStart is ServerStart by the monotonic clock.
type serverStart struct {
	bootMS    float64
	startedAt time.Time // with a monotonic reading
}

// serverStarts has the times at which servers started. The endpoint list has wall times, and a wall clock may be
// stepped, so each is converted to an age once, when it is first listed; from then on the monotonic clock counts. It is
// safe for concurrent use: a service and its replacement share one.
type serverStarts struct {
	mu         sync.Mutex
	byUID      map[string]serverStart
	lastListAt time.Time // when discovery's latest message was applied; zero before the first
	startedAt  clockReading
}

// clockReading is one moment by both clocks.
type clockReading struct {
	monotonic time.Time
	wall      time.Duration // Unix time
}

func readClocks() clockReading {
	now := time.Now()
	return clockReading{now, unixTime(now)}
}

func newServerStarts() *serverStarts {
	return &serverStarts{byUID: make(map[string]serverStart), startedAt: readClocks()}
}

// resolve returns when a server started that is listed now with a boot time above 0. A server that was not listed, or
// with another boot time, did not start before the last message that did not list it so. As lists may be late, a start
// that is a little before that message is accepted, unless the wall clock was stepped; an earlier one is moved to the
// message.
func (s *serverStarts) resolve(uid string, bootMS float64, now clockReading) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.byUID[uid]; ok && known.bootMS == bootMS {
		return known.startedAt
	}
	startedAt := startByWallClock(bootMS, now)
	isUncertain := s.wasStepped(now) || startedAt.Before(s.lastListAt.Add(-maxListDelay))
	if isUncertain && startedAt.Before(s.lastListAt) {
		startedAt = s.lastListAt
	}
	s.byUID[uid] = serverStart{bootMS, startedAt}
	return startedAt
}

// wasStepped reports whether the wall clock is off by a step since these starts were first recorded.
func (s *serverStarts) wasStepped(now clockReading) bool {
	drift := now.wall - s.startedAt.wall - now.monotonic.Sub(s.startedAt.monotonic)
	return drift.Abs() > maxClockDrift
}

// startByWallClock returns when a server started by the wall clock of now, with a monotonic reading. A start in the
// future, or longer ago than any uptime, counts as now: a wall clock was never set, and it is safe to warm up a server
// that needs no warm-up.
func startByWallClock(bootMS float64, now clockReading) time.Time {
	const nanosecondsPerMillisecond = float64(time.Millisecond)
	age := float64(now.wall) - bootMS*nanosecondsPerMillisecond
	if !(age >= 0 && age <= float64(maxUptime)) {
		return now.monotonic
	}
	return now.monotonic.Add(-time.Duration(age))
}

// listReceived records that a message of discovery was applied, after resolve of its servers, and forgets servers that
// are not listed where they are too many.
func (s *serverStarts) listReceived(now time.Time, serverIDs map[string]uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastListAt = now
	if len(s.byUID) <= len(serverIDs)+maxUnlistedStarts {
		return
	}
	for uid := range s.byUID {
		if _, isListed := serverIDs[uid]; !isListed {
			delete(s.byUID, uid)
		}
	}
}

// export returns the starts of the listed servers, by uid, on a module's clock.
func (s *serverStarts) export(clock moduleClock, serverIDs map[string]uint32) map[string]ServerStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := make(map[string]ServerStart)
	for uid, start := range s.byUID {
		if _, isListed := serverIDs[uid]; isListed {
			starts[uid] = ServerStart{start.bootMS, clock.at(start.startedAt)}
		}
	}
	return starts
}

// adopt takes over an earlier process's starts that are later than this one's, and reports whether there are any: either
// process may have started with a wrong wall clock, and it is safe to underestimate the age of a server.
func (s *serverStarts) adopt(starts map[string]ServerStart, clock moduleClock) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for uid, start := range starts {
		known, ok := s.byUID[uid]
		startedAt := clock.timeOf(start.StartedAt)
		if ok && known.bootMS == start.BootMS && startedAt.After(known.startedAt) {
			s.byUID[uid] = serverStart{start.BootMS, startedAt}
			changed = true
		}
	}
	return changed
}
