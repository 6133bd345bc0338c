package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"lockflow/internal/fleet"
	"lockflow/internal/fleetfile"
	"lockflow/internal/rollout"
)

// errStuck is a change that was stopped and not wholly taken back; all has been printed.
var errStuck = errors.New("stuck")

// rolloutFlags are the flags of what changes a fleet.
type rolloutFlags struct {
	stages, journal       string
	batch, atOnce, killAt int
	bake, bakeMost, pause time.Duration
	resume, takeBack      bool
	stay, unjudged        bool
}

func (f *rolloutFlags) flags(set flags) {
	set.StringVar(&f.stages, "stages", "1, 10%, 50%, 100%", "reload, upgrade: `LIST` of the parts that have changed at the end of each stage")
	set.DurationVar(&f.bake, "bake", time.Minute, "reload, upgrade: `TIME` at least that a stage is watched")
	set.DurationVar(&f.bakeMost, "bake-most", 30*time.Minute, "reload, upgrade: `TIME` at most; a stage that has shown too little by then stops the change")
	set.IntVar(&f.atOnce, "at-once", 0, "reload, upgrade: `N` members that change at once at most; 0 is the root of all")
	set.BoolVar(&f.unjudged, "unjudged", false, "reload, upgrade: where too little is seen to judge by, readiness is enough")
	set.BoolVar(&f.resume, "resume", false, "reload, upgrade: goes on with the unfinished change of the journal")
	set.BoolVar(&f.takeBack, "take-back", false, "reload, upgrade: takes the unfinished change of the journal back")
	set.StringVar(&f.journal, "journal", "", "`DIR` of what was decided; DIR/rollout or FILE.rollout if it is not given")
	set.IntVar(&f.batch, "batch", 0, "reload, upgrade: the same as at-once")
	set.DurationVar(&f.pause, "pause", 0, "reload, upgrade: the same as bake")
	set.IntVar(&f.killAt, "kill-at", 0, "is for tests: the coordinator kills itself after write `N` of its journal, or before write -N")
	_ = set.MarkHidden("kill-at") // fails for a flag that is not there alone
	set.BoolVar(&f.stay, "no-rollback", false, "reload, upgrade: leaves what was changed where it does worse or fails")
}

func (f *rolloutFlags) check() error {
	if f.batch > 0 {
		f.atOnce = f.batch
	}
	if f.pause > 0 {
		f.bake = f.pause
	}
	switch {
	case f.atOnce < 0 || f.batch < 0 || f.pause < 0:
		return usage("fleet: at-once, batch and pause: %d, %d and %v are off", f.atOnce, f.batch, f.pause)
	case f.bake <= 0 || f.bakeMost < f.bake:
		return usage("fleet: bake and bake-most: %v and %v are off", f.bake, f.bakeMost)
	case f.resume && f.takeBack:
		return usage("fleet: one of resume and take-back")
	}
	if _, err := rollout.ParseStages(f.stages); err != nil {
		return usage("fleet: %v", err)
	}
	return nil
}

func (f *rolloutFlags) plan(away time.Duration) rollout.Plan {
	stages, _ := rollout.ParseStages(f.stages)
	return rollout.Plan{Stages: stages, MaxUnavailable: f.atOnce, MinBake: f.bake, MaxBake: f.bakeMost, MemberTimeout: away, ReadinessSuffices: f.unjudged, DisableRollback: f.stay}
}

// journalDir is where what is decided about a fleet is kept.
func (f *fleetFlags) journalDir() string {
	switch {
	case f.journal != "":
		return f.journal
	case f.dir != "":
		return filepath.Join(f.dir, "rollout")
	}
	return f.sockets + f.file + ".rollout"
}

func count(all ...string) (n int) {
	for _, s := range all {
		if s != "" {
			n++
		}
	}
	return n
}

