package h2

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// This file handles the frames received from the server.

// HandleReadError handles an error that http2.Framer returned instead of a frame.
func (m *Machine) HandleReadError(err error) []Event {
	if m.connErr != nil {
		return nil
	}
	var connectionErr http2.ConnectionError
	var streamErr http2.StreamError
	switch {
	case errors.As(err, &streamErr):
		if !m.isKnownStream(streamErr.StreamID) {
			return m.failConnection(http2.ErrCodeProtocol, "received a frame on stream %d, which was never opened", streamErr.StreamID)
		}
		return m.endMalformed(streamErr.StreamID, streamErr.Code, err.Error())
	case errors.As(err, &connectionErr):
		return m.failConnection(http2.ErrCode(connectionErr), "received an invalid frame")
	case errors.Is(err, http2.ErrFrameTooLarge):
		return m.failConnection(http2.ErrCodeFrameSize, "%v", err)
	}
	return m.endConnection(http2.ErrCodeNo, err)
}

// isKnownStream reports whether a stream has been opened, even if it is closed by now.
func (m *Machine) isKnownStream(id uint32) bool { return id%2 == 1 && id < m.nextID }

// endMalformed resets a stream whose answer is malformed; other streams continue (RFC 9113, 8.1.1).
func (m *Machine) endMalformed(id uint32, code http2.ErrCode, detail string) []Event {
	m.countOverhead()
	if m.overheadFrames > maxOverheadFrames {
		return m.failConnection(http2.ErrCodeEnhanceYourCalm, "too many frames that contribute to no answer")
	}
	stream := m.streams[id]
	if stream == nil {
		return nil
	}
	event := m.endStream(stream, EndMalformed, code, detail)
	m.frames.WriteRSTStream(id, code)
	return []Event{event}
}

// countOverhead counts a frame that contributes to no answer. The limit on these frames guards against floods of
// pings, settings, resets and empty frames, each of which costs this side processing time or output.
func (m *Machine) countOverhead() { m.overheadFrames++ }

// ResetOverhead resets the count of frames that contribute to no answer. Conn calls it about once a second.
func (m *Machine) ResetOverhead() { m.overheadFrames = 0 }

// Handle handles a frame that http2.Framer has read with ReadMetaHeaders set. It ignores frames after the end of
// the connection.
func (m *Machine) Handle(frame http2.Frame) []Event {
	if m.connErr != nil {
		return nil
	}
	if !m.hasSettings {
		if s, ok := frame.(*http2.SettingsFrame); !ok || s.IsAck() {
			return m.failConnection(http2.ErrCodeProtocol, "received %v, expected SETTINGS as the first frame", frame.Header().Type)
		}
	}
	m.countOverhead()
	var events []Event
	switch f := frame.(type) {
	case *http2.MetaHeadersFrame:
		events = m.handleHeaders(f)
	case *http2.DataFrame:
		events = m.handleData(f)
	case *http2.SettingsFrame:
		events = m.handleSettings(f)
	case *http2.RSTStreamFrame:
		events = m.handleReset(f)
	case *http2.WindowUpdateFrame:
		events = m.handleWindowUpdate(f)
	case *http2.GoAwayFrame:
		events = m.handleGoAway(f)
	case *http2.PingFrame:
		m.handlePing(f)
	case *http2.PushPromiseFrame:
		return m.failConnection(http2.ErrCodeProtocol, "received PUSH_PROMISE although the settings disable push")
	}
	if m.connErr == nil && (m.overheadFrames > maxOverheadFrames || m.output.Len() > 2*maxOutputBytes) {
		events = append(events, m.failConnection(http2.ErrCodeEnhanceYourCalm, "too many frames that contribute to no answer")...)
	}
	return events
}

func (m *Machine) handlePing(frame *http2.PingFrame) {
	if !frame.IsAck() {
		m.frames.WritePing(true, frame.Data)
		return
	}
	var n uint64
	for i, b := range frame.Data {
		n |= uint64(b) << (8 * i)
	}
	if n == m.awaitedPing {
		m.awaitedPing = 0
	}
}

func (m *Machine) handleSettings(frame *http2.SettingsFrame) []Event {
	if frame.IsAck() {
		return nil
	}
	m.hasSettings = true
	before := m.initialWindow
	if err := frame.ForeachSetting(m.applySetting); err != nil {
		code := http2.ErrCodeProtocol
		if connectionErr := http2.ConnectionError(0); errors.As(err, &connectionErr) {
			code = http2.ErrCode(connectionErr)
		}
		return m.failConnection(code, "received an invalid setting")
	}
	for _, stream := range m.streams {
		stream.sendWindow += m.initialWindow - before // may become negative (RFC 9113, 6.9.2)
		if stream.sendWindow > maxWindow {
			return m.failConnection(http2.ErrCodeFlowControl, "a flow-control window exceeds 2^31-1")
		}
	}
	m.frames.WriteSettingsAck()
	m.flushWaitingBodies()
	return nil
}

