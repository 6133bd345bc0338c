package control

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// CheckpointVersion is the version of a Checkpoint's form. One of another version is not restored, as a field may mean
// something else.
const CheckpointVersion = 1

// Checkpoint is what a controller has spent and learned, for one that takes its place: after a reload, in a successor
// process, or after a restart. Times are on a clock that both controllers share (Unix time). An Image, in contrast, is
// the complete state of one controller; both forms have the same parts under keys of their own. The keys have older
// names of the fields: portion is the rate fraction, bound the concurrency limit, spread the fan-out, level and ceiling
// the tokens of the quota and of the hard limit, strikes consecutive failures, aside the ejection, told a reading.
type Checkpoint struct {
	Version          int                    `cbor:"v"`
	At               time.Duration          `cbor:"at"`      // when it was taken
	FillingSince     time.Duration          `cbor:"start"`   // since when the buckets of accounts not opened yet fill
	SlackFraction    float64                `cbor:"slack"`   // part of the slack with which hard limits were opened
	RateFraction     float64                `cbor:"portion"` // part of the rates at which buckets fill, from 0 to 1
	ConcurrencyLimit float64                `cbor:"bound"`
	UsableServers    float64                `cbor:"usable"` // servers that the limit was for
	Window           WindowState            `cbor:"interval"`
	FleetLatency     float64                `cbor:"lat"`
	IdleLatency      float64                `cbor:"idle"`
	LatencySamples   float64                `cbor:"seen"`
	WarmThroughput   float64                `cbor:"served"`              // units a second by servers that are not warming up
	WarmServers      float64                `cbor:"served_by,omitempty"` // how many those were; 0 is not known
	PeakThroughput   float64                `cbor:"peak,omitempty"`      // units a second by one of them, at most
	RetryBudget      float64                `cbor:"retries"`
	MinRetryGap      time.Duration          `cbor:"next"`
	Meter            MeterState             `cbor:"meter"`
	TypicalDeadlines []TypicalDeadlineState `cbor:"usual"`
	Plans            []PlanCheckpoint       `cbor:"shares"`
	Servers          []ServerCheckpoint     `cbor:"servers"`
	Customers        []CustomerCheckpoint   `cbor:"customers"`
}

// WindowState is what a control window that has not ended has counted; see controlWindow.
type WindowState struct {
	EndsAt            time.Duration `cbor:"ends"`
	WasCut            bool          `cbor:"Cut"`
	LimitReached      bool          `cbor:"Pressed"`
	LatencyRatioSum   float64       `cbor:"LatSum"`
	LatencySecondsSum float64       `cbor:"SecSum"`
	LatencyCount      float64       `cbor:"LatN"`
	Answers           float64       `cbor:"Answers"`
	Overloads         float64       `cbor:"Bad"`
	ServedUnits       float64       `cbor:"Served"`
	UtilizationSum    float64       `cbor:"UtilSum"`
	UtilizationCount  float64       `cbor:"UtilN"`
	CutAt             time.Duration `cbor:"cut_at"`
}

// MeterState is what is known of the meter's periods; see meterClock. It is of use with the same period only.
type MeterState struct {
	Period   time.Duration `cbor:"period"`
	PhaseBin int64         `cbor:"Phase"`
	LagBins  int64         `cbor:"Lag"`
	Misfit   []float64     `cbor:"miss"`
}

// TypicalDeadlineState is the deadline that most first attempts of a class have.
type TypicalDeadlineState struct {
	Class    string        `cbor:"class"`
	Deadline time.Duration `cbor:"ttl"`
	Support  int           `cbor:"seen"`
}

// PlanCheckpoint is a plan's share in the scheduler, with its lateness.
type PlanCheckpoint struct {
	Plan          string  `cbor:"plan"`
	Share         float64 `cbor:"share"`
	MeanLateness  float64 `cbor:"y"`
	LatenessSum   float64 `cbor:"late"` // in this control window
	LatenessCount float64 `cbor:"late_n"`
}

