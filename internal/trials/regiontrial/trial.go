// Package regiontrial has a staged change go over three regions of real processes that gather from each
// other, with clients at work and faults on every way between them, kills its coordinators, and holds what
// was seen to what has to be so whatever befalls them.
package regiontrial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/fleetfile"
	"lockflow/internal/manage"
	"lockflow/internal/regions"
	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/history"
)

// Options say what is tried.
type Options struct {
	Program string // absolute
	Dir     string // for the nodes' files; short and empty
	Each    int    // nodes of each of the three regions
	Clients int    // of each node
	Script  faultnet.Script
	Bake    time.Duration // of a stage of the harmful change
}

// Report is what came of one script.
type Report struct {
	Seed       uint64        `json:"seed"`
	Faults     int           `json:"faults"`
	Kills      int           `json:"kills"` // of nodes
	Killed     int           `json:"coordinators_killed"`
	Runs       []int         `json:"runs"`      // exits of coordinators under faults; -1 is killed
	Again      int           `json:"again"`     // coordinators that were needed once all faults had ended
	Phases     int           `json:"phases"`    // of the change
	Changed    bool          `json:"changed"`   // all had the new settings already when the faults ended
	Decisions  int           `json:"decisions"` // told by all coordinators
	Owned      int           `json:"epochs"`    // granted by some member
	Orders     int           `json:"orders"`    // begun by members
	Requests   int           `json:"requests"`
	Served     int           `json:"served"`
	Broken     int           `json:"broken"`   // without an answer, as a fault explains
	Gathered   int           `json:"gathered"` // answers of queries
	Partial    int           `json:"partial"`  // of them, without some part
	Effects    int           `json:"effects"`
	Metered    int           `json:"metered"` // requests of customers with a ceiling that stand-ins were sent
	Beyond     float64       `json:"beyond"`  // by which they passed it at most, in requests
	Looks      int           `json:"looks"`
	Harmed     int           `json:"harmed"`         // requests that the harmful change failed
	HarmedAt   int           `json:"harmed_at"`      // members it had reached
	HarmedTook time.Duration `json:"harmed_took_ns"` // until it was stopped and taken back
	Took       time.Duration `json:"took_ns"`
	Wrong      []string      `json:"wrong"`
}

// Bounds of what a trial waits for; nothing is expected to come near them.
const (
	upWithin     = 40 * time.Second
	backWithin   = 40 * time.Second
	changeWithin = 4 * time.Minute
	waitEvery    = 2 * time.Millisecond
	lookEvery    = 10 * time.Millisecond
	askWithin    = 2 * time.Second
	retryEvery   = 50 * time.Millisecond
	looksMost    = 500_000
)

// run is a trial that goes on.
type run struct {
	o        Options
	ground   *ground
	notes    *history.Exchanges
	sent     sent
	standins []*server
	failing  *server
	ran      sync.Map // ids of writes whose effect happened
	failsNow atomic.Bool
	rng      *rand.Rand
	began    time.Time

	mu                 sync.Mutex
	status             map[int]int // of answers
	gathered           int
	partial            int
	harmed             int
	decisions          int
	coordinatorsKilled int
	gens               map[string][]string // of the change, by member
	looks              []Look
}

func (r *run) nodes() int { return regionCount * r.o.Each }

// Run tries one script. The error is of what could not be tried; what went wrong in it is in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{
		o: o, ground: &ground{each: o.Each, dir: o.Dir}, notes: &history.Exchanges{}, status: make(map[int]int), gens: make(map[string][]string),
		rng: rand.New(rand.NewPCG(o.Script.Seed, 0xa70ce)), began: time.Now(),
	}
	player, err := faultnet.NewPlayer(o.Script, make([]*faultnet.Link, Links(o.Each)), make([]*faultnet.Process, r.nodes()))
	if err != nil {
		return nil, err
	}
	defer r.close()
	rep := &Report{Seed: o.Script.Seed, Faults: len(o.Script.Entries)}
	hashes, files, err := r.open(ctx)
	if err != nil {
		return nil, err
	}
	player.Links, player.Procs, player.Before = r.ground.links, r.ground.procs, r.ground.before
	player.Done = func(ev faultnet.Event) { r.ground.seen(ev, r.notes.Wrong) }

	working, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for i := range r.nodes() {
		for n := range o.Clients {
			c := r.client(i, n)
			all.Go(func() { c.work(working) })
		}
		all.Go(func() { r.watch(working, i) })
	}
	err = r.underFaults(ctx, player, rep, hashes, files)
	if err == nil {
		err = r.afterwards(ctx, rep, hashes, files)
	}
	stop()
	all.Wait()
	if err = errors.Join(err, ctx.Err()); err != nil { // what was cut short shows nothing
		return nil, err
	}
	r.judge(rep)
	return rep, nil
}