// overRegions does something with all members that a fleet file names.
func (f *fleetFlags) overRegions(ctx context.Context, e *Env, what string) error {
	file, err := fleetfile.Load(f.file)
	if err != nil {
		return err
	}
	placed, err := fleet.MembersInRegions(file)
	if err != nil {
		return err
	}
	members := make([]fleet.Member, len(placed))
	for i, m := range placed {
		members[i] = m.Member
	}
	switch what {
	case "status":
		return f.status(ctx, e, members)
	case "drain", "serve":
		return f.rest(ctx, e, members, what == "drain")
	case "upgrade":
		return f.change(ctx, e, what, placed, nil)
	case "reload":
		if f.config != "" {
			return usage("fleet reload takes one of --config and --fleet, whose regions name theirs")
		}
		if f.resume || f.takeBack { // the journal knows
			return f.change(ctx, e, what, placed, nil)
		}
		placed, order, err := fleet.PlanRegions(ctx, file, time.Now())
		var c *fleet.ConflictError
		if errors.As(err, &c) {
			fmt.Fprintln(e.Err, c.Error())
			return errTold
		}
		if err != nil {
			return err
		}
		return f.change(ctx, e, what, placed, order)
	}
	return usage("fleet: there is no %q: run, status, reload, upgrade, drain, serve", what)
}

// change has a change of settings or of the program go over a fleet.
func (f *fleetFlags) change(ctx context.Context, e *Env, what string, members []fleet.Placed, order [][]string) error {
	j, err := fleet.OpenRolloutLog(f.journalDir())
	if err != nil {
		return err
	}
	defer j.Close()
	if f.killAt != 0 {
		j.OnWrite = func(n int, kept bool) {
			if kept && n == f.killAt || !kept && n == -f.killAt {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // of itself: it can't fail
				select {}                                      // it comes at once, but not to this line
			}
		}
	}
	at := j.Unfinished()
	if f.resume || f.takeBack {
		if j.Change == nil {
			return fmt.Errorf("fleet %s: the journal %s holds no change", what, f.journalDir())
		}
		return f.carry(ctx, e, j)
	}
	if at != "" {
		return fmt.Errorf("fleet %s: the change of %s is unfinished, %s: go on with --resume, or back with --take-back", what,
			j.Change.StartedAt.Format(time.DateTime), at)
	}
	p := f.plan(f.within)
	p.RegionOrder = order
	var c *fleet.Change
	if what == "upgrade" {
		c, err = fleet.NewProgramChange(ctx, members, p, f.program, f.journalDir())
	} else {
		known := map[string]string{}
		if j.Change != nil {
			known = j.Change.Texts
		}
		c, err = fleet.NewSettingsChange(ctx, members, p, known)
	}
	if errors.Is(err, fleet.ErrUnchanged) {
		return f.again(ctx, e, members)
	}
	if err != nil {
		return err
	}
	if u := c.MembersWithoutOldSettings(); len(u) > 0 {
		fmt.Fprintf(e.Err, "lockflow: what %s run is in no file any more: it can't be taken back there\n", strings.Join(u, ", "))
	}
	if err := j.Begin(c); err != nil {
		return err
	}
	return f.carry(ctx, e, j)
}

// again has members read files anew that have not changed: certificates may have.
func (f *fleetFlags) again(ctx context.Context, e *Env, members []fleet.Placed) error {
	for _, m := range members {
		within, cancel := context.WithTimeout(ctx, f.within)
		s, err := m.Client.Status(within)
		if err == nil {
			err = (&fleet.Reload{}).Do(within, m.Member, s)
		}
		cancel()
		if err != nil {
			return fmt.Errorf("member %s: %w", m.Name, err)
		}
	}
	if !f.json {
		fmt.Fprintf(e.Out, "the settings are the same; %d read again\n", len(members))
		return nil
	}
	return json.NewEncoder(e.Out).Encode(map[string]any{"result": rollout.ResultDone, "why": "the settings are the same", "members": []string{}})
}

