package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"

	"lockflow/internal/fleet"
	"lockflow/internal/fleetfile"
	"lockflow/internal/rollout"
)

// runOnRegions runs an operation on all members of a fleet file.
func (f *fleetFlags) runOnRegions(ctx context.Context, e *Env, operation string) error {
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
	switch operation {
	case "status":
		return f.status(ctx, e, members)
	case "drain", "serve":
		return f.setDrained(ctx, e, members, operation == "drain")
	case "upgrade":
		return f.startChange(ctx, e, operation, placed, nil)
	case "reload":
		return f.reloadRegions(ctx, e, file, placed)
	}
	return usageError("fleet: there is no %q: run, status, reload, upgrade, drain, serve", operation)
}

// reloadRegions starts a change to the settings of a fleet file, or resumes one.
func (f *fleetFlags) reloadRegions(ctx context.Context, e *Env, file fleetfile.File, members []fleet.PlacedMember) error {
	const operation = "reload"
	if f.config != "" {
		return usageError("fleet reload takes only one of --config and --fleet: the regions of a fleet file name their configurations")
	}
	if f.resume || f.rollBack { // the rollout log has the change
		return f.startChange(ctx, e, operation, members, nil)
	}
	planned, order, err := fleet.PlanRegions(ctx, file, time.Now())
	var conflict *fleet.ConflictError
	if errors.As(err, &conflict) {
		fmt.Fprintln(e.Err, conflict.Error())
		return errReported
	}
	if err != nil {
		return err
	}
	return f.startChange(ctx, e, operation, planned, order)
}

// startChange starts a change of the settings or, for upgrade, of the program of a fleet, or resumes the unfinished
// change. order lists the regions of each phase; nil is a fleet of one region.
func (f *fleetFlags) startChange(ctx context.Context, e *Env, operation string, members []fleet.PlacedMember, order [][]string) error {
	log, err := fleet.OpenRolloutLog(f.logDirectory())
	if err != nil {
		return err
	}
	defer log.Close()
	if f.killAtWrite != 0 {
		log.OnWrite = f.killAt
	}
	unfinished := log.Unfinished()
	if f.resume || f.rollBack {
		if log.Change == nil {
			return fmt.Errorf("fleet %s: the rollout log %s holds no change to resume or roll back", operation, f.logDirectory())
		}
		return f.runRollout(ctx, e, log)
	}
	if unfinished != "" {
		return fmt.Errorf("fleet %s: the change of %s is unfinished (%s): resume it with --resume, or roll it back with --take-back", operation,
			log.Change.StartedAt.Format(time.DateTime), unfinished)
	}
	change, err := f.newChange(ctx, operation, members, order, log)
	if errors.Is(err, fleet.ErrUnchanged) {
		return f.reloadUnchanged(ctx, e, members)
	}
	if err != nil {
		return err
	}
	if unrecoverable := change.MembersWithoutOldSettings(); len(unrecoverable) > 0 {
		fmt.Fprintf(e.Err, "lockflow: what %s run is in no file any more: it can't be rolled back there\n", strings.Join(unrecoverable, ", "))
	}
	if err := log.Begin(change); err != nil {
		return err
	}
	return f.runRollout(ctx, e, log)
}

// newChange returns the change that the flags describe.
func (f *fleetFlags) newChange(ctx context.Context, operation string, members []fleet.PlacedMember, order [][]string, log *fleet.RolloutLog) (*fleet.Change, error) {
	plan := f.plan(f.timeout)
	plan.RegionOrder = order
	if operation == "upgrade" {
		return fleet.NewProgramChange(ctx, members, plan, f.program, f.logDirectory())
	}
	knownSettings := map[string]string{}
	if log.Change != nil {
		knownSettings = log.Change.Texts
	}
	return fleet.NewSettingsChange(ctx, members, plan, knownSettings)
}

// killAt kills this process before or after the write of the rollout log that --kill-at selects.
func (f *fleetFlags) killAt(number int, isWritten bool) {
	if isWritten && number == f.killAtWrite || !isWritten && number == -f.killAtWrite {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // can't fail: a process may always signal itself
		select {}                                      // wait for the signal, which is delivered asynchronously
	}
}

// reloadUnchanged makes members reload settings that have not changed, because files that the settings name, such as
// certificates, may have changed.
func (f *fleetFlags) reloadUnchanged(ctx context.Context, e *Env, members []fleet.PlacedMember) error {
	for _, m := range members {
		memberCtx, cancel := context.WithTimeout(ctx, f.timeout)
		status, err := m.Client.Status(memberCtx)
		if err == nil {
			err = (&fleet.Reload{}).Do(memberCtx, m.Member, status)
		}
		cancel()
		if err != nil {
			return fmt.Errorf("reloading unchanged settings of member %s: %w", m.Name, err)
		}
	}
	if !f.json {
		fmt.Fprintf(e.Out, "the settings are the same; %d read again\n", len(members))
		return nil
	}
	return json.NewEncoder(e.Out).Encode(map[string]any{"result": rollout.ResultDone, "why": "the settings are the same", "members": []string{}})
}

// runRollout runs the change of a rollout log, and prints its outcome.
func (f *fleetFlags) runRollout(ctx context.Context, e *Env, log *fleet.RolloutLog) error {
	options := fleet.RolloutOptions{Progress: e.Out, Resume: f.resume || f.rollBack, RollBack: f.rollBack}
	if f.json {
		options.Progress = e.Err
	}
	if log.Change.Plan.ReadinessSuffices {
		fmt.Fprintln(options.Progress, "unjudged: where too little is seen to judge by, readiness is enough")
	}
	outcome, err := fleet.RunRollout(ctx, log, options)
	if err != nil {
		return err
	}
	if f.json {
		if err := json.NewEncoder(e.Out).Encode(map[string]any{"result": outcome.Result, "why": outcome.Reason, "members": outcome.Members}); err != nil {
			return err
		}
	}
	isDone := outcome.Result == rollout.ResultDone
	switch {
	case isDone && !f.json:
		printOutcome(e.Out, &outcome)
	case !isDone:
		fmt.Fprintf(e.Err, "lockflow: %s: %s\n", outcome.Result, outcome.Reason)
		printOutcome(e.Err, &outcome)
	}
	switch {
	case isDone:
		return nil
	case outcome.Result == rollout.ResultRolledBack || !outcome.HasCommanded:
		return errReported
	}
	fmt.Fprintln(e.Err, "not all is rolled back: see `lockflow fleet status`, then --resume or --take-back")
	return errStuck
}

// printOutcome prints how many members are in each state.
func printOutcome(w io.Writer, outcome *fleet.Outcome) {
	counts := make(map[string]int)
	for _, m := range outcome.Members {
		counts[m.State]++
	}
	for _, state := range []string{"changed", "changing", "taken back", "untouched", "between", "not taken back", "away"} {
		if counts[state] > 0 {
			fmt.Fprintf(w, "%d %s\n", counts[state], state)
		}
	}
}