// ServerCheckpoint is what is known of one incarnation of a server; see server.
type ServerCheckpoint struct {
	Server              uint32                   `cbor:"id"`
	StartedAt           time.Duration            `cbor:"up"`     // 0 is long ago
	InFlight            int                      `cbor:"out"`    // attempts
	AbandonedUntil      []time.Duration          `cbor:"ghosts"` // ends of attempts presumed still running there
	Latency             float64                  `cbor:"lat"`
	LatencyAt           time.Duration            `cbor:"lat_at"`
	ConsecutiveFailures int                      `cbor:"strikes"`
	FailureRate         float64                  `cbor:"failing"`
	FailureRateAt       time.Duration            `cbor:"failing_at"`
	PlanRejectedUntil   map[string]time.Duration `cbor:"shut"`
	EjectedUntil        time.Duration            `cbor:"aside_until"`
	EjectionTime        time.Duration            `cbor:"aside"`
	SlowStartTokens     float64                  `cbor:"tokens"`
}

// CustomerCheckpoint is what a customer has left to spend, and what is known of it; see customerAccount.
type CustomerCheckpoint struct {
	ID                       string        `cbor:"id"`
	Plan                     string        `cbor:"plan"`
	FanOut                   float64       `cbor:"spread"`
	QuotaBurst               float64       `cbor:"depth"` // of the plan under which the tokens were counted
	HardLimitBurst           float64       `cbor:"burst"` // the same; 0 is no hard limit
	QuotaTokens              float64       `cbor:"level"`
	HardLimitTokens          float64       `cbor:"ceiling"`
	InFlight                 int           `cbor:"out"` // attempts
	InFlightLimit            float64       `cbor:"open_cap"`
	OpenRejectionProbability float64       `cbor:"chance"`
	IsMetered                bool          `cbor:"metered"`
	RemoteRate               float64       `cbor:"base"`
	LastReadingUnits         float64       `cbor:"last"`
	RemoteRateAt             time.Duration `cbor:"base_at"`
	ReadingAt                time.Duration `cbor:"told_at"`
	RequestedUnits           float64       `cbor:"tries"`
	RequestedAt              time.Duration `cbor:"tries_at"`
	MeteredUnits             float64       `cbor:"told"`
	DemandSeconds            float64       `cbor:"told_for"`
	MeteredSeconds           float64       `cbor:"cover"`
	ReadingEndBin            int64         `cbor:"read_end"`
	LocalUnits               float64       `cbor:"own_sum"`
	TotalUnits               float64       `cbor:"all_sum"`
	UsageRate                float64       `cbor:"smooth"`
	Sent                     []BinAmount   `cbor:"Own"`
	Charged                  []BinAmount   `cbor:"Charged"`
	Arrivals                 []BinAmount   `cbor:"Asked"`
	Rejections               []BinAmount   `cbor:"Refused"`
}

// BinAmount is the amount that a history has in one bin of time.
type BinAmount struct {
	Bin    int64   `cbor:"b"`
	Amount float64 `cbor:"v"`
}

// Checkpoint returns what the controller has spent and learned, and changes nothing.
func (c *Controller) Checkpoint(now time.Duration) Checkpoint {
	c.now = max(c.now, now)
	return c.takeCheckpoint()
}

