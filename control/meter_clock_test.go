package control

import (
	"testing"
	"time"
)

// The phase and the lag of the meter's periods are learned from the units that this gateway sent.
func TestMeterClockLearnsTheDelay(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].QuotaRate, settings.Plans[0].QuotaBurst = 10, 1000
	gateway := newTestGateway(t, settings, activeEndpoints(1, 2, 3)...)
	account := gateway.controller.accountFor(gateway.controller.scheduler.plans[0], "x", 1)
	const delay = 1300 * ms
	var sent []time.Duration
	for i := 0; i < 3000; i++ {
		gateway.now += 10 * ms
		gateway.controller.now = gateway.now
		gateway.controller.refillAccount(account)
		if i%7 == 0 && (i/300)%2 == 0 {
			account.chargeFirstAttempt(1, gateway.controller.currentBin())
			sent = append(sent, gateway.now)
		}
		end := (gateway.now - delay).Truncate(time.Second)
		n := 0
		for _, at := range sent {
			if at >= end-time.Second && at < end {
				n++
			}
		}
		if i%5 == 0 {
			gateway.recordReading(account, 1+n*10, 1)
		}
	}
	end := gateway.controller.usage.meter.periodEndBin(gateway.controller.currentBin())
	if want := int64((gateway.now - delay).Truncate(time.Second) / (100 * ms)); end < want-1 || end > want+1 {
		t.Errorf("reported period is estimated to end in bin %d, want %d", end, want)
	}
}
