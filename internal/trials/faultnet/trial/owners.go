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

// owners is how many coordinators claim the nodes at once.
const ownerCount = 2

// claimInterval bounds how often a coordinator claims: what a history holds has to be checked in
// seconds.
const claimInterval = 80 * time.Millisecond

// owner is a coordinator that claims all nodes for an epoch again and again, and orders those that
// granted it once they are more than half.
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

// coordinate goes on until ctx ends.
func (w *owner) coordinate(ctx context.Context) {
	for ctx.Err() == nil {
		w.runRound(ctx, w.nextEpoch(), true)
		select {
		case <-time.After(claimInterval/2 + time.Duration(w.rng.Int64N(int64(claimInterval)))):
		case <-ctx.Done():
		}
	}
}

// epoch is one that is newer than all that were told; another coordinator may choose the same.
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

// send is one round; it gives how many nodes have carried the order out. linked has it go by the
// links.
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

// forEachNode does something for all nodes at once, and counts those for which it went well.
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

// controlTimeout is how long a node has for an answer: over a link faults may keep it for ever, else only busy
// cores are in its way.
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
	return false // and unknown, where there was no answer
}

// order orders settings, and asks again by the same id where the answer is lost.
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

// mayRefuse notes a refusal that no fault of a script explains.
func (w *owner) checkRejection(i int, r manage.RejectedError) {
	switch r.Code {
	case desiredstate.CodeBusy, desiredstate.CodeNotSaved:
	case "": // of no command: the node ends, or the request was malformed
	default:
		w.exchanges.Wrong("node %d refuses an owner: %s: %s", i, r.Code, r.Message)
	}
}

// settle has one owner bring all nodes to one state, once no fault is in force any more.
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

// countStartedCommands counts by a node's log the commands that it has begun, each an effect. The last one that settle had it run
// is among them: a log without any is not understood.
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
