package rollout

import (
	"fmt"
	"time"
)

// Ownership: an epoch is a number that only grows, granted by each member to one owner. Whoever holds more
// than half of all members owns the fleet, so an epoch has one owner at most; what it then orders is refused
// by each member that has granted a newer one.

// claimOwnership claims an epoch of all members until more than half have granted it.
func (r *Rollout) claimOwnership() {
	r.reason = "asks all members who owns them"
	for i := range r.members {
		if !r.members[i].isPolled {
			return // their epochs are not known
		}
	}
	if r.now >= r.claimDeadline {
		r.endUnowned(fmt.Sprintf("only %d of %d members have granted epoch %d", r.grantCount(), len(r.members), r.epoch))
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
		r.nextClaimAt = 0
		r.claimAttempts++
		r.epoch = max(r.epoch, r.newestEpoch) + 1
		r.newestEpoch = r.epoch
		r.write(Entry{Kind: EntryEpoch, Epoch: r.epoch, Owner: r.owner})
		known := 0
		for i := range r.members {
			m := &r.members[i]
			m.hasGranted, m.isClaiming = false, false
			if m.isServing && m.lossToken == "" {
				known++
			}
		}
		r.isMajorityIntact = 2*known > len(r.members)
	}
	r.claimMembers()
	claiming := false
	for i := range r.members {
		claiming = claiming || r.members[i].isClaiming
	}
	r.reason = fmt.Sprintf("claims epoch %d: %d of %d members have granted it", r.epoch, r.grantCount(), len(r.members))
	// All that can answer have, so that an owner before it can order hardly anyone any more.
	if claiming || 2*r.grantCount() <= len(r.members) {
		return
	}
	r.hasOwned = true
	r.write(Entry{Kind: EntryOwned, Epoch: r.epoch, Owner: r.owner})
	r.stepStartedAt = r.now
	for i := range r.members {
		m := &r.members[i]
		if m.command != nil {
			m.command.sentAt = r.now
		}
		if m.isRestartDropped {
			m.isRestartDropped, m.slotReservedUntil = false, r.now+r.plan.MemberTimeout
		}
	}
	if r.isRollbackWanted {
		r.state = stateRollback
		return
	}
	r.state = stateForward
}

func (r *Rollout) grantCount() (n int) {
	for i := range r.members {
		if r.members[i].hasGranted {
			n++
		}
	}
	return n
}

// claimMembers claims members that have not granted the epoch, also those that were away when it was claimed.
func (r *Rollout) claimMembers() {
	for i := range r.members {
		m := &r.members[i]
		switch {
		case !m.isServing || m.hasGranted || m.isClaiming || r.now < m.nextClaimAt:
		case m.lossToken != "" && !r.isMajorityIntact: // it may have granted a newer one, and too few others can tell
		case m.lossToken != "" && m.lossSeenEpoch >= r.epoch:
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

func (r *Rollout) handleClaimReplied(e ClaimReplied) {
	if !r.isMember(e.Member) || e.Epoch != r.epoch || !r.members[e.Member].isClaiming {
		return // of an earlier try
	}
	m := &r.members[e.Member]
	m.isClaiming, m.nextClaimAt = false, r.now+retryInterval
	r.newestEpoch = max(r.newestEpoch, e.NewestEpoch)
	switch e.Reply {
	case ReplyOK:
		m.hasGranted, m.lossToken = true, ""
		m.isUnsettled, m.lastReplyAt = true, r.now // what it ran before says nothing: an older order may have been under way
	case ReplyUngranted: // it has lost what it granted: its token comes with what it says next
	case ReplyUnsupported:
		r.endUnowned(fmt.Sprintf("member %s knows of no ownership: it runs a program older than staged changes", r.plan.Members[e.Member].Name))
	case ReplyStale:
		if r.hasOwned {
			r.supersede(e.Member, max(e.NewestEpoch, r.epoch))
			return
		}
		// Nobody is owner yet: a number above all, after a while of chance, so that two don't meet again.
		if r.claimAttempts >= maxClaimAttempts {
			r.endUnowned("another coordinator claims the members too")
			return
		}
		if r.nextClaimAt == 0 {
			r.nextClaimAt = r.now + 1 + time.Duration(r.rng.Int64N(int64(retryInterval)<<r.claimAttempts))
		}
	}
}

// endUnowned ends it: without ownership nothing is ordered.
func (r *Rollout) endUnowned(why string) {
	if r.hasCommanded {
		r.end(ResultStuck, why+"; what was changed stays so")
		return
	}
	r.end(ResultRefused, why+"; nothing was changed")
}

// claimNewEpoch claims a new epoch: what was ordered under this one and is still under way is refused from then on
// by whoever has granted the new one, and asked again under it where it is still wanted.
func (r *Rollout) claimNewEpoch() {
	r.reason = "claims a new epoch"
	r.state, r.claimAttempts, r.nextClaimAt, r.claimDeadline = stateClaiming, 0, 0, r.now+2*r.plan.MemberTimeout
	for i := range r.members {
		m := &r.members[i]
		m.hasGranted, m.isClaiming, m.nextClaimAt, m.mayHaveCopies = false, false, 0, false
		if m.command != nil {
			m.command.awaitsReply, m.command.isReplyLost, m.command.retryAt = false, true, 0
		}
	}
}

// fence claims a new epoch before a member is given another order, where a copy of the last one may still
// lie somewhere: a member knows only the last order that it did, and would do that copy after the next. It
// tells whether it had to.
func (r *Rollout) fence(i int) bool {
	if !r.members[i].mayHaveCopies {
		return false
	}
	r.claimNewEpoch()
	return true
}
