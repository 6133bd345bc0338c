package fleet

import (
	"context"
	"errors"
	"strings"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/limits"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

// statusReply is a member's reply to a poll.
type statusReply struct {
	member   int            // index in the plan's members
	polledAt time.Duration  // when the poll was sent
	status   *manage.Status // nil is no reply
}

// call runs a call to a member in a goroutine, and sends its result as an event. It is not ended with ctx: a command
// that was sent is awaited.
func (c *coordinator) call(ctx context.Context, timeout time.Duration, send func(ctx context.Context) any) {
	go func() {
		c.callSlots <- struct{}{}
		defer func() { <-c.callSlots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		c.events <- send(ctx)
	}()
}

// pollMembers polls the members whose last poll is over.
func (c *coordinator) pollMembers(ctx context.Context) {
	for i, client := range c.clients {
		if c.isPolling[i] {
			continue
		}
		c.isPolling[i] = true
		polledAt := c.now()
		c.call(ctx, statusTimeout, func(ctx context.Context) any {
			status, err := client.Status(ctx)
			if err != nil {
				return statusReply{member: i, polledAt: polledAt}
			}
			return statusReply{i, polledAt, &status}
		})
	}
}

// handleStatus notes a reply to a poll, and returns the rollout's event for it.
func (c *coordinator) handleStatus(reply statusReply) rollout.Event {
	c.isPolling[reply.member] = false
	c.lastStatus[reply.member] = reply.status
	event := rollout.MemberStatus{Member: reply.member, PolledAt: reply.polledAt}
	status := reply.status
	if status == nil {
		return event
	}
	// Settings also change on a drained member, which is as desired and not ready.
	event.IsServing = status.IsReady() || c.change.Kind == desiredstate.KindSettings && status.IsAsDesired()
	event.Version = c.change.version(status, c.programHashes)
	event.Epoch = status.Epoch
	event.Owner = status.Owner
	event.RunningCommand = status.RunningCommand
	event.LossToken = status.LostToken
	event.Load = utilization(status)
	return event
}

// utilization returns the highest share of its limits that any service of a member uses: of requests, buffered bytes or
// descriptors; -1 is unknown. The limit of attempts in flight does not count, since it follows its use.
func utilization(status *manage.Status) float64 {
	highest := -1.0
	for _, service := range status.Services {
		if service.Resources == nil {
			continue
		}
		for _, usage := range []limits.Usage{service.Resources.Requests, service.Resources.BufferedBytes, service.Resources.Descriptors} {
			if usage.Total > 0 {
				highest = max(highest, float64(usage.Used)/float64(usage.Total))
			}
		}
	}
	return highest
}

// sendClaim claims a member. If another coordinator owns it, the newest epoch is polled too.
func (c *coordinator) sendClaim(ctx context.Context, claim rollout.Claim) {
	client := c.clients[claim.Member]
	c.call(ctx, statusTimeout, func(ctx context.Context) any {
		_, err := client.Claim(ctx, manage.Claim{Epoch: claim.Epoch, Owner: claim.Owner, LossToken: claim.LossToken})
		event := rollout.ClaimReplied{Member: claim.Member, Epoch: claim.Epoch, Reply: replyOf(err)}
		if event.Reply == rollout.ReplyStale {
			if status, err := client.Status(ctx); err == nil {
				event.NewestEpoch = status.Epoch
			}
		}
		return event
	})
}

// sendCommand sends a member a command.
func (c *coordinator) sendCommand(ctx context.Context, command rollout.Command) {
	client := c.clients[command.Member]
	event := rollout.CommandReplied{Member: command.Member, ID: command.ID, Epoch: command.Epoch}
	operation, err := c.change.operation(command.Member, command.Generation, command.IsRestart)
	if err != nil {
		event.Reply = rollout.ReplyFailed
		event.Err = err
		c.call(ctx, statusTimeout, func(context.Context) any { return event })
		return
	}
	c.call(ctx, c.commandTimeout, func(ctx context.Context) any {
		_, event.Err = client.RunCommand(ctx, manage.Command{Epoch: command.Epoch, Owner: command.Owner, ID: command.ID, Operation: operation})
		event.Reply = replyOf(event.Err)
		if event.Reply == rollout.ReplyStale {
			// A member that has lost its epochs is no sign of a newer coordinator.
			if status, err := client.Status(ctx); err == nil && status.Epoch < command.Epoch {
				event.Reply = rollout.ReplyUngranted
			}
		}
		return event
	})
}

// replyOf returns what the error of a claim or a command means.
func replyOf(err error) rollout.Reply {
	switch {
	case err == nil:
		return rollout.ReplyOK
	case errors.Is(err, manage.ErrStale):
		return rollout.ReplyStale
	case errors.Is(err, manage.ErrLost):
		return rollout.ReplyUngranted
	case errors.Is(err, manage.ErrFailed), errors.Is(err, manage.ErrInvalid):
		return rollout.ReplyFailed
	case strings.HasSuffix(err.Error(), "404 Not Found"): // a program from before commands existed
		return rollout.ReplyUnsupported
	}
	return rollout.ReplyUnknown // also of a busy member, which is sent the call again
}
