package regiontrial

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lockflow/internal/trials/faultnet"
)

// flagsUnjudged are those of a change without canary analysis.
var flagsUnjudged = []string{"--unjudged", "--bake", "100ms", "--bake-most", "5s"}

// changeUnderFaults tries the conflicting change, which has to be rejected, and the valid one while the
// script's faults occur. The valid change's coordinator is killed twice; between, another one with a rollout
// log of its own is killed too.
func (r *run) changeUnderFaults(ctx context.Context, player *faultnet.Player, report *Report) error {
	// The intermediate settings are known once they are in a rollout log, before any command for them.
	for _, hash := range r.configs[newConfig].hashes {
		r.exchanges.WantGeneration(hash)
	}
	played := make(chan error, 1)
	go func() {
		_, err := player.Play(ctx)
		played <- err
	}()
	err := r.runCoordinators(ctx, report)
	if playErr := <-played; err == nil && playErr != nil {
		err = fmt.Errorf("playing the script: %w", playErr)
	}
	r.fixture.starts.Wait()
	for _, name := range []string{mainLog, secondLog} {
		err = errors.Join(err, r.recordGenerations(name))
	}
	return err
}

// runCoordinators runs the coordinators of the conflicting and of the valid change.
func (r *run) runCoordinators(ctx context.Context, report *Report) error {
	if err := r.checkRejected(ctx, r.configs[conflictingConfig].file); err != nil {
		return err
	}
	file := r.configs[newConfig].file
	result, err := r.startChange(ctx, file, 2+r.rng.IntN(12), flagsUnjudged...)
	if err != nil {
		return err
	}
	report.ExitCodes = append(report.ExitCodes, result.exitCode)
	resume := r.changeFlags(file, mainLog, "--resume")
	for _, coordinator := range []struct {
		killAfter int // decisions; 0 is never
		args      []string
	}{
		{2 + r.rng.IntN(12), r.changeFlags(file, secondLog, flagsUnjudged...)},
		{2 + r.rng.IntN(16), resume},
		{0, resume},
	} {
		if result, err = r.runCoordinator(ctx, coordinator.killAfter, coordinator.args...); err != nil {
			return err
		}
		report.ExitCodes = append(report.ExitCodes, result.exitCode)
		if !slices.Contains([]int{exitDone, exitRolledBack, exitStuck, killed}, result.exitCode) {
			r.exchanges.Wrong("a coordinator: exit %d: %s", result.exitCode, result.output)
		}
	}
	return nil
}

// recovery is one attempt to bring all members to one state after the faults.
type recovery struct{ rolloutLog, flag string }

// recoveries are tried in order. A member that the second coordinator left between two of its own
// generations runs what the first one's rollout log does not have: the first is then stuck, and the second
// one's log rolls the member back.
var recoveries = []recovery{
	{mainLog, "--resume"}, {secondLog, "--take-back"}, {mainLog, "--resume"}, {mainLog, "--take-back"},
}

// finishChange checks the end of the change, brings all members to the new settings, and tries the harmful
// change, which has to be stopped.
func (r *run) finishChange(ctx context.Context, report *Report) error {
	if err := r.awaitServing(ctx); err != nil {
		r.exchanges.Wrong("%v", err)
		return ctx.Err()
	}
	isUniform, err := r.recoverFleet(ctx, report)
	if err != nil || !isUniform {
		return err
	}
	if !report.ChangedUnderFaults {
		if isChanged, err := r.changeWithoutFaults(ctx); err != nil || !isChanged {
			return err
		}
	}
	return r.changeHarmfully(ctx, report)
}

// recoverFleet runs coordinators until all members run the old or all the new settings; false if they don't.
func (r *run) recoverFleet(ctx context.Context, report *Report) (isUniform bool, err error) {
	lastExit := report.ExitCodes[len(report.ExitCodes)-1]
	var outputs []string
	for tries := 0; ; tries++ {
		state := r.readFleetState(ctx, r.configs)
		isValid := state.isUniform && (state.kind == oldConfig || state.kind == newConfig)
		if isValid && (tries > 0 || lastExit != exitStuck) {
			report.ChangedUnderFaults = state.kind == newConfig
			report.CoordinatorsAfterFaults = tries
			if tries == 0 && lastExit == exitDone && !report.ChangedUnderFaults {
				r.exchanges.Wrong("the change ended with %v, and all run the old settings", report.ExitCodes)
			}
			return true, nil
		}
		if tries == 0 && lastExit != exitStuck {
			r.exchanges.Wrong("the change ended with %v, and members run different settings:%s", report.ExitCodes, state.text)
		}
		if tries == len(recoveries) {
			r.exchanges.Wrong("the members do not all come to one state:%s; %s", state.text, strings.Join(outputs, "\n"))
			return false, nil
		}
		output, err := r.tryRecovery(ctx, recoveries[tries])
		if err != nil {
			return false, err
		}
		outputs = append(outputs, output)
	}
}

// tryRecovery runs a coordinator for a rollout log that has a change, and returns its output.
func (r *run) tryRecovery(ctx context.Context, attempt recovery) (output string, err error) {
	if change, err := r.readRolloutLog(attempt.rolloutLog); err != nil || change == nil {
		return fmt.Sprintf("%s: nothing begun, %v", attempt.rolloutLog, err), nil
	}
	result, err := r.runCoordinator(ctx, 0, r.changeFlags(r.configs[newConfig].file, attempt.rolloutLog, attempt.flag)...)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %s: exit %d: %s", attempt.rolloutLog, attempt.flag, result.exitCode, result.lastOutput()), nil
}

// changeWithoutFaults makes the valid change, which has to complete.
func (r *run) changeWithoutFaults(ctx context.Context) (isChanged bool, err error) {
	result, err := r.runCoordinator(ctx, 0, r.changeFlags(r.configs[newConfig].file, mainLog, flagsUnjudged...)...)
	if err != nil {
		return false, err
	}
	if err := r.recordGenerations(mainLog); err != nil {
		return false, err
	}
	state := r.readFleetState(ctx, r.configs)
	if result.exitCode != exitDone || !state.isUniform || state.kind != newConfig {
		r.exchanges.Wrong("without faults the change ends with %d:%s: %s", result.exitCode, state.text, result.lastOutput())
		return false, nil
	}
	return true, nil
}

// changeHarmfully starts the harmful change, which has to be stopped and rolled back, and counts the members
// that it reached.
func (r *run) changeHarmfully(ctx context.Context, report *Report) error {
	hashes := r.configs[harmfulConfig].hashes
	for _, hash := range hashes {
		r.exchanges.WantGeneration(hash)
	}
	r.isHarmRunning.Store(true)
	startedAt := time.Now()
	args := r.changeFlags(r.configs[harmfulConfig].file, harmfulLog, "--bake", r.options.Bake.String(), "--bake-most", "40s")
	result, err := r.runCoordinator(ctx, 0, args...)
	if err != nil {
		return err
	}
	report.HarmDuration = time.Since(startedAt)
	state := r.readFleetState(ctx, r.configs)
	isRolledBack := result.exitCode == exitRolledBack && strings.Contains(result.output, "1 taken back")
	if !isRolledBack || !state.isUniform || state.kind != newConfig {
		r.exchanges.Wrong("a harmful change ends with %d:%s: %s", result.exitCode, state.text, result.lastOutput())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := make(map[string]bool)
	for _, read := range r.statusReads {
		if slices.Contains(hashes, read.Hash) {
			reached[read.Member] = true
		}
	}
	report.HarmedMembers = len(reached)
	return nil
}
