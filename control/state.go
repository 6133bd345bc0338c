package control

import (
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/mat"
)

// This file holds what a controller remembers and the bookkeeping of it. It
// decides nothing: decisions and tuned figures are in the files that the deploy file lists.

type plan struct {
	Plan
	index         int
	queue         []*request
	share, credit float64
	lateSum       float64 // of latency over aim in this interval
	lateN         float64
	y             float64
	told, beyond  float64  // by first readings of its customers, in quotas: their use, and what of it is beyond
	next          *request // head of the queue and its server, for one turn
	to            *server
}

type request struct {
	id        string
	class     *Class
	plan      *plan
	cust      *customer
	units     float64
	arrived   time.Duration
	aim       time.Duration // an answer by then is in time
	giveUp    time.Duration
	queued    bool
	streaming bool
	sends     int // attempts started
	out       int // attempts outstanding
	tried     []uint32
	mayRun    bool // an attempt may have run
	firstRun  time.Duration
	group     *server // a server of the group that drops its repeats
	label     uint64
}

type attempt struct {
	req  *request
	srv  *server
	cust *customer
	sent time.Duration
	bill bill // of the customer's stores; nothing where it is not its request's first
}

// bill is what a send took of a customer's stores.
type bill struct {
	units, charged, level float64
	bin                   int64 // in which it is booked
}

// ghost is work that is taken to go on at a server after its attempt has ended.
type ghost struct {
	srv   *server
	until time.Duration
}

type attemptKey struct {
	id string
	n  int
}

type customer struct {
	plan           *plan
	spread         float64
	at             time.Duration // of the levels
	level, ceiling float64
	queued         float64       // units in the queue
	open           int           // attempts out
	foreign        int           // attempts out of a predecessor that has not ended
	openCap        float64       // own part of an open quota
	openNext       time.Duration // pause of a part below one
	openHit        bool
	chance, carry  float64
	metered        bool
	base, lastUsed float64 // units a second taken to go on elsewhere; units of the last read period
	baseAt, toldAt time.Duration
	tries          float64 // units asked here of late
	triesAt        time.Duration
	told, toldFor  float64 // units told, and s of full demand that they stand for
	cover          float64 // s told of late
	readEnd        int64   // bin in which the last read period ended
	ownSum, allSum float64 // smoothed units through this gateway, and in all
	smooth         float64 // smoothed units a second in all
	// Units sent and taken from the level, requests asked and refused, by bin.
	own, charged, asked, refused history
}

// usualTTL is the time that most first tries of a class come with.
type usualTTL struct {
	ttl  time.Duration
	seen int // how many tries had it, less those that had not
}

// count follows what most of the tries have.
func (u *usualTTL) count(ttl time.Duration, odd bool) {
	if odd && u.seen == 0 {
		u.ttl = ttl
	} else if odd {
		u.seen -= 2
	}
	u.seen++
}

type server struct {
	Endpoint
	listed            bool
	inflight          int
	ghosts            int     // attempts given up whose work is taken to go on
	latency           float64 // s
	latencyAt         time.Duration
	samples           float64       // answers of late
	slow, util        float64       // times the fleet's mean time, and part of its cores that is busy, by its report
	toldAt            time.Duration // of the report; 0 is none
	heard             time.Duration // last outcome, or first send since it held nothing
	strikes           int
	failing           float64 // part of the late attempts that failed
	failingAt         time.Duration
	shut              map[*plan]time.Duration // not tried for a plan until then
	asideUntil, aside time.Duration
	probing           bool
	coldFrom          time.Duration // start of the ramp, if coldRamp
	coldRamp          bool
	tokens            float64 // of a cold server, in units
	tokensAt          time.Duration
}

