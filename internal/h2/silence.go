package h2

import (
	"fmt"
	"time"
)

// startWatch schedules checkSilence while streams are open. c.mu is locked.
func (c *Conn) scheduleSilenceCheck() {
	if c.options.PingAfterSilence > 0 && !c.isSilenceCheckScheduled {
		c.isSilenceCheckScheduled = true
		time.AfterFunc(c.options.PingAfterSilence, c.checkSilence)
	}
}

// checkSilence pings a server that has been silent, and ends the connection if it does not answer.
func (c *Conn) checkSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.Err() != nil || c.machine.OpenStreams() == 0 {
		c.isSilenceCheckScheduled = false
		return
	}
	switch silence := time.Since(c.lastRead); {
	case silence >= 2*c.options.PingAfterSilence && c.machine.IsAwaitingPing():
		c.deliver(c.machine.Abort(fmt.Errorf("nothing received for %v", silence)))
		c.wakeWriter()
		return
	case silence >= c.options.PingAfterSilence:
		c.machine.Ping()
		c.wakeWriter()
	}
	time.AfterFunc(c.options.PingAfterSilence, c.checkSilence)
}
