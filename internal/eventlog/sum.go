package eventlog

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// youngServerMS is the age, in ms, below which a server's process counts as just started.
const youngServerMS = 15000

// maxLineBytes is the longest line of a log that is read; a longer one is none of ours.
const maxLineBytes = 1 << 16

// Second is what a whole fleet did in one second.
type Second struct {
	Second           int            `json:"at"`       // s since the first request
	Requests         map[string]int `json:"requests"` // by outcome, and of those not served by why
	InTime           int            `json:"in_time"`  // served within the aim that was asked for
	Attempts         map[string]int `json:"attempts"` // by reason
	NewConnections   int            `json:"dialed"`
	AtYoungServers   int            `json:"young"`   // attempts at servers that had just started
	MeanAttemptMS    float64        `json:"took_ms"` // mean of the attempts
	ConcurrencyLimit float64        `json:"bound"`   // mean of the instances that told, as the next four
	AttemptsInFlight float64        `json:"out"`
	AcceptedRequests float64        `json:"held"`
	IdleConnections  float64        `json:"conns"`
	AvailableServers float64        `json:"up"`
}

// ServerSum is what a whole fleet sent to one server.
type ServerSum struct {
	Server          string         `json:"server"`
	Attempts        int            `json:"attempts"`
	Reasons         map[string]int `json:"reasons"`
	Instances       int            `json:"from"`       // instances that sent to it
	MeanAttemptMS   float64        `json:"took_ms"`    // mean of good ones
	MeanReportedMS  float64        `json:"told_ms"`    // mean of what it told of its time, -1 for nothing
	MeanUtilization float64        `json:"util"`       // the same of how busy it was
	PeakInFlight    int            `json:"most"`       // out at once, of all instances together
	FirstSecond     int            `json:"first_at_s"` // when it was first sent to
}

// PlanSum is what one plan's customers asked and used, held against quotas as if one gateway had seen
// all of it. Units are those of the requests' guesses.
type PlanSum struct {
	Plan                string  `json:"plan"`
	Customers           int     `json:"customers"`
	Requests            int     `json:"tries"`
	SentWithinQuota     float64 `json:"sent_inside"`  // units
	SentOverQuota       float64 `json:"sent_beyond"`  // units
	RejectedWithinQuota float64 `json:"refused_room"` // units refused though the store held them
	RejectedOverQuota   float64 `json:"refused_over"` // units refused that it did not hold
}

// Sum is a fleet's day.
type Sum struct {
	Instances int         `json:"instances"`
	Skipped   int         `json:"skipped"` // lines with the mark that can't be read
	Seconds   []Second    `json:"seconds"`
	Servers   []ServerSum `json:"servers"` // the slowest first
	Plans     []PlanSum   `json:"plans"`
}

// Summer adds up the logs of a fleet.
type Summer struct {
	LatencyObjectiveMS float64 // within which a served request is in time; 0 is any time
	instances          map[string]bool
	skipped            int
	attempts           []attempt
	requests           []request
	states             []state
	plans              map[string]plan
}

type attempt struct {
	at, durationMS, serverAgeMS, reportedMS, utilization float64
	server, instance, reason                             string
	isOnNewConnection                                    bool
}

type request struct {
	at, units, durationMS          float64
	plan, customer, outcome, cause string
	attempts                       int
}

type state struct{ at, concurrencyLimit, acceptedRequests, attemptsInFlight, idleConnections, availableServers float64 }

type plan struct{ quotaRate, quotaBurst float64 }

// Read takes the log of one instance. Lines without the mark are passed over; one with it that can't
// be read is counted.
func (a *Summer) Read(instance string, r io.Reader) error {
	if a.plans == nil {
		a.plans, a.instances = make(map[string]plan), make(map[string]bool)
	}
	a.instances[instance] = true
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		_, line, ok := strings.Cut(lines.Text(), LinePrefix)
		if ok && !a.addLine(instance, strings.Fields(line)) {
			a.skipped++
		}
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("a line of more than %d bytes", maxLineBytes)
	} else if err != nil {
		return err
	}
	return nil
}

