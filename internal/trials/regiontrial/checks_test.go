package regiontrial

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// The tests of this file guard against checks that miss violations or report allowed observations. CheckNeighbours reports
// members that run settings more than one phase apart at the same time.
func TestCheckNeighbours(t *testing.T) {
	generations := map[string][]string{"a": {"a0", "a1", "a2"}, "b": {"b0", "b0", "b2"}, "c": {"c0", "c1", "c2"}}
	// runs returns the status replies of a member that runs a hash from one time to another, each with a round trip of 2 ms.
	runs := func(member, hash string, generation int, from, to time.Duration) (all []StatusRead) {
		for at := from; at < to; at += 10 * ms {
			all = append(all, StatusRead{member, at, at + 2*ms, 7, generation, hash, 1, "x"})
		}
		return all
	}
	for name, tc := range map[string]struct {
		reads      []StatusRead
		violations int
	}{
		"one phase apart":               {slices.Concat(runs("a", "a0", 1, 0, 100*ms), runs("a", "a1", 2, 100*ms, 200*ms), runs("c", "c0", 1, 0, 150*ms), runs("c", "c1", 2, 150*ms, 200*ms)), 0},
		"two phases apart":              {slices.Concat(runs("a", "a0", 1, 0, 100*ms), runs("c", "c0", 1, 0, 50*ms), runs("c", "c2", 3, 50*ms, 100*ms)), 1},
		"other member one phase behind": {slices.Concat(runs("a", "a1", 1, 0, 100*ms), runs("c", "c0", 1, 0, 50*ms), runs("c", "c1", 2, 50*ms, 100*ms)), 0},
		"same hash in two phases":       {slices.Concat(runs("b", "b0", 1, 0, 100*ms), runs("a", "a1", 2, 0, 50*ms), runs("a", "a2", 3, 50*ms, 100*ms)), 0},
		"one member two phases ahead":   {slices.Concat(runs("a", "a0", 1, 0, 100*ms), runs("b", "b2", 2, 0, 100*ms)), 1},
		"not at the same time":          {slices.Concat(runs("a", "a0", 1, 0, 50*ms), runs("c", "c2", 3, 60*ms, 100*ms)), 0},
		"restart between two replies":   {[]StatusRead{{Member: "a", To: 1, PID: 1, Hash: "a0"}, {Member: "a", From: 99, To: 100, PID: 2, Hash: "a0"}, {Member: "c", To: 1, PID: 1, Hash: "c2"}, {Member: "c", From: 99, To: 100, PID: 1, Hash: "c2"}}, 0},
	} {
		if got := CheckNeighbours(tc.reads, generations); (len(got) > 0) != (tc.violations > 0) {
			t.Errorf("%s: CheckNeighbours reports %v", name, got)
		}
	}
}

func TestCheckOwners(t *testing.T) {
	countViolations := func(all ...StatusRead) int { return len(CheckOwners(all)) }
	if countViolations(StatusRead{Member: "a", Epoch: 1, Owner: "x"}, StatusRead{Member: "b", Epoch: 2, Owner: "y"}, StatusRead{Member: "a", Epoch: 2, Owner: "y"}) != 0 ||
		countViolations(StatusRead{Member: "a", Epoch: 2, Owner: "y"}, StatusRead{Member: "a", Epoch: 1, Owner: "x"}) != 1 ||
		countViolations(StatusRead{Member: "a", Epoch: 2, Owner: "y"}, StatusRead{Member: "b", Epoch: 2, Owner: "x"}) != 1 {
		t.Error("CheckOwners does not report exactly the decreasing epoch and the epoch with two owners")
	}
}

func TestMemberLog(t *testing.T) {
	const (
		grant       = `level=INFO msg="coordinator epoch granted" epoch=%d owner=%s` + "\n"
		started     = `level=INFO msg="command started" id=%s epoch=%d owner=%s kind=settings` + "\n"
		interrupted = `level=WARN msg="command interrupted by the end of its process, nothing of it remains" id=%s kind=settings` + "\n"
	)
	for want, log := range map[string]string{
		"":                         fmt.Sprintf(grant+started+grant+started+interrupted+started, 3, "x", "1", 3, "x", 5, "y", "2", 5, "y", "2", "2", 5, "y"),
		"after epoch 5":            fmt.Sprintf(grant+started, 5, "y", "1", 3, "x"),
		"started twice":            fmt.Sprintf(grant+started+started, 5, "y", "1", 5, "y", "1", 5, "y"),
		"of owner x after epoch 5": fmt.Sprintf(grant+started, 5, "y", "1", 5, "x"),
		"is of owner z":            fmt.Sprintf(grant, 9, "q"),
		"epoch 4 of owner x aft":   fmt.Sprintf(grant+grant, 5, "y", 4, "x"),
	} {
		var g MemberLog
		g.Read("a", log, map[uint64]string{9: "z"})
		if all := strings.Join(g.Wrong, "\n"); (want == "") != (all == "") || !strings.Contains(all, want) {
			t.Errorf("want violation %q, got %q", want, all)
		}
	}
}

func TestMaxExcess(t *testing.T) {
	var evenlySpaced []time.Duration
	for i := range 100 {
		evenlySpaced = append(evenlySpaced, time.Duration(i)*100*ms)
	}
	if v := MaxExcess(evenlySpaced, 10, 1); v > 1e-9 {
		t.Errorf("excess %g of 10 requests per second over a rate of 10 per second, want 0", v)
	}
	if v := MaxExcess(slices.Concat(evenlySpaced[:50], slices.Repeat([]time.Duration{evenlySpaced[50]}, 8), evenlySpaced[50:]), 10, 5); v < 3.9 || v > 4.1 {
		t.Errorf("excess %g of 8 further requests at the same time over a burst of 5, want 4", v)
	}
}

func TestCheckParts(t *testing.T) {
	body := func(pods ...string) string {
		var all []string
		for _, p := range pods {
			all = append(all, fmt.Sprintf(`{"pod":%q,"id":"7"}`, p))
		}
		return "[" + strings.Join(all, ",") + "]"
	}
	for _, tc := range []struct {
		parts, missing, body string
		isValid              bool
	}{
		{"3/3", "", body("south", "north", "east"), true},
		{"2/3", "here", body("north", "east"), true},
		{"1/3", "here, east", body("north"), true},
		{"3/3", "", body("south", "north"), false},
		{"2/3", "east", body("north", "east"), false},
		{"2/3", "", body("north", "east"), false},
		{"2/3", "east", body("north", "south", "east"), false},
		{"3/3", "", body("north", "north", "east"), false},
		{"2/2", "", body("north", "south"), false},
		{"2/3", "west", body("north", "south"), false},
		{"2/3", "east", strings.Replace(body("north", "south"), "7", "8", 1), false},
		{"2/3", "east", "[", false},
	} {
		if err := CheckParts("south", "7", tc.parts, tc.missing, tc.body); (err == nil) != tc.isValid {
			t.Errorf("CheckParts of %s parts, missing %q, body %s: %v", tc.parts, tc.missing, tc.body, err)
		}
	}
}
