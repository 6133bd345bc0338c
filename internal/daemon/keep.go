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

// doubts are what the daemon does not rely on. It is safe for concurrent use; its zero value has
// none.
type doubts struct {
	mu  sync.Mutex
	all map[string]doubt
}

// doubt is why something is not relied on, and since when.
type doubt struct {
	since time.Time
	why   string
}

func (d *doubts) add(what, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.all == nil {
		d.all = make(map[string]doubt)
	}
	one, ok := d.all[what]
	if !ok {
		one.since = time.Now()
	}
	one.why = why
	d.all[what] = one
}

func (d *doubts) clear(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.all, what)
}

func (d *doubts) list() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := []string{}
	for what, one := range d.all {
		all = append(all, fmt.Sprintf("%s, since %s: %s", what, one.since.UTC().Format(time.RFC3339), one.why))
	}
	slices.Sort(all)
	return all
}

// keeper writes the state down from time to time.
type keeper struct {
	own   atomic.Bool  // the file is this process's to write
	every atomic.Int64 // the time from one writing to the next
	mu    sync.Mutex
	over  bool
}

// end has nothing be written any more.
func (k *keeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.over = true
}

// keep writes what was spent and learned until ctx ends, so that a start after a crash knows
// what was learned. A disk that is full or read-only is told once, and again once it is mended.
func (d *daemon) keep(ctx context.Context) {
	if d.store == nil {
		return
	}
	const what = "state directory"
	broken := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(d.keeper.every.Load())):
		}
		d.keeper.mu.Lock()
		if d.keeper.over {
			d.keeper.mu.Unlock()
			return
		}
		var err error
		if d.keeper.own.Load() {
			err = d.store.Save(d.node.Checkpoint())
		}
		d.keeper.mu.Unlock()
		switch {
		case err != nil && !broken:
			slog.Error("the state can't be written: a start after a crash will know less", "err", err)
			d.doubts.add(what, err.Error())
		case err == nil && broken:
			slog.Info("the state can be written again")
			d.doubts.clear(what)
		}
		broken = err != nil
	}
}

// watchGroup tells once where servers' reports speak against the told size of the group, and
// where they no longer do, until ctx ends.
func (d *daemon) watchGroup(ctx context.Context) {
	t := time.NewTicker(groupEvery)
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
				d.doubts.add(what, why)
			case !s.IsGroupSizeDoubted && doubted[s.Name]:
				slog.Info("the group's size is no longer doubted", "service", s.Name, "told", told)
				d.doubts.clear(what)
			}
			doubted[s.Name] = s.IsGroupSizeDoubted
		}
	}
}

// groupEvery is how often the group's size is looked at.
const groupEvery = 2 * time.Second

// Status is manage.Daemon's.
func (d *daemon) Status() manage.Status {
	s := manage.Status{
		PID: os.Getpid(), Program: d.opts.Program, Config: d.opts.Config, Started: d.started,
		Generation: d.node.Generation(), Listeners: d.node.Addresses(), Services: d.node.Status(), Gathers: d.node.GathererStatus(), Older: d.node.RetiredServices(),
		Descriptors: descriptors(), MemoryKB: memory(), Distrusts: d.doubts.list(),
	}
	s.Instance, s.Instances = d.node.Instance()
	s.Figures = d.figures()
	d.seen(func() {
		s.Life = d.machine.State().String()
		if d.succ != nil {
			s.Beside = d.succ.PID()
		}
		d.tellMember(&s)
	})
	return s
}

// tellMember tells what live alone uses.
func (d *daemon) tellMember(s *manage.Status) {
	s.Hash = d.cfg.Hash
	d.member.tell(s)
}

// seen has live do something, or does it where that has ended, and waits.
func (d *daemon) seen(do func()) {
	done := make(chan struct{})
	d.post(lifeAsked{func() { do(); close(done) }})
	select {
	case <-done:
	case <-d.ended:
		select {
		case <-done:
		default:
			do()
		}
	}
}

// figures are what the process has counted of itself.
func (d *daemon) figures() instancestats.Figures {
	f := d.node.Statistics()
	f.Began, f.MemoryKB = d.started, memory()
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) == nil {
		f.CPU = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	return f
}

// lifeAsked asks live for what it alone uses.
type lifeAsked struct{ tell func() }

// descriptors is how many this process has open.
func descriptors() int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(all) - 1 // that of the directory itself
}

// memory is the resident memory in kB (proc(5)); the runtime's own figure where there is no proc.
func memory() int {
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
