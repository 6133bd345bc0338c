package canary

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Verdict is what the stage has come to by now. It may be asked as often as one likes.
func (j *Judge) Verdict(now time.Duration) Verdict {
	var v Verdict
	var worse, thin, lately []string
	var passes *Measure
	for k := range measures {
		m, h := j.both(k)
		if k == units {
			passes = &m
		}
		if m.Worse {
			worse = append(worse, tell(&m))
		}
		switch {
		case !j.told(k): // neither side has any of it
			m.Enough = true
		case !m.Enough:
			thin = append(thin, fmt.Sprintf("%s: up to %.3g, margin %.3g", m.Name, m.High, m.Margin))
		case m.Members > 0 && h.diff >= m.Margin:
			m.Enough = false
			lately = append(lately, fmt.Sprintf("%s lately: %.3g, margin %.3g", m.Name, h.diff, m.Margin))
		}
		v.Measures = append(v.Measures, m)
	}
	crash, breach, shown := j.ends()
	worse = append(worse, shown...)
	k, again, harmed := j.harmed()
	whose := ""
	if harmed {
		whose = fmt.Sprintf("those not changed have become worse with the stage (%s)", names[k])
		switch {
		case passes.Low > 0:
			worse = append(worse, whose+", and the changed ones take more than their part")
		case again:
			worse = append(worse, whose+", as they did with an earlier one")
		}
	}
	since := now - j.flip
	switch {
	case len(worse) > 0:
		v.Kind, v.Why = Worse, strings.Join(worse, "; ")
	case since < j.o.BakeLeast:
		v.Kind, v.Why = Wait, fmt.Sprintf("watched for %v of %v", since.Round(time.Second), j.o.BakeLeast)
	case harmed:
		v.Kind, v.Why = j.end(since), whose+"; nothing tells the change from the world"
	case crash >= 150 || breach >= 150:
		v.Kind, v.Why = j.end(since), fmt.Sprintf("%d crashes and %d breaches of the new side are too many to go on and too few to blame it", j.crash.n[1], j.breach.n[1])
	case !j.hasOld():
		if v.Kind, v.Why = Pass, "all are changed, and the fleet is as it was before the stage"; !j.lives(now) {
			v.Kind, v.Why = j.end(since), "too few members tell anything"
		}
	case len(thin) > 0:
		v.Kind, v.Why = j.end(since), "too little evidence: "+strings.Join(thin, "; ")
	case len(lately) > 0:
		v.Kind, v.Why = j.end(since), strings.Join(lately, "; ")
	case !j.lives(now):
		v.Kind, v.Why = j.end(since), "too few of the changed members tell anything"
	default:
		v.Kind, v.Why = Pass, "no harm beyond the margins"
	}
	return v
}

// ends holds crashes and breaches of both sides against each other, as likelihood ratios, and gives what is shown.
func (j *Judge) ends() (crash, breach float64, worse []string) {
	// Crashes are rare: one side has had none as a rule. What the world does hits both sides, and then the
	// relative one is small.
	crash, breach = j.crash.absolute(j.o.Crash), j.breach.relative()
	if j.crash.relative() < 3 {
		crash = 0
	}
	if limit := 1 / (0.15 * j.o.Alpha); crash >= limit {
		worse = append(worse, fmt.Sprintf("crashes: %d in %v of the new, %d in %v of the old", j.crash.n[1], j.crash.time[1].Round(time.Second),
			j.crash.n[0], j.crash.time[0].Round(time.Second)))
	}
	if limit := 1 / (0.05 * j.o.Alpha); breach >= limit {
		worse = append(worse, fmt.Sprintf("breaches: in %d intervals of the new, %d of the old", j.breach.n[1], j.breach.n[0]))
	}
	return crash, breach, worse
}

// both compares a measure over the stage, mended by what its later half shows, and over that half.
func (j *Judge) both(k int) (m, half Measure) {
	m = j.compare(k, false)
	half = m
	if k != growth { // a line through few points says nothing
		half = j.compare(k, true)
	}
	// A fault of the world that is over does not keep a stage from passing by what came after it.
	if half.Enough && !m.Enough && half.High < m.High {
		m.Enough, m.High = true, half.High
	}
	if half.Worse && !m.Worse {
		m.Worse, m.Low = true, half.Low
	}
	return m, half
}

// hasOld tells whether a member that tells something of itself is not changed.
func (j *Judge) hasOld() bool {
	return slices.ContainsFunc(j.order, func(m *member) bool { return m.has && m.side != New })
}

// end is Wait until a stage may be watched no longer.
func (j *Judge) end(since time.Duration) Kind {
	if since >= j.o.BakeMost {
		return NoEvidence
	}
	return Wait
}

// told tells whether any side has anything of a measure that can be compared.
func (j *Judge) told(k int) bool {
	from := min(k, memory)
	if k == growth && !j.grows() {
		return false
	}
	if relative(k) {
		return j.raw[0].y[from]+j.raw[1].y[from] > 0
	}
	return true
}

// lives tells whether nine in ten of the changed members are up, told of themselves lately and can be believed.
func (j *Judge) lives(now time.Duration) bool {
	n, fine := 0, 0
	for _, m := range j.order {
		if m.side == New {
			n++
			if m.up && m.has && m.strikes < strikes && now-m.at <= 2*j.o.Warm {
				fine++
			}
		}
	}
	return n > 0 && 10*fine >= 9*n
}

func tell(m *Measure) string {
	return fmt.Sprintf("%s: %.3g of the new, %.3g of the old, at least %.3g more", m.Name, m.New, m.Old, m.Low)
}
