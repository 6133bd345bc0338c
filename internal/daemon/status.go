package daemon

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/instancestats"
	"lockflow/internal/manage"
)

// Status implements manage.Daemon.
func (d *daemon) Status() manage.Status {
	s := manage.Status{
		PID:                os.Getpid(),
		Program:            d.opts.Program,
		ConfigPath:         d.opts.ConfigPath,
		StartedAt:          d.startedAt,
		Generation:         d.node.Generation(),
		Listeners:          d.node.Addresses(),
		OpenDescriptors:    openDescriptors(),
		MemoryKB:           residentMemoryKB(),
		Services:           d.node.Status(),
		ScatterGathers:     d.node.GathererStatus(),
		RetiredServices:    d.node.RetiredServices(),
		DegradedConditions: d.conditions.list(),
		Statistics:         d.instanceStats(),
	}
	s.Instance, s.Instances = d.node.Instance()
	d.callInLoop(func() {
		s.State = d.machine.State().String()
		if d.successor != nil {
			s.SuccessorPID = d.successor.PID()
		}
		d.addMemberStatus(&s)
	})
	return s
}

// addMemberStatus fills in what the event loop owns.
func (d *daemon) addMemberStatus(s *manage.Status) {
	s.ConfigHash = d.cfg.Hash
	d.member.addStatus(s)
}

// instanceStats returns the process's counts of itself.
func (d *daemon) instanceStats() instancestats.Statistics {
	stats := d.node.Statistics()
	stats.Began, stats.MemoryKB = d.startedAt, residentMemoryKB()
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		stats.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return stats
}

// openDescriptors returns how many file descriptors this process has open, 0 where /proc is not readable.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries) - 1 // without the directory's own
}

// residentMemoryKB returns the resident memory (proc(5)) in kB, or what the Go runtime has from the system
// where there is no /proc.
func residentMemoryKB() int {
	raw, err := os.ReadFile("/proc/self/statm")
	if fields := strings.Fields(string(raw)); err == nil && len(fields) > 1 {
		if pages, err := strconv.Atoi(fields[1]); err == nil {
			return pages * os.Getpagesize() >> 10
		}
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.Sys >> 10)
}
