package h2

import (
	"fmt"
	"iter"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// This file sends requests and their bodies within the flow-control windows.

// OpenStream opens a stream and sends as much of its request as the flow-control windows allow. Its errors wrap
// ErrNoStream, ErrHeadTooLong or ErrWithdrawn; if it returns one, nothing was sent.
func (m *Machine) OpenStream(request *Request) (uint32, error) {
	if m.FreeStreams() == 0 {
		return 0, ErrNoStream
	}
	fields := m.fields(request)
	if err := m.checkHeadSize(fields); err != nil { // checked before encoding, which changes the compression table
		return 0, err
	}
	if request.MayBegin != nil && !request.MayBegin() {
		return 0, ErrWithdrawn
	}
	m.headerBlock.Reset()
	for field := range fields {
		m.encoder.WriteField(field)
	}
	opened := &stream{
		id:            m.nextID,
		sendWindow:    m.initialWindow,
		unsentBody:    request.Body,
		hasMoreBody:   request.HasMoreBody,
		mayWrite:      request.mayWrite,
		streamsAnswer: request.StreamsAnswer,
		contentLength: -1,
		firstOffset:   m.offset(),
		isHeadRequest: request.Method == http.MethodHead,
	}
	isHeadOnly := len(request.Body) == 0 && !request.HasMoreBody
	m.nextID += 2
	m.streams[opened.id] = opened
	m.writeHeaderBlock(opened.id, isHeadOnly)
	if isHeadOnly {
		opened.isQueued = true
		opened.endOffset = m.offset()
	} else {
		m.flushBody(opened)
	}
	return opened.id, nil
}

// checkHeadSize returns an error if a head exceeds the server's limit (SETTINGS_MAX_HEADER_LIST_SIZE).
func (m *Machine) checkHeadSize(fields iter.Seq[hpack.HeaderField]) error {
	if m.peerMaxHeadBytes == 0 {
		return nil
	}
	size := uint32(0)
	for field := range fields {
		size += field.Size()
	}
	if size > m.peerMaxHeadBytes {
		return fmt.Errorf("%w: %d bytes, at most %d allowed", ErrHeadTooLong, size, m.peerMaxHeadBytes)
	}
	return nil
}

// writeHeaderBlock writes the encoded head or trailers in headerBlock.
func (m *Machine) writeHeaderBlock(id uint32, endsStream bool) {
	block := m.headerBlock.Bytes()
	for isFirst := true; isFirst || len(block) > 0; isFirst = false {
		part := block[:min(len(block), m.maxFrameBytes)]
		block = block[len(part):]
		if !isFirst {
			m.frames.WriteContinuation(id, len(block) == 0, part)
			continue
		}
		m.frames.WriteHeaders(http2.HeadersFrameParam{
			StreamID:      id,
			BlockFragment: part,
			EndStream:     endsStream,
			EndHeaders:    len(block) == 0,
		})
	}
}

// SendBody sends more of a request's body. isLast marks the last part, which trailer may follow. Data that can't be sent
// yet is buffered; UnsentBytes returns its length.
func (m *Machine) SendBody(id uint32, data []byte, isLast bool, trailer http.Header) {
	stream := m.streams[id]
	if stream == nil || !stream.hasMoreBody || m.connErr != nil {
		return
	}
	stream.unsentBody = append(stream.unsentBody, data...)
	if isLast {
		stream.hasMoreBody = false
		stream.trailer = trailer
	}
	m.flushBody(stream)
}

// UnsentBytes returns the number of bytes of a request's body that wait for the flow-control windows or the socket.
func (m *Machine) UnsentBytes(id uint32) int {
	if stream := m.streams[id]; stream != nil {
		return len(stream.unsentBody)
	}
	return 0
}

// Consumed records that the caller has processed n bytes of a streamed answer, which allows the server to send as many
// more. The window is returned to the server in steps of more than half of MaxBodyBytes.
func (m *Machine) Consumed(id uint32, n int) {
	stream := m.streams[id]
	if stream == nil || m.connErr != nil {
		return
	}
	stream.unreturnedWindow += n
	if stream.unreturnedWindow > m.MaxBodyBytes/2 {
		stream.windowBytes -= stream.unreturnedWindow
		m.frames.WriteWindowUpdate(id, uint32(stream.unreturnedWindow))
		stream.unreturnedWindow = 0
	}
}

// offset returns the offset of the next byte of output, counted from the connection's first byte.
func (m *Machine) offset() int64 { return m.written + int64(len(m.writing)+m.output.Len()) }

// connectionFields are the connection-specific fields, which HTTP/2 forbids (RFC 9113, 8.2.2), and host, which
// :authority replaces in HTTP/2.
var connectionFields = map[string]bool{
	"connection":        true,
	"keep-alive":        true,
	"proxy-connection":  true,
	"transfer-encoding": true,
	"upgrade":           true,
	"host":              true,
}

// fields returns the fields of a request's head, the pseudo-header fields first.
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
		for canonicalName, values := range request.Header {
			name := m.lowerNames.get(canonicalName, strings.ToLower)
			if connectionFields[name] || name == "content-length" {
				continue
			}
			for _, value := range values {
				if isOmittedField(name, value) {
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

// isOmittedField reports whether a field is not sent with this value. HTTP/2 allows only "trailers" as the value of TE
// (RFC 9113, 8.2.2), and an empty User-Agent means that none is sent, as in net/http.
func isOmittedField(name, value string) bool {
	switch name {
	case "te":
		return value != "trailers"
	case "user-agent":
		return value == ""
	}
	return false
}

// contentLength returns the value of Content-Length; it is negative if the head has none.
func (r *Request) contentLength() int64 {
	if r.HasMoreBody {
		return r.ContentLength
	}
	if len(r.Body) == 0 && !anticipatesContent(r.Method) {
		return -1
	}
	return int64(len(r.Body))
}

// anticipatesContent reports whether a request of this method has a Content-Length even if its body is empty (RFC 9110, 8.6).
func anticipatesContent(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// flushBody sends as much of a request's body as the flow-control windows and maxOutputBytes allow.
func (m *Machine) flushBody(stream *stream) {
	for !stream.isQueued && m.output.Len() < maxOutputBytes {
		n := min(int64(len(stream.unsentBody)), int64(m.maxFrameBytes), stream.sendWindow, m.sendWindow)
		isLast := int64(len(stream.unsentBody)) <= max(n, 0) && !stream.hasMoreBody
		if n <= 0 && !isLast {
			break
		}
		if stream.mayWrite != nil && !stream.mayWrite() {
			break
		}
		n = max(n, 0)
		part := stream.unsentBody[:n]
		stream.unsentBody = stream.unsentBody[n:]
		stream.sendWindow -= n
		m.sendWindow -= n
		stream.isQueued = isLast
		m.overheadFrames = max(0, m.overheadFrames-1-int(n)/bodyBytesPerOverheadFrame)
		if len(part) > 0 || len(stream.trailer) == 0 {
			m.frames.WriteData(stream.id, isLast && len(stream.trailer) == 0, part)
		}
		if isLast && len(stream.trailer) > 0 {
			m.writeTrailer(stream)
		}
		stream.endOffset = m.offset()
	}
	if len(stream.unsentBody) == 0 {
		stream.unsentBody = nil // frees the memory of the sent part
	}
	isWaiting := !stream.isQueued && len(stream.unsentBody) > 0
	if isWaiting && !slices.Contains(m.waitingStreams, stream.id) {
		m.waitingStreams = append(m.waitingStreams, stream.id)
	}
}

// writeTrailer writes the trailer fields, which end a request.
func (m *Machine) writeTrailer(stream *stream) {
	m.headerBlock.Reset()
	for canonicalName, values := range stream.trailer {
		name := m.lowerNames.get(canonicalName, strings.ToLower)
		for _, value := range values {
			m.encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
		}
	}
	m.writeHeaderBlock(stream.id, true)
}

// flushWaitingBodies continues all bodies that wait for a flow-control window or the socket, in the order in which they began
// to wait.
func (m *Machine) flushWaitingBodies() {
	waiting := m.waitingStreams
	m.waitingStreams = nil
	for _, id := range waiting {
		if stream := m.streams[id]; stream != nil && !stream.isQueued {
			m.flushBody(stream)
		}
	}
}
