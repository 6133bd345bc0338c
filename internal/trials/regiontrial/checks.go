package regiontrial

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The rules of a trial, checked from observations alone.

// StatusRead is one status reply of a member.
type StatusRead struct {
	Member     string
	From, To   time.Duration // request and reply
	PID        int
	Generation int // counted by the process
	Hash       string
	Epoch      uint64
	Owner      string
}

// CheckNeighbours reports members that certainly ran generations at the same time that are no neighbours.
// generations are each member's hashes in the order of the change. Between two consecutive status reads with the
// same process and generation a member ran just that one, so reports are certain; changes between reads are missed.
func CheckNeighbours(reads []StatusRead, generations map[string][]string) (violations []string) {
	type span struct {
		member   string
		from, to time.Duration
		first    int // places of its hash in the member's generations
		last     int
	}
	last := make(map[string]StatusRead)
	var all []span
	for _, read := range reads {
		previous, ok := last[read.Member]
		last[read.Member] = read
		if !ok || previous.PID != read.PID || previous.Generation != read.Generation || previous.Hash != read.Hash {
			continue
		}
		s := span{read.Member, previous.To, read.From, -1, -1} // from the reply of one to the request of the other
		for n, h := range generations[read.Member] {
			if h != read.Hash {
				continue
			}
			if s.first < 0 {
				s.first = n
			}
			s.last = n
		}
		if s.first >= 0 {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b span) int { return int(a.from - b.from) })
	var open []span
	for _, s := range all {
		open = slices.DeleteFunc(open, func(o span) bool { return o.to < s.from })
		for _, o := range open {
			// A hash that a member has at several generations counts as the nearest.
			if distance := max(s.first-o.last, o.first-s.last); distance > 1 && len(violations) < maxReported {
				violations = append(violations, fmt.Sprintf("%v: %s ran generation %d beside %s at %d", s.from.Round(time.Millisecond), s.member, s.first, o.member, o.first))
			}
		}
		open = append(open, s)
	}
	return violations
}

// maxReported bounds the violations that one check reports.
const maxReported = 20

// CheckOwners reports granted epochs of a member that decrease, and epochs with two owners.
func CheckOwners(reads []StatusRead) (violations []string) {
	maxEpochs, owners := make(map[string]uint64), make(map[uint64]string)
	for _, read := range reads { // of one member in the order in which it answered
		if read.Epoch < maxEpochs[read.Member] {
			violations = append(violations, fmt.Sprintf("%s: epoch %d after %d", read.Member, read.Epoch, maxEpochs[read.Member]))
		}
		maxEpochs[read.Member] = max(maxEpochs[read.Member], read.Epoch)
		if read.Epoch == 0 {
			continue
		}
		if o, ok := owners[read.Epoch]; ok && o != read.Owner {
			violations = append(violations, fmt.Sprintf("epoch %d is of two owners, %s and %s", read.Epoch, o, read.Owner))
		}
		owners[read.Epoch] = read.Owner
	}
	return violations[:min(len(violations), maxReported)]
}

// MemberLog is what a member logged of coordinators.
type MemberLog struct {
	Grants, Orders int
	Wrong          []string
	epoch          uint64
	owner          string
	started        map[string]bool
}

// Read reads a log. A command under an older epoch than one granted before, or by another owner, is a violation.
// The line of a grant may be lost with the process.
func (g *MemberLog) Read(member, log string, owners map[uint64]string) {
	for line := range strings.Lines(log) {
		_, rest, ok := strings.Cut(line, `msg="`)
		if _, id, interrupted := strings.Cut(rest, "nothing of it remains\" id="); interrupted {
			id, _, _ = strings.Cut(id, " ")
			delete(g.started, id) // it may be started again
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
		if epoch < g.epoch || epoch == g.epoch && g.owner != fields["owner"] {
			g.Wrong = append(g.Wrong, fmt.Sprintf("%s: epoch %d of %s after %d of %s: %s", member, epoch, fields["owner"], g.epoch, g.owner, strings.TrimSpace(rest)))
		}
		g.epoch, g.owner = epoch, fields["owner"]
		if o, ok := owners[epoch]; ok && o != g.owner {
			g.Wrong = append(g.Wrong, fmt.Sprintf("%s: epoch %d of %s is of %s elsewhere", member, epoch, g.owner, o))
		}
		owners[epoch] = g.owner
		if grant {
			g.Grants++
			continue
		}
		g.addCommand(member, fields["id"])
	}
}

// addOrder counts a command that was started. One that was started before is a violation.
func (g *MemberLog) addCommand(member, id string) {
	g.Orders++
	if g.started == nil {
		g.started = make(map[string]bool)
	}
	if g.started[id] {
		g.Wrong = append(g.Wrong, fmt.Sprintf("%s: order %s is begun twice", member, id))
	}
	g.started[id] = true
}

// fieldsOf returns the KEY=VALUE fields of a log line.
func fieldsOf(line string) map[string]string {
	fields := make(map[string]string)
	for f := range strings.FieldsSeq(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			fields[k] = strings.Trim(v, `"`)
		}
	}
	return fields
}

// MaxExcess returns the largest excess of requests over rate and burst in any interval. at is sorted.
func MaxExcess(at []time.Duration, rate, burst float64) float64 {
	maxExcess, minimum := 0.0, 0.0
	for n, t := range at {
		// An interval from request k to request n has n-k+1 requests; minimum is the smallest k - rate*t_k.
		v := float64(n) - rate*t.Seconds()
		if n == 0 || v < minimum {
			minimum = v
		}
		maxExcess = max(maxExcess, v-minimum+1-burst)
	}
	return maxExcess
}

// element is the answer of one pool to a query.
type element struct {
	Pod string `json:"pod"`
	ID  string `json:"id"`
}

// CheckParts returns an error unless a gathered answer of a region has exactly the parts that it claims.
func CheckParts(region, id, parts, missing, body string) error {
	var claimed, all int
	if n, err := fmt.Sscanf(parts, "%d/%d", &claimed, &all); err != nil || n != 2 || all != regionCount || claimed < 1 || claimed > all {
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
	if len(want) != claimed {
		return fmt.Errorf("it claims %s without %q", parts, missing)
	}
	var got []element
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