// carry carries a journal's change out, and tells how it ended.
func (f *fleetFlags) carry(ctx context.Context, e *Env, j *fleet.RolloutLog) error {
	w := fleet.RolloutOptions{Progress: e.Out, Resume: f.resume || f.takeBack, RollBack: f.takeBack}
	if f.json {
		w.Progress = e.Err
	}
	if j.Change.Plan.ReadinessSuffices {
		fmt.Fprintln(w.Progress, "unjudged: where too little is seen to judge by, readiness is enough")
	}
	out, err := fleet.RunRollout(ctx, j, w)
	if err != nil {
		return err
	}
	if f.json {
		if err := json.NewEncoder(e.Out).Encode(map[string]any{"result": out.Result, "why": out.Reason, "members": out.Members}); err != nil {
			return err
		}
	}
	counts := make(map[string]int)
	for _, m := range out.Members {
		counts[m.State]++
	}
	tell := e.Err
	if out.Result == rollout.ResultDone {
		tell = e.Out
	}
	if !f.json || out.Result != rollout.ResultDone {
		if out.Result != rollout.ResultDone {
			fmt.Fprintf(tell, "lockflow: %s: %s\n", out.Result, out.Reason)
		}
		for _, s := range []string{"changed", "changing", "taken back", "untouched", "between", "not taken back", "away"} {
			if counts[s] > 0 {
				fmt.Fprintf(tell, "%d %s\n", counts[s], s)
			}
		}
	}
	switch {
	case out.Result == rollout.ResultDone:
		return nil
	case out.Result == rollout.ResultRolledBack || !out.HasCommanded:
		return errTold
	}
	fmt.Fprintln(tell, "not all is taken back: see `lockflow fleet status`, then --resume or --take-back")
	return errStuck
}

// rollouts prints what the journal tells of the last change, where there is one.
func printProgress(w io.Writer, p *fleet.Progress) {
	fmt.Fprintf(w, "\nchange of %s, begun %s: %s", p.Kind, p.StartedAt.Format(time.DateTime), p.State)
	if p.Stages > 0 {
		fmt.Fprintf(w, ", stage %d of %d", p.Stage, p.Stages)
	}
	if p.Phases > 1 {
		fmt.Fprintf(w, " of phase %d of %d", p.Phase, p.Phases)
	}
	fmt.Fprintf(w, ", epoch %d\n", p.Epoch)
	for _, line := range [][2]string{{"why", p.Reason}, {"cause", p.RollbackCause}, {"judge", strings.TrimSpace(p.Verdict + " " + p.VerdictReason)}} {
		if line[1] != "" {
			fmt.Fprintf(w, "  %s: %s\n", line[0], line[1])
		}
	}
	if len(p.Measures) > 0 {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  measure\told\tnew\tnew - old\tharm from\t")
		for _, m := range p.Measures {
			word := ""
			if m.IsWorse {
				word = "worse"
			} else if !m.IsEnough {
				word = "too little"
			}
			fmt.Fprintf(t, "  %s\t%s\t%s\t%s to %s\t%.3g\t%s\n", m.Name, number(m.Old), number(m.New), number(m.Low), number(m.High), m.Margin, word)
		}
		t.Flush()
	}
	counts := make(map[string]int)
	for _, m := range p.Members {
		counts[m.State]++
		if m.State == "not taken back" || m.State == "between" || m.State == "away" {
			fmt.Fprintf(w, "  %s: %s, runs %.12s\n", m.Member, m.State, m.Version)
		}
	}
	for _, s := range []string{"changed", "changing", "taken back", "untouched"} {
		if counts[s] > 0 {
			fmt.Fprintf(w, "  %d %s\n", counts[s], s)
		}
	}
}

func number(v *float64) string {
	if v == nil {
		return "?"
	}
	return fmt.Sprintf("%.4g", *v)
}

// progress reads the journal of the fleet; a journal that can't be read is told and no reason to say nothing else.
func (f *fleetFlags) progress(e *Env) *fleet.Progress {
	p, err := fleet.ReadProgress(f.journalDir())
	if err != nil {
		fmt.Fprintf(e.Err, "lockflow: %v\n", err)
	}
	if _, statErr := os.Stat(f.journalDir()); statErr != nil {
		return nil
	}
	return p
}
