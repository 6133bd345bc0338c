package regiontrial

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// StatusRead is a status that a member reported. Times are since the start of the trial.
type StatusRead struct {
	Member     string
	From, To   time.Duration // of the request and of the response
	PID        int
	Generation int // counted by the process
	Hash       string
	Epoch      uint64
	Owner      string
}

// isSameRun tells whether a member ran one generation from an earlier read to this one.
func (s *StatusRead) isSameRun(earlier *StatusRead) bool {
	return s.PID == earlier.PID && s.Generation == earlier.Generation && s.Hash == earlier.Hash
}

// maxViolations bounds the violations that one check returns.
const maxViolations = 20

// generationSpan is a time in which a member certainly ran one generation.
type generationSpan struct {
	member      string
	from, to    time.Duration
	first, last int // positions of its hash among the member's generations; there may be several
}

// distance returns how many generations two spans are apart at least.
func (s *generationSpan) distance(other *generationSpan) int {
	return max(s.first-other.last, other.first-s.last)
}

// CheckNeighbours returns where two members certainly ran generations at one moment that don't follow each
// other. generations are each member's hashes in the order of the change. Between two successive reads with
// the same process and generation a member has run just that one. What happens between other reads is not
// checked.
func CheckNeighbours(reads []StatusRead, generations map[string][]string) (violations []string) {
	spans := generationSpans(reads, generations)
	slices.SortFunc(spans, func(a, b generationSpan) int { return int(a.from - b.from) })
	var open []generationSpan
	for _, span := range spans {
		open = slices.DeleteFunc(open, func(other generationSpan) bool { return other.to < span.from })
		for _, other := range open {
			if span.distance(&other) > 1 && len(violations) < maxViolations {
				violations = append(violations, fmt.Sprintf("%v: %s ran generation %d beside %s at %d",
					span.from.Round(time.Millisecond), span.member, span.first, other.member, other.first))
			}
		}
		open = append(open, span)
	}
	return violations
}

func generationSpans(reads []StatusRead, generations map[string][]string) (spans []generationSpan) {
	last := make(map[string]StatusRead)
	for _, read := range reads {
		earlier, ok := last[read.Member]
		last[read.Member] = read
		if !ok || !read.isSameRun(&earlier) {
			continue
		}
		own := generations[read.Member]
		first := slices.Index(own, read.Hash)
		if first < 0 {
			continue
		}
		span := generationSpan{member: read.Member, from: earlier.To, to: read.From, first: first, last: first}
		for i, hash := range own {
			if hash == read.Hash {
				span.last = i
			}
		}
		spans = append(spans, span)
	}
	return spans
}

// CheckOwners returns where a member's granted epoch falls, or one epoch has two owners. The reads of each
// member are in their order.
func CheckOwners(reads []StatusRead) (violations []string) {
	newest := make(map[string]uint64)
	owners := make(map[uint64]string)
	for _, read := range reads {
		if read.Epoch < newest[read.Member] {
			violations = append(violations, fmt.Sprintf("%s: epoch %d after %d", read.Member, read.Epoch, newest[read.Member]))
		}
		newest[read.Member] = max(newest[read.Member], read.Epoch)
		if read.Epoch == 0 {
			continue
		}
		if owner, ok := owners[read.Epoch]; ok && owner != read.Owner {
			violations = append(violations, fmt.Sprintf("epoch %d is of two owners, %s and %s", read.Epoch, owner, read.Owner))
		}
		owners[read.Epoch] = read.Owner
	}
	return violations[:min(len(violations), maxViolations)]
}

// MaxExcess returns by how many requests any interval exceeds a rate a second and a burst. times are sorted.
func MaxExcess(times []time.Duration, rate, burst float64) float64 {
	excess, lowest := 0.0, 0.0
	for n, t := range times {
		// The interval from request k to request n has n-k+1 requests; lowest is the smallest k - rate*t_k.
		v := float64(n) - rate*t.Seconds()
		if n == 0 || v < lowest {
			lowest = v
		}
		excess = max(excess, v-lowest+1-burst)
	}
	return excess
}

// partResult is what a pool's server answers.
type partResult struct {
	Pod string `json:"pod"`
	ID  string `json:"id"`
}

// CheckGatherResult returns an error unless a gathered result of a region has exactly the parts that its
// headers claim. parts is "N/ALL", missing is a list with commas.
func CheckGatherResult(region, id, parts, missing, body string) error {
	expected, err := expectedParts(region, parts, missing)
	if err != nil {
		return err
	}
	var results []partResult
	if err := json.Unmarshal([]byte(body), &results); err != nil {
		return fmt.Errorf("its body: %w", err)
	}
	var pods []string
	for _, result := range results {
		if result.ID != id {
			return fmt.Errorf("it holds what is of request %q", result.ID)
		}
		pods = append(pods, result.Pod)
	}
	slices.Sort(pods)
	slices.Sort(expected)
	if !slices.Equal(pods, expected) {
		return fmt.Errorf("it claims the parts of %v and holds those of %v", expected, pods)
	}
	return nil
}

// expectedParts returns the parts that the headers of a gathered result claim.
func expectedParts(region, parts, missing string) ([]string, error) {
	var count, all int
	n, err := fmt.Sscanf(parts, "%d/%d", &count, &all)
	isValidCount := count >= 1 && count <= all && all == regionCount
	if err != nil || n != 2 || !isValidCount {
		return nil, fmt.Errorf("it claims %q of %d parts", parts, regionCount)
	}
	expected := slices.Clone(regionNames)
	if missing != "" {
		for name := range strings.SplitSeq(missing, ",") {
			if name = strings.TrimSpace(name); name == "here" {
				name = region
			}
			i := slices.Index(expected, name)
			if i < 0 {
				return nil, fmt.Errorf("%q is missing, which is no part, or twice", name)
			}
			expected = slices.Delete(expected, i, i+1)
		}
	}
	if len(expected) != count {
		return nil, fmt.Errorf("it claims %s without %q", parts, missing)
	}
	return expected, nil
}