// open starts all at the old settings, and writes the fleet files.
func (r *run) open(ctx context.Context) (hashes map[kind][]string, files map[kind]string, err error) {
	var standins [][3]string
	for _, name := range regionNames {
		var addrs [3]string
		for n, handle := range []func(string) (*server, error){
			func(name string) (*server, error) { return listen(r.notes, r.app(name)) },
			func(name string) (*server, error) { return listen(r.notes, r.app(name)) },
			func(name string) (*server, error) { return listen(r.notes, r.pool(name)) },
		} {
			s, err := handle(name)
			if err != nil {
				return nil, nil, err
			}
			r.standins, addrs[n] = append(r.standins, s), s.addr
		}
		standins = append(standins, addrs)
	}
	if r.failing, err = listen(r.notes, fails); err != nil {
		return nil, nil, err
	}
	r.standins = append(r.standins, r.failing)
	if err := r.ground.prepare(standins); err != nil {
		return nil, nil, err
	}
	if err := os.WriteFile(r.customers(), []byte("gold-1,gold\nsilver-1,silver\n"), 0o600); err != nil {
		return nil, nil, fmt.Errorf("a trial: %w", err)
	}
	hashes, files = make(map[kind][]string), make(map[kind]string)
	for k, name := range map[kind]string{before: "before", after: "after", conflicting: "conflicting", harmful: "harmful"} {
		if files[k], hashes[k], err = r.fleet(name, k); err != nil {
			return nil, nil, err
		}
	}
	for k := range files {
		f, err := fleetfile.Load(files[k])
		if err != nil {
			return nil, nil, err
		}
		found := slices.DeleteFunc(f.Waive(regions.Check(f.Regions()), time.Now()), func(c regions.Conflict) bool { return c.Severity != regions.Error })
		if (len(found) > 0) != (k == conflicting) {
			r.notes.Wrong("%s: %d conflicts: %+v", files[k], len(found), found)
		}
	}
	for i := range r.nodes() {
		r.notes.WantGeneration(hashes[before][i/r.o.Each])
		if err := os.WriteFile(r.ground.file(i), []byte(r.text(i/r.o.Each, before)), 0o600); err != nil {
			return nil, nil, fmt.Errorf("a trial: %w", err)
		}
	}
	r.sent.begun = time.Now()
	if err := r.ground.start(ctx, r.o.Program); err != nil {
		return nil, nil, err
	}
	return hashes, files, r.serve(ctx)
}

func (r *run) close() {
	r.ground.close()
	for _, s := range r.standins {
		s.close()
	}
}

// underFaults has the conflicting change refused and the valid one go over the fleet while the script plays:
// its coordinator is killed twice, with another one, of a journal of its own, in between, which is killed too.
func (r *run) underFaults(ctx context.Context, player *faultnet.Player, rep *Report, hashes map[kind][]string, files map[kind]string) error {
	// What the change goes through is known once it is in a journal, before any of it is ordered.
	for _, h := range hashes[after] {
		r.notes.WantGeneration(h)
	}
	played := make(chan error, 1)
	go func() {
		_, err := player.Play(ctx)
		played <- err
	}()
	err := func() error {
		if err := r.refuse(ctx, files[conflicting]); err != nil {
			return err
		}
		soft := []string{"--unjudged", "--bake", "100ms", "--bake-most", "5s"}
		e, err := r.begin(ctx, files[after], 2+r.rng.IntN(12), soft...)
		if err != nil {
			return err
		}
		rep.Runs = append(rep.Runs, e.code)
		second := r.flags(files[after], "second", soft...)
		for _, step := range []struct {
			kill int
			args []string
		}{{2 + r.rng.IntN(12), second}, {2 + r.rng.IntN(16), r.flags(files[after], "journal", "--resume")}, {0, r.flags(files[after], "journal", "--resume")}} {
			if e, err = r.coordinate(ctx, step.kill, step.args...); err != nil {
				return err
			}
			rep.Runs = append(rep.Runs, e.code)
			if e.code != exitDone && e.code != exitBack && e.code != exitStuck && e.code != killed {
				r.notes.Wrong("a coordinator: exit %d: %s", e.code, e.said)
			}
		}
		return nil
	}()
	if playErr := <-played; err == nil && playErr != nil {
		err = fmt.Errorf("carrying the script out: %w", playErr)
	}
	r.ground.starts.Wait()
	for _, name := range []string{"journal", "second"} {
		err = errors.Join(err, r.generations(name))
	}
	return err
}

