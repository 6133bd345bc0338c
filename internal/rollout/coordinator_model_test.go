package rollout

import "time"

// coordinator is one of the model's: a decider with its journal, which may end at any of its writes.
type coordinator struct {
	model              *fleetModel
	rollout            *Rollout
	log                *[]Entry
	name               string
	isAlive            bool
	writes             int
	crashAtWrite       int // at which write; 0 is none
	crashAfterWrite    bool
	end                *End
	rememberedVersions map[int]string // for the mutation
	endedAt            time.Duration
}

func (c *coordinator) feed(e Event) {
	if !c.isAlive {
		return
	}
	if o, ok := e.(CommandReplied); ok && c.model.mutation == withoutEpochCheck && o.Reply == ReplyStale {
		return
	}
	for _, a := range c.rollout.Handle(c.model.now, e) {
		if c.do(a); !c.isAlive {
			return
		}
	}
}

func (c *coordinator) do(a Action) {
	w := c.model
	switch a := a.(type) {
	case Write:
		if c.writes++; c.writes == c.crashAtWrite && !c.crashAfterWrite {
			c.isAlive, c.endedAt = false, w.now
			return
		}
		if w.mutation != withoutWrite || a.Entry.Kind == EntryStage || a.Entry.Kind == EntryEnd {
			*c.log = append(*c.log, a.Entry)
		}
		if a.Entry.Kind == EntryOrder {
			w.writtenCommands[a.Entry.ID] = true
		}
		if c.writes == c.crashAtWrite {
			c.isAlive, c.endedAt = false, w.now
		}
	case Claim:
		m := w.members[a.Member]
		c.request(m, func(answer func(Event)) {
			e := ClaimReplied{Member: a.Member, Epoch: a.Epoch, Reply: ReplyOK}
			if m.lossToken != "" && a.LossToken != m.lossToken {
				e.Reply = ReplyUngranted
			} else if a.Epoch < m.epoch || a.Epoch == m.epoch && a.Owner != m.owner {
				e.Reply, e.NewestEpoch = ReplyStale, m.epoch
			} else {
				m.epoch, m.owner, m.lossToken = a.Epoch, a.Owner, ""
			}
			answer(e)
		}, ClaimReplied{Member: a.Member, Epoch: a.Epoch})
	case Command:
		m := w.members[a.Member]
		w.isRollbackSeen = w.isRollbackSeen || c.rollout.state == stateRollback
		c.request(m, func(answer func(Event)) {
			m.execute(w, a, func(ans Reply, err error) {
				if ans == ReplyOK && !a.IsRestart {
					c.rememberedVersions[a.Member] = w.plan.Members[a.Member].Versions[a.Generation]
				}
				answer(CommandReplied{Member: a.Member, ID: a.ID, Epoch: a.Epoch, Reply: ans, Err: err})
			})
		}, CommandReplied{Member: a.Member, ID: a.ID, Epoch: a.Epoch})
	case End:
		c.isAlive, c.end, c.endedAt = false, &a, w.now
	}
}

// request has a member answer; where no answer comes in time it is lost.
func (c *coordinator) request(m *modelMember, f func(answer func(Event)), lost Event) {
	answered := false
	answer := func(e Event) {
		if !answered {
			answered = true
			c.feed(e)
		}
	}
	c.model.deliver(m, func() {
		f(func(e Event) {
			if !c.model.isMessageLost() && m.isServing {
				c.model.after(c.model.delay(), func() { answer(e) })
			}
		})
	})
	c.model.after(4*time.Second, func() { answer(lost) })
}

func (c *coordinator) poll() {
	if !c.isAlive {
		return
	}
	for _, m := range c.model.members {
		asked, heard := c.model.now, false
		c.model.deliver(m, func() {
			s := MemberStatus{Member: m.index, PolledAt: asked, IsServing: true, Version: m.version, Epoch: m.epoch, Owner: m.owner, RunningCommand: m.running, LossToken: m.lossToken, Load: c.model.rng.Float64()*1.1 - 0.3}
			if mine, ok := c.rememberedVersions[m.index]; ok && c.model.mutation == trustOwnMemory {
				s.Version = mine
			}
			c.model.after(c.model.delay(), func() {
				if !heard {
					heard = true
					c.feed(s)
				}
			})
		})
		c.model.after(time.Second, func() {
			if !heard {
				heard = true
				c.feed(MemberStatus{Member: m.index, PolledAt: asked})
			}
		})
	}
	if c.rollout.IsBaking() {
		k := c.model.verdicts[c.rollout.stage%len(c.model.verdicts)]
		if k == VerdictWorse && c.model.faultShown {
			k = VerdictPass // it does not show twice
		}
		c.model.faultShown = c.model.faultShown || k == VerdictWorse && c.model.showsFaultOnce
		c.feed(StageJudged{Verdict: k})
	}
	c.feed(Tick{})
	c.model.after(500*time.Millisecond, c.poll)
}
