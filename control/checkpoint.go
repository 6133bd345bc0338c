package control

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// CheckpointVersion is the version of the Checkpoint format. A checkpoint of another version is not restored, since its
// fields may have other meanings.
const CheckpointVersion = 1

// Checkpoint holds the usage and the estimates of a controller for the one that replaces it after a reload, in a
// successor process or after a restart. Times are on a clock that both controllers share (Unix time). An Image, in
// contrast, is the complete state of one controller; each format has its own keys. The keys are older than the fields'
// names: portion is the rate fraction, bound the concurrency limit, spread the fan-out, level and ceiling the tokens of
// the quota and of the hard limit, strikes consecutive failures, aside the ejection, and told a reading.
type Checkpoint struct {
	Version          int                    `cbor:"v"`
	At               time.Duration          `cbor:"at"`      // time at which it was taken
	RefillStart      time.Duration          `cbor:"start"`   // time from which buckets of accounts not open yet are filled
	SlackFraction    float64                `cbor:"slack"`   // fraction of its slack that a new hard-limit bucket starts with
	RateFraction     float64                `cbor:"portion"` // fraction of the rates at which buckets are filled, from 0 to 1
	ConcurrencyLimit float64                `cbor:"bound"`
	UsableServers    float64                `cbor:"usable"` // number of servers for which the limit was set
	Window           WindowState            `cbor:"interval"`
	FleetLatency     float64                `cbor:"lat"`
	IdleLatency      float64                `cbor:"idle"`
	LatencySamples   float64                `cbor:"seen"`
	WarmThroughput   float64                `cbor:"served"`              // units per second of servers that are not warming up
	WarmServers      float64                `cbor:"served_by,omitempty"` // number of these servers; 0 is not known
	PeakThroughput   float64                `cbor:"peak,omitempty"`      // maximum units per second of one of them
	RetryBudget      float64                `cbor:"retries"`
	MinRetryGap      time.Duration          `cbor:"next"`
	Meter            MeterState             `cbor:"meter"`
	TypicalDeadlines []TypicalDeadlineState `cbor:"usual"`
	Plans            []PlanCheckpoint       `cbor:"shares"`
	Servers          []ServerCheckpoint     `cbor:"servers"`
	Customers        []CustomerCheckpoint   `cbor:"customers"`
}

