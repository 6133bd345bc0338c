package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Resume makes a coordinator of a change that another has begun, from what that has written. What the
// members run is not taken from there: they say it themselves. takeBack takes all back, whatever it was at.
func Resume(p Plan, owner string, rng *rand.Rand, entries []Entry, takeBack bool) (*Rollout, error) {
	r, err := New(p, owner, rng)
	if err != nil {
		return nil, err
	}
	index := make(map[string]int, len(p.Members))
	for i, m := range p.Members {
		index[m.Name] = i
	}
	for n, e := range entries {
		if err := r.replay(e, index); err != nil {
			return nil, fmt.Errorf("entry %d of the journal, %s: %w", n+1, e.Kind, err)
		}
	}
	if r.result == ResultDone || r.result == ResultRolledBack || r.result == ResultRefused {
		return nil, fmt.Errorf("the change is over: %s: %s", r.result, r.reason)
	}
	if takeBack && !r.isRollbackWanted {
		r.isRollbackWanted, r.rollbackGeneration = true, r.phase-1
		r.rollbackCause, r.isRollbackUnwritten = "taken back by the owner", true
	}
	r.result, r.reason = "", ""
	for i := range r.members {
		m := &r.members[i]
		if m.command == nil {
			continue
		}
		// What was under way is asked again under its id, where it is still wanted.
		m.command.isReplyLost = true
		if wanted := r.phase; m.command.isRestart || r.isRollbackWanted && m.command.generation != r.rollbackGeneration || !r.isRollbackWanted && m.command.generation != wanted {
			m.isSuspect, m.isRestartDropped = m.isSuspect || !m.command.isRestart, m.command.isRestart
			m.command = nil
		}
	}
	return r, nil
}

// giveUpOrders gives up what was ordered, with the epoch of who did.
func (r *Rollout) giveUpOrders() {
	for i := range r.members {
		if m := &r.members[i]; m.command != nil {
			m.isSuspect, m.isRestartDropped, m.command = m.isSuspect || !m.command.isRestart, m.command.isRestart, nil
		}
	}
}

// replay takes one entry of the log, as it was written.
func (r *Rollout) replay(e Entry, index map[string]int) error {
	member := func() (*member, error) {
		i, ok := index[e.Member]
		if !ok {
			return nil, fmt.Errorf("there is no member %q in its plan", e.Member)
		}
		return &r.members[i], nil
	}
	switch e.Kind {
	case EntryEpoch:
		r.newestEpoch = max(r.newestEpoch, e.Epoch)
	case EntryStage:
		if e.Phase < 1 || e.Phase > len(r.phases) || e.Stage < 1 || e.Stage > len(r.phases[e.Phase-1].stages) {
			return fmt.Errorf("there is no stage %d of phase %d in its plan", e.Stage, e.Phase)
		}
		r.isPhaseKnown, r.phase, r.stage = true, e.Phase, e.Stage-1
	case EntryOrder:
		m, err := member()
		if err != nil {
			return err
		}
		if e.Generation < 0 || e.Generation > len(r.phases) || e.ID == "" {
			return errors.New("the order is none")
		}
		m.command = &command{id: e.ID, generation: e.Generation, isRestart: e.IsRestart}
		r.hasCommanded = true
	case EntryOutcome:
		m, err := member()
		if err != nil {
			return err
		}
		if m.command != nil && m.command.id == e.ID {
			m.command, m.isSuspect = nil, m.isSuspect && e.Outcome != outcomeDone
		}
	case EntryRollback:
		r.isRollbackWanted, r.rollbackCause, r.rollbackGeneration = true, e.Reason, r.phase-1
		r.giveUpOrders()
	case EntryRollbackPhase:
		if e.Generation < 0 || e.Generation >= len(r.phases) {
			return fmt.Errorf("there is no generation %d in its plan", e.Generation)
		}
		r.rollbackGeneration = e.Generation
	case EntryAbandoned:
		if _, err := member(); err != nil {
			return err
		}
	case EntryEnd:
		r.result, r.reason = Result(e.Outcome), e.Reason
	case EntryOwned, EntryBake, EntryVerdict:
	default:
		return errors.New("it is of no known kind")
	}
	return nil
}
