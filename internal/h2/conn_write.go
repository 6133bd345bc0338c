package h2

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	writeTimeout  = 5 * time.Second        // limit on one write to the socket
	cancelTimeout = 250 * time.Millisecond // limit on the time until the reset of a cancelled stream is written
)

// wakeWriter wakes the writing goroutine.
func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeNow writes as much output as the socket accepts without blocking, which is nearly always all of it; the writing
// goroutine writes the rest. This avoids waking a goroutine for each request, and no caller blocks past its deadline if
// the server reads nothing.
func (c *Conn) writeNow() {
	if c.rawConn == nil {
		c.wakeWriter()
		return
	}
	c.mu.Lock()
	if c.isWriting || c.machine.Err() != nil {
		c.mu.Unlock()
		c.wakeWriter()
		return
	}
	c.isWriting = true
	out := c.machine.PendingBytes()
	c.mu.Unlock()
	n := 0
	if len(out) > 0 {
		_ = c.rawConn.Write(func(fd uintptr) bool {
			n, _ = syscall.Write(int(fd), out)
			return true
		})
	}
	c.recordWrite(max(n, 0))
	c.mu.Lock()
	needsWriter := c.machine.HasOutput() || c.isClosing || c.machine.Err() != nil // the writing goroutine may have skipped this while isWriting was set
	c.mu.Unlock()
	if needsWriter {
		c.wakeWriter()
	}
}

// recordWrite records that n bytes were written.
func (c *Conn) recordWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
	c.machine.RecordWrite(n)
	c.wakeBlockedWriters()
	c.flushed.Broadcast()
}

// wakeBlockedWriters wakes the streams whose Write waits for buffer space. c.mu must be locked.
func (c *Conn) wakeBlockedWriters() {
	for s := range c.blockedWriters {
		delete(c.blockedWriters, s)
		signal(s.writable)
	}
}

// isFinished reports whether the connection has ended, or is closing and its last stream has ended. c.mu must be locked.
func (c *Conn) isFinished() bool {
	if c.machine.Err() != nil {
		return true
	}
	return c.isClosing && c.machine.IsEnding() && c.machine.OpenStreams() == 0
}

// write writes the machine's output until the connection has ended and all output is written.
func (c *Conn) write() {
	defer c.closeSocket()
	for {
		c.mu.Lock()
		var out []byte
		if !c.isWriting { // otherwise writeNow wakes this goroutine
			out = c.machine.PendingBytes()
		}
		isDone := !c.isWriting && c.isFinished()
		c.isWriting = c.isWriting || len(out) > 0
		c.mu.Unlock()
		if len(out) == 0 {
			if isDone {
				c.abort(net.ErrClosed)
				return
			}
			<-c.wake
			continue
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.conn.Write(out)
		c.recordWrite(n)
		if err != nil {
			c.abort(fmt.Errorf("writing to the server: %w", err))
			return
		}
	}
}

// awaitFlush waits until all output before an offset is written, and closes the connection if that takes longer than
// cancelTimeout. Otherwise the server might still process a cancelled request while another server is sent the same one.
func (c *Conn) awaitFlush(offset int64) {
	closeTimer := time.AfterFunc(cancelTimeout, c.Close)
	defer closeTimer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.machine.written < offset && c.machine.Err() == nil {
		c.flushed.Wait()
	}
}
