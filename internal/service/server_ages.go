package service

import (
	"math"
	"sync"
	"time"
)

const (
	// maxUptime is the highest plausible age of a server. A higher one is caused by a wall clock that was never
	// set.
	maxUptime = 10 * 365 * 24 * time.Hour

	// maxListDelay is the maximum time from a server's start to its first listing while lists arrive in time: clients
	// get a change within 6 s after discovery has it, and discovery needs time to detect it.
	maxListDelay = 10 * time.Second

	// maxClockDrift is the maximum difference between wall time and monotonic time that is not taken as a clock step.
	maxClockDrift = 500 * time.Millisecond

	// maxBootMS is the largest valid boot time; a larger one counts as unknown.
	maxBootMS = float64(math.MaxInt64 / int64(time.Millisecond))

	// maxUnlistedStarts limits the number of unlisted servers whose starts are retained.
	maxUnlistedStarts = 1024
)

// ServerStart is when a server started.
type ServerStart struct {
	BootMS    float64       `cbor:"boot"` // Unix time in ms, as in the endpoint list
	StartedAt time.Duration `cbor:"at"`   // on the module's clock
}

// serverStart is a ServerStart on the monotonic clock.
type serverStart struct {
	bootMS    float64
	startedAt time.Time // with a monotonic reading
}

// serverStarts holds the start times of servers. The endpoint list has wall times, and a wall clock may be stepped, so
// each time is converted to an age only once, when it is first listed; afterwards the age follows the monotonic clock.
// A serverStarts is safe for concurrent use, as a service and its replacement share one.
type serverStarts struct {
	mu         sync.Mutex
	byUID      map[string]serverStart
	lastListAt time.Time // when discovery's latest message was applied; zero before the first
	startedAt  clockReading
}

// clockReading is the same moment on the monotonic clock and the wall clock.
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

// resolve returns when a server started that is now listed with a boot time above 0. If the last message did not list
// the server with this boot time, the server has started since. As lists may be late, a start of up to maxListDelay
// before that message is accepted, unless the wall clock was stepped; any earlier start is replaced by the time of the
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

// wasStepped reports whether the wall clock has been stepped since s was created.
func (s *serverStarts) wasStepped(now clockReading) bool {
	drift := now.wall - s.startedAt.wall - now.monotonic.Sub(s.startedAt.monotonic)
	return drift.Abs() > maxClockDrift
}

// startByWallClock converts a boot time to a time with a monotonic reading, by the wall clock of now. A start in the
// future or more than maxUptime ago counts as now: some wall clock is wrong, and it is safe to warm up a server that
// needs no warm-up.
func startByWallClock(bootMS float64, now clockReading) time.Time {
	const nanosecondsPerMillisecond = float64(time.Millisecond)
	age := float64(now.wall) - bootMS*nanosecondsPerMillisecond
	if !(age >= 0 && age <= float64(maxUptime)) {
		return now.monotonic
	}
	return now.monotonic.Add(-time.Duration(age))
}

// listReceived records that a message of discovery was applied, after resolve was called for its servers. It discards
// the starts of unlisted servers if there are more than maxUnlistedStarts.
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

// export returns the starts of the listed servers on a module's clock, by uid.
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

// adopt replaces starts with later ones of an earlier process, and reports whether there were any. Either process may
// have started with a wrong wall clock, and it is safe to underestimate the age of a server.
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
