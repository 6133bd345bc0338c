package command

import (
	"path/filepath"
	"time"

	"lockflow/internal/rollout"
)

// rolloutFlags holds the flags of a staged change.
type rolloutFlags struct {
	stages            string
	logDir            string // directory of the rollout log; "" selects the default of logDirectory
	maxUnavailable    int
	minBake           time.Duration
	maxBake           time.Duration
	readinessSuffices bool
	disableRollback   bool
	resume            bool
	rollBack          bool
	killAtWrite       int // for tests: kill the coordinator after this write of the rollout log, or before it if negative

	// Values of --batch and --pause, which are older names of the flags for maxUnavailable and minBake.
	batch int
	pause time.Duration
}

// addFlags declares the flags with their defaults.
func (f *rolloutFlags) addFlags(set flags) {
	set.StringVar(&f.stages, "stages", "1, 10%, 50%, 100%", "reload, upgrade: `LIST` of the parts that have changed at the end of each stage")
	set.DurationVar(&f.minBake, "bake", time.Minute, "reload, upgrade: `TIME` at least that a stage is watched")
	set.DurationVar(&f.maxBake, "bake-most", 30*time.Minute, "reload, upgrade: `TIME` at most; a stage that has shown too little by then stops the change")
	set.IntVar(&f.maxUnavailable, "at-once", 0, "reload, upgrade: `N` members that change at once at most; 0 is the root of all")
	set.BoolVar(&f.readinessSuffices, "unjudged", false, "reload, upgrade: where too little is seen to judge by, readiness is enough")
	set.BoolVar(&f.resume, "resume", false, "reload, upgrade: goes on with the unfinished change of the journal")
	set.BoolVar(&f.rollBack, "take-back", false, "reload, upgrade: takes the unfinished change of the journal back")
	set.StringVar(&f.logDir, "journal", "", "`DIR` of what was decided; DIR/rollout or FILE.rollout if it is not given")
	set.IntVar(&f.batch, "batch", 0, "reload, upgrade: the same as at-once")
	set.DurationVar(&f.pause, "pause", 0, "reload, upgrade: the same as bake")
	set.IntVar(&f.killAtWrite, "kill-at", 0, "is for tests: the coordinator kills itself after write `N` of its journal, or before write -N")
	_ = set.MarkHidden("kill-at") // fails only for an undeclared flag
	set.BoolVar(&f.disableRollback, "no-rollback", false, "reload, upgrade: leaves what was changed where it does worse or fails")
}

// check applies the deprecated flags, and returns a usage error for flags that are out of range or contradict each other.
func (f *rolloutFlags) check() error {
	if f.batch > 0 {
		f.maxUnavailable = f.batch
	}
	if f.pause > 0 {
		f.minBake = f.pause
	}
	switch {
	case f.maxUnavailable < 0 || f.batch < 0 || f.pause < 0:
		return usageError("fleet: at-once, batch and pause: one of %d, %d and %v is negative", f.maxUnavailable, f.batch, f.pause)
	case f.minBake <= 0 || f.maxBake < f.minBake:
		return usageError("fleet: bake and bake-most: %v must be above 0, and %v no less", f.minBake, f.maxBake)
	case f.resume && f.rollBack:
		return usageError("fleet: resume and take-back exclude each other")
	}
	if _, err := rollout.ParseStages(f.stages); err != nil {
		return usageError("fleet: %v", err)
	}
	return nil
}

// plan returns a rollout plan without members by the flags. check must have accepted the flags.
func (f *rolloutFlags) plan(memberTimeout time.Duration) rollout.Plan {
	stages, _ := rollout.ParseStages(f.stages)
	return rollout.Plan{
		Stages:            stages,
		MaxUnavailable:    f.maxUnavailable,
		MinBake:           f.minBake,
		MaxBake:           f.maxBake,
		MemberTimeout:     memberTimeout,
		ReadinessSuffices: f.readinessSuffices,
		DisableRollback:   f.disableRollback,
	}
}

// logDirectory returns the directory of the fleet's rollout log.
func (f *fleetFlags) logDirectory() string {
	switch {
	case f.logDir != "":
		return f.logDir
	case f.dir != "":
		return filepath.Join(f.dir, "rollout")
	}
	return f.sockets + f.file + ".rollout"
}

// countSet returns the number of strings that are not empty.
func countSet(all ...string) (n int) {
	for _, s := range all {
		if s != "" {
			n++
		}
	}
	return n
}
