package control

import (
	"slices"
	"sort"
	"time"

	"lockflow/control/sharecontrol"
)

// ImageVersion is that of the form of an Image. One of another version can't be resumed: a
// field may mean something else.
const ImageVersion = 4

// Image is the whole state of a controller between two events: one that is resumed from it takes
// every later event as the first would have. It holds no settings; a Checkpoint, in contrast, is
// what another controller, with other settings or servers, can go on from. What refers to a customer,
// server or request does so by its place in the lists here.
type Image struct {
	Version int    `cbor:"v"`
	Random  []byte `cbor:"rng"` // of math/rand/v2's PCG

	Now                  time.Duration `cbor:"Now"`
	ClockAdvance         time.Duration `cbor:"Skipped"`
	FillingSince         time.Duration `cbor:"Start"`
	IsStarted            bool          `cbor:"Started"`
	IsWatching           bool          `cbor:"Following"`
	NextWatchAt          time.Duration `cbor:"AskAt"`
	MinRetryGap          time.Duration `cbor:"NextTry"`
	LastTimerLabel       uint64        `cbor:"Label"`
	SlackFraction        float64       `cbor:"Slack"`
	RateFraction         float64       `cbor:"Portion"`
	InFlight             int           `cbor:"Inflight"`
	StreamingAttempts    int           `cbor:"Streams"`
	ConcurrencyLimit     float64       `cbor:"Bound"`
	LimitCutAt           time.Duration `cbor:"CutAt"`
	FractionalSlotFreeAt time.Duration `cbor:"RestUntil"`
	FleetLatency         float64       `cbor:"Latency"`
	IdleLatency          float64       `cbor:"Idle"`
	LatencySamples       float64       `cbor:"Seen"`
	WarmThroughput       float64       `cbor:"ServedRate"`
	RetryBudget          float64       `cbor:"Retries"`
	FleetUtilization     float64       `cbor:"Util"`
	FleetReportedLatency float64       `cbor:"MeanTold"`
	ReportCount          float64       `cbor:"Reports"`
	WindowCount          float64       `cbor:"Intervals"`
	MeanRequestUnits     float64       `cbor:"MeanUnits"`
	RequestCount         float64       `cbor:"Asks"`
	NextTick             time.Duration `cbor:"NextTick"`
	WindowEndsAt         time.Duration `cbor:"NextInterval"`
	Window               WindowState   `cbor:"Interval"`

	Meter            MeterState             `cbor:"Meter"`
	ShareController  sharecontrol.State     `cbor:"Law"`
	TypicalDeadlines []TypicalDeadlineState `cbor:"Usual"`
	Plans            []PlanImage            `cbor:"Plans"`
	Servers          []ServerImage          `cbor:"Servers"`
	Customers        []CustomerImage        `cbor:"Customers"`
	Requests         []RequestImage         `cbor:"Requests"`
	Attempts         []AttemptImage         `cbor:"Attempts"`
	Abandoned        []AbandonedImage       `cbor:"Ghosts"`
}

// PlanImage is a plan's state; Queue are requests.
type PlanImage struct {
	Share              float64 `cbor:"Share"`
	Deficit            float64 `cbor:"Credit"`
	LatenessSum        float64 `cbor:"LateSum"`
	LatenessCount      float64 `cbor:"LateN"`
	MeanLateness       float64 `cbor:"Y"`
	FirstReadingUsage  float64 `cbor:"Told"`
	FirstReadingExcess float64 `cbor:"Beyond"`
	Queue              []int   `cbor:"Queue"`
}

