// Package eventlog writes what one instance did, a line for each thing, and adds up the lines of many.
// No instance sees what a fleet does to a server: only their lines together tell. It is off unless
// asked for, and is meant for finding a cause, not for good.
package eventlog

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// LinePrefix begins each line.
const LinePrefix = "tally "

// Attempt is one that has ended.
type Attempt struct {
	At                time.Time     // when it began
	Server            string        // uid
	Class             string        //
	Number            int           // of the request's attempts, from 0
	Reason            string        // as metrics name it
	Duration          time.Duration //
	ServerAge         time.Duration // of the server's process when the attempt began; -1 ms is long ago
	IsServerDraining  bool          // the server was no longer up by the list when the attempt ended
	IsOnNewConnection bool          // on a connection of its own making
	ActualUnits       float64       // true units; 0 is not told
	QuotaUsage        int           // 1 + per cent of the quota's rate; 0 is not told
	// By the answer's report, below zero where it tells nothing.
	ServiceMS, Utilization, QueueLength float64
	ID                                  string // of the request; "" is left out
}

// Request is one that has its final answer.
type Request struct {
	At          time.Time // when it came
	Class, Plan string
	Customer    uint32 // by which its requests are told from others', of no use to whoever has its name not
	FanOut      int    // instances that it comes through
	IsRetry     bool   // its client has asked before
	Units       float64
	Outcome     string // served, refused, failed, left
	Cause       string // "" where it was served
	Duration    time.Duration
	Attempts    int
	ID          string // "" is left out
}

// State is what an instance has at a time; one is written a second.
type State struct {
	At                                 time.Time
	ConcurrencyLimit                   float64
	AcceptedRequests, AttemptsInFlight int // requests, attempts
	IdleConnections                    int // idle connections to servers
	ListedServers, AvailableServers    int // servers
}

// Plan is one of the settings, without which use says nothing; each is written at the start.
type Plan struct {
	At                             time.Time
	Name                           string
	Price, QuotaRate, QuotaBurst   float64
	OverQuotaCost                  float64
	HardLimitRate                  float64
	HardLimitBurst, HardLimitSlack float64
}

// Writer writes lines. A nil one writes nothing. It is safe for concurrent use.
type Writer struct {
	mu        sync.Mutex
	out       io.Writer
	buffer    []byte
	hasFailed bool // nothing more is tried
}

// NewWriter writes to out, a line a call.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func unixMS(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// Attempt writes one.
func (w *Writer) Attempt(a Attempt) {
	if w == nil {
		return
	}
	w.writeLine('a', unixMS(a.At), word(a.Server), word(a.Class), a.Number, word(a.Reason), milliseconds(a.Duration), milliseconds(a.ServerAge), a.IsServerDraining, a.IsOnNewConnection, a.ActualUnits, a.QuotaUsage, a.ServiceMS, a.Utilization, a.QueueLength, optionalWord(a.ID))
}

// Request writes one.
func (w *Writer) Request(r Request) {
	if w == nil {
		return
	}
	w.writeLine('r', unixMS(r.At), word(r.Class), word(r.Plan), int(r.Customer), r.FanOut, r.IsRetry, r.Units, word(r.Outcome), word(r.Cause), milliseconds(r.Duration), r.Attempts, optionalWord(r.ID))
}

// State writes one.
func (w *Writer) State(s State) {
	if w == nil {
		return
	}
	w.writeLine('s', unixMS(s.At), s.ConcurrencyLimit, s.AcceptedRequests, s.AttemptsInFlight, s.IdleConnections, s.ListedServers, s.AvailableServers)
}

// Plan writes one.
func (w *Writer) Plan(p Plan) {
	if w == nil {
		return
	}
	w.writeLine('p', unixMS(p.At), word(p.Name), p.Price, p.QuotaRate, p.QuotaBurst, p.OverQuotaCost, p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack)
}

// optionalWord is a text that is left out where it is empty, as by builds that knew none.
type optionalWord string

// word is a word that holds no space: a word of a peer's must not end a field.
type word string

func (w *Writer) writeLine(kind byte, fields ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasFailed {
		return
	}
	b := append(append(w.buffer[:0], LinePrefix...), kind)
	for _, f := range fields {
		if f == optionalWord("") {
			continue
		}
		b = append(b, ' ')
		switch f := f.(type) {
		case float64:
			b = strconv.AppendFloat(b, f, 'f', 3, 64)
		case int:
			b = strconv.AppendInt(b, int64(f), 10)
		case bool:
			b = strconv.AppendBool(b, f)
		case word:
			b = appendWord(b, string(f))
		case optionalWord:
			b = appendWord(b, string(f))
		}
	}
	w.buffer = append(b, '\n')
	// Guards against a full or closed log that would cost each request a failing call.
	_, err := w.out.Write(w.buffer)
	w.hasFailed = err != nil
}

const maxWordBytes = 40

func appendWord(b []byte, s string) []byte {
	if s == "" {
		return append(b, '-')
	}
	for i := 0; i < len(s) && i < maxWordBytes; i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f {
			c = '_'
		}
		b = append(b, c)
	}
	return b
}
