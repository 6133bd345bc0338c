package regiontrial

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// What a trial is held to, from what was seen alone.

// StatusRead is what one member said of itself.
type StatusRead struct {
	Member     string
	From, To   time.Duration // it was asked, and had answered
	PID        int
	Generation int // counted by the process
	Hash       string
	Epoch      uint64
	Owner      string
}

// CheckNeighbours tells where two members certainly ran generations at one moment that are no neighbours. gens are
// each member's hashes in the order of the change. Between two looks in a row that say the same process and
// generation a member has run just that, so what is told is certain; what falls between looks isn't seen.
func CheckNeighbours(looks []StatusRead, gens map[string][]string) (wrong []string) {
	type span struct {
		member   string
		from, to time.Duration
		least    int // places of its hash in the member's generations
		most     int
	}
	last := make(map[string]StatusRead)
	var all []span
	for _, l := range looks {
		was, ok := last[l.Member]
		last[l.Member] = l
		if !ok || was.PID != l.PID || was.Generation != l.Generation || was.Hash != l.Hash {
			continue
		}
		s := span{l.Member, was.To, l.From, -1, -1} // from the answer of one to the question of the other
		for n, h := range gens[l.Member] {
			if h != l.Hash {
				continue
			}
			if s.least < 0 {
				s.least = n
			}
			s.most = n
		}
		if s.least >= 0 {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b span) int { return int(a.from - b.from) })
	var open []span
	for _, s := range all {
		open = slices.DeleteFunc(open, func(o span) bool { return o.to < s.from })
		for _, o := range open {
			// A hash that a member has at several generations counts as the nearest.
			if apart := max(s.least-o.most, o.least-s.most); apart > 1 && len(wrong) < maxViolations {
				wrong = append(wrong, fmt.Sprintf("%v: %s ran generation %d beside %s at %d", s.from.Round(time.Millisecond), s.member, s.least, o.member, o.least))
			}
		}
		open = append(open, s)
	}
	return wrong
}

// maxViolations bounds what one check tells.
const maxViolations = 20

// CheckOwners tells where a member's granted epoch falls, or one epoch is of two owners.
func CheckOwners(looks []StatusRead) (wrong []string) {
	newest, of := make(map[string]uint64), make(map[uint64]string)
	for _, l := range looks { // of one member in the order in which it answered
		if l.Epoch < newest[l.Member] {
			wrong = append(wrong, fmt.Sprintf("%s: epoch %d after %d", l.Member, l.Epoch, newest[l.Member]))
		}
		newest[l.Member] = max(newest[l.Member], l.Epoch)
		if l.Epoch == 0 {
			continue
		}
		if o, ok := of[l.Epoch]; ok && o != l.Owner {
			wrong = append(wrong, fmt.Sprintf("epoch %d is of two owners, %s and %s", l.Epoch, o, l.Owner))
		}
		of[l.Epoch] = l.Owner
	}
	return wrong[:min(len(wrong), maxViolations)]
}

// MemberLog is what a member's log tells of coordinators.
type MemberLog struct {
	Grants, Commands int
	Violations       []string
	lastEpoch        uint64
	lastOwner        string
	startedCommands  map[string]bool
}

// Read reads a log. An order under an older epoch than one granted before, or by another owner, is wrong. A
// grant's own line may be lost with the process's end.
func (g *MemberLog) Read(member, log string, of map[uint64]string) {
	for line := range strings.Lines(log) {
		_, rest, ok := strings.Cut(line, `msg="`)
		if _, id, interrupted := strings.Cut(rest, "nothing of it remains\" id="); interrupted {
			id, _, _ = strings.Cut(id, " ")
			delete(g.startedCommands, id) // it may be begun again
		}
		grant := strings.HasPrefix(rest, "coordinator epoch granted")
		if !ok || !grant && !strings.HasPrefix(rest, "command started") {
			continue
		}
		var epoch uint64
		fields := fieldsOf(rest)
		if _, err := fmt.Sscan(fields["epoch"], &epoch); err != nil || fields["owner"] == "" {
			continue // cut by a kill
		}
		if epoch < g.lastEpoch || epoch == g.lastEpoch && g.lastOwner != fields["owner"] {
			g.Violations = append(g.Violations, fmt.Sprintf("%s: epoch %d of %s after %d of %s: %s", member, epoch, fields["owner"], g.lastEpoch, g.lastOwner, strings.TrimSpace(rest)))
		}
		g.lastEpoch, g.lastOwner = epoch, fields["owner"]
		if o, ok := of[epoch]; ok && o != g.lastOwner {
			g.Violations = append(g.Violations, fmt.Sprintf("%s: epoch %d of %s is of %s elsewhere", member, epoch, g.lastOwner, o))
		}
		of[epoch] = g.lastOwner
		if grant {
			g.Grants++
			continue
		}
		g.countCommand(member, fields["id"])
	}
}

// countCommand counts an order that is begun; one that was begun before is wrong.
func (g *MemberLog) countCommand(member, id string) {
	g.Commands++
	if g.startedCommands == nil {
		g.startedCommands = make(map[string]bool)
	}
	if g.startedCommands[id] {
		g.Violations = append(g.Violations, fmt.Sprintf("%s: order %s is begun twice", member, id))
	}
	g.startedCommands[id] = true
}

// fieldsOf are the KEY=VALUE fields of a log line.
func fieldsOf(line string) map[string]string {
	fields := make(map[string]string)
	for f := range strings.FieldsSeq(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			fields[k] = strings.Trim(v, `"`)
		}
	}
	return fields
}

// MaxExcess is by how much the requests of the worst stretch pass a rate and what may come at once. at is sorted.
func MaxExcess(at []time.Duration, rate, burst float64) float64 {
	worst, least := 0.0, 0.0
	for n, t := range at {
		// In a stretch from request k to request n there are n-k+1; least is the smallest k - rate*t_k.
		v := float64(n) - rate*t.Seconds()
		if n == 0 || v < least {
			least = v
		}
		worst = max(worst, v-least+1-burst)
	}
	return worst
}

// partResult is what a pool's servers answer of themselves.
type partResult struct {
	Pod string `json:"pod"`
	ID  string `json:"id"`
}

// CheckGatherResult tells whether a gathered answer, given by a region, holds exactly the parts that it claims.
func CheckGatherResult(region, id, parts, missing, body string) error {
	var held, all int
	if n, err := fmt.Sscanf(parts, "%d/%d", &held, &all); err != nil || n != 2 || all != regionCount || held < 1 || held > all {
		return fmt.Errorf("it claims %q of %d parts", parts, regionCount)
	}
	want := slices.Clone(regionNames)
	if missing != "" {
		for name := range strings.SplitSeq(missing, ",") {
			if name = strings.TrimSpace(name); name == "here" {
				name = region
			}
			n := slices.Index(want, name)
			if n < 0 {
				return fmt.Errorf("%q is missing, which is no part, or twice", name)
			}
			want = slices.Delete(want, n, n+1)
		}
	}
	if len(want) != held {
		return fmt.Errorf("it claims %s without %q", parts, missing)
	}
	var got []partResult
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		return fmt.Errorf("its body: %w", err)
	}
	var pods []string
	for _, e := range got {
		if e.ID != id {
			return fmt.Errorf("it holds what is of request %q", e.ID)
		}
		pods = append(pods, e.Pod)
	}
	slices.Sort(pods)
	slices.Sort(want)
	if !slices.Equal(pods, want) {
		return fmt.Errorf("it claims the parts of %v and holds those of %v", want, pods)
	}
	return nil
}
