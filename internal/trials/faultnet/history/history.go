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

// MaxEntries bounds the operations of a history. A check of a longer one fails, so that no partial
// history passes.
const MaxEntries = 200_000

// checkTime is the timeout of one check.
const checkTimeout = 20 * time.Second

// Unknown is the outcome of an operation whose answer was lost: it may have happened then, or
// later, or never.
type Unknown struct{}

// Entry is one operation.
type Entry struct {
	Client       int
	Op           any
	Result       any           // Unknown{} where no answer came
	Call, Return time.Duration // since the history began; Return counts only where the result is known
}

// History is a list of operations in the order of their calls. The zero value is empty and ready;
// its methods are safe for concurrent use.
type History struct {
	mu      sync.Mutex
	started time.Time
	entries []Entry
	dropped int
}

// now is the time since the first call. The caller holds mu.
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
		return fmt.Errorf("a history of %d operations more than %d", dropped, MaxEntries)
	}
	all := h.Entries()
	// What may never have been need not be: mostly the rest explains itself, and then the check is
	// short, as an operation that may stand anywhere is what makes it long. Next come those whose
	// effect somebody has seen; leaving the others out can only make a history harder to explain.
	if check(m, slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Result == Unknown{} })) == nil {
		return nil
	}
	if check(m, slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Result == Unknown{} && !isObserved(e, all) })) == nil {
		return nil
	}
	return check(m, all)
}

// ErrUndecided is of a history of which the checker has found neither an order nor that there is none.
// It proves nothing.
var ErrUndecided = errors.New("undecided")

func check(m Model, all []Entry) error {
	ops := make([]porcupine.Operation, 0, len(all))
	for _, e := range all {
		o := porcupine.Operation{ClientId: e.Client, Input: e.Op, Output: e.Result, Call: int64(e.Call), Return: int64(e.Return)}
		if _, unknown := e.Result.(Unknown); unknown {
			// Each of these may stand anywhere, which is what makes a check long.
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
			illegal = errors.Join(illegal, fmt.Errorf("no order explains these %d operations:\n%s", len(part), describe(m, part)))
		case porcupine.Unknown:
			undecided = errors.Join(undecided, fmt.Errorf("%w: %d operations were not checked within %v", ErrUndecided, len(part), checkTimeout))
		}
	}
	if illegal != nil {
		return illegal
	}
	return undecided
}

// maxDescribedOperations bounds the operations that an error lists.
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
