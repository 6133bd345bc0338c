// Package loglimit keeps lines that somebody else can cause, a client above all, from filling the
// log: of each text only so many a second are written, and the next one tells how many were not.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	perSecond = 1  // lines of one text, once the burst is used up
	burst     = 20 // lines of one text at once
	maxTexts  = 512
)

// Suppressed is the key under which a line tells how many of its text were left out before it.
const Suppressed = "suppressed"

// Limit wraps a handler so that of each text (level and message) at most a burst of 20 lines and
// then one a second pass; debug lines pass all, since somebody has asked for them. It is safe
// for concurrent use. It keeps 512 texts at most: texts are the program's own, not a client's;
// beyond that number it forgets all and begins anew.
func Limit(h slog.Handler) slog.Handler {
	return &limited{Handler: h, texts: &texts{of: make(map[string]*text)}}
}

type limited struct {
	slog.Handler
	texts *texts
}

type texts struct {
	mu sync.Mutex
	of map[string]*text
}

type text struct {
	limit *rate.Limiter
	left  int64 // out since the last one that passed
}

// pass tells whether a line may be written at a time, and how many of its text were left out.
func (t *texts) pass(key string, at time.Time) (left int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.of[key]
	if one == nil {
		if len(t.of) >= maxTexts {
			clear(t.of)
		}
		one = &text{limit: rate.NewLimiter(perSecond, burst)}
		t.of[key] = one
	}
	if !one.limit.AllowN(at, 1) {
		one.left++
		return 0, false
	}
	left, one.left = one.left, 0
	return left, true
}

// Handle writes a line, or counts it as left out.
func (l *limited) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelInfo {
		return l.Handler.Handle(ctx, r)
	}
	left, ok := l.texts.pass(r.Level.String()+r.Message, r.Time)
	if !ok {
		return nil
	}
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64(Suppressed, left))
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs is Limit of a handler with further attributes; both count together.
func (l *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{l.Handler.WithAttrs(attrs), l.texts}
}

// WithGroup is Limit of a handler with a group; both count together.
func (l *limited) WithGroup(name string) slog.Handler {
	return &limited{l.Handler.WithGroup(name), l.texts}
}