// hasID tells whether lines of a kind may end with a request's id.
func hasID(kind string) bool { return kind == "a" || kind == "r" }

func (a *Summer) addLine(instance string, f []string) bool {
	want := map[string]int{"a": 15, "r": 12, "s": 8, "p": 10}
	if len(f) == 0 || len(f) != want[f[0]] && !(hasID(f[0]) && len(f) == want[f[0]]+1) {
		return false
	}
	ok := true
	num := func(i int) float64 {
		v, err := strconv.ParseFloat(f[i], 64)
		ok = ok && err == nil && v > -1e15 && v < 1e15
		return v
	}
	switch f[0] {
	case "a":
		one := attempt{at: num(1), server: f[2], instance: instance, reason: f[5], durationMS: num(6), serverAgeMS: num(7), isOnNewConnection: f[9] == "true", reportedMS: num(12), utilization: num(13)}
		if ok {
			a.attempts = append(a.attempts, one)
		}
	case "r":
		one := request{at: num(1), plan: f[3], customer: f[4], units: num(7), outcome: f[8], cause: f[9], durationMS: num(10), attempts: int(num(11))}
		if ok {
			a.requests = append(a.requests, one)
		}
	case "s":
		one := state{at: num(1), concurrencyLimit: num(2), acceptedRequests: num(3), attemptsInFlight: num(4), idleConnections: num(5), availableServers: num(7)}
		if ok {
			a.states = append(a.states, one)
		}
	case "p":
		one := plan{quotaRate: num(4), quotaBurst: num(5)}
		if ok {
			a.plans[f[2]] = one
		}
	}
	return ok
}

// Sum adds up what was read.
func (a *Summer) Sum() Sum {
	s := Sum{Instances: len(a.instances), Skipped: a.skipped}
	if len(a.requests) == 0 && len(a.attempts) == 0 {
		return s
	}
	slices.SortStableFunc(a.requests, func(x, y request) int { return cmp.Compare(x.at, y.at) })
	slices.SortStableFunc(a.attempts, func(x, y attempt) int { return cmp.Compare(x.at, y.at) })
	start := 0.0
	if len(a.requests) > 0 {
		start = a.requests[0].at
	}
	if len(a.attempts) > 0 && (len(a.requests) == 0 || a.attempts[0].at < start) {
		start = a.attempts[0].at
	}
	s.Seconds = a.seconds(start)
	s.Servers = a.servers(start)
	s.Plans = a.quotas()
	return s
}

func (a *Summer) seconds(start float64) []Second {
	by := make(map[int]*Second)
	told := make(map[int]float64)
	at := func(t float64) *Second {
		i := int((t - start) / 1000)
		if by[i] == nil {
			by[i] = &Second{Second: i, Requests: make(map[string]int), Attempts: make(map[string]int)}
		}
		return by[i]
	}
	for _, r := range a.requests {
		s := at(r.at)
		s.Requests[r.outcome]++
		if r.cause != "-" {
			s.Requests[r.cause]++
		}
		if r.outcome == "served" && (a.LatencyObjectiveMS == 0 || r.durationMS <= a.LatencyObjectiveMS) {
			s.InTime++
		}
	}
	for _, t := range a.attempts {
		s := at(t.at)
		s.Attempts[t.reason]++
		if t.isOnNewConnection {
			s.NewConnections++
		}
		if t.serverAgeMS >= 0 && t.serverAgeMS < youngServerMS {
			s.AtYoungServers++
		}
		s.MeanAttemptMS += t.durationMS
	}
	for _, t := range a.states {
		if t.at < start {
			continue
		}
		s := at(t.at)
		told[s.Second]++
		s.ConcurrencyLimit, s.AttemptsInFlight, s.AcceptedRequests, s.IdleConnections, s.AvailableServers = s.ConcurrencyLimit+t.concurrencyLimit, s.AttemptsInFlight+t.attemptsInFlight, s.AcceptedRequests+t.acceptedRequests, s.IdleConnections+t.idleConnections, s.AvailableServers+t.availableServers
	}
	var all []Second
	for i, s := range by {
		n := 0
		for _, k := range s.Attempts {
			n += k
		}
		s.MeanAttemptMS /= float64(max(1, n))
		if k := told[i]; k > 0 {
			s.ConcurrencyLimit, s.AttemptsInFlight, s.AcceptedRequests, s.IdleConnections, s.AvailableServers = s.ConcurrencyLimit/k, s.AttemptsInFlight/k, s.AcceptedRequests/k, s.IdleConnections/k, s.AvailableServers/k
		}
		all = append(all, *s)
	}
	slices.SortFunc(all, func(x, y Second) int { return cmp.Compare(x.Second, y.Second) })
	return all
}

