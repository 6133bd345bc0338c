package rollout

import (
	"fmt"
	"time"
)

// An epoch is a number that only grows, and each member grants it to one owner. A coordinator owns the fleet once a
// majority of the members has granted its epoch: an epoch has one owner at most, and what an owner commands is
// rejected by each member that has granted a newer epoch.

// maxClaimAttempts is how many epochs a coordinator claims before it leaves the members to another one.
const maxClaimAttempts = 6

func (r *Rollout) claimTimeout() time.Duration { return 2 * r.plan.MemberTimeout }

// claimOwnership claims an epoch until a majority has granted it, and then starts what the epoch is for.
func (r *Rollout) claimOwnership() {
	r.reason = "polls all members for their owner"
	for i := range r.members {
		if !r.members[i].isPolled {
			return // the epoch that it has granted is not known
		}
	}
	if r.now >= r.claimDeadline {
		r.endWithoutOwnership(fmt.Sprintf("only %d of %d members have granted epoch %d", r.grantCount(), len(r.members), r.epoch))
		return
	}
	if r.nextClaimAt > 0 && r.now < r.nextClaimAt {
		return
	}
	if r.isRollbackUnwritten {
		r.isRollbackUnwritten = false
		r.write(Entry{Kind: EntryRollback, Phase: r.phase, Reason: r.rollbackCause})
	}
	if r.claimAttempts == 0 || r.nextClaimAt > 0 {
		r.chooseEpoch()
	}
	r.claimMembers()
	r.reason = fmt.Sprintf("claims epoch %d: %d of %d members have granted it", r.epoch, r.grantCount(), len(r.members))
	// Every member that can reply has to, so that hardly any is left which an earlier owner could command.
	if !r.isAnyClaiming() && 2*r.grantCount() > len(r.members) {
		r.takeOwnership()
	}
}

// chooseEpoch chooses an epoch above all that were seen.
func (r *Rollout) chooseEpoch() {
	r.nextClaimAt = 0
	r.claimAttempts++
	r.epoch = max(r.epoch, r.newestEpoch) + 1
	r.newestEpoch = r.epoch
	r.write(Entry{Kind: EntryEpoch, Epoch: r.epoch, Owner: r.owner})
	intact := 0
	for i := range r.members {
		m := &r.members[i]
		m.hasGranted = false
		m.isClaiming = false
		if m.isServing && m.lossToken == "" {
			intact++
		}
	}
	r.isMajorityIntact = 2*intact > len(r.members)
}

func (r *Rollout) isAnyClaiming() bool {
	for i := range r.members {
		if r.members[i].isClaiming {
			return true
		}
	}
	return false
}

func (r *Rollout) takeOwnership() {
	r.hasOwned = true
	r.write(Entry{Kind: EntryOwned, Epoch: r.epoch, Owner: r.owner})
	r.stepStartedAt = r.now
	for i := range r.members {
		m := &r.members[i]
		if m.command != nil {
			m.command.sentAt = r.now
		}
		if m.isRestartDropped {
			m.isRestartDropped = false
			m.slotReservedUntil = r.now + r.plan.MemberTimeout
		}
	}
	r.state = stateForward
	if r.isRollbackWanted {
		r.state = stateRollback
	}
}

func (r *Rollout) grantCount() int {
	count := 0
	for i := range r.members {
		if r.members[i].hasGranted {
			count++
		}
	}
	return count
}

// claimMembers claims the members that have not granted the epoch, also those that were unavailable when it was
// chosen.
func (r *Rollout) claimMembers() {
	for i := range r.members {
		m := &r.members[i]
		if m.hasGranted || m.isClaiming {
			continue
		}
		switch {
		case !m.isServing || r.now < m.nextClaimAt:
		case m.lossToken != "" && !r.isMajorityIntact:
			// It may have granted a newer epoch, and too few other members would know of it.
		case m.lossToken != "" && m.lossReadEpoch >= r.epoch:
			if r.state != stateClaiming {
				r.claimNewEpoch()
				return
			}
		default:
			m.isClaiming = true
			r.emit(Claim{Member: i, Epoch: r.epoch, Owner: r.owner, LossToken: m.lossToken})
		}
	}
}

func (r *Rollout) handleClaimReplied(event ClaimReplied) {
	if !r.isMember(event.Member) || event.Epoch != r.epoch || !r.members[event.Member].isClaiming {
		return // of an earlier attempt
	}
	m := &r.members[event.Member]
	m.isClaiming = false
	m.nextClaimAt = r.now + retryInterval
	r.newestEpoch = max(r.newestEpoch, event.NewestEpoch)
	switch event.Reply {
	case ReplyOK:
		m.hasGranted = true
		m.lossToken = ""
		// A command of an older epoch may be running: the version that the member reported before is not certain.
		m.isVersionUnconfirmed = true
		m.lastReplyAt = r.now
	case ReplyUnsupported:
		r.endWithoutOwnership(fmt.Sprintf("member %s knows of no ownership: its program is older than staged changes", r.name(event.Member)))
	case ReplyStale:
		r.handleStaleClaim(event)
	case ReplyUngranted: // it has lost its state, and its next status has the token
	case ReplyUnknown, ReplyFailed: // it is claimed again
	}
}

// handleStaleClaim ends a coordinator that has owned the fleet. Another claims a newer epoch, after a random time, so
// that two coordinators do not meet again.
func (r *Rollout) handleStaleClaim(event ClaimReplied) {
	if r.hasOwned {
		r.supersede(event.Member, max(event.NewestEpoch, r.epoch))
		return
	}
	if r.claimAttempts >= maxClaimAttempts {
		r.endWithoutOwnership("another coordinator claims the members too")
		return
	}
	if r.nextClaimAt == 0 {
		maxBackoff := int64(retryInterval) << r.claimAttempts
		r.nextClaimAt = r.now + 1 + time.Duration(r.rng.Int64N(maxBackoff))
	}
}

// endWithoutOwnership ends a coordinator that can't own the fleet, and so may command nothing.
func (r *Rollout) endWithoutOwnership(reason string) {
	if r.hasCommanded {
		r.end(ResultStuck, reason+"; what was changed stays so")
		return
	}
	r.end(ResultRefused, reason+"; nothing was changed")
}

// claimNewEpoch leaves the epoch for a newer one. Commands of this one that still run are rejected by each member
// that has granted the new one, and sent again under it where they are still wanted.
func (r *Rollout) claimNewEpoch() {
	r.reason = "claims a new epoch"
	r.state = stateClaiming
	r.claimAttempts = 0
	r.nextClaimAt = 0
	r.claimDeadline = r.now + r.claimTimeout()
	for i := range r.members {
		m := &r.members[i]
		m.hasGranted = false
		m.isClaiming = false
		m.nextClaimAt = 0
		m.mayHaveDuplicates = false
		if m.command != nil {
			m.command.awaitsReply = false
			m.command.isReplyLost = true
			m.command.retryAt = 0
		}
	}
}

// fence claims a new epoch before a member gets another command while a copy of its last one may still arrive: a
// member remembers only the last command that it ran, and would run that copy after the next one. It reports whether
// it had to.
func (r *Rollout) fence(i int) bool {
	if !r.members[i].mayHaveDuplicates {
		return false
	}
	r.claimNewEpoch()
	return true
}
