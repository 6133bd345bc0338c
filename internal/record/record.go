// Package record keeps what a decision module was told and answered, in files that rotate, so that
// its decisions can be played again. A file is a section: it begins with the module's settings and
// whole state, so that it stands alone. Writing never waits: what can't be written in time ends the
// section, and the next one tells how many events were lost between.
package record

import (
	"compress/gzip"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
	"lockflow/internal/codec"
)

// Version is that of the form. A reader takes its own only.
const Version = 1

// Suffix is that of the files' names.
const Suffix = ".lfrec"

const (
	magic         = "lockflow recording\n"
	files         = 4        // of a service, among which its bytes are divided
	maxBatchBytes = 64 << 10 // of events that are handed over at once
	batchAge      = time.Second
	ahead         = 64        // batches that may wait to be written
	maxFrameBytes = 256 << 20 // of a frame that is read
)

// Options are where a service's recordings go.
type Options struct {
	Service string
	Dir     string
	Bytes   int64 // of all its files, before they are compressed
}

// head is the first frame of a section.
type head struct {
	Version  int              `cbor:"Version"`
	Service  string           `cbor:"Service"`
	At       time.Time        `cbor:"At"`
	Lost     int64            `cbor:"Lost"` // events before this section that are in none
	Settings control.Settings `cbor:"Settings"`
	Image    control.Image    `cbor:"Image"`
}

// one is an event with a digest of the actions that answered it.
type one struct {
	_    struct{} `cbor:",toarray"`
	Now  time.Duration
	Kind uint8
	Body cbor.RawMessage
	Sum  uint64
}

// Module is a controller whose events are recorded. It is used by one goroutine.
type Module struct {
	*control.Controller
	o       Options
	set     control.Settings
	batches chan []byte // nil begins a file
	done    chan struct{}

	fresh  bool // the next event begins a section
	batch  []byte
	since  time.Time
	size   int64 // of the section
	lost   int64
	digest []byte
}

// New records a controller of some settings from its next event on. Close ends it.
func New(c *control.Controller, set control.Settings, o Options) (*Module, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	m := &Module{Controller: c, o: o, set: set, batches: make(chan []byte, ahead), done: make(chan struct{}), fresh: true}
	go m.write()
	return m, nil
}

// Handle has the controller take an event, and records it.
func (m *Module) Handle(now time.Duration, e control.Event) []control.Action {
	if m.fresh {
		m.begin()
	}
	actions := m.Controller.Handle(now, e)
	kind := kindOf(e)
	body, err := cbor.Marshal(e)
	if err == nil {
		m.digest = Digest(m.digest[:0], actions)
		body, err = cbor.Marshal(one{Now: now, Kind: kind, Body: body, Sum: xxhash.Sum64(m.digest)})
	}
	if err != nil || kind == 0 {
		m.lose(1)
		return actions
	}
	m.frame(body)
	if len(m.batch) > maxBatchBytes || time.Since(m.since) > batchAge {
		m.hand()
	}
	if m.size > m.o.Bytes/files {
		m.hand()
		m.fresh = true
	}
	return actions
}

// Restore, Rejoin, HandOver and Alone change the controller by no event: another section begins.

// Restore is the controller's.
func (m *Module) Restore(now time.Duration, c control.Checkpoint, trust control.Trust) {
	m.Controller.Restore(now, c, trust)
	m.fresh = true
}

// ReclaimRates is the controller's.
func (m *Module) ReclaimRates(now time.Duration, given *control.Checkpoint) {
	m.Controller.ReclaimRates(now, given)
	m.fresh = true
}

// HandOver is the controller's.
func (m *Module) HandOver(now time.Duration, give float64) control.Checkpoint {
	defer func() { m.fresh = true }()
	return m.Controller.HandOver(now, give)
}

// PredecessorEnded is the controller's.
func (m *Module) PredecessorEnded() {
	m.Controller.PredecessorEnded()
	m.fresh = true
}

// Close writes what is left. Nothing may be handled any more.
func (m *Module) Close() error {
	m.hand()
	close(m.batches)
	<-m.done
	return nil
}

func (m *Module) begin() {
	m.hand()
	m.fresh, m.size = false, 0
	raw, err := cbor.Marshal(head{Version, m.o.Service, time.Now(), m.lost, m.set, m.Image()})
	if err != nil || !m.post(nil) {
		m.lose(1)
		return
	}
	m.frame(raw)
	m.hand()
}

