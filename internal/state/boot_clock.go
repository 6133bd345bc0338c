package state

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is the file that identifies the current boot of the machine; see random(4).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootID returns the id of the current boot, or an empty string if it is unknown.
var bootID = sync.OnceValue(func() string {
	raw, err := os.ReadFile(bootIDPath)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
})

// uptime returns the time since the machine's boot, or 0 if it is unknown. Steps of the wall clock do not affect it, and it
// is the same for all processes.
func uptime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// Stamp sets the time at which the checkpoint was taken to the current time.
func (c *Checkpoint) Stamp() {
	c.TakenAt = time.Now()
	c.BootID = bootID()
	c.Uptime = uptime()
}

// Age returns the time since the checkpoint was taken, at least 0. It is measured by the machine's uptime if the machine
// has not rebooted since, and otherwise by the wall clock.
func (c *Checkpoint) Age() time.Duration {
	if c.BootID != "" && c.BootID == bootID() {
		return max(0, uptime()-c.Uptime)
	}
	return max(0, time.Since(c.TakenAt))
}
