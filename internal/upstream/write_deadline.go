package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lockflow/internal/protocol"
)

type writeDeadlineKey struct{}

// WithWriteDeadline returns a ctx whose attempt is either written completely by the deadline or not at all. An attempt
// whose connection is established later is not sent.
func WithWriteDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, writeDeadlineKey{}, deadline)
}

// writeDeadline returns the deadline set by WithWriteDeadline; zero is none.
func writeDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Value(writeDeadlineKey{}).(time.Time)
	return deadline
}

// isPastWriteDeadline reports whether the deadline set by WithWriteDeadline has passed.
func isPastWriteDeadline(ctx context.Context) bool {
	deadline := writeDeadline(ctx)
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// commitByWriteDeadline is Commit for an attempt that may not be written if the deadline set by WithWriteDeadline has
// passed.
func commitByWriteDeadline(ctx context.Context) bool { return !isPastWriteDeadline(ctx) && Commit(ctx) }

// setTimeLeft adds a header field to a request that tells the server how long this node will wait for the response.
func setTimeLeft(request *http.Request, deadline time.Time) {
	request.Header.Set(protocol.HeaderTimeLeft, formatTimeLeft(timeUntil(deadline)))
}

// timeUntil returns the time left until a deadline, at least one millisecond.
func timeUntil(deadline time.Time) time.Duration {
	return max(time.Until(deadline), time.Millisecond)
}

// formatTimeLeft returns the value of protocol.HeaderTimeLeft, in whole milliseconds.
func formatTimeLeft(left time.Duration) string {
	return strconv.FormatInt(left.Milliseconds(), 10) + "m"
}
