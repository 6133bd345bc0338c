package control

import (
	"time"

	"lockflow/control/sharecontrol"
)

// ImageVersion is the version of the Image format. An image of another version cannot be resumed, since its fields may
// have other meanings.
const ImageVersion = 4

// Image is the complete state of a controller between two events: a controller that is resumed from it handles every
// later event as the original would have. It holds no settings. A Checkpoint, in contrast, can be restored by a
// controller with other settings or servers. References to a server, customer or request are indexes into the lists of
// the image. The keys are older than the fields' names.
type Image struct {
	Version int    `cbor:"v"`
	Random  []byte `cbor:"rng"` // state of math/rand/v2's PCG

	Now                  time.Duration `cbor:"Now"`
	ClockAdvance         time.Duration `cbor:"Skipped"`
	RefillStart          time.Duration `cbor:"Start"`
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
	WarmServers          float64       `cbor:"ServedBy,omitempty"`
	PeakThroughput       float64       `cbor:"Peak,omitempty"`
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

// PlanImage is a plan's state, with its queued requests; see planQueue.
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

// ServerImage is a server's state; see server. A server that is not tracked is gone, but is still referred to.
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
	PlanRejectedUntil   map[int]time.Duration `cbor:"Shut"` // by index of the plan
}

// CustomerImage is a customer's state with its key in the accountTable; see customerAccount.
type CustomerImage struct {
	Key                          string        `cbor:"Key"`
	IsTracked                    bool          `cbor:"Kept"`
	Plan                         int           `cbor:"Plan"`
	FanOut                       float64       `cbor:"Spread"`
	QuotaTokens                  float64       `cbor:"Level"`
	HardLimitTokens              float64       `cbor:"Ceiling"`
	QueuedUnits                  float64       `cbor:"Queued"`
	InFlightLimit                float64       `cbor:"OpenCap"`
	InFlightRejectionProbability float64       `cbor:"Chance"`
	AdmissionRemainder           float64       `cbor:"Carry"`
	RemoteRate                   float64       `cbor:"Base"`
	LastReadingUnits             float64       `cbor:"LastUsed"`
	RequestedUnits               float64       `cbor:"Tries"`
	MeteredUnits                 float64       `cbor:"Told"`
	DemandSeconds                float64       `cbor:"ToldFor"`
	MeteredSeconds               float64       `cbor:"Cover"`
	LocalUnits                   float64       `cbor:"OwnSum"`
	TotalUnits                   float64       `cbor:"AllSum"`
	UsageRate                    float64       `cbor:"Smooth"`
	UpdatedAt                    time.Duration `cbor:"At"`
	NextAttemptAt                time.Duration `cbor:"OpenNext"`
	RemoteRateAt                 time.Duration `cbor:"BaseAt"`
	ReadingAt                    time.Duration `cbor:"ToldAt"`
	RequestedAt                  time.Duration `cbor:"TriesAt"`
	InFlight                     int           `cbor:"Open"`
	PredecessorInFlight          int           `cbor:"Foreign"`
	HitInFlightLimit             bool          `cbor:"OpenHit"`
	IsMetered                    bool          `cbor:"Metered"`
	ReadingEndBin                int64         `cbor:"ReadEnd"`
	SentBin                      int64         `cbor:"OwnLast"`
	ChargedBin                   int64         `cbor:"ChargedLast"`
	ArrivalsBin                  int64         `cbor:"AskedLast"`
	RejectionsBin                int64         `cbor:"RefusedLast"`
	Sent                         []RunningSum  `cbor:"Own"`
	Charged                      []RunningSum  `cbor:"Charged"`
	Arrivals                     []RunningSum  `cbor:"Asked"`
	Rejections                   []RunningSum  `cbor:"Refused"`
}

// RequestImage is the state of a request, which may have its final answer and still have attempts in flight; see
// request.
type RequestImage struct {
	ID           string        `cbor:"ID"`
	IsTracked    bool          `cbor:"Kept"`
	Class        string        `cbor:"Class"`
	Plan         int           `cbor:"Plan"`
	Customer     int           `cbor:"Customer"`
	RepeatGroup  int           `cbor:"Group"` // index of a server plus one; 0 is none
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

// AttemptImage is an attempt in flight with its charge to the customer's buckets; see charge.
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
	Bin         int64         `cbor:"Bin"`
}

// AbandonedImage is an abandoned attempt that is presumed still running.
type AbandonedImage struct {
	Server int           `cbor:"Server"`
	Until  time.Duration `cbor:"Until"`
}
