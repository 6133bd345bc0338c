// Package wire turns the operators' wire text into the types of package
// control and back. It decides nothing.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
)

// Open is the start of an instance.
type Open struct {
	Seed     uint64
	Settings control.Settings
}

// Input is one event of a batch for one instance: exactly one of Open,
// PowerOff and Event is set.
type Input struct {
	Instance int
	Open     *Open
	PowerOff bool
	Event    control.Event
}

// Batch is what happened at one moment.
type Batch struct {
	Now    time.Duration
	Inputs []Input
}

// Decoder reads batches.
type Decoder struct {
	reader *bufio.Reader
	line   int
}

// NewDecoder reads batches from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: bufio.NewReaderSize(r, 1<<20)} }

// readLine reads a line without its end; io.EOF only where no text was left.
func (d *Decoder) readLine() (string, error) {
	s, err := d.reader.ReadString('\n')
	if err != nil && (!errors.Is(err, io.EOF) || s == "") {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (d *Decoder) fail(name string, err error) error {
	return fmt.Errorf("line %d: %s: %w", d.line, name, err)
}

// Next reads one batch. It gives io.EOF where the input ends between batches.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	s, err := d.readLine()
	for err == nil && s == "" {
		s, err = d.readLine()
	}
	if err != nil {
		return b, err
	}
	name, rest, _ := strings.Cut(s, " ")
	if name != "clock" {
		return b, d.fail(name, fmt.Errorf("a batch begins with clock"))
	}
	f := parseFields(rest)
	b.Now = f.milliseconds("ts", true)
	if f.err != nil {
		return b, d.fail(name, f.err)
	}
	for {
		if s, err = d.readLine(); errors.Is(err, io.EOF) {
			return b, fmt.Errorf("line %d: input ended inside a batch", d.line)
		} else if err != nil {
			return b, err
		}
		name, rest, _ = strings.Cut(s, " ")
		if name == "end" {
			return b, nil
		}
		in, known, err := d.readEvent(name, rest)
		if err != nil {
			return b, err
		}
		if known {
			b.Inputs = append(b.Inputs, in)
		}
	}
}

// readEvent reads one event line; a name that is not known is skipped.
func (d *Decoder) readEvent(name, rest string) (in Input, known bool, err error) {
	if name == "open_instance" {
		in, err = d.readOpen(rest)
		return in, true, err
	}
	f := parseFields(rest)
	switch name {
	case "power_off":
		in.PowerOff = true
	case "discovery":
		in.Instance = int(f.integer("who", true))
		count := f.integer("members", false)
		kind := readListKind(f)
		if f.err != nil {
			return in, true, d.fail(name, f.err)
		}
		members, err := d.readEndpoints(count)
		in.Event = control.EndpointList{Kind: kind, Endpoints: members}
		return in, true, err
	case "request":
		in.Event = readRequest(f)
	case "started":
		in.Event = control.ResponseStarted{
			ID: f.text("xid", true), Attempt: int(f.integer("n", false)),
			Server: f.server(), Delay: f.milliseconds("delay-seen", false),
		}
	case "response":
		in.Event = readResponse(f)
	case "hangup":
		in.Event = control.ClientGone{ID: f.text("xid", true)}
	case "elapsed":
		in.Event = control.TimerFired{Label: f.unsigned("label", true)}
	case "ping_result":
		in.Event = control.HealthCheckResult{
			Server: f.server(), Reason: control.Reason(f.integer("reason", true)),
			Delay: f.milliseconds("delay-seen", false), Load: readLoad(f),
		}
	case "peer":
		in.Event = control.PeerMessage{From: int(f.integer("src", true)), Raw: f.bytes("raw")}
	case "reckoned":
		in.Event = control.CounterResult{
			Name: f.unsigned("cname", true), Total: f.number("total", false),
			Delay: f.milliseconds("delay-seen", false), Reason: control.Reason(f.integer("reason", true)),
		}
	default:
		return in, false, nil
	}
	in.Instance = int(f.integer("who", true))
	if f.err != nil {
		return in, true, d.fail(name, f.err)
	}
	return in, true, nil
}

func readRequest(f *fields) control.Request {
	bits := f.unsigned("bitmap", false)
	r := control.Request{
		ID: f.text("xid", true), Class: f.text("class", true), Plan: f.text("terms", false),
		Customer: f.text("client-id", false), Timeout: f.milliseconds("ttl", true), Units: 1, FanOut: 1,
		FirstGateway: int(f.number("set-start", false)), IsRetry: bits&2 != 0, IsWrite: bits&4 != 0,
	}
	if f.has("weight") {
		r.Units = f.number("weight", true)
	}
	if f.has("spread") {
		r.FanOut = int(f.number("spread", true))
	}
	return r
}

func readResponse(f *fields) control.AttemptResult {
	return control.AttemptResult{
		ID: f.text("xid", true), Attempt: int(f.integer("n", false)), Server: f.server(),
		Reason: control.Reason(f.integer("reason", true)), IsFinal: f.boolean("no-more"),
		Delay: f.milliseconds("delay-seen", false), ActualUnits: f.number("cost", false),
		QuotaUsage: int(f.integer("use-pct", false)), Load: readLoad(f),
	}
}

func readListKind(f *fields) control.ListKind {
	switch k := f.text("kind", true); k {
	case "patch":
		return control.ListPatch
	case "whole":
		return control.ListComplete
	case "stale_copy":
		return control.ListCached
	case "broken":
		return control.ListFailed
	default:
		f.fail("kind", fmt.Errorf("unknown value %q", k))
		return control.ListFailed
	}
}

// readEndpoints reads the item lines of a discovery event.
func (d *Decoder) readEndpoints(count int64) ([]control.Endpoint, error) {
	var list []control.Endpoint
	for ; count > 0; count-- {
		s, err := d.readLine()
		if err != nil {
			return nil, fmt.Errorf("line %d: input ended inside a list", d.line)
		}
		name, rest, _ := strings.Cut(s, " ")
		if name != "item" {
			return nil, d.fail(name, fmt.Errorf("an item was expected"))
		}
		f := parseFields(rest)
		m := control.Endpoint{
			Server: f.server(), Zone: f.text("area", false), Flavor: f.text("flavor", false),
			Cell: int(f.integer("unit-group", false)), Size: f.number("size", false), StartedAt: f.milliseconds("came-up", false),
		}
		m.HasStartedAt = m.StartedAt != 0
		switch c := f.text("condition", true); c {
		case "on":
			m.State = control.Active
		case "fading":
			m.State = control.Draining
		case "off":
			m.State = control.Gone
		default:
			f.fail("condition", fmt.Errorf("unknown value %q", c))
		}
		if f.err != nil {
			return nil, d.fail("item", f.err)
		}
		list = append(list, m)
	}
	return list, nil
}

// readLoad reads the report of a server; names that are not known are skipped.
func readLoad(f *fields) *control.LoadReport {
	s := f.text("pressure", false)
	if s == "" {
		return nil
	}
	l := &control.LoadReport{InFlight: -1, Queued: -1, Utilization: -1, MeanLatencyMS: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
	into := map[string]*float64{
		"active": &l.InFlight, "waiting": &l.Queued, "cpu": &l.Utilization,
		"avg_ms": &l.MeanLatencyMS, "rps": &l.RequestsPerSecond, "err_rps": &l.ErrorsPerSecond,
	}
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(pair, ":")
		p := into[name]
		if p == nil {
			continue
		}
		v, err := parseNumber(value)
		if err != nil {
			f.fail("pressure", err)
			return nil
		}
		*p = v
	}
	return l
}

// fields holds the pairs of one line and the first thing wrong with them.
type fields struct {
	keys, values []string
	err          error
}

func parseFields(s string) *fields {
	f := &fields{keys: make([]string, 0, 16), values: make([]string, 0, 16)}
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, " ")
		if pair == "" {
			continue
		}
		k, v, found := strings.Cut(pair, "=")
		if !found {
			f.fail(k, fmt.Errorf("has no value"))
			continue
		}
		f.keys, f.values = append(f.keys, k), append(f.values, v)
	}
	return f
}

