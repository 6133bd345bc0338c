package control

import (
	"reflect"
	"testing"
	"time"
)

// Shift must move all times and bins of a checkpoint by the same difference and change nothing else. Times that are not
// set stay zero.
func TestShiftMovesAllTimes(t *testing.T) {
	const bin = time.Second / binsPerPeriod
	at := 2 * time.Hour
	original := func() Checkpoint {
		return Checkpoint{
			At: at, RefillStart: at - time.Second, Window: WindowState{EndsAt: at + time.Second},
			Meter: MeterState{Period: time.Second, PhaseBin: 3},
			Servers: []ServerCheckpoint{{
				StartedAt: at - time.Minute, LatencyAt: at, FailureRateAt: at, EjectedUntil: at + time.Second,
				AbandonedUntil: []time.Duration{at + 2*time.Second}, PlanRejectedUntil: map[string]time.Duration{"p": at + time.Second},
			}},
			Customers: []CustomerCheckpoint{{
				RemoteRateAt: at, ReadingAt: at, RequestedAt: at, ReadingEndBin: int64(at / bin),
				Sent: []BinAmount{{int64(at / bin), 1}}, Charged: []BinAmount{{5, 2}}, Arrivals: []BinAmount{{6, 3}}, Rejections: []BinAmount{{7, 4}},
			}},
		}
	}
	for _, difference := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour + bin} {
		moved := original()
		moved.Shift(difference)
		if moved.At != at+difference || moved.Servers[0].PlanRejectedUntil["p"] != at+time.Second+difference || moved.Window.CutAt != 0 {
			t.Errorf("by %v: %+v", difference, moved)
		}
		if bins := int64(difference / bin); moved.Customers[0].Sent[0].Bin != int64(at/bin)+bins || moved.Customers[0].Rejections[0].Bin != 7+bins {
			t.Errorf("by %v: %+v", difference, moved.Customers)
		}
		moved.Shift(-difference)
		if want := original(); !reflect.DeepEqual(moved, want) {
			t.Errorf("after a shift by %v and back: %+v, want %+v", difference, moved, want)
		}
	}
	near := original()
	near.Shift(minClockShift - 1)
	if !reflect.DeepEqual(near, original()) {
		t.Error("a difference below minClockShift changed the checkpoint")
	}
}