func (a *Summer) servers(start float64) []ServerSum {
	by := make(map[string][]attempt)
	for _, t := range a.attempts {
		by[t.server] = append(by[t.server], t)
	}
	var all []ServerSum
	for name, ts := range by {
		s := ServerSum{Server: name, Attempts: len(ts), Reasons: make(map[string]int), FirstSecond: int((ts[0].at - start) / 1000), PeakInFlight: peakInFlight(ts), MeanReportedMS: -1, MeanUtilization: -1}
		from := make(map[string]bool)
		good, told, util, reports := 0.0, 0.0, 0.0, 0.0
		for _, t := range ts {
			s.Reasons[t.reason]++
			from[t.instance] = true
			if t.reason == "ok" {
				good++
				s.MeanAttemptMS += t.durationMS
			}
			if t.reportedMS >= 0 {
				reports++
				told, util = told+t.reportedMS, util+t.utilization
			}
		}
		s.Instances = len(from)
		s.MeanAttemptMS /= max(1, good)
		if reports > 0 {
			s.MeanReportedMS, s.MeanUtilization = told/reports, util/reports
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(x, y ServerSum) int {
		return cmp.Or(cmp.Compare(y.MeanAttemptMS, x.MeanAttemptMS), cmp.Compare(x.Server, y.Server))
	})
	return all
}

// peakInFlight is how many of a server's attempts were out at once.
func peakInFlight(ts []attempt) int {
	type end struct {
		at float64
		by int
	}
	var ends []end
	for _, t := range ts {
		ends = append(ends, end{t.at, 1}, end{t.at + t.durationMS, -1})
	}
	slices.SortFunc(ends, func(x, y end) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.by, y.by)) })
	n, high := 0, 0
	for _, e := range ends {
		n += e.by
		high = max(high, n)
	}
	return high
}

// quotas plays each customer's store, which no instance sees whole.
func (a *Summer) quotas() []PlanSum {
	type store struct{ level, at float64 }
	stores := make(map[string]*store)
	by := make(map[string]*PlanSum)
	for _, r := range a.requests {
		p, ok := a.plans[r.plan]
		if !ok || p.quotaRate <= 0 {
			continue
		}
		s := by[r.plan]
		if s == nil {
			s = &PlanSum{Plan: r.plan}
			by[r.plan] = s
		}
		key := r.plan + " " + r.customer
		c := stores[key]
		if c == nil {
			c = &store{p.quotaBurst, r.at}
			stores[key] = c
			s.Customers++
		}
		c.level, c.at = min(p.quotaBurst, c.level+(r.at-c.at)/1000*p.quotaRate), r.at
		s.Requests++
		inside := c.level >= r.units
		switch {
		case r.attempts > 0 && inside:
			c.level -= r.units
			s.SentWithinQuota += r.units
		case r.attempts > 0:
			s.SentOverQuota += r.units
		case inside:
			s.RejectedWithinQuota += r.units
		default:
			s.RejectedOverQuota += r.units
		}
	}
	var all []PlanSum
	for _, s := range by {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(x, y PlanSum) int { return cmp.Compare(x.Plan, y.Plan) })
	return all
}
