package control

import (
	"math"
	"sort"
	"time"
)

// CheckpointVersion is that of the form of a Checkpoint. One of another version is not to be
// restored: a field may mean something else.
const CheckpointVersion = 1

// Checkpoint is what a controller has spent and learned, for one that takes its place: after a
// reload, in a successor process, after a restart. Times are on the clock of the controllers,
// which therefore has to be one that both share (Unix time).
type Checkpoint struct {
	Version          int                    `cbor:"v"`
	At               time.Duration          `cbor:"at"`      // when it was taken
	FillingSince     time.Duration          `cbor:"start"`   // since when the stores of unseen customers fill
	SlackFraction    float64                `cbor:"slack"`   // part of the slack with which they began
	RateFraction     float64                `cbor:"portion"` // of the rates at which stores fill, from 0 to 1
	ConcurrencyLimit float64                `cbor:"bound"`
	UsableServers    float64                `cbor:"usable"` // servers that Bound was for
	Window           WindowState            `cbor:"interval"`
	FleetLatency     float64                `cbor:"lat"`
	IdleLatency      float64                `cbor:"idle"`
	LatencySamples   float64                `cbor:"seen"`
	WarmThroughput   float64                `cbor:"served"` // units a second by warm servers
	RetryBudget      float64                `cbor:"retries"`
	MinRetryGap      time.Duration          `cbor:"next"`
	Meter            MeterState             `cbor:"meter"`
	TypicalDeadlines []TypicalDeadlineState `cbor:"usual"`
	Plans            []PlanCheckpoint       `cbor:"shares"`
	Servers          []ServerCheckpoint     `cbor:"servers"`
	Customers        []CustomerCheckpoint   `cbor:"customers"`
}

// WindowState is what a control interval that has not ended has counted.
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

// MeterState is what is known of the meter's periods; of use with the same period only.
type MeterState struct {
	Period   time.Duration `cbor:"period"`
	PhaseBin int64         `cbor:"Phase"`
	LagBins  int64         `cbor:"Lag"`
	Misfit   []float64     `cbor:"miss"`
}

// TypicalDeadlineState is the time that most first tries of a class come with.
type TypicalDeadlineState struct {
	Class    string        `cbor:"class"`
	Deadline time.Duration `cbor:"ttl"`
	Support  int           `cbor:"seen"`
}

// PlanCheckpoint is a plan's share of the turns.
type PlanCheckpoint struct {
	Plan          string  `cbor:"plan"`
	Share         float64 `cbor:"share"`
	MeanLateness  float64 `cbor:"y"`
	LatenessSum   float64 `cbor:"late"` // sum of lateness over aim in this interval
	LatenessCount float64 `cbor:"late_n"`
}

