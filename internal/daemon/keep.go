package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/instancestats"
	"lockflow/internal/manage"
)

// degradedConditions are what the daemon does not rely on. It is safe for concurrent use; its zero value has
// none.
type degradedConditions struct {
	mu     sync.Mutex
	byName map[string]condition
}

// condition is why something is not relied on, and since when.
type condition struct {
	since time.Time
	cause string
}

func (d *degradedConditions) add(what, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = make(map[string]condition)
	}
	one, ok := d.byName[what]
	if !ok {
		one.since = time.Now()
	}
	one.cause = why
	d.byName[what] = one
}

func (d *degradedConditions) clear(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byName, what)
}

func (d *degradedConditions) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := []string{}
	for what, one := range d.byName {
		all = append(all, fmt.Sprintf("%s, since %s: %s", what, one.since.UTC().Format(time.RFC3339), one.cause))
	}
	slices.Sort(all)
	return all
}

// checkpointer writes the state down from time to time.
type checkpointer struct {
	ownsFile  atomic.Bool  // the file is this process's to write
	interval  atomic.Int64 // the time from one writing to the next
	mu        sync.Mutex
	isStopped bool
}

// stop has nothing be written any more.
func (k *checkpointer) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isStopped = true
}

// saveCheckpoints writes what was spent and learned until ctx ends, so that a start after a crash knows
// what was learned. A disk that is full or read-only is told once, and again once it is mended.
func (d *daemon) saveCheckpoints(ctx context.Context) {
	if d.store == nil {
		return
	}
	const what = "state directory"
	broken := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(d.checkpointer.interval.Load())):
		}
		d.checkpointer.mu.Lock()
		if d.checkpointer.isStopped {
			d.checkpointer.mu.Unlock()
			return
		}
		var err error
		if d.checkpointer.ownsFile.Load() {
			err = d.store.Save(d.node.Checkpoint())
		}
		d.checkpointer.mu.Unlock()
		switch {
		case err != nil && !broken:
			slog.Error("the state can't be written: a start after a crash will know less", "err", err)
			d.conditions.add(what, err.Error())
		case err == nil && broken:
			slog.Info("the state can be written again")
			d.conditions.clear(what)
		}
		broken = err != nil
	}
}

// watchGroupSize tells once where servers' reports speak against the told size of the group, and
// where they no longer do, until ctx ends.
func (d *daemon) watchGroupSize(ctx context.Context) {
	t := time.NewTicker(groupSizeInterval)
	defer t.Stop()
	doubted := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		_, told := d.node.Instance()
		for _, s := range d.node.Status() {
			what := "size of the group, by the servers of " + s.Name
			switch {
			case s.IsGroupSizeDoubted && !doubted[s.Name]:
				why := fmt.Sprintf("%d are told, reports speak for %.0f to %.0f", told, s.GroupSizeRange[0], s.GroupSizeRange[1])
				slog.Warn("the group's size in the settings seems wrong: limits and cold servers are shared by it", "service", s.Name,
					"told", told, "least", math.Round(s.GroupSizeRange[0]), "most", math.Round(s.GroupSizeRange[1]))
				d.conditions.add(what, why)
			case !s.IsGroupSizeDoubted && doubted[s.Name]:
				slog.Info("the group's size is no longer doubted", "service", s.Name, "told", told)
				d.conditions.clear(what)
			}
			doubted[s.Name] = s.IsGroupSizeDoubted
		}
	}
}

// groupSizeInterval is how often the group's size is looked at.
const groupSizeInterval = 2 * time.Second

// Status is manage.Daemon's.
func (d *daemon) Status() manage.Status {
	s := manage.Status{
		PID: os.Getpid(), Program: d.opts.Program, Config: d.opts.ConfigPath, Started: d.startedAt,
		Generation: d.node.Generation(), Listeners: d.node.Addresses(), Services: d.node.Status(), Gathers: d.node.GathererStatus(), Older: d.node.RetiredServices(),
		Descriptors: openDescriptors(), MemoryKB: residentMemoryKB(), Distrusts: d.conditions.list(),
	}
	s.Instance, s.Instances = d.node.Instance()
	s.Figures = d.instanceStats()
	d.inLoop(func() {
		s.Life = d.machine.State().String()
		if d.successor != nil {
			s.Beside = d.successor.PID()
		}
		d.addMemberStatus(&s)
	})
	return s
}

// addMemberStatus tells what live alone uses.
func (d *daemon) addMemberStatus(s *manage.Status) {
	s.Hash = d.cfg.Hash
	d.member.addStatus(s)
}

// inLoop has live do something, or does it where that has ended, and waits.
func (d *daemon) inLoop(do func()) {
	done := make(chan struct{})
	d.post(loopCall{func() { do(); close(done) }})
	select {
	case <-done:
	case <-d.loopEnded:
		select {
		case <-done:
		default:
			do()
		}
	}
}

// instanceStats are what the process has counted of itself.
func (d *daemon) instanceStats() instancestats.Figures {
	f := d.node.Statistics()
	f.Began, f.MemoryKB = d.startedAt, residentMemoryKB()
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) == nil {
		f.CPU = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	return f
}

// loopCall asks live for what it alone uses.
type loopCall struct{ call func() }

// openDescriptors is how many this process has open.
func openDescriptors() int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(all) - 1 // that of the directory itself
}

// residentMemoryKB is the resident memory in kB (proc(5)); the runtime's own figure where there is no proc.
func residentMemoryKB() int {
	raw, err := os.ReadFile("/proc/self/statm")
	if fields := strings.Fields(string(raw)); err == nil && len(fields) > 1 {
		if pages, err := strconv.Atoi(fields[1]); err == nil {
			return pages * os.Getpagesize() >> 10
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.Sys >> 10)
}