// span is what is counted in one control interval.
type span struct {
	cut, pressed         bool
	latSum, secSum, latN float64 // latency over aim, in s, and their number
	answers, bad, served float64 // served: units by warm servers
	utilSum, utilN       float64 // of reports
}

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	set     Settings
	pcg     *rand.PCG // behind rng
	rng     *rand.Rand
	now     time.Duration
	skipped time.Duration // between the last two times at which anything was told
	start   time.Duration
	started bool
	out     []Action

	classes  map[string]*Class
	plans    []*plan
	planOf   map[string]*plan
	reqs     map[string]*request
	usual    map[*Class]*usualTTL
	topWorth float64
	nextTry  time.Duration // the shortest time seen from a client's first try to a later one
	labels   map[uint64]*request
	attempts map[attemptKey]*attempt
	custs    map[string]*customer
	servers  map[uint32]*server
	order    []*server
	label    uint64

	slack             float64 // part of it with which a ceiling's store starts
	inflight, streams int
	portion           float64 // of the rates at which stores fill that is this controller's; see HandOver
	ghosts            []ghost
	bound             float64
	span                      // counts of the interval
	latency           float64 // s, of answers in the fleet
	cutAt             time.Duration
	restUntil         time.Duration // of the part of the bound beyond a whole number
	idle, seen        float64
	util, meanTold    float64 // part of the servers' cores that is busy, and their mean time in s, by reports
	reports           float64
	servedRate        float64 // units a second by warm servers, smoothed
	intervals         float64 // that have ended
	meanUnits, asks   float64 // of the requests asked, and their number
	retries           float64
	clock             meterClock
	nextTick          time.Duration
	nextInterval      time.Duration
	law               *shareLaw
	following         bool
	askAt             time.Duration
}

func (c *Controller) binLen() time.Duration {
	if c.set.MeterPeriod > 0 {
		return c.set.MeterPeriod / binsPerPeriod
	}
	return windowDuration / binsPerPeriod
}

func (c *Controller) binNow() int64 { return int64(c.now / c.binLen()) }

// roll brings a customer's history up to the present bin.
func (c *Controller) roll(q *customer) {
	b := c.binNow()
	for _, h := range []*history{&q.own, &q.charged, &q.asked, &q.refused} {
		h.roll(b)
	}
}

func (c *Controller) enqueue(r *request, front bool) {
	r.queued = true
	if r.sends == 0 {
		r.cust.queued += r.units
	}
	if front {
		r.plan.queue = append([]*request{r}, r.plan.queue...)
	} else {
		r.plan.queue = append(r.plan.queue, r)
	}
}

func (c *Controller) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	if r.sends == 0 {
		r.cust.queued -= r.units
	}
	for i, x := range r.plan.queue {
		if x == r {
			r.plan.queue = append(r.plan.queue[:i], r.plan.queue[i+1:]...)
			break
		}
	}
}

// forget drops a request that has its final answer. Attempts still out go on.
func (c *Controller) forget(r *request) {
	c.dequeue(r)
	delete(c.reqs, r.id)
	delete(c.labels, r.label)
}

// flip is the latest bin at or before now that lies at a phase of the period.
func flip(now, phase int64) int64 {
	return now - ((now-phase)%binsPerPeriod+binsPerPeriod)%binsPerPeriod
}

func (c *Controller) act(a Action) { c.out = append(c.out, a) }

func (c *Controller) wake(r *request, after time.Duration) {
	if r.label == 0 {
		c.label++
		r.label = c.label
		c.labels[r.label] = r
	}
	c.act(StartTimer{After: max(after, 0), Label: r.label})
}

const tickLabel = 0

// meterClock is what is known of the meter; see learn.
type meterClock struct {
	miss       [binsPerPeriod][maxMeterLagBins]float64
	phase, lag int64
}

// shareLaw estimates y(k+1) = X [u(k); y(k)] by RLS and sets shares by law (14).
type shareLaw struct {
	n   int
	w   *mat.DiagDense
	x   *mat.Dense    // n by 2n: [B0 A1]
	p   *mat.Dense    // covariance, 2n by 2n
	phi *mat.VecDense // nil until shares have been set
}