// WindowState is the stored form of a control window that has not ended; see controlWindow.
type WindowState struct {
	EndsAt            time.Duration `cbor:"ends"`
	IsOverloaded      bool          `cbor:"Cut"`
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

// MeterState is the stored estimate of the meter's periods; see meterClock. It is only valid with the same period.
type MeterState struct {
	Period   time.Duration `cbor:"period"`
	PhaseBin int64         `cbor:"Phase"`
	LagBins  int64         `cbor:"Lag"`
	Misfit   []float64     `cbor:"miss"`
}

// TypicalDeadlineState is the stored form of a typicalDeadline.
type TypicalDeadlineState struct {
	Class    string        `cbor:"class"`
	Deadline time.Duration `cbor:"ttl"`
	Support  int           `cbor:"seen"`
}

// PlanCheckpoint holds a plan's share and its lateness.
type PlanCheckpoint struct {
	Plan          string  `cbor:"plan"`
	Share         float64 `cbor:"share"`
	MeanLateness  float64 `cbor:"y"`
	LatenessSum   float64 `cbor:"late"` // in this control window
	LatenessCount float64 `cbor:"late_n"`
}

// ServerCheckpoint is the stored state of one incarnation of a server; see server.
type ServerCheckpoint struct {
	Server              uint32                   `cbor:"id"`
	StartedAt           time.Duration            `cbor:"up"`     // 0 is long ago
	InFlight            int                      `cbor:"out"`    // number of attempts
	AbandonedUntil      []time.Duration          `cbor:"ghosts"` // presumed ends of abandoned attempts
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

// CustomerCheckpoint holds a customer's remaining tokens and its estimates; see customerAccount.
type CustomerCheckpoint struct {
	ID                           string        `cbor:"id"`
	Plan                         string        `cbor:"plan"`
	FanOut                       float64       `cbor:"spread"`
	QuotaBurst                   float64       `cbor:"depth"` // quota's burst of the plan when the tokens were counted
	HardLimitBurst               float64       `cbor:"burst"` // hard limit's burst of that plan; 0 is no hard limit
	QuotaTokens                  float64       `cbor:"level"`
	HardLimitTokens              float64       `cbor:"ceiling"`
	InFlight                     int           `cbor:"out"` // number of attempts
	InFlightLimit                float64       `cbor:"open_cap"`
	InFlightRejectionProbability float64       `cbor:"chance"`
	IsMetered                    bool          `cbor:"metered"`
	RemoteRate                   float64       `cbor:"base"`
	LastReadingUnits             float64       `cbor:"last"`
	RemoteRateAt                 time.Duration `cbor:"base_at"`
	ReadingAt                    time.Duration `cbor:"told_at"`
	RequestedUnits               float64       `cbor:"tries"`
	RequestedAt                  time.Duration `cbor:"tries_at"`
	MeteredUnits                 float64       `cbor:"told"`
	DemandSeconds                float64       `cbor:"told_for"`
	MeteredSeconds               float64       `cbor:"cover"`
	ReadingEndBin                int64         `cbor:"read_end"`
	LocalUnits                   float64       `cbor:"own_sum"`
	TotalUnits                   float64       `cbor:"all_sum"`
	UsageRate                    float64       `cbor:"smooth"`
	Sent                         []BinAmount   `cbor:"Own"`
	Charged                      []BinAmount   `cbor:"Charged"`
	Arrivals                     []BinAmount   `cbor:"Asked"`
	Rejections                   []BinAmount   `cbor:"Refused"`
}

// BinAmount is the amount of a history in one time bin.
type BinAmount struct {
	Bin    int64   `cbor:"b"`
	Amount float64 `cbor:"v"`
}

// Checkpoint returns a checkpoint of the controller without changing its state.
func (c *Controller) Checkpoint(now time.Duration) Checkpoint {
	c.now = max(c.now, now)
	return c.takeCheckpoint()
}

// HandOver returns a Checkpoint that transfers a fraction (from 0 to 1) of the remaining tokens and rates: of the tokens
// in each bucket that are not reserved for queued requests, and of the rates at which buckets are filled. The parts
// handed over and retained add up to the whole. The controller continues with the retained part until ReclaimRates.
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

// handOver takes a fraction of the tokens that are not reserved out of the bucket.
func (b *tokenBucket) handOver(reserved, fraction float64) (handedOver float64) {
	handedOver, b.tokens = splitTokens(b.tokens, reserved, fraction)
	return handedOver
}

// splitTokens divides the tokens of a bucket after setting aside those reserved for queued requests, which are retained.
// A debt is divided by the same fraction.
func splitTokens(available, reserved, fraction float64) (handedOver, retained float64) {
	retained = math.Min(math.Max(available, 0), reserved)
	handedOver = (available - retained) * fraction
	return handedOver, available - handedOver
}

func (c *Controller) takeCheckpoint() Checkpoint {
	checkpoint := Checkpoint{
		Version:          CheckpointVersion,
		At:               c.now,
		RefillStart:      c.accounts.refillStart,
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

// compareCustomers orders customers by their latest request, latest first, so that a limit on their number drops those
// that have been idle for longest.
func compareCustomers(a, b CustomerCheckpoint) int {
	if order := cmp.Compare(b.RequestedAt, a.RequestedAt); order != 0 {
		return order
	}
	return strings.Compare(accountKey(a.Plan, a.ID), accountKey(b.Plan, b.ID))
}

// state returns the stored form of a window, without its end and the time of the limit's latest cut.
func (w *controlWindow) state() WindowState {
	return WindowState{
		IsOverloaded:      w.isOverloaded,
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

// window returns the control window of a stored form.
func (s *WindowState) window() controlWindow {
	return controlWindow{
		isOverloaded:      s.IsOverloaded,
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

// state returns the stored form of a meter clock, without the period.
func (m *meterClock) state() MeterState {
	state := MeterState{PhaseBin: m.phaseBin, LagBins: m.lagBins}
	for i := range m.misfit {
		state.Misfit = append(state.Misfit, m.misfit[i][:]...)
	}
	return state
}

// restore sets the clock to a stored form, whose misfits must have the right number.
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

// isFinite reports whether no number of a checkpoint is infinite or NaN. It checks their sum, which would not be finite
// either.
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

// sum returns the sum of all numbers, which is finite only if all of them are.
func (c *CustomerCheckpoint) sum() float64 {
	sum := c.FanOut + c.QuotaBurst + c.HardLimitBurst + c.QuotaTokens + c.HardLimitTokens + c.InFlightLimit +
		c.InFlightRejectionProbability + c.RemoteRate + c.LastReadingUnits + c.RequestedUnits + c.MeteredUnits +
		c.DemandSeconds + c.MeteredSeconds + c.LocalUnits + c.TotalUnits + c.UsageRate
	for _, amounts := range [][]BinAmount{c.Sent, c.Charged, c.Arrivals, c.Rejections} {
		for _, amount := range amounts {
			sum += amount.Amount
		}
	}
	return sum
}