// HandOver returns a Checkpoint and gives away, with it, a part (from 0 to 1) of what is left to spend: of the tokens
// in each bucket beyond what is reserved for queued requests, and of the rates by which buckets fill. What is given and
// what is retained sum up to what there was. The controller goes on with the rest until ReclaimRates.
func (c *Controller) HandOver(now time.Duration, fraction float64) Checkpoint {
	c.now = max(c.now, now)
	checkpoint := c.takeCheckpoint()
	queued := 0.0
	for i := range checkpoint.Customers {
		saved := &checkpoint.Customers[i]
		account := c.accounts.byKey[accountKey(saved.Plan, saved.ID)]
		queued += account.queuedUnits
		saved.QuotaTokens = account.quota.handOver(account.queuedUnits, fraction)
		saved.HardLimitTokens = account.hardLimit.handOver(account.queuedUnits, fraction)
	}
	for i := range checkpoint.Servers {
		saved := &checkpoint.Servers[i]
		srv := c.fleet.servers[saved.Server]
		if srv.slowStart.isActive {
			saved.SlowStartTokens, srv.slowStart.tokens = splitTokens(saved.SlowStartTokens, queued, fraction)
		}
	}
	checkpoint.RateFraction = c.accounts.rateFraction * fraction
	c.accounts.rateFraction *= 1 - fraction
	return checkpoint
}

// give takes a part of the tokens out of the bucket.
func (b *tokenBucket) handOver(reserved, fraction float64) (handedOver float64) {
	handedOver, b.tokens = splitTokens(b.tokens, reserved, fraction)
	return handedOver
}

// splitTokens divides what a bucket holds: what is reserved for queued requests is retained first. A debt is divided
// in the same parts.
func splitTokens(available, reserved, fraction float64) (handedOver, retained float64) {
	retained = math.Min(math.Max(available, 0), reserved)
	handedOver = (available - retained) * fraction
	return handedOver, available - handedOver
}

func (c *Controller) takeCheckpoint() Checkpoint {
	checkpoint := Checkpoint{
		Version:          CheckpointVersion,
		At:               c.now,
		FillingSince:     c.accounts.fillingSince,
		SlackFraction:    c.accounts.slackFraction,
		RateFraction:     c.accounts.rateFraction,
		ConcurrencyLimit: c.limiter.limit,
		UsableServers:    c.fleet.countServers((*server).isUsable),
		Window:           c.window.state(),
		FleetLatency:     c.fleet.latency.mean,
		LatencySamples:   c.fleet.latency.count,
		IdleLatency:      c.limiter.idleLatency,
		WarmThroughput:   c.fleet.warmThroughput.mean,
		WarmServers:      c.fleet.warmServers.mean,
		PeakThroughput:   c.fleet.peakThroughput,
		RetryBudget:      c.retries.budget.retries,
		MinRetryGap:      c.clientWaits.minRetryGap,
		TypicalDeadlines: c.typicalDeadlineStates(),
	}
	checkpoint.Window.EndsAt = c.windowEndsAt
	checkpoint.Window.CutAt = c.limiter.cutAt
	if c.settings.MeterPeriod > 0 {
		checkpoint.Meter = c.usage.meter.state()
		checkpoint.Meter.Period = c.settings.MeterPeriod
	}
	for _, plan := range c.scheduler.plans {
		checkpoint.Plans = append(checkpoint.Plans, PlanCheckpoint{
			Plan:          plan.Name,
			Share:         plan.share,
			MeanLateness:  plan.meanLateness,
			LatenessSum:   plan.latenessSum,
			LatenessCount: plan.latenessCount,
		})
	}
	for _, srv := range c.fleet.sortedServers {
		checkpoint.Servers = append(checkpoint.Servers, c.checkpointServer(srv))
	}
	for key, account := range c.accounts.byKey {
		c.refillAccount(account)
		checkpoint.Customers = append(checkpoint.Customers, account.checkpoint(key))
	}
	slices.SortFunc(checkpoint.Customers, compareCustomers)
	return checkpoint
}

// compareCustomers orders the latest first, so that a limit on their number drops the oldest.
func compareCustomers(a, b CustomerCheckpoint) int {
	if order := cmp.Compare(b.RequestedAt, a.RequestedAt); order != 0 {
		return order
	}
	return strings.Compare(accountKey(a.Plan, a.ID), accountKey(b.Plan, b.ID))
}

