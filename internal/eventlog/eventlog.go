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

// Mark begins each line.
const Mark = "tally "

// Attempt is one that has ended.
type Attempt struct {
	At     time.Time     // when it began
	Server string        // uid
	Class  string        //
	N      int           // of the request's attempts, from 0
	Reason string        // as metrics name it
	Took   time.Duration //
	Age    time.Duration // of the server's process when the attempt began; -1 ms is long ago
	Drains bool          // the server was no longer up by the list when the attempt ended
	Dialed bool          // on a connection of its own making
	Cost   float64       // true units; 0 is not told
	Used   int           // 1 + per cent of the quota's rate; 0 is not told
	// By the answer's report, below zero where it tells nothing.
	ServiceMS, Util, Queue float64
	ID                     string // of the request; "" is left out
}

// Request is one that has its final answer.
type Request struct {
	At          time.Time // when it came
	Class, Plan string
	Customer    uint32 // by which its requests are told from others', of no use to whoever has its name not
	Spread      int    // instances that it comes through
	Repeat      bool   // its client has asked before
	Units       float64
	Outcome     string // served, refused, failed, left
	Why         string // "" where it was served
	Took        time.Duration
	Sends       int
	ID          string // "" is left out
}

// State is what an instance has at a time; one is written a second.
type State struct {
	At            time.Time
	Bound         float64
	Accepted, Out int // requests, attempts
	Conns         int // idle connections to servers
	Listed, Up    int // servers
}

// Plan is one of the settings, without which use says nothing; each is written at the start.
type Plan struct {
	At                    time.Time
	Name                  string
	Price, Rate, Depth    float64
	OverCost              float64
	HardLimitRate         float64
	HardLimitBurst, Slack float64
}

// Writer writes lines. A nil one writes nothing. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
	buf []byte
	err bool // nothing more is tried
}

// NewWriter writes to out, a line a call.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func unixMS(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }

// Attempt writes one.
func (w *Writer) Attempt(a Attempt) {
	if w == nil {
		return
	}
	w.line('a', unixMS(a.At), text(a.Server), text(a.Class), a.N, text(a.Reason), ms(a.Took), ms(a.Age), a.Drains, a.Dialed, a.Cost, a.Used, a.ServiceMS, a.Util, a.Queue, id(a.ID))
}

// Request writes one.
func (w *Writer) Request(r Request) {
	if w == nil {
		return
	}
	w.line('r', unixMS(r.At), text(r.Class), text(r.Plan), int(r.Customer), r.Spread, r.Repeat, r.Units, text(r.Outcome), text(r.Why), ms(r.Took), r.Sends, id(r.ID))
}

// State writes one.
func (w *Writer) State(s State) {
	if w == nil {
		return
	}
	w.line('s', unixMS(s.At), s.Bound, s.Accepted, s.Out, s.Conns, s.Listed, s.Up)
}

// Plan writes one.
func (w *Writer) Plan(p Plan) {
	if w == nil {
		return
	}
	w.line('p', unixMS(p.At), text(p.Name), p.Price, p.Rate, p.Depth, p.OverCost, p.HardLimitRate, p.HardLimitBurst, p.Slack)
}

// id is a text that is left out where it is empty, as by builds that knew none.
type id string

// text is a word that holds no space: a word of a peer's must not end a field.
type text string

func (w *Writer) line(kind byte, fields ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err {
		return
	}
	b := append(append(w.buf[:0], Mark...), kind)
	for _, f := range fields {
		if f == id("") {
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
		case text:
			b = appendWord(b, string(f))
		case id:
			b = appendWord(b, string(f))
		}
	}
	w.buf = append(b, '\n')
	// Guards against a full or closed log that would cost each request a failing call.
	_, err := w.out.Write(w.buf)
	w.err = err != nil
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
