package history

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"
)

// Claim asks a member to grant an epoch to an owner; its result is Granted or Refused.
type Claim struct {
	Member string
	Epoch  uint64
	Owner  string
}

// Order is a command to a member, which must execute it once only; its result is Done, AlreadyDone,
// DoneOrAlreadyDone or Stale.
type Order struct {
	Member string
	Epoch  uint64
	Owner  string
	ID     string
}

// ReadStatus reads the status of a member; its result is a MemberState.
type ReadStatus struct{ Member string }

// MemberState is the newest epoch that a member has granted, the epoch's owner, and the ID of the member's
// last order. If Order is empty in a result, the last order is not known.
type MemberState struct {
	Epoch uint64
	Owner string
	Order string
}

// Acquire is a coordinator's attempt to own the fleet; its result is Granted once more than half of
// the members have granted the epoch, Refused otherwise.
type Acquire struct {
	Epoch uint64
	Owner string
}

// Outcome is the result of a Claim, an Order or an Acquire.
type Outcome uint8

// The outcomes. Those of claims are Granted and Refused. Those of orders are Done (executed now),
// AlreadyDone (executed before and only acknowledged now), DoneOrAlreadyDone (one of these two) and
// Stale (rejected because of an outdated epoch). Claims and orders that were rejected for any other
// reason have the outcome Nothing: they had no effect.
const (
	Granted Outcome = iota + 1
	Refused
	Done
	AlreadyDone
	DoneOrAlreadyDone
	Stale
	Nothing
)

func (o Outcome) String() string {
	if o < 1 || int(o) > len(outcomes) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomes[o-1]
}

var outcomes = []string{"granted", "refused", "done", "again", "carried", "stale", "nothing"}

// Members is the model of the members. Each is a register whose epoch only increases, and it grants
// each epoch to one owner. It executes orders of the owner of its newest epoch only, and does not
// execute an order with the ID of its last one. The members are checked independently.
func Members() Model {
	return Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			return partitionBy(all, func(o porcupine.Operation) string {
				switch op := o.Input.(type) {
				case Claim:
					return op.Member
				case Order:
					return op.Member
				case ReadStatus:
					return op.Member
				}
				return ""
			})
		},
		Init: func() any { return MemberState{} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(MemberState)
			_, isUnknown := output.(Unknown)
			if output == Nothing {
				return true, s
			}
			switch op := input.(type) {
			case Claim:
				isGrantable := op.Epoch > s.Epoch || op.Epoch == s.Epoch && op.Owner == s.Owner
				if isGrantable {
					s.Epoch, s.Owner = op.Epoch, op.Owner
				}
				return isUnknown || output == Granted && isGrantable || output == Refused && !isGrantable, s
			case Order:
				switch {
				case op.Epoch != s.Epoch || op.Owner != s.Owner:
					return isUnknown || output == Stale, s
				case op.ID == s.Order:
					return isUnknown || output == AlreadyDone || output == DoneOrAlreadyDone, s
				}
				s.Order = op.ID
				return isUnknown || output == Done || output == DoneOrAlreadyDone, s
			case ReadStatus:
				reported, ok := output.(MemberState)
				return ok && reported.Epoch == s.Epoch && reported.Owner == s.Owner && (reported.Order == "" || reported.Order == s.Order), s
			}
			return false, s // an Acquire concerns the fleet, not a member
		},
	}
}

// Ownership is the model of the fleet's owner. An epoch that is acquired is newer than all that were
// acquired before, or it is the newest one and its owner acquires it again; no epoch has two owners.
// A refusal is always allowed.
func Ownership() Model {
	return Model{
		Init: func() any { return MemberState{} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(MemberState)
			op, ok := input.(Acquire)
			if !ok {
				return false, s
			}
			isGrantable := op.Epoch > s.Epoch || op.Epoch == s.Epoch && op.Owner == s.Owner
			switch _, isUnknown := output.(Unknown); {
			case output == Refused:
				return true, s
			case isUnknown && !isGrantable:
				return true, s
			case !isGrantable:
				return false, s
			}
			return true, MemberState{Epoch: op.Epoch, Owner: op.Owner}
		},
	}
}

// isObserved reports whether the result of another operation shows the effect of e: its epoch and owner, and the ID of an
// order.
func isObserved(e Entry, all []Entry) bool {
	member, epoch, owner, order := effectOf(e.Op)
	return slices.ContainsFunc(all, func(other Entry) bool {
		if other.Result == (Unknown{}) {
			return false
		}
		otherMember, otherEpoch, otherOwner, otherOrder := effectOf(other.Op)
		if otherMember != member {
			return false
		}
		if observed, ok := other.Result.(MemberState); ok {
			return observed.Epoch == epoch && observed.Owner == owner && (order == "" || observed.Order == order)
		}
		return otherEpoch == epoch && otherOwner == owner && (order == "" || otherOrder == order)
	})
}

// effectOf returns the member that an operation affects, which is empty for the fleet, and the values that it sets there.
func effectOf(operation any) (member string, epoch uint64, owner, order string) {
	switch op := operation.(type) {
	case Claim:
		return op.Member, op.Epoch, op.Owner, ""
	case Order:
		return op.Member, op.Epoch, op.Owner, op.ID
	case ReadStatus:
		return op.Member, 0, "", ""
	case Acquire:
		return "", op.Epoch, op.Owner, ""
	}
	return "", 0, "", ""
}

func partitionBy(operations []porcupine.Operation, key func(porcupine.Operation) string) (parts [][]porcupine.Operation) {
	indexes := make(map[string]int)
	for _, o := range operations {
		k := key(o)
		index, ok := indexes[k]
		if !ok {
			index = len(parts)
			indexes[k] = index
			parts = append(parts, nil)
		}
		parts[index] = append(parts[index], o)
	}
	return parts
}

// Filter returns the history of the operations for which keep returns true.
func (h *History) Filter(keep func(op any) bool) *History {
	filtered := &History{}
	h.mu.Lock()
	defer h.mu.Unlock()
	filtered.started, filtered.dropped = h.started, h.dropped
	for _, e := range h.entries {
		if keep(e.Op) {
			filtered.entries = append(filtered.entries, e)
		}
	}
	return filtered
}

// CheckOwnership checks claims, orders and status reads against Members, and acquisitions against Ownership.
func (h *History) CheckOwnership() error {
	fleet := h.Filter(func(op any) bool { _, is := op.(Acquire); return is })
	members := h.Filter(func(op any) bool {
		switch op.(type) {
		case Claim, Order, ReadStatus:
			return true
		}
		return false
	})
	if err := members.Check(Members()); err != nil {
		return fmt.Errorf("member: %w", err)
	}
	if err := fleet.Check(Ownership()); err != nil {
		return fmt.Errorf("fleet ownership: %w", err)
	}
	return nil
}
