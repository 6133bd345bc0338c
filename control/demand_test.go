package control

import (
	"math"
	"testing"
	"time"
)

func TestRejectionProbabilityAccountsForEarlierRejections(t *testing.T) {
	plan := &Plan{QuotaRate: 1000}
	for _, tc := range []struct{ used, rejected, want float64 }{
		{500, 0, 0},
		{4000, 0, 0.75},
		{2000, 0.75, 0.875}, // a quarter of the demand was admitted and is still twice the quota
	} {
		var demand demandEstimate
		demand.addReading(time.Hour, tc.used, 1, plan.QuotaRate, tc.rejected)
		got := demand.rejectionProbability(time.Hour, 0, 1e9, plan)
		if math.Abs(got-tc.want) > 0.01 {
			t.Errorf("rejection probability is %g after %g units with a rejected fraction of %g, want %g", got, tc.used, tc.rejected, tc.want)
		}
	}
}

func TestReadingsAreEnoughWhileMostPeriodsAreRead(t *testing.T) {
	var demand demandEstimate
	start, now := time.Hour, time.Hour
	for range 20 {
		now += time.Second
		demand.addReading(now, 1, 1, 10, 0)
	}
	if !demand.hasEnoughReadings(now, start) {
		t.Error("hasEnoughReadings is false with a reading of each period")
	}
	if demand.hasEnoughReadings(now+time.Minute, start) {
		t.Error("hasEnoughReadings is true a minute after the latest reading")
	}
}

func TestMeterPeriodIsReadOnce(t *testing.T) {
	var demand demandEstimate
	if !demand.isNewReading(-100) {
		t.Error("the first reading is not new")
	}
	demand.startReading(100)
	for bin, want := range map[int64]bool{100: false, 104: false, 105: true, 110: true} {
		if got := demand.isNewReading(bin); got != want {
			t.Errorf("period that ends in bin %d after one that ended in bin 100: isNewReading is %v", bin, got)
		}
	}
}

func TestFirstReadingsRejectByThePlansExcess(t *testing.T) {
	var readings firstReadingEstimate
	if got := readings.rejectionProbability(2); got != 0 {
		t.Errorf("rejection probability is %g without a reading, want 0", got)
	}
	for range 1000 {
		readings.add(300, 0.5)
	}
	if got := readings.rejectionProbability(2); math.Abs(got-0.25) > 1e-6 {
		t.Errorf("rejection probability is %g for readings of three times the quota at one of two gateways, want 0.25", got)
	}
	if got := readings.rejectionProbability(1); got != 0 {
		t.Errorf("rejection probability is %g with a fan-out of one, want 0", got)
	}
}