// afterwards holds the end of the change, brings all to the new settings, and has a harmful change stopped.
func (r *run) afterwards(ctx context.Context, rep *Report, hashes map[kind][]string, files map[kind]string) error {
	if err := r.serve(ctx); err != nil {
		r.notes.Wrong("%v", err)
		return ctx.Err()
	}
	var said []string
	last := rep.Runs[len(rep.Runs)-1]
	for tries := 0; ; tries++ {
		k, one, told := r.state(ctx, hashes)
		if one && (k == before || k == after) && (tries > 0 || last != exitStuck) {
			rep.Changed, rep.Again = k == after, tries
			if tries == 0 && last == exitDone && !rep.Changed {
				r.notes.Wrong("the change ended with %v, and all run the old settings", rep.Runs)
			}
			break
		}
		if tries == 0 && last != exitStuck {
			r.notes.Wrong("the change ended with %v, and members run different settings:%s", rep.Runs, told)
		}
		if tries == 4 {
			r.notes.Wrong("the members do not all come to one state:%s; %s", told, strings.Join(said, "\n"))
			return nil
		}
		// A member that the second coordinator left between two of its own generations runs what the first one's
		// journal doesn't know: that is told as stuck, and the second one's journal takes it back.
		way := [][]string{{"journal", "--resume"}, {"second", "--take-back"}, {"journal", "--resume"}, {"journal", "--take-back"}}[tries]
		what, err := r.goOn(ctx, files[after], way[0], way[1])
		if err != nil {
			return err
		}
		said = append(said, what)
	}
	if !rep.Changed {
		if changed, err := r.changeAgain(ctx, hashes, files); err != nil || !changed {
			return err
		}
	}
	return r.harm(ctx, rep, hashes, files)
}

// goOn goes on with the change of a journal in some way, where it has one, and gives what came of it.
func (r *run) goOn(ctx context.Context, file, journal, way string) (said string, err error) {
	if c, err := r.journal(journal); err != nil || c == nil {
		return fmt.Sprintf("%s: nothing begun, %v", journal, err), nil
	}
	e, err := r.coordinate(ctx, 0, r.flags(file, journal, way)...)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %s: exit %d: %s", journal, way, e.code, e.said[max(len(e.said)-1500, 0):]), nil
}

// changeAgain makes the change without faults.
func (r *run) changeAgain(ctx context.Context, hashes map[kind][]string, files map[kind]string) (changed bool, err error) {
	e, err := r.coordinate(ctx, 0, r.flags(files[after], "journal", "--unjudged", "--bake", "100ms", "--bake-most", "5s")...)
	if err != nil {
		return false, err
	}
	if err := r.generations("journal"); err != nil {
		return false, err
	}
	if k, one, told := r.state(ctx, hashes); e.code != exitDone || !one || k != after {
		r.notes.Wrong("without faults the change ends with %d:%s: %s", e.code, told, e.said[max(len(e.said)-1500, 0):])
		return false, nil
	}
	return true, nil
}