// frame adds one with its length and sum.
func (m *Module) frame(raw []byte) {
	if len(m.batch) == 0 {
		m.since = time.Now()
	}
	m.batch = binary.BigEndian.AppendUint32(m.batch, uint32(len(raw)))
	m.batch = binary.BigEndian.AppendUint32(m.batch, codec.Sum(raw))
	m.batch = append(m.batch, raw...)
	m.size += int64(len(raw)) + 8
}

// hand gives what has come together to the writer, who may be behind: then it is lost, and the
// section ends here.
func (m *Module) hand() {
	if len(m.batch) == 0 {
		return
	}
	if !m.post(m.batch) {
		m.lose(1)
	}
	m.batch = nil
}

func (m *Module) post(batch []byte) bool {
	select {
	case m.batches <- batch:
		return true
	default:
		return false
	}
}

func (m *Module) lose(n int64) {
	m.lost += n
	m.fresh = true
}

// write is the writer's goroutine: a file each section, the oldest removed.
func (m *Module) write() {
	defer close(m.done)
	var file *os.File
	var z *gzip.Writer
	end := func() {
		if file != nil {
			if err := errors.Join(z.Close(), file.Close()); err != nil {
				slog.Warn("recording: a section is not whole", "file", file.Name(), "err", err)
			}
			file = nil
		}
	}
	defer end()
	for b := range m.batches {
		if b == nil {
			end()
			f, err := m.next()
			if err != nil {
				slog.Warn("recording: no section can be begun", "dir", m.o.Dir, "err", err)
				continue
			}
			file = f
			z, _ = gzip.NewWriterLevel(file, gzip.BestSpeed) // an error is a level that is none
			_, _ = z.Write([]byte(magic))                    // what fails shows at the end
			continue
		}
		if file != nil {
			if _, err := z.Write(b); err == nil {
				_ = z.Flush()
			}
		}
	}
}

