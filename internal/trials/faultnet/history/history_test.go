package history

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
)

// member behaves like the model of Members, except for a fault that a test plants.
type member struct {
	mu    sync.Mutex
	name  string
	state MemberState
	fault string
}

func (m *member) apply(op any) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch op := op.(type) {
	case Claim:
		isSameEpoch := op.Epoch == m.state.Epoch && (op.Owner == m.state.Owner || m.fault == "two owners")
		if op.Epoch > m.state.Epoch || isSameEpoch || m.fault == "older epoch" {
			m.state.Epoch, m.state.Owner = op.Epoch, op.Owner
			return Granted
		}
		return Refused
	case Order:
		if op.Epoch != m.state.Epoch && m.fault != "stale order" || op.Owner != m.state.Owner && m.fault == "" {
			return Stale
		}
		if op.ID == m.state.Order && m.fault != "twice" {
			return AlreadyDone
		}
		m.state.Order = op.ID
		return Done
	}
	return m.state
}

// runCoordinators has coordinators send claims, orders and status reads concurrently. Some requests
// and some replies are lost.
func runCoordinators(h *History, seed uint64, fault string) {
	members := []*member{{name: "a"}, {name: "b", fault: fault}, {name: "c"}}
	var all sync.WaitGroup
	for c := range 4 {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			owner := fmt.Sprint("o", c)
			for range 30 {
				m := members[rng.IntN(len(members))]
				var op any = ReadStatus{m.name}
				switch epoch := uint64(1 + rng.IntN(8)); rng.IntN(6) {
				case 0, 1:
					op = Claim{m.name, epoch, owner}
				case 2, 3, 4:
					op = Order{m.name, epoch, owner, fmt.Sprint(owner, "/", rng.IntN(3))}
				}
				done := h.Call(c, op)
				switch rng.IntN(25) {
				case 0: // the request was lost
					done(Unknown{})
				case 1: // the reply was lost
					m.apply(op)
				default:
					done(m.apply(op))
				}
			}
		})
	}
	all.Wait()
}

// Members without a fault pass, although replies are lost; each planted fault is found.
func TestMembers(t *testing.T) {
	for _, fault := range []string{"", "two owners", "older epoch", "stale order", "twice"} {
		found := 0
		for seed := range uint64(20) {
			var h History
			runCoordinators(&h, seed, fault)
			if err := h.CheckOwnership(); err != nil {
				found++
				if fault == "" || !strings.Contains(err.Error(), "member: no linearization of these") {
					t.Errorf("fault %q, seed %d: unexpected error %v", fault, seed, err)
				}
			}
		}
		if fault != "" && found < 8 {
			t.Errorf("fault %q was found with %d of 20 seeds, want at least 8", fault, found)
		}
	}
}

// The epochs that are acquired only increase, in the order of real time, and each has one owner.
func TestOwnership(t *testing.T) {
	type call struct {
		epoch  uint64
		owner  string
		result any // nil if no reply was received
	}
	for name, tc := range map[string]struct {
		calls []call
		ok    bool
	}{
		"grows":          {[]call{{1, "x", Granted}, {1, "x", Granted}, {2, "y", Refused}, {3, "y", Granted}}, true},
		"two owners":     {[]call{{1, "x", Granted}, {1, "y", Granted}}, false},
		"falls":          {[]call{{2, "x", Granted}, {1, "y", Granted}}, false},
		"lost, older":    {[]call{{1, "x", nil}, {2, "y", Granted}, {1, "x", Refused}}, true},
		"lost, then two": {[]call{{5, "x", Granted}, {6, "y", nil}, {5, "x", Granted}}, true}, // the acquisition with an unknown result may not have happened
		"lost, granted":  {[]call{{5, "x", Granted}, {6, "y", nil}, {6, "x", Granted}, {6, "y", Granted}}, false},
	} {
		var h History
		for i, c := range tc.calls {
			if done := h.Call(i, Acquire{c.epoch, c.owner}); c.result != nil {
				done(c.result)
			}
		}
		if err := h.CheckOwnership(); (err == nil) != tc.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	h := History{dropped: 1}
	if h.Check(Members()) == nil {
		t.Error("the check of an incomplete history passed")
	}
}

// Check reports each violation, and nothing else.
func TestExchanges(t *testing.T) {
	var x Exchanges
	x.WantGeneration("h1")
	x.Reported("m", "h1")
	for i := range 6 {
		x.Requested(fmt.Sprint(i))
	}
	x.Answered("0", "200")
	x.Broken("1", "reset")
	x.Effect("k", "s1")
	if wrong := x.Check(func(string) bool { return true }); len(wrong) != 4 { // 2 to 5 have no answer
		t.Errorf("violations %q, want 4", wrong)
	}
	x.Answered("2", "200")
	x.Answered("2", "502")
	x.Answered("3", "200")
	x.Broken("3", "reset")
	x.Answered("5", "503")
	x.Answered("9", "200")
	x.Requested("5")
	x.Effect("k", "s2")
	x.Reported("m", "h2")
	x.Reported("m", "h2")
	got := strings.Join(x.Check(func(why string) bool { return why == "reset" }), "\n")
	for i, want := range []string{
		"effect k: 2 times, at [s1 s2]", "member m at", "request 2: 2 final answers: [200 502]", "request 3: answered 200, and broken",
		"request 4: no final answer", "request 5: asked twice", "request 9: answered, and never asked",
	} {
		if lines := strings.Split(got, "\n"); len(lines) != 7 || !strings.HasPrefix(lines[i], want) {
			t.Errorf("violation %d: want 7 lines, and this one to begin with %q:\n%s", i, want, got)
		}
	}
	if requested, answered := x.Counts(); requested != 6 || answered != 4 {
		t.Error(requested, answered)
	}
}

// A history with many lost replies is decided by the operations whose effect another result shows. The others may have any
// place in the order, which gives more orders than can be tried.
func TestHistoryWithManyLostAnswersIsDecided(t *testing.T) {
	for _, tc := range []struct {
		lost    int
		seen    uint64
		isLegal bool
	}{{60, 60, true}, {6, 99, false}} { // no owner has claimed 99
		h := &History{}
		for i := range tc.lost {
			h.Call(1+i, Claim{"m", uint64(1 + i), "owner"}) // its reply is lost
		}
		h.Call(100, Claim{"m", 1, "other"})(Refused) // because of a claim whose reply was lost
		h.Call(100, ReadStatus{"m"})(MemberState{Epoch: tc.seen, Owner: "owner"})
		if err := h.CheckOwnership(); (err == nil) != tc.isLegal || errors.Is(err, ErrUndecided) {
			t.Errorf("%d replies lost, epoch %d observed: %v", tc.lost, tc.seen, err)
		}
	}
}
