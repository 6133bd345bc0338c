package accept

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestBacklogPeriodOutlastsSingleAccepts checks that the blocked period does not restart with each accept. While connections
// are accepted one by one, the remaining ones have been queued since accepting was first blocked.
func TestBacklogPeriodOutlastsSingleAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b Backlog
		startedAt := time.Now()
		for range 3 {
			b.Block()
			time.Sleep(400 * time.Millisecond)
			b.Unblock()
			if got := b.QueuedDuring(); !got.From.Equal(startedAt) || !got.To.Equal(time.Now()) {
				t.Errorf("got queued from %v to %v, want from the first Block at %v until now", got.From, got.To, startedAt)
			}
		}
		time.Sleep(maxQueueTime + time.Millisecond)
		if got := b.QueuedDuring(); got != (Period{}) {
			t.Errorf("got queued during %v, want the zero Period after maxQueueTime", got)
		}
		restartedAt := time.Now()
		b.Block()
		time.Sleep(time.Millisecond)
		b.Unblock()
		if got := b.QueuedDuring(); !got.From.Equal(restartedAt) {
			t.Errorf("got queued since %v, want since the new Block at %v", got.From, restartedAt)
		}
	})
}