// end is the bin in which the period ended that is told now.
func (m *meterClock) end(now int64) int64 { return flip(now, m.phase) - m.lag }

// prune forgets servers that are gone and hold nothing of ours.
func (c *Controller) prune() {
	kept := c.order[:0]
	for _, s := range c.order {
		if s.listed || s.inflight > 0 {
			kept = append(kept, s)
		} else {
			delete(c.servers, s.Server)
		}
	}
	c.order = kept
}

// Bound is how many attempts may be out at once now.
func (c *Controller) Bound() float64 { return c.bound }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Handle takes one event and returns what the gateway has to do, in order. The
// slice is the controller's own and holds until the next call.
func (c *Controller) Handle(now time.Duration, e Event) []Action {
	c.out = c.out[:0]
	if now > c.now {
		c.now, c.skipped = now, now-c.now
	}
	if !c.started {
		c.begin()
	}
	switch e := e.(type) {
	case EndpointList:
		c.onList(e)
	case Request:
		c.onRequest(e)
	case ResponseStarted:
		c.onStarted(e)
	case AttemptResult:
		c.onResponse(e)
	case ClientGone:
		if r := c.reqs[e.ID]; r != nil {
			c.forget(r)
		}
	case TimerFired:
		c.onTimer(e.Label)
	}
	c.pump()
	return c.out
}

func newController(s Settings, seed uint64) *Controller {
	pcg := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	return &Controller{
		set: s, portion: 1, slack: initialSlackFraction, pcg: pcg, rng: rand.New(pcg),
		classes: map[string]*Class{}, planOf: map[string]*plan{}, reqs: map[string]*request{},
		usual: map[*Class]*usualTTL{}, labels: map[uint64]*request{}, attempts: map[attemptKey]*attempt{},
		custs: map[string]*customer{}, servers: map[uint32]*server{},
	}
}

// merge brings the servers up to a list event and forgets those that are gone.
func (c *Controller) merge(e EndpointList) {
	for _, s := range c.order {
		s.listed = s.listed && e.Kind == ListPatch
	}
	for _, m := range e.Endpoints {
		s := c.servers[m.Server]
		if s == nil {
			s = &server{shut: map[*plan]time.Duration{}}
			c.servers[m.Server], c.order = s, append(c.order, s)
		} else if m.State != Active {
			// Guards against an entry that tells no more than that: where the server was says who
			// drops repeats of what it may have run.
			s.State, s.listed = m.State, m.State != Gone
			continue
		}
		c.learn(s, m)
		s.Endpoint, s.listed = m, m.State != Gone
	}
	sort.Slice(c.order, func(i, j int) bool { return c.order[i].Server < c.order[j].Server })
	c.prune()
}

// record books an attempt that starts now.
func (c *Controller) record(r *request, s *server, b bill) {
	c.attempts[attemptKey{r.id, r.sends}] = &attempt{req: r, srv: s, cust: r.cust, sent: c.now, bill: b}
	r.sends++
	r.out++
	r.tried = append(r.tried, s.Server)
	s.inflight++
	c.inflight++
	r.cust.open++
	if r.streaming { // from the start: its body is still to come
		c.streams++
	}
}

// settle books the end of an attempt; it gives nil where there is none of that name.
func (c *Controller) settle(key attemptKey) *attempt {
	a := c.attempts[key]
	if a == nil {
		return nil
	}
	delete(c.attempts, key)
	a.req.out--
	a.srv.inflight--
	c.inflight--
	a.cust.open--
	if a.req.streaming {
		c.streams--
	}
	return a
}

// saw takes one lateness over the aim of a plan's requests.
func (p *plan) saw(late float64) {
	p.lateSum += late
	p.lateN++
}

func (c *Controller) count(is func(*server) bool) float64 {
	n := 0.0
	for _, s := range c.order {
		if is(s) {
			n++
		}
	}
	return n
}
