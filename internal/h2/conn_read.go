package h2

import (
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	maxReadFrameBytes = 1 << 20     // of a frame that is read; a longer one is an error of the server's
	overheadPeriod    = time.Second // in which noise frames are counted
)

// read handles frames until the connection ends.
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

// isSettings reports whether a frame was read and is one of settings, with which HTTP/2 begins.
func isSettings(frame http2.Frame, err error) bool {
	return err == nil && frame.Header().Type == http2.FrameSettings
}

// handleFrame handles a frame, or the error of reading it. It reports whether the connection has ended.
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

// countingConn counts the bytes that are read.
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

// eventReceiver receives the events of a stream in order, with Conn.mu locked. It must neither block nor call back.
type eventReceiver interface{ receive(Event) }

// endReceiver receives the one event of a stream whose answer is buffered.
type endReceiver chan Event

func (r endReceiver) receive(event Event) { r <- event }

// deliver passes events to their receivers and records what has changed. c.mu is locked. It reports whether the
// connection has ended.
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

// closeOnFirstCall closes a channel that is not closed, and reports whether it was not. Calls must not be concurrent.
func closeIfOpen(channel chan struct{}) bool {
	select {
	case <-channel:
		return false
	default:
		close(channel)
		return true
	}
}
