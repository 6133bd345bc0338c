package regiontrial

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The checks below use only observations: status replies, logs, and what clients and fake servers receive.

// StatusRead is a status reply of a member.
type StatusRead struct {
	Member     string
	From, To   time.Duration // times of the request and of the reply
	PID        int
	Generation int // number of the generation, counted by the process
	Hash       string
	Epoch      uint64
	Owner      string
}

// CheckNeighbours reports pairs of members that ran generations more than one phase of the change apart at the same time.
// generations has the hashes of each member in the order of the change. If two consecutive status replies of a member have
// the same process and generation, the member ran that generation for the whole time between them, so no report is a false
// alarm. Generations that a member ran only between two replies are missed.
func CheckNeighbours(reads []StatusRead, generations map[string][]string) (violations []string) {
	type span struct {
		member   string
		from, to time.Duration
		first    int // first and last index of its hash in the member's generations
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
		s := span{read.Member, previous.To, read.From, -1, -1} // from the earlier reply to the later request
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
			// If a member has the same hash at several generations, the nearest one counts.
			if distance := max(s.first-o.last, o.first-s.last); distance > 1 && len(violations) < maxReported {
				violations = append(violations, fmt.Sprintf("%v: %s ran generation %d while %s ran generation %d", s.from.Round(time.Millisecond), s.member, s.first, o.member, o.first))
			}
		}
		open = append(open, s)
	}
	return violations
}

// maxReported is the largest number of violations that a check reports.
const maxReported = 20

// CheckOwners reports members whose granted epoch decreased, and epochs that were granted to two owners.
func CheckOwners(reads []StatusRead) (violations []string) {
	maxEpochs, owners := make(map[string]uint64), make(map[uint64]string)
	for _, read := range reads { // the replies of each member are in the order in which it sent them
		if read.Epoch < maxEpochs[read.Member] {
			violations = append(violations, fmt.Sprintf("%s: epoch decreased to %d after %d", read.Member, read.Epoch, maxEpochs[read.Member]))
		}
		maxEpochs[read.Member] = max(maxEpochs[read.Member], read.Epoch)
		if read.Epoch == 0 {
			continue
		}
		if o, ok := owners[read.Epoch]; ok && o != read.Owner {
			violations = append(violations, fmt.Sprintf("epoch %d has two owners, %s and %s", read.Epoch, o, read.Owner))
		}
		owners[read.Epoch] = read.Owner
	}
	return violations[:min(len(violations), maxReported)]
}

// MemberLog is a summary of what a member logged about coordinators, with the violations found in it.
type MemberLog struct {
	Grants, Orders int
	Wrong          []string
	epoch          uint64
	owner          string
	started        map[string]bool
}

// Read reads a member's log. A command or grant is a violation if its epoch is older than an earlier one, or if its owner
// is not the owner of its epoch. owners has the owner of each epoch known from all members. The log line of a grant may be
// missing, as it is lost if the process is killed, so the epochs of commands count too.
func (g *MemberLog) Read(member, log string, owners map[uint64]string) {
	for line := range strings.Lines(log) {
		_, rest, ok := strings.Cut(line, `msg="`)
		if _, id, interrupted := strings.Cut(rest, "nothing of it remains\" id="); interrupted {
			id, _, _ = strings.Cut(id, " ")
			delete(g.started, id) // the command may be started a second time
		}
		grant := strings.HasPrefix(rest, "coordinator epoch granted")
		if !ok || !grant && !strings.HasPrefix(rest, "command started") {
			continue
		}
		var epoch uint64
		fields := fieldsOf(rest)
		if _, err := fmt.Sscan(fields["epoch"], &epoch); err != nil || fields["owner"] == "" {
			continue // the line is truncated, as the process was killed
		}
		if epoch < g.epoch || epoch == g.epoch && g.owner != fields["owner"] {
			g.Wrong = append(g.Wrong, fmt.Sprintf("%s: epoch %d of owner %s after epoch %d of owner %s: %s", member, epoch, fields["owner"], g.epoch, g.owner, strings.TrimSpace(rest)))
		}
		g.epoch, g.owner = epoch, fields["owner"]
		if o, ok := owners[epoch]; ok && o != g.owner {
			g.Wrong = append(g.Wrong, fmt.Sprintf("%s: epoch %d of owner %s is of owner %s at another member", member, epoch, g.owner, o))
		}
		owners[epoch] = g.owner
		if grant {
			g.Grants++
			continue
		}
		g.addCommand(member, fields["id"])
	}
}

// addCommand counts a started command. A command that was started before is a violation.
func (g *MemberLog) addCommand(member, id string) {
	g.Orders++
	if g.started == nil {
		g.started = make(map[string]bool)
	}
	if g.started[id] {
		g.Wrong = append(g.Wrong, fmt.Sprintf("%s: command %s was started twice", member, id))
	}
	g.started[id] = true
}

// fieldsOf returns the KEY=VALUE fields of a log line without the quotes of the values.
func fieldsOf(line string) map[string]string {
	fields := make(map[string]string)
	for f := range strings.FieldsSeq(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			fields[k] = strings.Trim(v, `"`)
		}
	}
	return fields
}

// MaxExcess returns the largest number of requests by which any interval exceeds a token bucket's rate per second and
// burst. at has the sorted times of the requests.
func MaxExcess(at []time.Duration, rate, burst float64) float64 {
	maxExcess, minimum := 0.0, 0.0
	for n, t := range at {
		// The interval from request k to request n has n-k+1 requests; minimum is the smallest value of k - rate*t_k.
		v := float64(n) - rate*t.Seconds()
		if n == 0 || v < minimum {
			minimum = v
		}
		maxExcess = max(maxExcess, v-minimum+1-burst)
	}
	return maxExcess
}

// element is one pool's part of the answer to a query.
type element struct {
	Pod string `json:"pod"`
	ID  string `json:"id"`
}

// CheckParts returns an error unless a gathered answer of a region contains exactly the parts that its headers parts and
// missing announce, all of them for the request with the given id.
func CheckParts(region, id, parts, missing, body string) error {
	var claimed, all int
	if n, err := fmt.Sscanf(parts, "%d/%d", &claimed, &all); err != nil || n != 2 || all != regionCount || claimed < 1 || claimed > all {
		return fmt.Errorf("answer announces %q parts, want 1 to all of %d", parts, regionCount)
	}
	want := slices.Clone(regionNames)
	if missing != "" {
		for name := range strings.SplitSeq(missing, ",") {
			if name = strings.TrimSpace(name); name == "here" {
				name = region
			}
			n := slices.Index(want, name)
			if n < 0 {
				return fmt.Errorf("answer lists %q as missing, which is not a part or is listed twice", name)
			}
			want = slices.Delete(want, n, n+1)
		}
	}
	if len(want) != claimed {
		return fmt.Errorf("answer announces %s parts, which does not match the missing parts %q", parts, missing)
	}
	var got []element
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		return fmt.Errorf("answer's body: %w", err)
	}
	var pods []string
	for _, e := range got {
		if e.ID != id {
			return fmt.Errorf("answer contains an element of request %q", e.ID)
		}
		pods = append(pods, e.Pod)
	}
	slices.Sort(pods)
	slices.Sort(want)
	if !slices.Equal(pods, want) {
		return fmt.Errorf("answer announces the parts of %v and contains those of %v", want, pods)
	}
	return nil
}
