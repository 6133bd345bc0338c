package h2

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// peer is a fake server for a Machine: it writes frames for the machine and reads the machine's output.
type peer struct {
	t            testing.TB
	machine      *Machine
	input        bytes.Buffer // frames for the machine
	frameWriter  *http2.Framer
	machineInput *http2.Framer
	headerBlock  bytes.Buffer
	encoder      *hpack.Encoder
	output       bytes.Buffer
	outputReader *http2.Framer
	events       []Event
}

func newPeer(t testing.TB, limits Limits) *peer {
	created := &peer{t: t, machine: New(limits)}
	created.frameWriter, created.machineInput = http2.NewFramer(&created.input, nil), http2.NewFramer(nil, &created.input)
	created.machineInput.ReadMetaHeaders = hpack.NewDecoder(defaultTableBytes, nil)
	created.machineInput.MaxHeaderListSize = uint32(created.machine.MaxHeadBytes)
	created.frameWriter.AllowIllegalWrites, created.frameWriter.AllowIllegalReads = true, false
	created.encoder = hpack.NewEncoder(&created.headerBlock)
	created.outputReader = http2.NewFramer(nil, &created.output)
	created.outputReader.ReadMetaHeaders = hpack.NewDecoder(defaultTableBytes, nil)
	out := created.flushOutput()
	if !strings.HasPrefix(out, preface) {
		t.Fatalf("output begins with %q, want the connection preface", out)
	}
	created.output.Next(len(preface))
	return created
}

// newReadyPeer returns a peer whose settings the machine has handled.
func newReadyPeer(t testing.TB, limits Limits, s ...http2.Setting) *peer {
	ready := newPeer(t, limits)
	ready.frameWriter.WriteSettings(s...)
	ready.processInput()
	ready.flushOutput()
	ready.frames()
	return ready
}

// processInput passes the frames in input to the machine and returns the resulting events.
func (p *peer) processInput() []Event {
	p.events = nil
	for p.input.Len() > 0 && p.machine.Err() == nil {
		frame, err := p.machineInput.ReadFrame()
		if err != nil {
			p.events = append(p.events, p.machine.HandleReadError(err)...)
		} else {
			p.events = append(p.events, p.machine.Handle(frame)...)
		}
	}
	return p.events
}

// flushOutput moves all pending output of the machine to output and returns it.
func (p *peer) flushOutput() string {
	var all []byte
	for b := p.machine.PendingBytes(); len(b) > 0; b = p.machine.PendingBytes() {
		all = append(all, b...)
		p.machine.RecordWrite(len(b))
	}
	p.output.Write(all)
	return string(all)
}

// frames reads the frames that the machine has written, each formatted as a short text.
func (p *peer) frames() (all []string) {
	p.flushOutput()
	for {
		frame, err := p.outputReader.ReadFrame()
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			p.t.Fatalf("the machine wrote an unreadable frame: %v", err)
		}
		switch f := frame.(type) {
		case *http2.RSTStreamFrame:
			all = append(all, fmt.Sprintf("RST %d %v", f.StreamID, f.ErrCode))
		case *http2.GoAwayFrame:
			all = append(all, fmt.Sprintf("GOAWAY %v", f.ErrCode))
		case *http2.WindowUpdateFrame:
			all = append(all, fmt.Sprintf("WINDOW %d %d", f.StreamID, f.Increment))
		case *http2.DataFrame:
			all = append(all, fmt.Sprintf("DATA %d %d %v", f.StreamID, len(f.Data()), f.StreamEnded()))
		case *http2.MetaHeadersFrame:
			all = append(all, fmt.Sprintf("HEADERS %d %v", f.StreamID, f.StreamEnded()))
		default:
			all = append(all, fmt.Sprintf("%v %v", f.Header().Type, f.Header().Flags.Has(http2.FlagPingAck)))
		}
	}
}

// writeHead writes a HEADERS frame for the machine. Each field has the form "name: value".
func (p *peer) writeHead(id uint32, end bool, fields ...string) {
	p.headerBlock.Reset()
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		p.encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
	}
	p.frameWriter.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: p.headerBlock.Bytes(), EndStream: end, EndHeaders: true})
}

func (p *peer) open(body string) uint32 {
	p.t.Helper()
	id, err := p.machine.OpenStream(&Request{
		Method: "POST", Scheme: "http", Authority: "a", Path: "/p",
		Header: http.Header{"X-One": {"1"}, "Connection": {"close"}, "Te": {"gzip"}}, Body: []byte(body),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return id
}
