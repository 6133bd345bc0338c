package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/trials/faultnet/history"
)

// ownerCount is the number of coordinators that claim the nodes concurrently.
const ownerCount = 2

// claimInterval is the mean pause between two rounds of a coordinator. It limits the number of
// operations, as the history has to be checked within seconds.
const claimInterval = 80 * time.Millisecond

// owner is a coordinator. It repeatedly claims all nodes for a new epoch and, if more than half of them
// grant it, sends a command to those that did.
type owner struct {
	*run
	name   string
	number int // of its client in the history
	rng    *rand.Rand
	round  int
}

func (r *run) owner(n int) *owner {
	return &owner{run: r, name: fmt.Sprint("owner-", n), number: n, rng: rand.New(rand.NewPCG(r.options.Script.Seed, uint64(n)+7000))}
}

// coordinate runs rounds until ctx ends.
func (w *owner) coordinate(ctx context.Context) {
	for ctx.Err() == nil {
		w.runRound(ctx, w.nextEpoch(), true)
		select {
		case <-time.After(claimInterval/2 + time.Duration(w.rng.Int64N(int64(claimInterval)))):
		case <-ctx.Done():
		}
	}
}

// nextEpoch returns an epoch that is newer than all that were reported; another coordinator may choose
// the same one.
func (r *run) nextEpoch() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestEpoch + 1
}

func (r *run) observeEpoch(e uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestEpoch = max(r.newestEpoch, e)
}

// runRound claims all nodes and, if a majority grants the epoch, sends a command to those that did. It
// returns the number of nodes that have executed the command. If viaLink is set, the calls pass through
// the links.
func (w *owner) runRound(ctx context.Context, epoch uint64, viaLink bool) int {
	w.round++
	recordAcquire := w.ownership.Call(w.number, history.Acquire{Epoch: epoch, Owner: w.name})
	granted := make([]bool, w.options.Nodes)
	n := w.forEachNode(func(i int) bool {
		granted[i] = w.claim(ctx, i, epoch, viaLink)
		return granted[i]
	})
	if 2*n <= w.options.Nodes {
		recordAcquire(history.Refused)
		return 0
	}
	recordAcquire(history.Granted)
	text := fmt.Sprintf("%s\n# as %s wants it, round %d\n", w.texts[0], w.name, w.round)
	return w.forEachNode(func(i int) bool {
		if !granted[i] {
			return false
		}
		text := strings.Replace(text, w.texts[0], w.texts[i], 1)
		return w.sendCommand(ctx, i, epoch, text, viaLink)
	})
}

// forEachNode calls do for all nodes concurrently, and returns the number of nodes for which it returned true.
func (w *owner) forEachNode(do func(i int) bool) (n int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range w.options.Nodes {
		all.Go(func() {
			if do(i) {
				mu.Lock()
				defer mu.Unlock()
				n++
			}
		})
	}
	all.Wait()
	return n
}

func (w *owner) member(i int, viaLink bool) manage.Client {
	if viaLink {
		return manage.Client{Path: w.link(i, 1).Addr()}
	}
	return manage.Client{Path: w.control(i)}
}

// controlTimeout returns the timeout of a call to a node. Over a link, faults may delay the reply without limit, so the
// timeout is short; without one, only a busy machine delays it, so the timeout is long.
func controlTimeout(viaLink bool) time.Duration {
	if viaLink {
		return controlCallTimeout
	}
	return recoveryTimeout
}

func member(i int) string { return fmt.Sprint("node-", i) }

func (w *owner) claim(ctx context.Context, i int, epoch uint64, viaLink bool) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout(viaLink))
	defer cancel()
	done := w.ownership.Call(w.number, history.Claim{Member: member(i), Epoch: epoch, Owner: w.name})
	s, err := w.member(i, viaLink).Claim(ctx, manage.Claim{Epoch: epoch, Owner: w.name})
	switch refused := (manage.RejectedError{}); {
	case err == nil:
		w.observeEpoch(max(epoch, s.Epoch))
		done(history.Granted)
		return true
	case errors.Is(err, manage.ErrStale):
		w.observeEpoch(epoch)
		done(history.Refused)
	case errors.As(err, &refused):
		done(history.Nothing)
		w.checkRejection(i, refused)
	}
	return false // the result stays Unknown if there was no reply
}