// harm begins a harmful change, which has to be stopped and taken back, and counts the members that it reached.
func (r *run) harm(ctx context.Context, rep *Report, hashes map[kind][]string, files map[kind]string) error {
	for _, h := range hashes[harmful] {
		r.notes.WantGeneration(h)
	}
	r.failsNow.Store(true)
	begun := time.Now()
	e, err := r.coordinate(ctx, 0, r.flags(files[harmful], "harmful", "--bake", r.o.Bake.String(), "--bake-most", "40s")...)
	if err != nil {
		return err
	}
	rep.HarmedTook = time.Since(begun)
	if k, one, told := r.state(ctx, hashes); e.code != exitBack || !one || k != after || !strings.Contains(e.said, "1 taken back") {
		r.notes.Wrong("a harmful change ends with %d:%s: %s", e.code, told, e.said[max(len(e.said)-1500, 0):])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := make(map[string]bool)
	for _, l := range r.looks {
		if slices.Contains(hashes[harmful], l.Hash) {
			reached[l.Member] = true
		}
	}
	rep.HarmedAt = len(reached)
	return nil
}

// serve waits until each node answers a query and a write well.
func (r *run) serve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, backWithin)
	defer cancel()
	for i := range r.nodes() {
		c := r.client(i, 1000+int(time.Since(r.began)/time.Millisecond)) // with ids of its own
		defer c.leave()
		for well := make(map[string]bool); len(well) < 2; {
			q := c.draw()
			if q.customer == "" && q.path != "/list" && !well[q.path] && c.once(q) == 200 {
				well[q.path] = true
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s serves only %v: %w; %s", member(i), well, ctx.Err(), r.ground.tail(i))
			}
		}
	}
	return nil
}

// watch asks a member what it is, beside all links, until ctx ends.
func (r *run) watch(ctx context.Context, i int) {
	c := manage.Client{Path: r.ground.socket(i)}
	for ctx.Err() == nil {
		within, cancel := context.WithTimeout(ctx, askWithin)
		from := time.Since(r.began)
		s, err := c.Status(within)
		to := time.Since(r.began)
		cancel()
		if err == nil {
			r.notes.Reported(member(i), s.ConfigHash)
			r.mu.Lock()
			if len(r.looks) < looksMost {
				r.looks = append(r.looks, Look{member(i), from, to, s.PID, s.Generation, s.ConfigHash, s.Epoch, s.Owner})
			}
			r.mu.Unlock()
		}
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
		}
	}
}

// judge holds all that was noted to the rules.
func (r *run) judge(rep *Report) {
	for i, p := range r.ground.procs {
		if !p.Runs() {
			r.notes.Wrong("%s has ended by itself: %v; %s", member(i), p.Wait(), r.ground.tail(i))
		}
	}
	for _, g := range r.gens {
		rep.Phases = max(rep.Phases, len(g)-1)
	}
	wrong := append(Neighbours(r.looks, r.gens), Owners(r.looks)...)
	owners := make(map[uint64]string)
	for _, l := range r.looks {
		if l.Epoch > 0 {
			owners[l.Epoch] = l.Owner
		}
	}
	for i, p := range r.ground.procs {
		raw, err := os.ReadFile(p.Log)
		if err != nil {
			r.notes.Wrong("%s: %v", member(i), err)
		}
		var g Log
		g.Read(member(i), string(raw), owners)
		wrong = append(wrong, g.Wrong...)
		rep.Orders += g.Orders
	}
	for _, c := range customers {
		at := slices.Clone(r.sent.at[c])
		slices.Sort(at)
		rep.Metered += len(at)
		// The change passes between the two; the larger holds for all. A store starts with its burst at most.
		beyond := Beyond(at, unitsHigh, unitsHigh)
		if rep.Beyond = max(rep.Beyond, beyond); beyond > float64(slack(r.nodes())) {
			wrong = append(wrong, fmt.Sprintf("customer %s: %.1f requests beyond its ceiling", c, beyond))
		}
	}
	rep.Wrong = append(wrong, r.notes.Check(func(why string) bool { return !strings.HasPrefix(why, "unexplained") })...)
	rep.Requests, _ = r.notes.Counts()
	rep.Effects = r.notes.Effects()
	rep.Served, rep.Gathered, rep.Partial, rep.Harmed = r.status[200], r.gathered, r.partial, r.harmed
	for s, n := range r.status {
		_ = s
		rep.Broken += n
	}
	rep.Broken = rep.Requests - rep.Broken
	rep.Killed, rep.Decisions, rep.Kills, rep.Owned, rep.Looks = r.coordinatorsKilled, r.decisions, r.ground.kills, len(owners), len(r.looks)
	rep.Took = time.Since(r.began)
}

// slack is what ceilings may be passed by, in requests: an account that is drawn on at several instances at
// once is counted in parts, of which each may be rounded up.
func slack(nodes int) int { return nodes }