func (f *fields) fail(key string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", key, err)
	}
}

func (f *fields) has(key string) bool {
	for _, k := range f.keys {
		if k == key {
			return true
		}
	}
	return false
}

func (f *fields) text(key string, needed bool) string {
	for i, k := range f.keys {
		if k == key {
			return f.values[i]
		}
	}
	if needed {
		f.fail(key, fmt.Errorf("is missing"))
	}
	return ""
}

func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}

func (f *fields) number(key string, needed bool) float64 {
	s := f.text(key, needed)
	if s == "" {
		return 0
	}
	v, err := parseNumber(s)
	if err != nil {
		f.fail(key, err)
	}
	return v
}

func (f *fields) milliseconds(key string, needed bool) time.Duration {
	v := f.number(key, needed)
	if math.Abs(v) > 1e12 {
		f.fail(key, fmt.Errorf("%g ms is out of range", v))
		return 0
	}
	return milliseconds(v)
}

func milliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v*1000)) * time.Microsecond
}

func (f *fields) integer(key string, needed bool) int64 {
	s := f.text(key, needed)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(key, err)
	}
	return v
}

func (f *fields) unsigned(key string, needed bool) uint64 {
	s := f.text(key, needed)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail(key, err)
	}
	return v
}

func (f *fields) server() uint32 {
	v := f.unsigned("server", true)
	if v > math.MaxUint32 {
		f.fail("server", fmt.Errorf("%d is out of range", v))
	}
	return uint32(v)
}

func (f *fields) boolean(key string) bool {
	switch s := f.text(key, false); s {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	default:
		f.fail(key, fmt.Errorf("%q is no bool", s))
		return false
	}
}

func (f *fields) bytes(key string) []byte {
	s := f.text(key, false)
	if s == "" || s == "-" {
		return nil
	}
	b, err := hex.DecodeString(s)
	if err != nil {
		f.fail(key, err)
	}
	return b
}
