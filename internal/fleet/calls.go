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
	status   *manage.Status // nil if the member did not reply
}

// call runs send in a goroutine and delivers its result to c.events. At most maxConcurrentCalls calls run at a time.
// The cancellation of ctx does not reach the call, so that the outcome of a command that was sent is still received.
func (c *coordinator) call(ctx context.Context, timeout time.Duration, send func(ctx context.Context) any) {
	go func() {
		c.callSlots <- struct{}{}
		defer func() { <-c.callSlots }()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		c.events <- send(ctx)
	}()
}

// pollMembers starts a status poll of each member that has none outstanding.
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

// handleStatus records a reply to a poll, and returns it as an event of the state machine.
func (c *coordinator) handleStatus(reply statusReply) rollout.Event {
	c.isPolling[reply.member] = false
	c.lastStatus[reply.member] = reply.status
	event := rollout.MemberStatus{Member: reply.member, PolledAt: reply.polledAt}
	status := reply.status
	if status == nil {
		return event
	}
	// A drained member reloads settings too: it is not ready, but in its desired state.
	event.IsServing = status.IsReady() || c.change.Kind == desiredstate.KindSettings && status.IsAsDesired()
	event.Version = c.change.version(status, c.programHashes)
	event.Epoch = status.Epoch
	event.Owner = status.Owner
	event.RunningCommand = status.RunningCommand
	event.LossToken = status.LostToken
	event.Load = utilization(status)
	return event
}

// utilization returns the highest fraction in use of any resource limit (requests, buffered bytes, descriptors) over a
// member's services, or -1 if no service reports limits. The concurrency limit is left out, because it adapts to the
// number of attempts in flight and says nothing about spare capacity.
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

// sendClaim claims a member. If another coordinator owns the member, it also reads the epoch that the member has
// granted.
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
			// The member has lost the epoch that it granted, so the rejection does not show that a newer coordinator exists.
			if status, err := client.Status(ctx); err == nil && status.Epoch < command.Epoch {
				event.Reply = rollout.ReplyUngranted
			}
		}
		return event
	})
}

// replyOf classifies the error of a claim or a command.
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
	case strings.HasSuffix(err.Error(), "404 Not Found"): // the member's release predates the command endpoint
		return rollout.ReplyUnsupported
	}
	return rollout.ReplyUnknown // includes ErrBusy: the call is retried
}
