package upstream

import (
	"context"
	"slices"
	"time"

	"lockflow/internal/h2"
)

// idleCheckInterval is the interval between two checks of the idle connections by WatchIdle.
const idleCheckInterval = time.Second

// WatchIdle closes idle connections that are too old or that the app server has closed. It returns when ctx ends.
func (u *Upstream) WatchIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.closeIdleIf(func(conn *serverConn) bool { return !u.isUsable(conn) })
			u.eachShared(func(s *sharedConnections) { s.closeIdle(u.maxIdleTime) })
		}
	}
}

// isUsable reports whether an idle connection can take a request.
func (u *Upstream) isUsable(conn *serverConn) bool {
	return conn.isOpenAndEmpty() && time.Since(conn.idleSince) < u.maxIdleTime
}

// CloseIdleBefore closes a pool's idle connections that were last used before a given time.
func (u *Upstream) CloseIdleBefore(pool *Pool, before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	pool = pool.owner()
	pool.idle = slices.DeleteFunc(pool.idle, func(conn *serverConn) bool {
		isOlder := conn.idleSince.Before(before)
		if isOlder {
			conn.Close()
			pool.process.closed(conn, false)
		}
		return isOlder
	})
}

// CountIdle returns the number of idle connections and the number of pools that are not retired.
func (u *Upstream) CountIdle() (idle, pools int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for pool := range u.pools {
		idle += len(pool.idle) + pool.shared.countIdle()
	}
	return idle, len(u.pools)
}

// Evict closes the connection that has been idle longest if more than minIdle are idle. It reports whether it has
// closed one.
func (u *Upstream) Evict(minIdle int) bool {
	var oldest *serverConn
	count := 0
	u.closeIdleIf(func(conn *serverConn) bool {
		count++
		if oldest == nil || conn.idleSince.Before(oldest.idleSince) {
			oldest = conn
		}
		return false
	})
	if oldest == nil || count <= minIdle {
		return u.evictHTTP2(minIdle)
	}
	u.closeIdleIf(func(conn *serverConn) bool { return conn == oldest })
	return true
}

// evictHTTP2 does the same as Evict for HTTP/2 connections.
func (u *Upstream) evictHTTP2(minIdle int) bool {
	var oldest *h2.Conn
	var oldestSince time.Time
	count := 0
	u.eachShared(func(s *sharedConnections) {
		s.each(func(conn *h2.Conn) {
			idleSince, ok := conn.Idle()
			if !ok {
				return
			}
			count++
			if oldest == nil || idleSince.Before(oldestSince) {
				oldest = conn
				oldestSince = idleSince
			}
		})
	})
	if oldest == nil || count <= minIdle {
		return false
	}
	oldest.Retire() // a request that has just acquired this connection still completes
	return true
}

// closeIdleIf closes the idle connections for which matches returns true.
func (u *Upstream) closeIdleIf(matches func(*serverConn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for pool := range u.pools {
		idle := pool.idle[:0]
		for _, conn := range pool.idle {
			if matches(conn) {
				byPeer := conn.isClosedByPeer()
				conn.Close()
				pool.process.closed(conn, byPeer)
			} else {
				idle = append(idle, conn)
			}
		}
		clear(pool.idle[len(idle):])
		pool.idle = idle
	}
}
