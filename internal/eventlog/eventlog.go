// Package eventlog writes a log of one instance's events, one line per event, and aggregates the logs of many
// instances. The load that a fleet puts on a server is not visible to any single instance, only in the logs of
// all of them. Writing is off by default and meant for diagnosing faults.
//
// A line consists of LinePrefix, a letter for the kind of event, and fields separated by spaces. Logs of
// different builds are aggregated together, so the fields of a kind and their order must not change.
package eventlog

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// LinePrefix starts each line.
const LinePrefix = "tally "

// Kinds of lines.
const (
	attemptLine = 'a'
	requestLine = 'r'
	stateLine   = 's'
	planLine    = 'p'
)

// Attempt is the event of an attempt that has ended.
type Attempt struct {
	At                time.Time // when it started
	Server            string    // UID
	Class             string
	Number            int    // among the request's attempts, from 0
	Reason            string // why it ended, as in metrics
	Duration          time.Duration
	ServerAge         time.Duration // age of the server's process when the attempt started; -1 ms if it is unknown or the server started long ago
	IsServerDraining  bool          // the server was not available when the attempt ended
	IsOnNewConnection bool
	ActualUnits       float64 // 0 if not reported
	QuotaUsage        int     // 1 + per cent of the quota's rate; 0 if not reported
	// ServiceMS, Utilization and QueueLength are from the server's load report; negative if it lacks them.
	ServiceMS, Utilization, QueueLength float64
	ID                                  string // of the request; left out if empty
}

// Request is the event of a request that has received its final answer.
type Request struct {
	At       time.Time // when it arrived
	Class    string
	Plan     string
	Customer uint32 // hash of the name, which distinguishes customers without disclosing their names
	FanOut   int    // number of instances that receive requests of this customer
	IsRetry  bool   // the client marked it as a retry
	Units    float64
	Outcome  string // served, refused, failed or left
	Cause    string // "" if it was served
	Duration time.Duration
	Attempts int
	ID       string // left out if empty
}

// State is the state of an instance at one time; it is written every second.
type State struct {
	At               time.Time
	ConcurrencyLimit float64
	AcceptedRequests int
	AttemptsInFlight int
	IdleConnections  int // to servers
	ListedServers    int
	AvailableServers int
}

// Plan is a plan from the settings, with which the usage of its customers is compared; all plans are written at
// startup.
type Plan struct {
	At             time.Time
	Name           string
	Price          float64
	QuotaRate      float64 // units a second
	QuotaBurst     float64 // units
	OverQuotaCost  float64
	HardLimitRate  float64 // units a second
	HardLimitBurst float64 // units
	HardLimitSlack float64 // units
}

// Writer writes the lines of an event log. A nil Writer discards all events. It is safe for concurrent use.
type Writer struct {
	mu        sync.Mutex
	out       io.Writer
	buffer    []byte
	hasFailed bool // a write has failed; later events are discarded
}

// NewWriter returns a Writer that calls out.Write once per line.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func unixMS(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// Attempt writes the line of an attempt.
func (w *Writer) Attempt(a Attempt) {
	if w == nil {
		return
	}
	w.writeLine(attemptLine, unixMS(a.At), word(a.Server), word(a.Class), a.Number, word(a.Reason), milliseconds(a.Duration),
		milliseconds(a.ServerAge), a.IsServerDraining, a.IsOnNewConnection, a.ActualUnits, a.QuotaUsage,
		a.ServiceMS, a.Utilization, a.QueueLength, optionalWord(a.ID))
}

// Request writes the line of a request.
func (w *Writer) Request(r Request) {
	if w == nil {
		return
	}
	w.writeLine(requestLine, unixMS(r.At), word(r.Class), word(r.Plan), int(r.Customer), r.FanOut, r.IsRetry, r.Units,
		word(r.Outcome), word(r.Cause), milliseconds(r.Duration), r.Attempts, optionalWord(r.ID))
}

// State writes the line of a state.
func (w *Writer) State(s State) {
	if w == nil {
		return
	}
	w.writeLine(stateLine, unixMS(s.At), s.ConcurrencyLimit, s.AcceptedRequests, s.AttemptsInFlight, s.IdleConnections,
		s.ListedServers, s.AvailableServers)
}

// Plan writes the line of a plan.
func (w *Writer) Plan(p Plan) {
	if w == nil {
		return
	}
	w.writeLine(planLine, unixMS(p.At), word(p.Name), p.Price, p.QuotaRate, p.QuotaBurst, p.OverQuotaCost, p.HardLimitRate,
		p.HardLimitBurst, p.HardLimitSlack)
}

// optionalWord is a word that is left out if it is empty. The line then equals that of an older build without the
// field.
type optionalWord string

// word is a text that is written without spaces, so that text received from a peer can't break a line's fields.
type word string

func (w *Writer) writeLine(kind byte, fields ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasFailed {
		return
	}
	line := append(append(w.buffer[:0], LinePrefix...), kind)
	for _, field := range fields {
		if field == optionalWord("") {
			continue
		}
		line = append(line, ' ')
		switch field := field.(type) {
		case float64:
			line = strconv.AppendFloat(line, field, 'f', 3, 64)
		case int:
			line = strconv.AppendInt(line, int64(field), 10)
		case bool:
			line = strconv.AppendBool(line, field)
		case word:
			line = appendWord(line, string(field))
		case optionalWord:
			line = appendWord(line, string(field))
		}
	}
	w.buffer = append(line, '\n')
	// With a full disk or a closed file, every request would cost a failing call, so the first error stops all writing.
	_, err := w.out.Write(w.buffer)
	w.hasFailed = err != nil
}

const maxWordBytes = 40

// appendWord appends a text as one field. An empty text becomes "-"; spaces and bytes that are not printable ASCII
// become "_"; a long text is truncated to maxWordBytes.
func appendWord(line []byte, text string) []byte {
	if text == "" {
		return append(line, '-')
	}
	for i := 0; i < len(text) && i < maxWordBytes; i++ {
		c := text[i]
		if c <= ' ' || c >= 0x7f {
			c = '_'
		}
		line = append(line, c)
	}
	return line
}