func (m *Machine) applySetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return err
	}
	switch setting.ID {
	case http2.SettingEnablePush:
		if setting.Val != 0 { // RFC 9113, 6.5.2
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
	case http2.SettingMaxConcurrentStreams:
		m.peerMaxStreams = setting.Val
	case http2.SettingInitialWindowSize:
		m.initialWindow = int64(setting.Val)
	case http2.SettingMaxFrameSize:
		m.maxFrameBytes = int(min(setting.Val, maxSentFrameBytes))
	case http2.SettingHeaderTableSize:
		m.encoder.SetMaxDynamicTableSize(min(setting.Val, defaultTableBytes))
	case http2.SettingMaxHeaderListSize:
		m.peerMaxHeadBytes = setting.Val
	}
	return nil
}

func (m *Machine) handleWindowUpdate(frame *http2.WindowUpdateFrame) []Event {
	if frame.StreamID == 0 {
		m.sendWindow += int64(frame.Increment)
		if m.sendWindow > maxWindow {
			return m.failConnection(http2.ErrCodeFlowControl, "a flow-control window exceeds 2^31-1")
		}
		m.flushWaitingBodies()
		return nil
	}
	if !m.isKnownStream(frame.StreamID) {
		return m.failConnection(http2.ErrCodeProtocol, "received WINDOW_UPDATE on stream %d, which was never opened", frame.StreamID)
	}
	if stream := m.streams[frame.StreamID]; stream != nil {
		stream.sendWindow += int64(frame.Increment)
		if stream.sendWindow > maxWindow {
			return m.endMalformed(stream.id, http2.ErrCodeFlowControl, "a flow-control window exceeds 2^31-1")
		}
		m.flushWaitingBodies()
	}
	return nil
}

func (m *Machine) handleReset(frame *http2.RSTStreamFrame) []Event {
	if !m.isKnownStream(frame.StreamID) {
		return m.failConnection(http2.ErrCodeProtocol, "received RST_STREAM on stream %d, which was never opened", frame.StreamID)
	}
	stream := m.streams[frame.StreamID]
	if stream == nil {
		return nil
	}
	return []Event{m.endStream(stream, EndReset, frame.ErrCode, "")}
}

// handleGoAway ends the streams that the server has not accepted. A later GOAWAY may lower the last accepted id but not
// raise it (RFC 9113, 6.8): the requests above the lowest id were reported as rejected, and may have been sent to another
// server.
func (m *Machine) handleGoAway(frame *http2.GoAwayFrame) (events []Event) {
	m.hasGoAway = true
	m.lastAcceptedID = min(m.lastAcceptedID, frame.LastStreamID)
	debugData := frame.DebugData()
	detail := string(debugData[:min(len(debugData), maxDetailBytes)])
	for id, stream := range m.streams {
		if id > m.lastAcceptedID {
			events = append(events, m.endStream(stream, EndGoAway, frame.ErrCode, detail))
			m.frames.WriteRSTStream(id, http2.ErrCodeCancel)
		}
	}
	return events
}

func (m *Machine) handleHeaders(frame *http2.MetaHeadersFrame) []Event {
	if !m.isKnownStream(frame.StreamID) {
		return m.failConnection(http2.ErrCodeProtocol, "received HEADERS on stream %d, which was never opened", frame.StreamID)
	}
	stream := m.streams[frame.StreamID]
	if stream == nil {
		return nil
	}
	stream.hasAnyHead = true
	malformed := func(format string, args ...any) []Event {
		return m.endMalformed(stream.id, http2.ErrCodeProtocol, fmt.Sprintf(format, args...))
	}
	if frame.Truncated {
		return malformed("the head or trailers exceed %d bytes", m.MaxHeadBytes)
	}
	if len(frame.Fields) > maxHeadFields {
		return malformed("%d fields in the head or trailers, at most %d are allowed", len(frame.Fields), maxHeadFields)
	}
	header := make(http.Header, len(frame.Fields))
	for _, field := range frame.RegularFields() {
		if connectionFields[field.Name] && field.Name != "host" {
			return malformed("connection-specific header field %s", field.Name)
		}
		name := m.canonicalNames.get(field.Name, http.CanonicalHeaderKey)
		header[name] = append(header[name], field.Value)
	}
	if stream.hasFinalHead { // trailers
		if len(frame.PseudoFields()) > 0 || !frame.StreamEnded() {
			return malformed("a second head, or trailers that do not end the stream")
		}
		stream.answer.Trailer = header
		return m.endAnswered(stream)
	}
	status, err := parseStatus(frame.PseudoFields())
	if err != nil {
		return malformed("%v", err)
	}
	if status < 200 {
		stream.interimAnswers++
		if frame.StreamEnded() || stream.interimAnswers > maxInterimAnswers {
			return malformed("an interim answer (1xx) ends the stream, or there are too many of them")
		}
		if stream.streamsAnswer {
			return []Event{{ID: stream.id, Head: &Answer{Status: status, Header: header}}}
		}
		return nil
	}
	return m.handleFinalHead(stream, status, header, frame.StreamEnded())
}

