package daemon

import (
	"errors"
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

// addMemberStatus sets the fields whose values the event loop owns, so it has to be called in the loop.
func (d *daemon) addMemberStatus(s *manage.Status) {
	s.ConfigHash = d.cfg.Hash
	d.member.addStatus(s)
}

// instanceStats returns the statistics of this process.
func (d *daemon) instanceStats() instancestats.Statistics {
	stats := d.node.Statistics()
	stats.Began = d.startedAt
	stats.MemoryKB = residentMemoryKB()
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		stats.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return stats
}

// openDescriptors returns the number of open file descriptors of this process, or 0 if /proc is not readable.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries) - 1 // without the descriptor of the directory itself
}

// residentMemoryKB returns the resident memory (proc(5)) in kB. If /proc is not readable, it returns the memory that the
// Go runtime has obtained from the system.
func residentMemoryKB() int {
	if pages, err := residentPages(); err == nil {
		return pages * os.Getpagesize() >> 10
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.Sys >> 10)
}

// residentPages returns the number of resident pages, the second field of /proc/self/statm.
func residentPages() (int, error) {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.New("/proc/self/statm has no field for resident pages")
	}
	return strconv.Atoi(fields[1])
}
