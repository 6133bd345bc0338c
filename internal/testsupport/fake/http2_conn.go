package fake

import (
	"bufio"
	"bytes"
	"cmp"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	headerTableBytes = 4096
	maxStreamID      = 1<<31 - 1
	// maxUnanswered is the maximum number of executed requests that wait for more input before they are answered.
	maxUnanswered = 2
	// maxLoweredStreams is the maximum of a lowered limit of concurrent streams.
	maxLoweredStreams = 2
	// futureStreams is how far the last stream ID of a first GOAWAY is above the highest stream ID received.
	futureStreams = 1000
	unlimited     = -1
)

// resetCodes are RST_STREAM error codes from which it is unknown whether the request was executed.
var resetCodes = []http2.ErrCode{http2.ErrCodeNo, http2.ErrCodeProtocol, http2.ErrCodeInternal, http2.ErrCodeCancel, http2.ErrCodeEnhanceYourCalm}

// http2Conn is a connection of a RunningHTTP2. It is served by a single goroutine.
type http2Conn struct {
	server               *RunningHTTP2
	conn                 net.Conn
	rng                  *rand.Rand
	in                   *bufio.Reader
	out                  bytes.Buffer // frames not sent yet
	frames               *http2.Framer
	headerBlock          bytes.Buffer // output of encoder
	encoder              *hpack.Encoder
	streams              map[uint32]*http2Stream // open streams by ID
	unanswered           []*http2Stream          // completely received and executed requests
	lastStreamID         uint32                  // the last stream ID of a GOAWAY; higher streams are ignored
	highestStreamID      uint32                  // highest stream ID received
	isStreamLimitLowered bool                    // the limit of concurrent streams is lowered
	remainingRead        int                     // bytes that may be read before the connection is cut, or unlimited
	remainingSent        int                     // bytes that may be sent before the connection is cut, or unlimited
	isEnding             bool                    // the connection is closed after the next flush
}

// http2Stream is a stream with its request.
type http2Stream struct {
	id        uint32
	requestID string
	key       string // idempotency key
	units     float64
	end       func() // records that the request is no longer in flight
}

func newHTTP2Conn(server *RunningHTTP2, conn net.Conn, rng *rand.Rand) *http2Conn {
	return &http2Conn{
		server:        server,
		conn:          conn,
		rng:           rng,
		streams:       make(map[uint32]*http2Stream),
		lastStreamID:  maxStreamID,
		remainingRead: unlimited,
		remainingSent: unlimited,
	}
}

// Read reads from the connection up to the byte after which the connection is cut.
func (c *http2Conn) Read(buffer []byte) (int, error) {
	if c.remainingRead == 0 {
		return 0, net.ErrClosed
	}
	if c.remainingRead > 0 {
		buffer = buffer[:min(len(buffer), c.remainingRead)]
	}
	n, err := c.conn.Read(buffer)
	if c.remainingRead > 0 {
		c.remainingRead -= n
	}
	return n, err
}

// flush sends the pending frames, up to the byte after which the connection is cut. It returns false if the connection is
// cut or the write failed.
func (c *http2Conn) flush() bool {
	data := c.out.Bytes()
	if c.remainingSent >= 0 {
		data = data[:min(len(data), c.remainingSent)]
		c.remainingSent -= len(data)
	}
	_, err := c.conn.Write(data)
	c.out.Reset()
	return err == nil && c.remainingSent != 0
}

// draw reports whether a fault of the given probability occurs. A probability of 0 consumes no random number.
func (c *http2Conn) draw(probability float64) bool {
	return probability > 0 && c.rng.Float64() < probability
}

// serve serves the connection until it ends.
func (c *http2Conn) serve() {
	c.drawCuts()
	defer func() {
		for _, s := range c.streams {
			s.end()
		}
	}()
	c.in = bufio.NewReader(c)
	if !c.readPreface() {
		return
	}
	c.frames = http2.NewFramer(&c.out, c.in)
	c.frames.ReadMetaHeaders = hpack.NewDecoder(headerTableBytes, nil)
	c.encoder = hpack.NewEncoder(&c.headerBlock)
	c.writeStreamLimit(c.server.Streams)
	if !c.flush() {
		return
	}
	for {
		frame, err := c.frames.ReadFrame()
		if err != nil {
			return
		}
		c.handleFrame(frame)
		if c.in.Buffered() == 0 || len(c.unanswered) > maxUnanswered {
			c.answerAll()
		}
		if !c.flush() || c.isEnding {
			return
		}
	}
}

// drawCuts draws the numbers of bytes after which the connection is cut.
func (c *http2Conn) drawCuts() {
	faults := &c.server.Faults
	maxOffset := cmp.Or(faults.MaxCutOffset, defaultMaxCutOffset)
	if c.draw(faults.CutRead) {
		c.remainingRead = len(http2.ClientPreface) + c.rng.IntN(maxOffset)
	}
	if c.draw(faults.CutSent) {
		c.remainingSent = 1 + c.rng.IntN(maxOffset/2)
	}
}

// readPreface reports whether the connection begins with the client's preface.
func (c *http2Conn) readPreface() bool {
	for i := range len(http2.ClientPreface) {
		b, err := c.in.ReadByte()
		if err != nil || b != http2.ClientPreface[i] {
			return false
		}
	}
	return true
}

func (c *http2Conn) writeStreamLimit(streams uint32) {
	c.frames.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: streams})
}

func (c *http2Conn) handleFrame(frame http2.Frame) {
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		if !frame.IsAck() {
			c.frames.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !frame.IsAck() {
			c.frames.WritePing(true, frame.Data)
		}
	case *http2.RSTStreamFrame:
		if s := c.streams[frame.StreamID]; s != nil {
			delete(c.streams, s.id)
			s.end()
		}
	case *http2.MetaHeadersFrame:
		c.beginStream(frame)
	case *http2.DataFrame:
		c.handleData(frame)
	}
}

