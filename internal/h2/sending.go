package h2

import (
	"fmt"
	"iter"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// What goes out on streams: requests and their bodies, as far as the windows let them.

// OpenStream sends a request, as far as the windows let it go.
func (m *Machine) OpenStream(r *Request) (uint32, error) {
	if m.Room() == 0 {
		return 0, ErrNoStream
	}
	fields := m.fields(r)
	if m.headMost > 0 { // before anything of it is in the table that both sides keep
		size := uint32(0)
		for f := range fields {
			size += f.Size()
		}
		if size > m.headMost {
			return 0, fmt.Errorf("%w: %d bytes, where the server takes %d", ErrHead, size, m.headMost)
		}
	}
	if r.Begin != nil && !r.Begin() {
		return 0, ErrUnsent
	}
	m.block.Reset()
	for f := range fields {
		m.encoder.WriteField(f)
	}
	s := &stream{
		id: m.next, window: m.initial, body: r.Body, more: r.More, flow: r.Flow, expect: -1,
		first: m.offset(), isHead: r.Method == http.MethodHead,
	}
	bare := len(r.Body) == 0 && !r.More // the head is all of the request
	m.next += 2
	m.streams[s.id] = s
	m.writeBlock(s.id, bare)
	if bare {
		s.queued, s.last = true, m.offset()
	} else {
		m.send(s)
	}
	return s.id, nil
}

// writeBlock writes the head, or the trailers, that were encoded.
func (m *Machine) writeBlock(id uint32, end bool) {
	block := m.block.Bytes()
	for first := true; first || len(block) > 0; first = false {
		part := block[:min(len(block), m.frameMost)]
		block = block[len(part):]
		if first {
			m.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: part, EndStream: end, EndHeaders: len(block) == 0})
		} else {
			m.frames.WriteContinuation(id, len(block) == 0, part)
		}
	}
}

// Feed brings more of a request's body; end says that it is the last, which trailers may follow.
// What can't be sent yet is held: Unsent tells how much that is.
func (m *Machine) Feed(id uint32, data []byte, end bool, trailer http.Header) {
	s := m.streams[id]
	if s == nil || !s.more || m.broken != nil {
		return
	}
	s.body = append(s.body, data...)
	if end {
		s.more, s.trailer = false, trailer
	}
	m.send(s)
}

// Unsent is how much of a request's body waits for the windows, or for the socket.
func (m *Machine) Unsent(id uint32) int {
	if s := m.streams[id]; s != nil {
		return len(s.body)
	}
	return 0
}

// Consumed tells that so much of an answer that is told as it comes has been taken further: the
// server may send as much again.
func (m *Machine) Consumed(id uint32, n int) {
	s := m.streams[id]
	if s == nil || m.broken != nil {
		return
	}
	if s.owed += n; s.owed > m.Body/2 {
		s.got -= s.owed
		m.frames.WriteWindowUpdate(id, uint32(s.owed))
		s.owed = 0
	}
}

// offset is where in all that is ever written the next byte comes.
func (m *Machine) offset() int64 { return m.written + int64(len(m.flight)+m.out.Len()) }

// own are the fields of one connection only; they say nothing in HTTP/2.
var own = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true, "upgrade": true, "host": true}

// fields are those of a request's head.
func (m *Machine) fields(r *Request) iter.Seq[hpack.HeaderField] {
	return func(yield func(hpack.HeaderField) bool) {
		for _, f := range [...]hpack.HeaderField{
			{Name: ":method", Value: r.Method},
			{Name: ":scheme", Value: r.Scheme},
			{Name: ":authority", Value: r.Authority},
			{Name: ":path", Value: r.Path},
		} {
			if !yield(f) {
				return
			}
		}
		for k, vs := range r.Header {
			name := m.lower.of(k, strings.ToLower)
			if own[name] || name == "content-length" {
				continue
			}
			for _, v := range vs {
				if unsentField(name, v) {
					continue
				}
				if !yield(hpack.HeaderField{Name: name, Value: v}) {
					return
				}
			}
		}
		if length := r.contentLength(); length >= 0 {
			yield(hpack.HeaderField{Name: "content-length", Value: strconv.FormatInt(length, 10)})
		}
	}
}

// unsentField tells of a field that says nothing in HTTP/2, or is empty.
func unsentField(name, value string) bool {
	return name == "te" && value != "trailers" || name == "user-agent" && value == ""
}

// contentLength is what the head says of the body's length; below 0 it says nothing.
func (r *Request) contentLength() int64 {
	if r.More {
		return r.Length
	}
	if len(r.Body) == 0 && r.Method != http.MethodPost && r.Method != http.MethodPut && r.Method != http.MethodPatch {
		return -1
	}
	return int64(len(r.Body))
}

// send sends what the windows let go of a request's body.
func (m *Machine) send(s *stream) {
	for !s.queued && m.out.Len() < outMost {
		n := min(int64(len(s.body)), int64(m.frameMost), s.window, m.window)
		last := int64(len(s.body)) <= max(n, 0) && !s.more
		if n <= 0 && !last {
			break
		}
		n = max(n, 0)
		part := s.body[:n]
		s.body = s.body[n:]
		s.window -= n
		m.window -= n
		s.queued = last
		m.noise = max(0, m.noise-1-int(n)/noiseWorth)
		if len(part) > 0 || len(s.trailer) == 0 {
			m.frames.WriteData(s.id, last && len(s.trailer) == 0, part)
		}
		if last && len(s.trailer) > 0 {
			m.block.Reset()
			for k, vs := range s.trailer {
				for _, v := range vs {
					m.encoder.WriteField(hpack.HeaderField{Name: m.lower.of(k, strings.ToLower), Value: v})
				}
			}
			m.writeBlock(s.id, true)
		}
		s.last = m.offset()
	}
	if len(s.body) == 0 {
		s.body = nil // what has been sent is not kept for what comes
	}
	if !s.queued && len(s.body) > 0 && !contains(m.waiting, s.id) {
		m.waiting = append(m.waiting, s.id)
	}
}

// contains is a search of a list that holds at most as many as there are streams.
func contains(ids []uint32, id uint32) bool {
	for _, v := range ids {
		if v == id {
			return true
		}
	}
	return false
}

// sendOn goes on with all bodies that wait, in turn.
func (m *Machine) sendOn() {
	waiting := m.waiting
	m.waiting = nil
	for _, id := range waiting {
		if s := m.streams[id]; s != nil && !s.queued {
			m.send(s)
		}
	}
}