// parseStatus returns the status code from the pseudo-header fields of an answer.
func parseStatus(fields []hpack.HeaderField) (int, error) {
	if len(fields) != 1 || fields[0].Name != ":status" || len(fields[0].Value) != 3 {
		return 0, errors.New("the head must have one three-digit :status and no other pseudo-header field")
	}
	status, err := strconv.ParseUint(fields[0].Value, 10, 16)
	if err != nil || status < 100 || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("invalid status %q", fields[0].Value)
	}
	return int(status), nil
}

// handleFinalHead handles the head of a final answer.
func (m *Machine) handleFinalHead(stream *stream, status int, header http.Header, ended bool) []Event {
	m.overheadFrames = 0
	stream.hasFinalHead = true
	stream.answer.Status = status
	stream.answer.Header = header
	stream.hasNoBody = stream.isHeadRequest || status == http.StatusNoContent || status == http.StatusNotModified
	if lengths, isStated := header["Content-Length"]; isStated {
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || len(lengths) > 1 {
			return m.endMalformed(stream.id, http2.ErrCodeProtocol, fmt.Sprintf("invalid Content-Length %q", lengths))
		}
		stream.contentLength = int64(n)
		isBuffered := !stream.hasNoBody && !stream.streamsAnswer
		if isBuffered && stream.contentLength > int64(m.MaxBodyBytes) {
			return m.endMalformed(stream.id, http2.ErrCodeCancel, fmt.Sprintf("Content-Length of %d bytes exceeds the buffer limit", n))
		}
	}
	var events []Event
	if stream.streamsAnswer {
		events = append(events, Event{ID: stream.id, Head: &Answer{Status: status, Header: header}})
	}
	if ended {
		events = append(events, m.endAnswered(stream)...)
	}
	return events
}

func (m *Machine) handleData(frame *http2.DataFrame) []Event {
	if !m.isKnownStream(frame.StreamID) {
		return m.failConnection(http2.ErrCodeProtocol, "received DATA on stream %d, which was never opened", frame.StreamID)
	}
	m.returnWindow(frame.Length) // padding and frames of ended streams count too (RFC 9113, 6.9)
	stream := m.streams[frame.StreamID]
	if stream == nil {
		return nil
	}
	if !stream.hasFinalHead {
		stream.hasAnyHead = true
		return m.endMalformed(stream.id, http2.ErrCodeProtocol, "received DATA before the head of a final answer")
	}
	stream.windowBytes += int(frame.Length)
	if stream.windowBytes > m.MaxBodyBytes+1 {
		return m.endMalformed(stream.id, http2.ErrCodeFlowControl, "received more data than the stream's window allows")
	}
	data := frame.Data()
	var events []Event
	if len(data) > 0 {
		m.overheadFrames = 0
		stream.bodyBytes += int64(len(data))
		if stream.bodyBytes > m.maxBodyBytesOf(stream) {
			return m.endMalformed(stream.id, http2.ErrCodeProtocol, "the body is longer than Content-Length, the buffer limit or the status allows")
		}
		if stream.streamsAnswer {
			events = append(events, Event{ID: stream.id, Data: data})
		} else {
			stream.appendBody(data)
		}
	}
	// Padding counts against the stream's window, but the caller never consumes it, so its window is returned at once.
	if pad := int(frame.Length) - len(data); pad > 0 && !frame.StreamEnded() {
		stream.windowBytes -= pad
		m.frames.WriteWindowUpdate(stream.id, uint32(pad))
	}
	if frame.StreamEnded() {
		events = append(events, m.endAnswered(stream)...)
	}
	return events
}

// maxBodyBytesOf returns the maximum length of the body of a stream's answer.
func (m *Machine) maxBodyBytesOf(stream *stream) int64 {
	if stream.hasNoBody {
		return 0
	}
	limit := int64(math.MaxInt64)
	if stream.contentLength >= 0 {
		limit = stream.contentLength
	}
	if !stream.streamsAnswer {
		limit = min(limit, int64(m.MaxBodyBytes))
	}
	return limit
}

// appendBody appends to the body of a buffered answer.
func (s *stream) appendBody(data []byte) {
	if s.answer.Body == nil && s.contentLength > 0 {
		s.answer.Body = make([]byte, 0, s.contentLength)
	}
	s.answer.Body = append(s.answer.Body, data...)
}

// endAnswered ends a stream with its complete answer. If the server answered before it received the complete request,
// the stream is reset and the rest of the request is not sent (RFC 9113, 8.1).
func (m *Machine) endAnswered(stream *stream) []Event {
	if stream.contentLength >= 0 && !stream.hasNoBody && stream.bodyBytes != stream.contentLength {
		detail := fmt.Sprintf("body of %d bytes does not match Content-Length %d", stream.bodyBytes, stream.contentLength)
		return m.endMalformed(stream.id, http2.ErrCodeProtocol, detail)
	}
	m.overheadFrames = 0
	delete(m.streams, stream.id)
	if !stream.isQueued {
		m.frames.WriteRSTStream(stream.id, http2.ErrCodeCancel)
	}
	return []Event{{ID: stream.id, Answer: &stream.answer}}
}
