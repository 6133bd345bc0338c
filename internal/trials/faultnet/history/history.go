// Package history records operations and their results and checks them afterwards, independently
// of the code under test: ownership by a linearizability checker; answers, effects and
// generations by counting.
package history

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// MaxEntries is the maximum number of operations of a history. The check of a longer one fails, so
// that no partial history passes.
const MaxEntries = 200_000

// checkTimeout is the timeout of the check of one partition.
const checkTimeout = 20 * time.Second

// Unknown is the result of an operation whose reply was lost. The operation may have taken effect at
// any time after its call, or not at all.
type Unknown struct{}

// Entry is one operation.
type Entry struct {
	Client       int
	Op           any
	Result       any           // Unknown{} if no reply was received
	Call, Return time.Duration // since the history began; Return is valid only if the result is known
}

// History is a list of operations in the order of their calls. The zero value is empty and ready;
// its methods are safe for concurrent use.
type History struct {
	mu      sync.Mutex
	started time.Time
	entries []Entry
	dropped int
}

// now returns the time since the first call. The caller holds mu.
func (h *History) now() time.Duration {
	if h.started.IsZero() {
		h.started = time.Now()
	}
	return time.Since(h.started)
}

// Call records the start of an operation of a client. The returned function records its result and
// may be called once; without a call the result stays Unknown.
func (h *History) Call(client int, op any) (done func(result any)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.entries) >= MaxEntries {
		h.dropped++
		return func(any) {}
	}
	n := len(h.entries)
	h.entries = append(h.entries, Entry{Client: client, Op: op, Result: Unknown{}, Call: h.now()})
	return func(result any) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.entries[n].Result, h.entries[n].Return = result, h.now()
	}
}

// Entries returns a copy of all operations so far.
func (h *History) Entries() []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.entries)
}

// Model is the sequential specification that a history is checked against.
type Model = porcupine.Model

// Check looks for a linearization: an order of all operations, within the times of each, in which
// the model gives the same results. The error lists the operations of a partition that has none.
func (h *History) Check(m Model) error {
	h.mu.Lock()
	dropped := h.dropped
	h.mu.Unlock()
	if dropped > 0 {
		return fmt.Errorf("incomplete history: %d operations beyond the maximum of %d were not recorded", dropped, MaxEntries)
	}
	all := h.Entries()
	// An operation with an unknown result may never have taken effect, so a history is legal if it has a
	// linearization without such operations. Most histories have one, and it is found fast, whereas
	// operations that may have any place in the order make the check long. If there is none, those
	// operations are added whose effect another result shows. Leaving operations with an unknown result
	// out can make a legal history look illegal, but never an illegal one legal.
	if check(m, slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Result == Unknown{} })) == nil {
		return nil
	}
	if check(m, slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Result == Unknown{} && !isObserved(e, all) })) == nil {
		return nil
	}
	return check(m, all)
}

// ErrUndecided is the error of a check that timed out: it has found no linearization, nor proved that
// there is none. The history may be legal or illegal.
var ErrUndecided = errors.New("undecided")

func check(m Model, all []Entry) error {
	ops := make([]porcupine.Operation, 0, len(all))
	for _, e := range all {
		o := porcupine.Operation{ClientId: e.Client, Input: e.Op, Output: e.Result, Call: int64(e.Call), Return: int64(e.Return)}
		if _, unknown := e.Result.(Unknown); unknown {
			// Such an operation may have any place in the order, which makes the check long. Reads have no
			// effect, so they are left out.
			if _, reads := e.Op.(ReadStatus); reads {
				continue
			}
			o.Return = math.MaxInt64
		}
		ops = append(ops, o)
	}
	parts := [][]porcupine.Operation{ops}
	if m.Partition != nil {
		parts = m.Partition(ops)
	}
	m.Partition = nil
	var illegal, undecided error
	for _, part := range parts {
		switch porcupine.CheckOperationsTimeout(m, part, checkTimeout) {
		case porcupine.Illegal:
			illegal = errors.Join(illegal, fmt.Errorf("no linearization of these %d operations:\n%s", len(part), describe(m, part)))
		case porcupine.Unknown:
			undecided = errors.Join(undecided, fmt.Errorf("%w: %d operations were not checked within %v", ErrUndecided, len(part), checkTimeout))
		}
	}
	if illegal != nil {
		return illegal
	}
	return undecided
}

// maxDescribedOperations is the maximum number of operations that an error lists.
const maxDescribedOperations = 60

func describe(_ Model, part []porcupine.Operation) string {
	part = slices.Clone(part)
	slices.SortStableFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var b strings.Builder
	for i, o := range part {
		if i == maxDescribedOperations {
			fmt.Fprintf(&b, "  and %d more\n", len(part)-maxDescribedOperations)
			break
		}
		end := "?"
		if o.Return != math.MaxInt64 {
			end = time.Duration(o.Return).Round(time.Microsecond).String()
		}
		fmt.Fprintf(&b, "  %v..%s client %d: %v -> %v\n", time.Duration(o.Call).Round(time.Microsecond), end, o.ClientId, o.Input, o.Output)
	}
	return b.String()
}
