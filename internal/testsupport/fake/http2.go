package fake

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// HTTP2Faults are what a stand-in of HTTP/2 does wrong, each a part of its requests or, where it says
// so, of its connections, from 0 to 1.
type HTTP2Faults struct {
	Refuse       float64 // reset with REFUSED_STREAM; it does not run
	Reset        float64 // reset with another code, after it ran
	Error        float64 // answered 500 after it ran
	Early        float64 // answered before the body was read; it ran
	Lower        float64 // the limit on streams changes, to 0 too, and is raised again later
	GoAway       float64 // the connection goes away: gracefully twice, at once, or with a last id that shrinks
	CutRead      float64 // connections closed after some byte that was read
	CutSent      float64 // connections closed after some byte that was sent
	MaxCutOffset int     // the last byte behind which a connection may be closed; 0 is 3000
}

// HTTP2Server is an app server that speaks HTTP/2 with prior knowledge.
type HTTP2Server struct {
	UID        string
	Executions *Executions
	Group      *Group
	Faults     HTTP2Faults
	Seed       uint64
	// Streams that may be open at once on a connection; 0 is 100.
	Streams uint32
	Work    time.Duration // of each request
}

// RunningHTTP2 is one that serves. Its methods are safe for concurrent use.
type RunningHTTP2 struct {
	HTTP2Server
	listener net.Listener

	mu         sync.Mutex
	rng        *rand.Rand
	conns      map[net.Conn]bool
	dials      int
	maxConns   int // connections open at once
	goroutines sync.WaitGroup
}

// Start starts the server on a loopback address of its own.
func (s HTTP2Server) Start() (*RunningHTTP2, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting app server %s: %w", s.UID, err)
	}
	if s.Executions == nil {
		s.Executions = &Executions{}
	}
	if s.Streams == 0 {
		s.Streams = 100
	}
	r := &RunningHTTP2{HTTP2Server: s, listener: l, rng: rand.New(rand.NewPCG(s.Seed, 9)), conns: make(map[net.Conn]bool)}
	r.goroutines.Go(r.accept)
	return r, nil
}

func (r *RunningHTTP2) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.dials++
		r.maxConns = max(r.maxConns, len(r.conns))
		k := &http2Conn{server: r, conn: c, rng: rand.New(rand.NewPCG(r.rng.Uint64(), 1)), streams: make(map[uint32]*http2Stream), lastID: 1<<31 - 1, cutRead: -1, cutSent: -1}
		r.mu.Unlock()
		r.goroutines.Go(func() {
			k.serve()
			c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		})
	}
}

// Addr is where it listens.
func (r *RunningHTTP2) Addr() string { return r.listener.Addr().String() }

// Dials is how many connections came, and the most that were open at once.
func (r *RunningHTTP2) Dials() (n, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials, r.maxConns
}

// Close ends it with all its connections.
func (r *RunningHTTP2) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

// resets are codes of a reset that say nothing of whether the request ran.
var resets = []http2.ErrCode{http2.ErrCodeNo, http2.ErrCodeProtocol, http2.ErrCodeInternal, http2.ErrCodeCancel, http2.ErrCodeEnhanceYourCalm}

// http2Conn is one connection; its goroutine does everything in turn.
type http2Conn struct {
	server   *RunningHTTP2
	conn     net.Conn
	rng      *rand.Rand
	in       *bufio.Reader
	out      bytes.Buffer
	frames   *http2.Framer
	block    bytes.Buffer
	encoder  *hpack.Encoder
	streams  map[uint32]*http2Stream
	complete []*http2Stream // that are to be answered
	lastID   uint32         // streams above it are not taken
	highest  uint32
	lowered  bool
	cutRead  int // bytes that may still be read; below zero any number
	cutSent  int
	isEnding bool
}

type http2Stream struct {
	id                uint32
	name, key, method string
	units             float64
	end               func()
}

// Read reads, up to the byte behind which the connection is cut.
func (k *http2Conn) Read(b []byte) (int, error) {
	if k.cutRead == 0 {
		return 0, net.ErrClosed
	}
	if k.cutRead > 0 {
		b = b[:min(len(b), k.cutRead)]
	}
	n, err := k.conn.Read(b)
	if k.cutRead > 0 {
		k.cutRead -= n
	}
	return n, err
}

// flush writes, up to the byte behind which the connection is cut; false is its end.
func (k *http2Conn) flush() bool {
	b := k.out.Bytes()
	if k.cutSent >= 0 {
		b = b[:min(len(b), k.cutSent)]
		k.cutSent -= len(b)
	}
	_, err := k.conn.Write(b)
	k.out.Reset()
	return err == nil && k.cutSent != 0
}

func (k *http2Conn) draw(part float64) bool { return part > 0 && k.rng.Float64() < part }