// ServerImage is a server's state. One that is not Kept is gone, and something still refers to it.
type ServerImage struct {
	Endpoint
	IsTracked           bool                  `cbor:"Kept"`
	IsListed            bool                  `cbor:"Listed"`
	IsProbing           bool                  `cbor:"Probing"`
	IsWarmingUp         bool                  `cbor:"ColdRamp"`
	InFlight            int                   `cbor:"Inflight"`
	Abandoned           int                   `cbor:"Ghosts"`
	ConsecutiveFailures int                   `cbor:"Strikes"`
	Latency             float64               `cbor:"Latency"`
	FailureRate         float64               `cbor:"Failing"`
	SlowStartTokens     float64               `cbor:"Tokens"`
	LatencySamples      float64               `cbor:"Samples"`
	Slowdown            float64               `cbor:"Slow"`
	Utilization         float64               `cbor:"Util"`
	ReportedAt          time.Duration         `cbor:"ToldAt"`
	LatencyAt           time.Duration         `cbor:"LatencyAt"`
	LastActivityAt      time.Duration         `cbor:"Heard"`
	FailureRateAt       time.Duration         `cbor:"FailingAt"`
	EjectedUntil        time.Duration         `cbor:"AsideUnto"`
	EjectionTime        time.Duration         `cbor:"Aside"`
	WarmupStart         time.Duration         `cbor:"ColdFrom"`
	SlowStartTokensAt   time.Duration         `cbor:"TokensAt"`
	PlanRejectedUntil   map[int]time.Duration `cbor:"Shut"` // by plan
}

// CustomerImage is a customer's state, under its key; see customer.
type CustomerImage struct {
	Key                      string        `cbor:"Key"`
	IsTracked                bool          `cbor:"Kept"`
	Plan                     int           `cbor:"Plan"`
	FanOut                   float64       `cbor:"Spread"`
	QuotaTokens              float64       `cbor:"Level"`
	HardLimitTokens          float64       `cbor:"Ceiling"`
	QueuedUnits              float64       `cbor:"Queued"`
	InFlightLimit            float64       `cbor:"OpenCap"`
	OpenRejectionProbability float64       `cbor:"Chance"`
	AdmissionRemainder       float64       `cbor:"Carry"`
	RemoteRate               float64       `cbor:"Base"`
	LastReadingUnits         float64       `cbor:"LastUsed"`
	RequestedUnits           float64       `cbor:"Tries"`
	MeteredUnits             float64       `cbor:"Told"`
	DemandSeconds            float64       `cbor:"ToldFor"`
	MeteredSeconds           float64       `cbor:"Cover"`
	LocalUnits               float64       `cbor:"OwnSum"`
	TotalUnits               float64       `cbor:"AllSum"`
	UsageRate                float64       `cbor:"Smooth"`
	UpdatedAt                time.Duration `cbor:"At"`
	NextAttemptAt            time.Duration `cbor:"OpenNext"`
	RemoteRateAt             time.Duration `cbor:"BaseAt"`
	ReadingAt                time.Duration `cbor:"ToldAt"`
	RequestedAt              time.Duration `cbor:"TriesAt"`
	InFlight                 int           `cbor:"Open"`
	PredecessorInFlight      int           `cbor:"Foreign"`
	HitInFlightLimit         bool          `cbor:"OpenHit"`
	IsMetered                bool          `cbor:"Metered"`
	ReadingEndBin            int64         `cbor:"ReadEnd"`
	SentBin                  int64         `cbor:"OwnLast"`
	ChargedBin               int64         `cbor:"ChargedLast"`
	ArrivalsBin              int64         `cbor:"AskedLast"`
	RejectionsBin            int64         `cbor:"RefusedLast"`
	Sent                     []RunningSum  `cbor:"Own"`
	Charged                  []RunningSum  `cbor:"Charged"`
	Arrivals                 []RunningSum  `cbor:"Asked"`
	Rejections               []RunningSum  `cbor:"Refused"`
}

