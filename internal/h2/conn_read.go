package h2

import (
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// maxReadFrameBytes limits the length of a received frame; a longer one is a connection error (FRAME_SIZE_ERROR). It is
	// the initial value of SETTINGS_MAX_FRAME_SIZE, which this side does not raise.
	maxReadFrameBytes = defaultFrameBytes
	overheadPeriod    = time.Second // period over which overhead frames are counted against maxOverheadFrames
)

// read reads and handles frames until the connection ends.
func (c *Conn) read() {
	counted := &countingConn{Conn: c.conn}
	frames := http2.NewFramer(nil, counted)
	frames.SetMaxReadFrameSize(maxReadFrameBytes)
	frames.SetReuseFrames()
	frames.ReadMetaHeaders = hpack.NewDecoder(defaultTableBytes, nil)
	frames.MaxHeaderListSize = uint32(c.machine.MaxHeadBytes)
	for isFirst := true; ; isFirst = false {
		frame, err := frames.ReadFrame()
		if isFirst && counted.bytesRead > 0 && !isSettings(frame, err) {
			err = ErrNotHTTP2
		}
		if hasEnded := c.handleFrame(frame, err, counted.bytesRead > 0); hasEnded {
			return
		}
	}
}

// isSettings reports whether a SETTINGS frame was read, which must be the first frame of an HTTP/2 connection.
func isSettings(frame http2.Frame, err error) bool {
	return err == nil && frame.Header().Type == http2.FrameSettings
}

// handleFrame handles a frame, or the error from reading one. It reports whether the connection has ended.
func (c *Conn) handleFrame(frame http2.Frame, err error, hasRead bool) (hasEnded bool) {
	c.mu.Lock()
	if hasRead {
		c.lastRead = time.Now()
	}
	if c.lastRead.Sub(c.overheadResetAt) >= overheadPeriod {
		c.overheadResetAt = c.lastRead
		c.machine.ResetOverhead()
	}
	var events []Event
	if err != nil {
		events = c.machine.HandleReadError(err)
	} else {
		events = c.machine.Handle(frame)
	}
	hasEnded = c.deliver(events)
	needsWrite := hasEnded || c.isClosing || c.machine.HasOutput()
	c.mu.Unlock()
	if needsWrite {
		c.wakeWriter()
	}
	return hasEnded
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytesRead int64
}

// Read implements io.Reader.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// eventReceiver receives the events of a stream in order. receive is called with Conn.mu locked, so it must neither block
// nor call the Conn.
type eventReceiver interface{ receive(Event) }

// endReceiver receives the only event of a stream whose answer is buffered.
type endReceiver chan Event

func (r endReceiver) receive(event Event) { r <- event }

// deliver passes events to their receivers and wakes the goroutines that wait for a change of the connection's state.
// It reports whether the connection has ended. c.mu must be locked.
func (c *Conn) deliver(events []Event) (hasEnded bool) {
	for _, event := range events {
		if receiver := c.receivers[event.ID]; receiver != nil {
			if event.ends() {
				delete(c.receivers, event.ID)
			}
			receiver.receive(event)
		}
	}
	c.wakeBlockedWriters()
	if c.machine.OpenStreams() == 0 && len(events) > 0 {
		c.idleSince = time.Now()
	}
	hasEnded = c.machine.Err() != nil
	if c.machine.HasSettings() {
		closeIfOpen(c.settingsReceived)
	}
	if hasEnded && closeIfOpen(c.done) {
		c.flushed.Broadcast()
	}
	if c.options.OnChange != nil {
		c.options.OnChange()
	}
	return hasEnded
}

// closeIfOpen closes a channel unless it is closed, and reports whether it was open. Calls must not be concurrent.
func closeIfOpen(channel chan struct{}) bool {
	select {
	case <-channel:
		return false
	default:
		close(channel)
		return true
	}
}
