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

// peer is the server's side of a machine: what it writes is read by the machine, frame by frame.
type peer struct {
	t            testing.TB
	machine      *Machine
	input        bytes.Buffer // to the machine
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
		t.Fatalf("it begins with %q", out)
	}
	created.output.Next(len(preface))
	return created
}

// newReadyPeer is a peer whose settings have been taken.
func newReadyPeer(t testing.TB, limits Limits, s ...http2.Setting) *peer {
	ready := newPeer(t, limits)
	ready.frameWriter.WriteSettings(s...)
	ready.processInput()
	ready.flushOutput()
	ready.frames()
	return ready
}

// feed has the machine take in what was written for it.
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

// write takes all that the machine has to say.
func (p *peer) flushOutput() string {
	var all []byte
	for b := p.machine.PendingBytes(); len(b) > 0; b = p.machine.PendingBytes() {
		all = append(all, b...)
		p.machine.RecordWrite(len(b))
	}
	p.output.Write(all)
	return string(all)
}

// frames are what the machine said, a word each.
func (p *peer) frames() (all []string) {
	p.flushOutput()
	for {
		frame, err := p.outputReader.ReadFrame()
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			p.t.Fatalf("the machine wrote what can't be read: %v", err)
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

// head writes a head, "name: value" each.
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
