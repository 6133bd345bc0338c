package loglimit

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(Limit(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})))
		lines := func() []string { return strings.Split(strings.TrimSpace(out.String()), "\n") }
		for i := range 1000 {
			log.With("conn", i).Warn("bad client")
		}
		if n := len(lines()); n != burst {
			t.Errorf("got %d lines of a repeated message, want %d", n, burst)
		}
		log.Error("bad client") // each level has its own limiter
		log.Info("other")
		if n := len(lines()); n != burst+2 {
			t.Errorf("a suppressed message suppresses other messages: got %d lines", n)
		}
		time.Sleep(time.Second)
		log.Warn("bad client")
		log.Warn("bad client")
		all := lines()
		if last := all[len(all)-1]; len(all) != burst+3 || !strings.Contains(last, Suppressed+"=980") {
			t.Errorf("after a second: got %d lines, the last one %q", len(all), last)
		}
		for range 100 {
			log.Debug("enabled")
		}
		if n := len(lines()); n != burst+103 {
			t.Errorf("got %d lines after 100 debug lines", n)
		}
		for i := range 3 * maxMessages {
			log.Info(strings.Repeat("x", i))
		}
		if n := len(log.Handler().(*limitingHandler).limiters.byKey); n > maxMessages {
			t.Errorf("limiters are kept for %d messages", n)
		}
	})
}