// RequestImage is a request that is held, or of which attempts are out.
type RequestImage struct {
	ID           string        `cbor:"ID"`
	IsTracked    bool          `cbor:"Kept"`
	Class        string        `cbor:"Class"`
	Plan         int           `cbor:"Plan"`
	Customer     int           `cbor:"Customer"`
	RepeatGroup  int           `cbor:"Group"` // a server's place, from 1 on; 0 is none
	Units        float64       `cbor:"Units"`
	ArrivedAt    time.Duration `cbor:"Arrived"`
	ObjectiveAt  time.Duration `cbor:"Aim"`
	Deadline     time.Duration `cbor:"GiveUp"`
	FirstRunAt   time.Duration `cbor:"FirstRun"`
	IsQueued     bool          `cbor:"Queued"`
	IsStreaming  bool          `cbor:"Streaming"`
	MayHaveRun   bool          `cbor:"MayRun"`
	Attempts     int           `cbor:"Sends"`
	InFlight     int           `cbor:"Out"`
	TriedServers []uint32      `cbor:"Tried"`
	TimerLabel   uint64        `cbor:"Label"`
}

// AttemptImage is an attempt that is out; Units, Charged and Level were taken of the customer's stores.
type AttemptImage struct {
	ID          string        `cbor:"ID"`
	Attempt     int           `cbor:"N"`
	Request     int           `cbor:"Request"`
	Server      int           `cbor:"Server"`
	Customer    int           `cbor:"Customer"`
	SentAt      time.Duration `cbor:"Sent"`
	Units       float64       `cbor:"Units"`
	GroupUnits  float64       `cbor:"Charged"`
	QuotaTokens float64       `cbor:"Level"`
	Bin         int64         `cbor:"Bin"` // in which they are booked
}

// AbandonedImage is work that is taken to go on.
type AbandonedImage struct {
	Server int           `cbor:"Server"`
	Until  time.Duration `cbor:"Until"`
}

// indexer gives things a place each, in the order in which they are first asked for.
type indexer[T comparable] struct {
	of  map[T]int
	all []T
}

func (p *indexer[T]) at(item T) int {
	i, ok := p.of[item]
	if !ok {
		if p.of == nil {
			p.of = make(map[T]int)
		}
		i = len(p.all)
		p.of[item], p.all = i, append(p.all, item)
	}
	return i
}

