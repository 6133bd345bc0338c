// Package wire converts between the operators' text protocol and the types of package control. The names on the
// wire predate the terms of docs/glossary.md; only this package maps them.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"lockflow/control"
)

// Open is the start of an instance.
type Open struct {
	Seed     uint64
	Settings control.Settings
}

// Input is one event for one instance: exactly one of Open, PowerOff and Event is set.
type Input struct {
	Instance int
	Open     *Open
	PowerOff bool
	Event    control.Event
}

// Batch holds the events of one point in time.
type Batch struct {
	Now    time.Duration
	Inputs []Input
}

// Decoder reads batches. It is not safe for concurrent use.
type Decoder struct {
	reader *bufio.Reader
	line   int
}

const bufferBytes = 1 << 20

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: bufio.NewReaderSize(r, bufferBytes)} }

// readLine reads a line without its line break. It returns io.EOF only if no text is left.
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

// Next reads one batch. It returns io.EOF if the input ends between batches; other errors name the line.
func (d *Decoder) Next() (Batch, error) {
	var batch Batch
	var err error
	if batch.Now, err = d.readClock(); err != nil {
		return batch, err
	}
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return batch, fmt.Errorf("line %d: input ended inside a batch", d.line)
		}
		if err != nil {
			return batch, err
		}
		name, rest, _ := strings.Cut(line, " ")
		if name == "end" {
			return batch, nil
		}
		input, isKnown, err := d.readEvent(name, rest)
		if err != nil {
			return batch, err
		}
		if isKnown {
			batch.Inputs = append(batch.Inputs, input)
		}
	}
}

// readClock reads the line that starts a batch, and skips empty lines before it.
func (d *Decoder) readClock() (time.Duration, error) {
	line, err := d.readLine()
	for err == nil && line == "" {
		line, err = d.readLine()
	}
	if err != nil {
		return 0, err
	}
	name, rest, _ := strings.Cut(line, " ")
	if name != "clock" {
		return 0, d.fail(name, errors.New("a batch has to begin with clock"))
	}
	f := parseFields(rest)
	now := f.milliseconds("ts", true)
	if f.err != nil {
		return now, d.fail(name, f.err)
	}
	return now, nil
}

// readEvent reads one event line; unknown names are skipped.
func (d *Decoder) readEvent(name, rest string) (in Input, isKnown bool, err error) {
	switch name {
	case "open_instance":
		in, err = d.readOpen(rest)
		return in, true, err
	case "discovery":
		in, err = d.readEndpointList(rest)
		return in, true, err
	}
	f := parseFields(rest)
	if name == "power_off" {
		in.PowerOff = true
	} else if in.Event = readControlEvent(name, f); in.Event == nil {
		return in, false, nil
	}
	in.Instance = int(f.integer("who", true))
	if f.err != nil {
		return in, true, d.fail(name, f.err)
	}
	return in, true, nil
}

// readControlEvent reads an event that consists of one line. It returns nil for unknown names.
func readControlEvent(name string, f *fields) control.Event {
	switch name {
	case "request":
		return readRequest(f)
	case "started":
		return control.ResponseStarted{
			ID:      f.text("xid", true),
			Attempt: int(f.integer("n", false)),
			Server:  f.server(),
			Delay:   f.milliseconds("delay-seen", false),
		}
	case "response":
		return readResponse(f)
	case "hangup":
		return control.ClientGone{ID: f.text("xid", true)}
	case "elapsed":
		return control.TimerFired{Label: f.unsigned("label", true)}
	case "ping_result":
		return control.HealthCheckResult{
			Server: f.server(),
			Reason: control.Reason(f.integer("reason", true)),
			Delay:  f.milliseconds("delay-seen", false),
			Load:   readLoad(f),
		}
	case "peer":
		return control.PeerMessage{From: int(f.integer("src", true)), Raw: f.bytes("raw")}
	case "reckoned":
		return control.CounterResult{
			Name:   f.unsigned("cname", true),
			Total:  f.number("total", false),
			Delay:  f.milliseconds("delay-seen", false),
			Reason: control.Reason(f.integer("reason", true)),
		}
	}
	return nil
}

