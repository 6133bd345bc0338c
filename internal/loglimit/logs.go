// Package loglimit rate-limits log lines, so that clients can't fill the log with lines that their
// requests cause. After lines of a message were suppressed, the next one carries their number.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	perSecond   = 1   // lines of one message, once the burst is used up
	burst       = 20  // lines of one message at once
	maxMessages = 512 // messages with a limiter
)

// Suppressed is the attribute key for the number of lines with the same message that were suppressed before a line.
const Suppressed = "suppressed"

// Limit wraps a handler so that of each message (with its level) at most a burst of 20 lines and then
// one line a second pass. Debug lines are not limited, since an operator has enabled them. The handler
// is safe for concurrent use. It keeps limiters for at most 512 messages; one more message discards
// all limiters. Messages are constants of the program, so this is not expected.
func Limit(h slog.Handler) slog.Handler {
	return &limitingHandler{Handler: h, limiters: &limiters{byKey: make(map[string]*limiter)}}
}

// limitingHandler is a handler that shares its limiters with the handlers derived from it.
type limitingHandler struct {
	slog.Handler
	limiters *limiters
}

// limiters holds the limiters by level and message. It is safe for concurrent use.
type limiters struct {
	mu    sync.Mutex
	byKey map[string]*limiter
}

// limiter limits the lines of one message.
type limiter struct {
	tokens     *rate.Limiter
	suppressed int64 // lines since the last one that passed
}

// allow reports whether a line may be written at a time, and if so, how many lines of the same level
// and message were suppressed before it.
func (t *limiters) allow(key string, at time.Time) (suppressed int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.byKey[key]
	if entry == nil {
		if len(t.byKey) >= maxMessages {
			clear(t.byKey)
		}
		entry = &limiter{tokens: rate.NewLimiter(perSecond, burst)}
		t.byKey[key] = entry
	}
	if !entry.tokens.AllowN(at, 1) {
		entry.suppressed++
		return 0, false
	}
	suppressed = entry.suppressed
	entry.suppressed = 0
	return suppressed, true
}

// Handle writes a line, or suppresses it and counts it as suppressed.
func (l *limitingHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelInfo {
		return l.Handler.Handle(ctx, r)
	}
	suppressed, ok := l.limiters.allow(r.Level.String()+r.Message, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64(Suppressed, suppressed))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with additional attributes that shares the limiters.
func (l *limitingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitingHandler{Handler: l.Handler.WithAttrs(attrs), limiters: l.limiters}
}

// WithGroup returns a handler with a group that shares the limiters.
func (l *limitingHandler) WithGroup(name string) slog.Handler {
	return &limitingHandler{Handler: l.Handler.WithGroup(name), limiters: l.limiters}
}