// handleData discards a part of a body and returns its flow-control window to the client.
func (c *http2Conn) handleData(frame *http2.DataFrame) {
	if n := frame.Length; n > 0 {
		c.frames.WriteWindowUpdate(0, n)
		if !frame.StreamEnded() {
			c.frames.WriteWindowUpdate(frame.StreamID, n)
		}
	}
	if s := c.streams[frame.StreamID]; s != nil && frame.StreamEnded() {
		c.requestComplete(s)
	}
}

// beginStream handles the header of a request, which opens a stream.
func (c *http2Conn) beginStream(frame *http2.MetaHeadersFrame) {
	if frame.StreamID > c.lastStreamID {
		return
	}
	c.highestStreamID = frame.StreamID
	s := newHTTP2Stream(frame)
	faults := &c.server.Faults
	if c.draw(faults.Refuse) {
		c.frames.WriteRSTStream(s.id, http2.ErrCodeRefusedStream)
		return
	}
	c.server.Executions.begin(s.requestID)
	s.end = sync.OnceFunc(func() { c.server.Executions.end(s.requestID) })
	c.streams[s.id] = s
	if frame.StreamEnded() {
		c.requestComplete(s)
	} else if c.draw(faults.Early) {
		c.execute(s)
		c.answer(s, http.StatusOK)
	}
}

func newHTTP2Stream(frame *http2.MetaHeadersFrame) *http2Stream {
	s := &http2Stream{id: frame.StreamID, units: 1}
	for _, field := range frame.Fields {
		switch field.Name {
		case "x-correlation-id":
			s.requestID = field.Value
		case "idempotency-key":
			s.key = field.Value
		}
	}
	return s
}

func (c *http2Conn) execute(s *http2Stream) {
	if c.server.Work > 0 {
		time.Sleep(c.server.Work)
	}
	c.server.Executions.execute(s.requestID, s.key, c.server.Group.isFirst(s.key), s.units)
}

// requestComplete executes a completely received request, which answerAll answers later.
func (c *http2Conn) requestComplete(s *http2Stream) {
	c.execute(s)
	c.unanswered = append(c.unanswered, s)
}

// answerAll answers the executed requests in random order, and injects the connection's faults between them.
func (c *http2Conn) answerAll() {
	c.rng.Shuffle(len(c.unanswered), func(i, j int) { c.unanswered[i], c.unanswered[j] = c.unanswered[j], c.unanswered[i] })
	for _, s := range c.unanswered {
		if c.streams[s.id] == nil {
			continue
		}
		c.answerOrReset(s)
		c.changeStreamLimit()
		if c.draw(c.server.Faults.GoAway) {
			c.goAway()
		}
	}
	c.unanswered = c.unanswered[:0]
	if c.isStreamLimitLowered && len(c.streams) == 0 { // without answers to come, a client with a limit of 0 would wait forever
		c.restoreStreamLimit()
	}
}

func (c *http2Conn) answerOrReset(s *http2Stream) {
	faults := &c.server.Faults
	switch {
	case c.draw(faults.Reset):
		delete(c.streams, s.id)
		s.end()
		c.frames.WriteRSTStream(s.id, resetCodes[c.rng.IntN(len(resetCodes))])
	case c.draw(faults.Error):
		c.answer(s, http.StatusInternalServerError)
	default:
		c.answer(s, http.StatusOK)
	}
}

// changeStreamLimit restores the limit of concurrent streams if it is lowered; otherwise it lowers the limit with the
// fault's probability.
func (c *http2Conn) changeStreamLimit() {
	switch {
	case c.isStreamLimitLowered:
		c.restoreStreamLimit()
	case c.draw(c.server.Faults.Lower):
		c.isStreamLimitLowered = true
		c.writeStreamLimit(uint32(c.rng.IntN(maxLoweredStreams + 1)))
	}
}

func (c *http2Conn) restoreStreamLimit() {
	c.isStreamLimitLowered = false
	c.writeStreamLimit(c.server.Streams)
}

// goAway ends the connection in one of three ways.
func (c *http2Conn) goAway() {
	switch c.rng.IntN(3) {
	case 0: // gracefully: the first GOAWAY only announces the second
		c.frames.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
		c.flush()
		c.lastStreamID = c.highestStreamID
		c.frames.WriteGoAway(c.lastStreamID, http2.ErrCodeNo, nil)
	case 1: // immediately, with an error
		c.lastStreamID = c.highestStreamID
		c.frames.WriteGoAway(c.lastStreamID, http2.ErrCodeInternal, []byte("at once"))
		c.isEnding = true
	case 2: // with a decreasing last stream ID
		c.frames.WriteGoAway(c.highestStreamID+futureStreams, http2.ErrCodeNo, nil)
		c.lastStreamID = c.highestStreamID
		c.frames.WriteGoAway(c.lastStreamID, http2.ErrCodeNo, nil)
	}
}

// answer answers a request with a load report.
func (c *http2Conn) answer(s *http2Stream, status int) {
	delete(c.streams, s.id)
	s.end()
	body := c.server.UID + " " + s.requestID
	c.headerBlock.Reset()
	c.encoder.WriteField(hpack.HeaderField{Name: ":status", Value: strconv.Itoa(status)})
	c.encoder.WriteField(hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(body))})
	c.encoder.WriteField(hpack.HeaderField{Name: "x-backend-load", Value: "inflight=1,util=0.5"})
	c.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: c.headerBlock.Bytes(), EndHeaders: true})
	c.frames.WriteData(s.id, true, []byte(body))
}