func (k *http2Conn) serve() {
	f := &k.server.Faults
	if k.draw(f.CutRead) {
		k.cutRead = len(http2.ClientPreface) + k.rng.IntN(cmp.Or(f.MaxCutOffset, 3000))
	}
	if k.draw(f.CutSent) {
		k.cutSent = 1 + k.rng.IntN(cmp.Or(f.MaxCutOffset, 3000)/2)
	}
	defer func() {
		for _, s := range k.streams {
			s.end()
		}
	}()
	k.in = bufio.NewReader(k)
	head := make([]byte, len(http2.ClientPreface))
	for i := range head {
		b, err := k.in.ReadByte()
		if err != nil || b != http2.ClientPreface[i] {
			return
		}
	}
	k.frames = http2.NewFramer(&k.out, k.in)
	k.frames.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	k.encoder = hpack.NewEncoder(&k.block)
	k.frames.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: k.server.Streams})
	if !k.flush() {
		return
	}
	for {
		frame, err := k.frames.ReadFrame()
		if err != nil {
			return
		}
		k.handleFrame(frame)
		if k.in.Buffered() == 0 || len(k.complete) > 2 {
			k.answerAll()
		}
		if !k.flush() || k.isEnding {
			return
		}
	}
}

func (k *http2Conn) handleFrame(frame http2.Frame) {
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		if !frame.IsAck() {
			k.frames.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !frame.IsAck() {
			k.frames.WritePing(true, frame.Data)
		}
	case *http2.RSTStreamFrame:
		if s := k.streams[frame.StreamID]; s != nil {
			delete(k.streams, s.id)
			s.end()
		}
	case *http2.MetaHeadersFrame:
		k.begin(frame)
	case *http2.DataFrame:
		if n := frame.Length; n > 0 {
			k.frames.WriteWindowUpdate(0, n)
			if !frame.StreamEnded() {
				k.frames.WriteWindowUpdate(frame.StreamID, n)
			}
		}
		if s := k.streams[frame.StreamID]; s != nil && frame.StreamEnded() {
			k.requestComplete(s)
		}
	}
}

func (k *http2Conn) begin(frame *http2.MetaHeadersFrame) {
	if frame.StreamID > k.lastID {
		return
	}
	k.highest = frame.StreamID
	s := &http2Stream{id: frame.StreamID, units: 1}
	for _, f := range frame.Fields {
		switch f.Name {
		case "x-correlation-id":
			s.name = f.Value
		case "idempotency-key":
			s.key = f.Value
		case ":method":
			s.method = f.Value
		}
	}
	f := &k.server.Faults
	if k.draw(f.Refuse) {
		k.frames.WriteRSTStream(s.id, http2.ErrCodeRefusedStream)
		return
	}
	k.server.Executions.begin(s.name)
	s.end = sync.OnceFunc(func() { k.server.Executions.end(s.name) })
	k.streams[s.id] = s
	if frame.StreamEnded() {
		k.requestComplete(s)
	} else if k.draw(f.Early) {
		k.run(s)
		k.answer(s, 200)
	}
}

func (k *http2Conn) run(s *http2Stream) {
	if k.server.Work > 0 {
		time.Sleep(k.server.Work)
	}
	k.server.Executions.execute(s.name, s.key, k.server.Group.isFirst(s.key), s.units)
}

// requestComplete takes in that all of a request is here: it runs.
func (k *http2Conn) requestComplete(s *http2Stream) {
	k.run(s)
	k.complete = append(k.complete, s)
}

// answerAll answers what is to be answered, in any order, and does what else goes wrong.
func (k *http2Conn) answerAll() {
	f := &k.server.Faults
	k.rng.Shuffle(len(k.complete), func(i, j int) { k.complete[i], k.complete[j] = k.complete[j], k.complete[i] })
	for _, s := range k.complete {
		if k.streams[s.id] == nil {
			continue
		}
		switch {
		case k.draw(f.Reset):
			delete(k.streams, s.id)
			s.end()
			k.frames.WriteRSTStream(s.id, resets[k.rng.IntN(len(resets))])
		case k.draw(f.Error):
			k.answer(s, 500)
		default:
			k.answer(s, 200)
		}
		switch {
		case k.lowered:
			k.lowered = false
			k.frames.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: k.server.Streams})
		case k.draw(f.Lower):
			k.lowered = true
			k.frames.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(k.rng.IntN(3))})
		}
		if k.draw(f.GoAway) {
			k.goAway()
		}
	}
	k.complete = k.complete[:0]
	if k.lowered && len(k.streams) == 0 { // nothing more would come
		k.lowered = false
		k.frames.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: k.server.Streams})
	}
}

func (k *http2Conn) goAway() {
	switch k.rng.IntN(3) {
	case 0: // graceful, twice: the first tells only that there will be a second
		k.frames.WriteGoAway(1<<31-1, http2.ErrCodeNo, nil)
		k.flush()
		k.lastID = k.highest
		k.frames.WriteGoAway(k.lastID, http2.ErrCodeNo, nil)
	case 1: // at once
		k.lastID = k.highest
		k.frames.WriteGoAway(k.lastID, http2.ErrCodeInternal, []byte("at once"))
		k.isEnding = true
	case 2: // beyond what was opened, then less
		k.frames.WriteGoAway(k.highest+1000, http2.ErrCodeNo, nil)
		k.lastID = k.highest
		k.frames.WriteGoAway(k.lastID, http2.ErrCodeNo, nil)
	}
}

func (k *http2Conn) answer(s *http2Stream, status int) {
	delete(k.streams, s.id)
	s.end()
	body := k.server.UID + " " + s.name
	k.block.Reset()
	k.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
	k.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(body))})
	k.encoder.WriteField(hpack.HeaderField{Name: "x-backend-load", Value: "inflight=1,util=0.5"})
	k.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: k.block.Bytes(), EndHeaders: true})
	k.frames.WriteData(s.id, true, []byte(body))
}