// sendCommand sends a command with new settings. If the reply is lost, or the node rejects the command for a
// reason other than its epoch, it sends the command again with the same ID, at most 3 times in all.
func (w *owner) sendCommand(ctx context.Context, i int, epoch uint64, text string, viaLink bool) bool {
	id := fmt.Sprintf("%s/%d/%d", w.name, epoch, w.round)
	command := manage.Command{Epoch: epoch, Owner: w.name, ID: id, Operation: manage.Operation{Kind: desiredstate.KindSettings, Text: text, Hash: desiredstate.Hash([]byte(text))}}
	w.exchanges.WantGeneration(command.Operation.Hash)
	for range 3 {
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout(viaLink))
		done := w.ownership.Call(w.number, history.Order{Member: member(i), Epoch: epoch, Owner: w.name, ID: id})
		_, err := w.member(i, viaLink).RunCommand(callCtx, command)
		cancel()
		switch refused := (manage.RejectedError{}); {
		case err == nil:
			done(history.DoneOrAlreadyDone)
			return true
		case errors.Is(err, manage.ErrFailed):
			done(history.DoneOrAlreadyDone)
			return false
		case errors.Is(err, manage.ErrStale):
			done(history.Stale)
			return false
		case errors.As(err, &refused):
			done(history.Nothing)
			w.checkRejection(i, refused)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// checkRejection records a violation if no fault of a script explains a rejection.
func (w *owner) checkRejection(i int, r manage.RejectedError) {
	switch r.Code {
	case desiredstate.CodeBusy, desiredstate.CodeNotSaved:
	case "": // not the rejection of a command: the node shuts down, or the request was malformed
	default:
		w.exchanges.Wrong("node %d refuses an owner: %s: %s", i, r.Code, r.Message)
	}
}

// converge has one owner bring all nodes to the same state after all faults have ended. It then checks
// that state, the logs and the history of ownership.
func (r *run) converge(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	w := r.owner(ownerCount)
	for w.runRound(ctx, r.nextEpoch(), false) < r.options.Nodes {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			r.exchanges.Wrong("the nodes do not all come to one state: %v", ctx.Err())
			return
		}
	}
	for i := range r.options.Nodes {
		s, err := w.member(i, false).Status(ctx)
		raw, fileErr := os.ReadFile(filepath.Join(r.dir(i), "lockflow.toml"))
		if err != nil || fileErr != nil || s.ConfigHash != desiredstate.Hash(raw) || s.DesiredState.Hash != s.ConfigHash || s.Owner != w.name {
			r.exchanges.Wrong("node %d: runs %s by %s, wants %s, its file is %s; %v, %v", i, s.ConfigHash, s.Owner, s.DesiredState.Hash, desiredstate.Hash(raw), err, fileErr)
		}
		r.countStartedCommands(i)
	}
	switch err := r.ownership.CheckOwnership(); {
	case errors.Is(err, history.ErrUndecided):
		r.undecided = err.Error()
	case err != nil:
		r.exchanges.Wrong("ownership: %v", err)
	}
}

// countStartedCommands records each command that a node has started, according to its log, as an effect. The log contains at
// least the last command that converge sent; if none is found, the log's format has changed.
func (r *run) countStartedCommands(i int) {
	raw, err := os.ReadFile(r.procs[i].Log)
	if err != nil {
		r.exchanges.Wrong("node %d: %v", i, err)
	}
	started := 0
	for line := range strings.Lines(string(raw)) {
		if _, rest, ok := strings.Cut(line, `msg="command started" id=`); ok {
			id, _, _ := strings.Cut(rest, " ")
			r.exchanges.Effect(member(i)+" "+id, member(i))
			started++
		}
	}
	if started == 0 {
		r.exchanges.Wrong("node %d: its log has no command that was started", i)
	}
}
