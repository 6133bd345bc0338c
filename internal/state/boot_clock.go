package state

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath names the machine's boot; see random(4).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootID is that of this boot; empty where it is not known.
var bootID = sync.OnceValue(func() string {
	raw, err := os.ReadFile(bootIDPath)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
})

// uptime is the time since the machine's boot, which no step of the wall clock changes and which all processes
// share; 0 where it is not known.
func uptime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// Stamp sets the time at which the checkpoint was taken to now.
func (c *Checkpoint) Stamp() {
	c.TakenAt = time.Now()
	c.BootID = bootID()
	c.Uptime = uptime()
}

// Age is the time since the checkpoint was taken, at least 0. It is real time as long as the machine has not booted
// since, and otherwise that of the wall clock.
func (c *Checkpoint) Age() time.Duration {
	if c.BootID != "" && c.BootID == bootID() {
		return max(0, uptime()-c.Uptime)
	}
	return max(0, time.Since(c.TakenAt))
}
