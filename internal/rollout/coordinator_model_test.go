package rollout

import "time"

const (
	modelReplyTimeout = 4 * time.Second
	modelPollTimeout  = time.Second
	modelPollInterval = 500 * time.Millisecond
)

// coordinator is a coordinator of the model: a Rollout with its log, which may crash at any of its writes.
type coordinator struct {
	model              *fleetModel
	rollout            *Rollout
	log                *[]Entry
	name               string
	isAlive            bool
	writes             int
	crashAtWrite       int  // number of the write; 0 is none
	crashAfterWrite    bool // or before it
	end                *End
	endedAt            time.Duration
	rememberedVersions map[int]string // for trustOwnMemory
}

// feed handles an event and does the actions that it leads to.
func (c *coordinator) feed(event Event) {
	if !c.isAlive {
		return
	}
	if reply, ok := event.(CommandReplied); ok && c.model.mutation == withoutEpochCheck && reply.Reply == ReplyStale {
		return
	}
	for _, action := range c.rollout.Handle(c.model.now, event) {
		if c.do(action); !c.isAlive {
			return
		}
	}
}

func (c *coordinator) do(action Action) {
	switch action := action.(type) {
	case Write:
		c.write(action.Entry)
	case Claim:
		m := c.model.members[action.Member]
		c.request(m, func(answer func(Event)) { answer(m.claim(action)) }, ClaimReplied{Member: action.Member, Epoch: action.Epoch})
	case Command:
		c.sendCommand(action)
	case End:
		c.isAlive, c.end, c.endedAt = false, &action, c.model.now
	}
}

// write appends an entry to the log, and crashes before or after it where that is planned.
func (c *coordinator) write(entry Entry) {
	c.writes++
	isCrash := c.writes == c.crashAtWrite
	if isCrash && !c.crashAfterWrite {
		c.crash()
		return
	}
	if c.model.mutation != withoutWrite || entry.Kind == EntryStage || entry.Kind == EntryEnd {
		*c.log = append(*c.log, entry)
	}
	if entry.Kind == EntryCommand {
		c.model.writtenCommands[entry.ID] = true
	}
	if isCrash {
		c.crash()
	}
}

func (c *coordinator) crash() { c.isAlive, c.endedAt = false, c.model.now }

func (c *coordinator) sendCommand(command Command) {
	model := c.model
	model.isRollbackSeen = model.isRollbackSeen || c.rollout.state == stateRollback
	m := model.members[command.Member]
	noReply := CommandReplied{Member: command.Member, ID: command.ID, Epoch: command.Epoch}
	c.request(m, func(answer func(Event)) {
		m.execute(model, command, func(reply Reply, err error) {
			if reply == ReplyOK && !command.IsRestart {
				c.rememberedVersions[command.Member] = model.plan.Members[command.Member].Versions[command.Generation]
			}
			answer(CommandReplied{Member: command.Member, ID: command.ID, Epoch: command.Epoch, Reply: reply, Err: err})
		})
	}, noReply)
}

// request has a member handle a request. noReply is the event where no reply comes in time.
func (c *coordinator) request(m *modelMember, handle func(answer func(Event)), noReply Event) {
	isAnswered := false
	feedOnce := func(event Event) {
		if !isAnswered {
			isAnswered = true
			c.feed(event)
		}
	}
	c.model.deliver(m, func() {
		handle(func(event Event) {
			if !c.model.isMessageLost() && m.isServing {
				c.model.after(c.model.delay(), func() { feedOnce(event) })
			}
		})
	})
	c.model.after(modelReplyTimeout, func() { feedOnce(noReply) })
}

// poll polls all members, judges a stage that bakes, and repeats that while the coordinator is alive.
func (c *coordinator) poll() {
	if !c.isAlive {
		return
	}
	for _, m := range c.model.members {
		c.pollMember(m)
	}
	if c.rollout.IsBaking() {
		c.feed(StageJudged{Verdict: c.drawVerdict()})
	}
	c.feed(Tick{})
	c.model.after(modelPollInterval, c.poll)
}

func (c *coordinator) pollMember(m *modelMember) {
	polledAt, isAnswered := c.model.now, false
	feedOnce := func(status MemberStatus) {
		if !isAnswered {
			isAnswered = true
			c.feed(status)
		}
	}
	c.model.deliver(m, func() {
		status := MemberStatus{
			Member: m.index, PolledAt: polledAt, IsServing: true, Version: m.version, Epoch: m.epoch, Owner: m.owner,
			RunningCommand: m.running, LossToken: m.lossToken, Load: c.model.rng.Float64()*1.1 - 0.3,
		}
		if version, ok := c.rememberedVersions[m.index]; ok && c.model.mutation == trustOwnMemory {
			status.Version = version
		}
		c.model.after(c.model.delay(), func() { feedOnce(status) })
	})
	c.model.after(modelPollTimeout, func() { feedOnce(MemberStatus{Member: m.index, PolledAt: polledAt}) })
}

// drawVerdict returns the judge's verdict on the stage.
func (c *coordinator) drawVerdict() Verdict {
	model := c.model
	verdict := model.verdicts[c.rollout.stage%len(model.verdicts)]
	if verdict == VerdictWorse && model.faultShown {
		verdict = VerdictPass
	}
	model.faultShown = model.faultShown || verdict == VerdictWorse && model.showsFaultOnce
	return verdict
}