// ServerCheckpoint is what is known of a server. It is of use for the same start of the server only.
type ServerCheckpoint struct {
	Server              uint32                   `cbor:"id"`
	StartedAt           time.Duration            `cbor:"up"`     // 0 is long ago
	InFlight            int                      `cbor:"out"`    // attempts out
	AbandonedUntil      []time.Duration          `cbor:"ghosts"` // until when other work is taken to go on there
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

// CustomerCheckpoint is what a customer has left, and what is known of it.
type CustomerCheckpoint struct {
	ID                       string        `cbor:"id"`
	Plan                     string        `cbor:"plan"`
	FanOut                   float64       `cbor:"spread"`
	QuotaBurst               float64       `cbor:"depth"` // of the plan that Level was counted under
	HardLimitBurst           float64       `cbor:"burst"` // of the plan that Ceiling was counted under; 0 is no ceiling
	QuotaTokens              float64       `cbor:"level"`
	HardLimitTokens          float64       `cbor:"ceiling"`
	InFlight                 int           `cbor:"out"` // attempts out
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

// BinAmount is what a history holds of one bin of time.
type BinAmount struct {
	Bin    int64   `cbor:"b"`
	Amount float64 `cbor:"v"`
}

// HandOver takes a Checkpoint and gives away, with it, the given part (from 0 to 1) of what is
// left to spend: of each customer's stores beyond what is queued already, of the budgets of
// cold servers, and of the rates by which both fill. What was given and what is kept sum up to
// what there was. The controller goes on with the rest, until Rejoin.
func (c *Controller) HandOver(now time.Duration, fraction float64) Checkpoint {
	c.now = max(c.now, now)
	checkpoint := c.takeCheckpoint()
	queued := 0.0
	for i := range checkpoint.Customers {
		saved := &checkpoint.Customers[i]
		account := c.accounts[saved.Plan+" "+saved.ID]
		queued += account.queuedUnits
		saved.QuotaTokens, account.quota.tokens = splitTokens(saved.QuotaTokens, account.queuedUnits, fraction)
		saved.HardLimitTokens, account.hardLimit.tokens = splitTokens(saved.HardLimitTokens, account.queuedUnits, fraction)
	}
	for i := range checkpoint.Servers {
		saved := &checkpoint.Servers[i]
		if srv := c.servers[saved.Server]; srv.slowStart.isActive {
			saved.SlowStartTokens, srv.slowStart.tokens = splitTokens(saved.SlowStartTokens, queued, fraction)
		}
	}
	checkpoint.RateFraction = c.rateFraction * fraction
	c.rateFraction *= 1 - fraction
	return checkpoint
}

// splitTokens divides what is left of a store: what is promised to queued requests is kept first. A
// debt goes by the same parts.
func splitTokens(available, reserved, fraction float64) (given, retained float64) {
	retained = math.Min(math.Max(available, 0), reserved)
	given = (available - retained) * fraction
	return given, available - given
}

// Checkpoint tells what the controller has spent and learned, and changes nothing.
func (c *Controller) Checkpoint(now time.Duration) Checkpoint {
	c.now = max(c.now, now)
	return c.takeCheckpoint()
}

func (c *Controller) takeCheckpoint() Checkpoint {
	checkpoint := Checkpoint{
		Version: CheckpointVersion, At: c.now, FillingSince: c.fillingSince, SlackFraction: c.slackFraction, RateFraction: c.rateFraction, ConcurrencyLimit: c.limiter.limit, UsableServers: c.countServers((*server).isUsable),
		Window: WindowState{c.windowEndsAt, c.window.wasCut, c.window.limitReached, c.window.latencyRatioSum, c.window.latencySecondsSum, c.window.latencyCount, c.window.answers, c.window.overloads, c.window.servedUnits, c.window.utilizationSum, c.window.utilizationCount, c.limiter.cutAt}, FleetLatency: c.fleet.latency.mean, IdleLatency: c.limiter.idleLatency, LatencySamples: c.fleet.latency.count,
		WarmThroughput: c.fleet.warmThroughput.mean, RetryBudget: c.retryBudget, MinRetryGap: c.minRetryGap,
	}
	if c.settings.MeterPeriod > 0 {
		checkpoint.Meter = MeterState{Period: c.settings.MeterPeriod, PhaseBin: c.meter.phaseBin, LagBins: c.meter.lagBins}
		for i := range c.meter.misfit {
			checkpoint.Meter.Misfit = append(checkpoint.Meter.Misfit, c.meter.misfit[i][:]...)
		}
	}
	for i := range c.settings.Classes {
		class := &c.settings.Classes[i]
		checkpoint.TypicalDeadlines = append(checkpoint.TypicalDeadlines, TypicalDeadlineState{class.Name, c.typicalDeadlines[class].deadline, c.typicalDeadlines[class].support})
	}
	for _, plan := range c.plans {
		checkpoint.Plans = append(checkpoint.Plans, PlanCheckpoint{plan.Name, plan.share, plan.meanLateness, plan.latenessSum, plan.latenessCount})
	}
	for _, srv := range c.sortedServers {
		checkpoint.Servers = append(checkpoint.Servers, c.checkpointServer(srv))
	}
	for key, account := range c.accounts {
		c.refill(account)
		checkpoint.Customers = append(checkpoint.Customers, account.checkpoint(key))
	}
	sort.Slice(checkpoint.Customers, func(i, j int) bool { // the latest first: a bound on them drops the oldest
		a, b := &checkpoint.Customers[i], &checkpoint.Customers[j]
		if a.RequestedAt != b.RequestedAt {
			return a.RequestedAt > b.RequestedAt
		}
		return a.Plan+" "+a.ID < b.Plan+" "+b.ID
	})
	return checkpoint
}
