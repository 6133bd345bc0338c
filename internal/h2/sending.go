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
func (m *Machine) OpenStream(request *Request) (uint32, error) {
	if m.FreeStreams() == 0 {
		return 0, ErrNoStream
	}
	fields := m.fields(request)
	if m.peerMaxHeadBytes > 0 { // before anything of it is in the table that both sides keep
		size := uint32(0)
		for field := range fields {
			size += field.Size()
		}
		if size > m.peerMaxHeadBytes {
			return 0, fmt.Errorf("%w: %d bytes, where the server takes %d", ErrHeadTooLong, size, m.peerMaxHeadBytes)
		}
	}
	if request.MayBegin != nil && !request.MayBegin() {
		return 0, ErrWithdrawn
	}
	m.headerBlock.Reset()
	for field := range fields {
		m.encoder.WriteField(field)
	}
	opened := &stream{
		id: m.nextID, sendWindow: m.initialWindow, unsentBody: request.Body, hasMoreBody: request.HasMoreBody, streamsAnswer: request.StreamsAnswer, contentLength: -1,
		firstOffset: m.offset(), isHeadRequest: request.Method == http.MethodHead,
	}
	bare := len(request.Body) == 0 && !request.HasMoreBody // the head is all of the request
	m.nextID += 2
	m.streams[opened.id] = opened
	m.writeBlock(opened.id, bare)
	if bare {
		opened.isQueued, opened.endOffset = true, m.offset()
	} else {
		m.send(opened)
	}
	return opened.id, nil
}

// writeBlock writes the head, or the trailers, that were encoded.
func (m *Machine) writeBlock(id uint32, end bool) {
	block := m.headerBlock.Bytes()
	for first := true; first || len(block) > 0; first = false {
		part := block[:min(len(block), m.maxFrameBytes)]
		block = block[len(part):]
		if first {
			m.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: part, EndStream: end, EndHeaders: len(block) == 0})
		} else {
			m.frames.WriteContinuation(id, len(block) == 0, part)
		}
	}
}

// Feed adds to a request's body; end says that this is its last part, which trailers may follow. What can't be sent
// yet is buffered: UnsentBytes says how much that is.
func (m *Machine) Feed(id uint32, data []byte, end bool, trailer http.Header) {
	stream := m.streams[id]
	if stream == nil || !stream.hasMoreBody || m.connErr != nil {
		return
	}
	stream.unsentBody = append(stream.unsentBody, data...)
	if end {
		stream.hasMoreBody, stream.trailer = false, trailer
	}
	m.send(stream)
}

// UnsentBytes returns how much of a request's body waits for the flow-control windows or for the socket.
func (m *Machine) UnsentBytes(id uint32) int {
	if stream := m.streams[id]; stream != nil {
		return len(stream.unsentBody)
	}
	return 0
}

// Consumed records that n bytes of an answer with StreamsAnswer have been processed: the server may send as many
// again.
func (m *Machine) Consumed(id uint32, n int) {
	stream := m.streams[id]
	if stream == nil || m.connErr != nil {
		return
	}
	if stream.unreturnedWindow += n; stream.unreturnedWindow > m.MaxBodyBytes/2 {
		stream.windowBytes -= stream.unreturnedWindow
		m.frames.WriteWindowUpdate(id, uint32(stream.unreturnedWindow))
		stream.unreturnedWindow = 0
	}
}

// offset is where in all that is ever written the next byte comes.
func (m *Machine) offset() int64 { return m.written + int64(len(m.writing)+m.output.Len()) }

// own are the fields of one connection only; they say nothing in HTTP/2.
var own = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true, "upgrade": true, "host": true}

// fields are those of a request's head.
func (m *Machine) fields(request *Request) iter.Seq[hpack.HeaderField] {
	return func(yield func(hpack.HeaderField) bool) {
		for _, field := range [...]hpack.HeaderField{
			{Name: ":method", Value: request.Method},
			{Name: ":scheme", Value: request.Scheme},
			{Name: ":authority", Value: request.Authority},
			{Name: ":path", Value: request.Path},
		} {
			if !yield(field) {
				return
			}
		}
		for k, values := range request.Header {
			name := m.lowerNames.of(k, strings.ToLower)
			if own[name] || name == "content-length" {
				continue
			}
			for _, value := range values {
				if unsentField(name, value) {
					continue
				}
				if !yield(hpack.HeaderField{Name: name, Value: value}) {
					return
				}
			}
		}
		if length := request.contentLength(); length >= 0 {
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
	if r.HasMoreBody {
		return r.ContentLength
	}
	if len(r.Body) == 0 && r.Method != http.MethodPost && r.Method != http.MethodPut && r.Method != http.MethodPatch {
		return -1
	}
	return int64(len(r.Body))
}

// send sends what the windows let go of a request's body.
func (m *Machine) send(stream *stream) {
	for !stream.isQueued && m.output.Len() < maxOutputBytes {
		n := min(int64(len(stream.unsentBody)), int64(m.maxFrameBytes), stream.sendWindow, m.sendWindow)
		last := int64(len(stream.unsentBody)) <= max(n, 0) && !stream.hasMoreBody
		if n <= 0 && !last {
			break
		}
		n = max(n, 0)
		part := stream.unsentBody[:n]
		stream.unsentBody = stream.unsentBody[n:]
		stream.sendWindow -= n
		m.sendWindow -= n
		stream.isQueued = last
		m.noiseFrames = max(0, m.noiseFrames-1-int(n)/bodyBytesPerNoise)
		if len(part) > 0 || len(stream.trailer) == 0 {
			m.frames.WriteData(stream.id, last && len(stream.trailer) == 0, part)
		}
		if last && len(stream.trailer) > 0 {
			m.headerBlock.Reset()
			for k, vs := range stream.trailer {
				for _, v := range vs {
					m.encoder.WriteField(hpack.HeaderField{Name: m.lowerNames.of(k, strings.ToLower), Value: v})
				}
			}
			m.writeBlock(stream.id, true)
		}
		stream.endOffset = m.offset()
	}
	if len(stream.unsentBody) == 0 {
		stream.unsentBody = nil // what has been sent is not kept for what comes
	}
	if !stream.isQueued && len(stream.unsentBody) > 0 && !contains(m.waitingStreams, stream.id) {
		m.waitingStreams = append(m.waitingStreams, stream.id)
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

// sendWaiting goes on with all bodies that wait, in turn.
func (m *Machine) sendWaiting() {
	waiting := m.waitingStreams
	m.waitingStreams = nil
	for _, id := range waiting {
		if stream := m.streams[id]; stream != nil && !stream.isQueued {
			m.send(stream)
		}
	}
}
