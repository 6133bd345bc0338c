package h2

import (
	"fmt"
	"time"
)

// scheduleSilenceCheck schedules checkSilence, which then repeats while streams are open. c.mu must be locked.
func (c *Conn) scheduleSilenceCheck() {
	if c.options.PingAfterSilence > 0 && !c.isSilenceCheckScheduled {
		c.isSilenceCheckScheduled = true
		time.AfterFunc(c.options.PingAfterSilence, c.checkSilence)
	}
}

// checkSilence pings the server if nothing was received for PingAfterSilence, and ends the connection if nothing was
// received for twice that time and the ping is not acknowledged.
func (c *Conn) checkSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.Err() != nil || c.machine.OpenStreams() == 0 {
		c.isSilenceCheckScheduled = false
		return
	}
	switch silence := time.Since(c.lastRead); {
	case silence >= 2*c.options.PingAfterSilence && c.machine.IsAwaitingPing():
		c.dropsUndelivered.Store(true)
		c.deliver(c.machine.Abort(fmt.Errorf("nothing received for %v, and a ping was not acknowledged", silence)))
		c.wakeWriter()
		return
	case silence >= c.options.PingAfterSilence:
		c.machine.Ping()
		c.wakeWriter()
	}
	time.AfterFunc(c.options.PingAfterSilence, c.checkSilence)
}