// next makes room for a file and opens it.
func (m *Module) next() (*os.File, error) {
	old, err := filepath.Glob(filepath.Join(m.o.Dir, m.o.Service+"-*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(old)
	for len(old) >= files {
		if err := os.Remove(old[0]); err != nil {
			return nil, err
		}
		old = old[1:]
	}
	name := fmt.Sprintf("%s-%020d%s", m.o.Service, time.Now().UnixNano(), Suffix)
	return os.OpenFile(filepath.Join(m.o.Dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}

// kinds are events by the number that a recording has for them, from 1 on.
var kinds = []func(cbor.RawMessage) (control.Event, error){
	decode[control.EndpointList], decode[control.Request], decode[control.ResponseStarted],
	decode[control.AttemptResult], decode[control.ClientGone], decode[control.TimerFired], decode[control.HealthCheckResult], decode[control.PeerMessage], decode[control.CounterResult],
}

func decode[E control.Event](raw cbor.RawMessage) (control.Event, error) {
	var e E
	err := codec.Decoder.Unmarshal(raw, &e)
	return e, err
}

func kindOf(e control.Event) uint8 {
	switch e.(type) {
	case control.EndpointList:
		return 1
	case control.Request:
		return 2
	case control.ResponseStarted:
		return 3
	case control.AttemptResult:
		return 4
	case control.ClientGone:
		return 5
	case control.TimerFired:
		return 6
	case control.HealthCheckResult:
		return 7
	case control.PeerMessage:
		return 8
	case control.CounterResult:
		return 9
	}
	return 0
}

// Digest appends actions to b in a form of their own: equal actions give equal bytes.
func Digest(b []byte, actions []control.Action) []byte {
	text := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case control.Send:
			b = append(b, 1)
			text(a.ID)
			b = binary.AppendUvarint(binary.AppendVarint(b, int64(a.Timeout)), uint64(a.Server))
		case control.CancelAttempt:
			b = append(b, 2)
			text(a.ID)
			b = binary.AppendVarint(b, int64(a.Attempt))
		case control.Reject:
			b = append(b, 3)
			text(a.ID)
			b = binary.AppendVarint(b, int64(a.RetryAfter))
		case control.Fail:
			b = append(b, 4)
			text(a.ID)
		case control.StartTimer:
			b = binary.AppendUvarint(binary.AppendVarint(append(b, 5), int64(a.After)), a.Label)
		case control.Disconnect:
			b = binary.AppendUvarint(append(b, 6), uint64(a.Server))
		case control.LogLine:
			b = append(b, 7)
			text(a.Text)
		case control.AddToCounter:
			b = binary.AppendUvarint(append(b, 8), math.Float64bits(a.Add))
		default:
			b = append(b, 9)
			text(rareActionText(a))
		}
	}
	return b
}

// rareActionText is the text by which Digest tells an action without a form of its own. It is part of
// what recordings hold, so it stays as it is whatever the types and fields are called.
func rareActionText(a control.Action) string {
	switch a := a.(type) {
	case control.CheckHealth:
		return fmt.Sprintf("control.Probe {Server:%d}", a.Server)
	case control.WatchEndpoints:
		return fmt.Sprintf("control.Follow {Active:%t}", a.Active)
	case control.FetchEndpoints:
		return "control.Snapshot {}"
	case control.SendPeerMessage:
		return fmt.Sprintf("control.Say {To:%d Raw:%v}", a.To, a.Raw)
	default:
		return fmt.Sprintf("%T %+v", a, a)
	}
}

// Reader reads a section.
type Reader struct {
	in   io.Reader
	head head
}

// Open reads a section's beginning.
func Open(in io.Reader) (*Reader, error) {
	z, err := gzip.NewReader(in)
	if err != nil {
		return nil, fmt.Errorf("no recording: %w", err)
	}
	return read(z)
}

// read reads the beginning of what was compressed.
func read(in io.Reader) (*Reader, error) {
	r := &Reader{in: in}
	got := make([]byte, len(magic))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != magic {
		return nil, errors.New("no recording")
	}
	raw, err := r.frame()
	if err == nil {
		err = codec.Decoder.Unmarshal(raw, &r.head)
	}
	if err == nil && r.head.Version != Version {
		err = fmt.Errorf("it is of version %d, not %d", r.head.Version, Version)
	}
	if err != nil {
		return nil, fmt.Errorf("reading the recording's head: %w", err)
	}
	return r, nil
}

// frame reads one; io.EOF is the end, also in the middle of one: the process may have been killed.
func (r *Reader) frame() ([]byte, error) {
	var h [8]byte
	if _, err := io.ReadFull(r.in, h[:]); err != nil {
		return nil, io.EOF
	}
	n := binary.BigEndian.Uint32(h[:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	raw, err := io.ReadAll(io.LimitReader(r.in, int64(n)))
	if err != nil || len(raw) < int(n) {
		return nil, io.EOF
	}
	if codec.Sum(raw) != binary.BigEndian.Uint32(h[4:]) {
		return nil, errors.New("a frame that was altered")
	}
	return raw, nil
}

// Service is whose recording it is, At when the section began, and Lost how many events came
// before it that are in none.
func (r *Reader) Service() (name string, at time.Time, lost int64) {
	return r.head.Service, r.head.At, r.head.Lost
}

// Settings are those of the module.
func (r *Reader) Settings() control.Settings { return r.head.Settings }

// Step is one event with what answered it when it is played again.
type Step struct {
	Now     time.Duration
	Event   control.Event
	Actions []control.Action
	Same    bool // they are those that were recorded
}

// Play resumes the module and has it take the section's events, up to the end or to an error of do.
// It gives how many there were and a digest over all actions.
func (r *Reader) Play(do func(Step) error) (n int, sum uint64, err error) {
	c, err := control.Resume(r.head.Settings, r.head.Image)
	if err != nil {
		return 0, 0, fmt.Errorf("resuming the module: %w", err)
	}
	all := xxhash.New()
	for {
		raw, err := r.frame()
		if errors.Is(err, io.EOF) {
			return n, all.Sum64(), nil
		}
		var o one
		if err == nil {
			err = codec.Decoder.Unmarshal(raw, &o)
		}
		if err == nil && (o.Kind == 0 || int(o.Kind) > len(kinds)) {
			err = fmt.Errorf("an event of kind %d", o.Kind)
		}
		var e control.Event
		if err == nil {
			e, err = kinds[o.Kind-1](o.Body)
		}
		if err != nil {
			return n, all.Sum64(), fmt.Errorf("event %d: %w", n+1, err)
		}
		actions := c.Handle(o.Now, e)
		digest := Digest(nil, actions)
		_, _ = all.Write(digest)
		n++
		if err := do(Step{o.Now, e, actions, xxhash.Sum64(digest) == o.Sum}); err != nil {
			return n, all.Sum64(), err
		}
	}
}