// state is the stored form of a window, without its end and the latest cut of the limit.
func (w *controlWindow) state() WindowState {
	return WindowState{
		WasCut:            w.isOverloaded,
		LimitReached:      w.limitReached,
		LatencyRatioSum:   w.latencyRatioSum,
		LatencySecondsSum: w.latencySecondsSum,
		LatencyCount:      w.latencyCount,
		Answers:           w.answers,
		Overloads:         w.overloads,
		ServedUnits:       w.servedUnits,
		UtilizationSum:    w.utilizationSum,
		UtilizationCount:  w.utilizationCount,
	}
}

// window is the control window that a stored form is of.
func (s *WindowState) window() controlWindow {
	return controlWindow{
		isOverloaded:      s.WasCut,
		limitReached:      s.LimitReached,
		latencyRatioSum:   s.LatencyRatioSum,
		latencySecondsSum: s.LatencySecondsSum,
		latencyCount:      s.LatencyCount,
		answers:           s.Answers,
		overloads:         s.Overloads,
		servedUnits:       s.ServedUnits,
		utilizationSum:    s.UtilizationSum,
		utilizationCount:  s.UtilizationCount,
	}
}

// state is the stored form of a meter clock, without the period.
func (m *meterClock) state() MeterState {
	state := MeterState{PhaseBin: m.phaseBin, LagBins: m.lagBins}
	for i := range m.misfit {
		state.Misfit = append(state.Misfit, m.misfit[i][:]...)
	}
	return state
}

// restore takes over a stored form of the right size.
func (m *meterClock) restore(state *MeterState) {
	m.phaseBin = state.PhaseBin
	m.lagBins = state.LagBins
	for i := range m.misfit {
		copy(m.misfit[i][:], state.Misfit[i*maxMeterLagBins:])
	}
}

func (c *Controller) typicalDeadlineStates() []TypicalDeadlineState {
	states := make([]TypicalDeadlineState, 0, len(c.settings.Classes))
	for i := range c.settings.Classes {
		class := &c.settings.Classes[i]
		typical := c.clientWaits.typicalDeadlines[class]
		states = append(states, TypicalDeadlineState{class.Name, typical.deadline, typical.support})
	}
	return states
}

// isFinite reports whether no number of a checkpoint is infinite or NaN: their sum would be so too.
func (c *Checkpoint) isFinite() bool {
	window := &c.Window
	sum := c.SlackFraction + c.RateFraction + c.ConcurrencyLimit + c.UsableServers + c.FleetLatency + c.IdleLatency +
		c.LatencySamples + c.WarmThroughput + c.WarmServers + c.PeakThroughput + c.RetryBudget +
		window.LatencyRatioSum + window.LatencySecondsSum + window.LatencyCount + window.Answers + window.Overloads +
		window.ServedUnits + window.UtilizationSum + window.UtilizationCount
	for _, misfit := range c.Meter.Misfit {
		sum += misfit
	}
	for _, plan := range c.Plans {
		sum += plan.Share + plan.MeanLateness + plan.LatenessSum + plan.LatenessCount
	}
	for i := range c.Servers {
		sum += c.Servers[i].Latency + c.Servers[i].FailureRate + c.Servers[i].SlowStartTokens
	}
	for i := range c.Customers {
		sum += c.Customers[i].sum()
	}
	return !math.IsNaN(sum) && !math.IsInf(sum, 0)
}

// sum is finite only if all numbers are.
func (c *CustomerCheckpoint) sum() float64 {
	sum := c.FanOut + c.QuotaBurst + c.HardLimitBurst + c.QuotaTokens + c.HardLimitTokens + c.InFlightLimit +
		c.OpenRejectionProbability + c.RemoteRate + c.LastReadingUnits + c.RequestedUnits + c.MeteredUnits +
		c.DemandSeconds + c.MeteredSeconds + c.LocalUnits + c.TotalUnits + c.UsageRate
	for _, amounts := range [][]BinAmount{c.Sent, c.Charged, c.Arrivals, c.Rejections} {
		for _, amount := range amounts {
			sum += amount.Amount
		}
	}
	return sum
}