// readEndpointList reads an endpoint list, whose items are lines of their own.
func (d *Decoder) readEndpointList(rest string) (in Input, err error) {
	f := parseFields(rest)
	in.Instance = int(f.integer("who", true))
	count := f.integer("members", false)
	kind := readListKind(f)
	if f.err != nil {
		return in, d.fail("discovery", f.err)
	}
	endpoints, err := d.readEndpoints(count)
	in.Event = control.EndpointList{Kind: kind, Endpoints: endpoints}
	return in, err
}

// Bits of a request's bitmap.
const (
	retryBit = 1 << 1
	writeBit = 1 << 2
)

func readRequest(f *fields) control.Request {
	bits := f.unsigned("bitmap", false)
	r := control.Request{
		ID:           f.text("xid", true),
		Class:        f.text("class", true),
		Plan:         f.text("terms", false),
		Customer:     f.text("client-id", false),
		Timeout:      f.milliseconds("ttl", true),
		Units:        1,
		FanOut:       1,
		FirstGateway: int(f.number("set-start", false)),
		IsRetry:      bits&retryBit != 0,
		IsWrite:      bits&writeBit != 0,
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
		ID:          f.text("xid", true),
		Attempt:     int(f.integer("n", false)),
		Server:      f.server(),
		Reason:      control.Reason(f.integer("reason", true)),
		IsFinal:     f.boolean("no-more"),
		Delay:       f.milliseconds("delay-seen", false),
		ActualUnits: f.number("cost", false),
		QuotaUsage:  int(f.integer("use-pct", false)),
		Load:        readLoad(f),
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

// readEndpoints reads the item lines of an endpoint list.
func (d *Decoder) readEndpoints(count int64) ([]control.Endpoint, error) {
	var endpoints []control.Endpoint
	for ; count > 0; count-- {
		line, err := d.readLine()
		if err != nil {
			return nil, fmt.Errorf("line %d: input ended inside a list", d.line)
		}
		name, rest, _ := strings.Cut(line, " ")
		if name != "item" {
			return nil, d.fail(name, errors.New("not an item of the endpoint list"))
		}
		f := parseFields(rest)
		endpoint := readEndpoint(f)
		if f.err != nil {
			return nil, d.fail("item", f.err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func readEndpoint(f *fields) control.Endpoint {
	endpoint := control.Endpoint{
		Server:    f.server(),
		Zone:      f.text("area", false),
		Flavor:    f.text("flavor", false),
		Cell:      int(f.integer("unit-group", false)),
		Size:      f.number("size", false),
		StartedAt: f.milliseconds("came-up", false),
	}
	endpoint.HasStartedAt = endpoint.StartedAt != 0
	switch condition := f.text("condition", true); condition {
	case "on":
		endpoint.State = control.Active
	case "fading":
		endpoint.State = control.Draining
	case "off":
		endpoint.State = control.Gone
	default:
		f.fail("condition", fmt.Errorf("unknown value %q", condition))
	}
	return endpoint
}

// readLoad reads the load report of a server; nil if there is none. Unknown names are skipped, and values that
// are not reported are -1.
func readLoad(f *fields) *control.LoadReport {
	text := f.text("pressure", false)
	if text == "" {
		return nil
	}
	report := &control.LoadReport{InFlight: -1, Queued: -1, Utilization: -1, MeanLatencyMS: -1, RequestsPerSecond: -1, ErrorsPerSecond: -1}
	byName := map[string]*float64{
		"active":  &report.InFlight,
		"waiting": &report.Queued,
		"cpu":     &report.Utilization,
		"avg_ms":  &report.MeanLatencyMS,
		"rps":     &report.RequestsPerSecond,
		"err_rps": &report.ErrorsPerSecond,
	}
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, ":")
		field := byName[name]
		if field == nil {
			continue
		}
		v, err := parseNumber(value)
		if err != nil {
			f.fail("pressure", err)
			return nil
		}
		*field = v
	}
	return report
}
