package eventlog

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxLineBytes limits the length of a line that is read.
const maxLineBytes = 1 << 16

// maxNumber limits the absolute value of the numbers in a line, which are summed.
const maxNumber = 1e15

// Aggregator reads the logs of a fleet's instances and aggregates their events. The zero value is ready for use. It
// is not safe for concurrent use.
type Aggregator struct {
	LatencyObjectiveMS float64 // a served request counts as in time up to this duration; 0 means no limit
	instances          map[string]bool
	skipped            int // lines with the prefix that could not be parsed
	attempts           []attempt
	requests           []request
	states             []state
	plans              map[string]plan
}

// attempt is a parsed attempt line. Times are in milliseconds: at since the Unix epoch, the others as durations.
type attempt struct {
	at, durationMS, serverAgeMS, reportedMS, utilization float64
	server, instance, reason                             string
	isOnNewConnection                                    bool
}

func (a *attempt) end() float64 { return a.at + a.durationMS }

// request is a parsed request line.
type request struct {
	at, units, durationMS          float64
	plan, customer, outcome, cause string
	attempts                       int
}

// state is a parsed state line.
type state struct {
	at, concurrencyLimit, acceptedRequests, attemptsInFlight, idleConnections, availableServers float64
}

// plan is a parsed plan line.
type plan struct{ quotaRate, quotaBurst float64 }

// Read reads the log of one instance. Lines without the prefix are ignored; lines with the prefix that can't be
// parsed are counted. It returns an error if the log can't be read or has a line longer than maxLineBytes.
func (s *Aggregator) Read(instance string, log io.Reader) error {
	if s.plans == nil {
		s.plans = make(map[string]plan)
		s.instances = make(map[string]bool)
	}
	s.instances[instance] = true
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		_, line, hasPrefix := strings.Cut(lines.Text(), LinePrefix)
		if hasPrefix && !s.addLine(instance, strings.Fields(line)) {
			s.skipped++
		}
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("line exceeds %d bytes", maxLineBytes)
	} else if err != nil {
		return err
	}
	return nil
}

// fieldCounts has the number of fields of a line by its kind, which is the first field.
var fieldCounts = map[string]int{
	string(attemptLine): 15, string(requestLine): 12, string(stateLine): 8, string(planLine): 10,
}

// hasFieldCount reports whether a line has the number of fields of its kind. Lines of attempts and requests may have
// the request's ID as an additional last field.
func hasFieldCount(fields []string) bool {
	if len(fields) == 0 {
		return false
	}
	count := fieldCounts[fields[0]]
	mayHaveID := fields[0] == string(attemptLine) || fields[0] == string(requestLine)
	return len(fields) == count || mayHaveID && len(fields) == count+1
}

// addLine parses a line that was split into fields and adds it. It returns false if the line can't be parsed.
func (s *Aggregator) addLine(instance string, fields []string) bool {
	if !hasFieldCount(fields) {
		return false
	}
	parser := lineParser{fields: fields}
	switch fields[0] {
	case string(attemptLine):
		if parsed := parser.attempt(instance); !parser.hasFailed {
			s.attempts = append(s.attempts, parsed)
		}
	case string(requestLine):
		if parsed := parser.request(); !parser.hasFailed {
			s.requests = append(s.requests, parsed)
		}
	case string(stateLine):
		if parsed := parser.state(); !parser.hasFailed {
			s.states = append(s.states, parsed)
		}
	case string(planLine):
		if parsed := parser.plan(); !parser.hasFailed {
			s.plans[fields[2]] = parsed
		}
	}
	return !parser.hasFailed
}

// lineParser parses the fields of a line, whose order is that of Writer.
type lineParser struct {
	fields    []string
	hasFailed bool
}

func (p *lineParser) number(i int) float64 {
	v, err := strconv.ParseFloat(p.fields[i], 64)
	if err != nil || !(v > -maxNumber && v < maxNumber) {
		p.hasFailed = true
	}
	return v
}

func (p *lineParser) attempt(instance string) attempt {
	return attempt{
		at:                p.number(1),
		server:            p.fields[2],
		instance:          instance,
		reason:            p.fields[5],
		durationMS:        p.number(6),
		serverAgeMS:       p.number(7),
		isOnNewConnection: p.fields[9] == "true",
		reportedMS:        p.number(12),
		utilization:       p.number(13),
	}
}

func (p *lineParser) request() request {
	return request{
		at:         p.number(1),
		plan:       p.fields[3],
		customer:   p.fields[4],
		units:      p.number(7),
		outcome:    p.fields[8],
		cause:      p.fields[9],
		durationMS: p.number(10),
		attempts:   int(p.number(11)),
	}
}

func (p *lineParser) state() state {
	return state{
		at:               p.number(1),
		concurrencyLimit: p.number(2),
		acceptedRequests: p.number(3),
		attemptsInFlight: p.number(4),
		idleConnections:  p.number(5),
		availableServers: p.number(7),
	}
}

func (p *lineParser) plan() plan { return plan{quotaRate: p.number(4), quotaBurst: p.number(5)} }