// Image tells the controller's whole state. It shares nothing with it.
func (c *Controller) Image() Image {
	random, _ := c.pcg.MarshalBinary() // it gives no error
	image := Image{
		Version: ImageVersion, Random: random, Now: c.now, ClockAdvance: c.clockAdvance, FillingSince: c.fillingSince, IsStarted: c.isStarted, IsWatching: c.isWatching,
		NextWatchAt: c.nextWatchAt, MinRetryGap: c.minRetryGap, LastTimerLabel: c.lastTimerLabel, SlackFraction: c.slackFraction, RateFraction: c.rateFraction, InFlight: c.slots.inFlight, StreamingAttempts: c.slots.streaming,
		ConcurrencyLimit: c.limiter.limit, LimitCutAt: c.limiter.cutAt, FractionalSlotFreeAt: c.limiter.fractionalSlotFreeAt, FleetLatency: c.fleet.latency.mean, IdleLatency: c.limiter.idleLatency, LatencySamples: c.fleet.latency.count, WarmThroughput: c.fleet.warmThroughput.mean, FleetUtilization: c.fleet.utilization.mean, FleetReportedLatency: c.fleet.reportedLatency.mean, ReportCount: c.fleet.utilization.count, WindowCount: c.fleet.warmThroughput.count,
		MeanRequestUnits: c.fleet.requestUnits.mean, RequestCount: c.fleet.requestUnits.count,
		RetryBudget: c.retryBudget, NextTick: c.nextTick, WindowEndsAt: c.windowEndsAt,
		Window: WindowState{WasCut: c.window.wasCut, LimitReached: c.window.limitReached, LatencyRatioSum: c.window.latencyRatioSum, LatencySecondsSum: c.window.latencySecondsSum, LatencyCount: c.window.latencyCount, Answers: c.window.answers, Overloads: c.window.overloads, ServedUnits: c.window.servedUnits, UtilizationSum: c.window.utilizationSum, UtilizationCount: c.window.utilizationCount},
		Meter:  MeterState{PhaseBin: c.meter.phaseBin, LagBins: c.meter.lagBins},
	}
	for i := range c.meter.misfit {
		image.Meter.Misfit = append(image.Meter.Misfit, c.meter.misfit[i][:]...)
	}
	image.ShareController = c.shareController.State()
	for i := range c.settings.Classes {
		typical := c.typicalDeadlines[&c.settings.Classes[i]]
		image.TypicalDeadlines = append(image.TypicalDeadlines, TypicalDeadlineState{c.settings.Classes[i].Name, typical.deadline, typical.support})
	}
	var servers indexer[*server]
	var customers indexer[*customerAccount]
	var requests indexer[*request]
	keys := make(map[*customerAccount]string, len(c.accounts))
	for _, srv := range c.sortedServers {
		servers.at(srv)
	}
	for _, k := range sortedKeys(c.accounts) {
		customers.at(c.accounts[k])
		keys[c.accounts[k]] = k
	}
	for _, id := range sortedKeys(c.requests) {
		requests.at(c.requests[id])
	}
	attempts := make([]attemptKey, 0, len(c.attempts))
	for k := range c.attempts {
		attempts = append(attempts, k)
	}
	sort.Slice(attempts, func(i, j int) bool {
		a, b := attempts[i], attempts[j]
		return a.id < b.id || a.id == b.id && a.number < b.number
	})
	for _, k := range attempts {
		a := c.attempts[k]
		image.Attempts = append(image.Attempts, AttemptImage{
			k.id, k.number, requests.at(a.request), servers.at(a.server), customers.at(a.account), a.sentAt,
			a.charge.units, a.charge.groupUnits, a.charge.quotaTokens, a.charge.bin,
		})
	}
	for _, abandoned := range c.slots.abandoned {
		image.Abandoned = append(image.Abandoned, AbandonedImage{servers.at(abandoned.server), abandoned.until})
	}
	for _, req := range requests.all {
		w := RequestImage{
			ID: req.id, IsTracked: c.requests[req.id] == req, Class: req.class.Name, Plan: req.plan.index, Customer: customers.at(req.account), Units: req.units,
			ArrivedAt: req.arrivedAt, ObjectiveAt: req.objectiveAt, Deadline: req.deadline, FirstRunAt: req.firstRunAt, IsQueued: req.isQueued, IsStreaming: req.isStreaming, MayHaveRun: req.mayHaveRun,
			Attempts: req.attempts, InFlight: req.inFlight, TriedServers: slices.Clone(req.triedServers), TimerLabel: req.timerLabel,
		}
		if req.repeatGroup != nil {
			w.RepeatGroup = servers.at(req.repeatGroup) + 1
		}
		image.Requests = append(image.Requests, w)
	}
	for _, plan := range c.plans {
		w := PlanImage{Share: plan.share, Deficit: plan.deficit, LatenessSum: plan.latenessSum, LatenessCount: plan.latenessCount, MeanLateness: plan.meanLateness, FirstReadingUsage: plan.firstReadingUsage, FirstReadingExcess: plan.firstReadingExcess}
		for _, req := range plan.queue {
			w.Queue = append(w.Queue, requests.at(req))
		}
		image.Plans = append(image.Plans, w)
	}
	for _, srv := range servers.all {
		serverImage := srv.image()
		serverImage.IsTracked = c.servers[srv.Server] == srv
		image.Servers = append(image.Servers, serverImage)
	}
	for _, account := range customers.all {
		customerImage := account.image()
		customerImage.Key, customerImage.IsTracked = keys[account]
		image.Customers = append(image.Customers, customerImage)
	}
	return image
}

func sortedKeys[V any](items map[string]V) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
