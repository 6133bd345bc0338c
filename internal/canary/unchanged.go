package canary

import (
	"math"
	"time"
)

// unchangedMembers are the members that a stage does not change. What the changed ones do to them shows in both
// sides alike, so they are held against themselves before the stage.
type unchangedMembers struct {
	current  member // all of them as one
	early    batch  // within Onset of the last change
	previous []batch
	steps    [countedMeasures][]estimate // of earlier stages
	isKnown  bool                        // that they were watched before this stage
}

func (o *unchangedMembers) begin(j *Judge, first bool) {
	if !first {
		for k := range countedMeasures {
			if s, ok := j.unchangedStep(k); ok {
				o.steps[k] = append(o.steps[k], estimate{min(s.diff, s.early, s.lately), s.v})
				if len(o.steps[k]) > 16 {
					o.steps[k] = o.steps[k][1:]
				}
			}
		}
	}
	o.previous = append([]batch(nil), o.current.window(!first)...)
	o.isKnown = len(o.previous) >= 4
	o.restart()
}

// restart says that another member has changed: what came before is of a smaller dose.
func (o *unchangedMembers) restart() { o.current.reset(); o.early = batch{} }

func (o *unchangedMembers) add(since, onset time.Duration, b *batch) {
	at := &o.current.batches[o.current.fullBatches]
	for k := range countedMeasures {
		at.y[k], at.d[k] = at.y[k]+b.y[k], at.d[k]+b.d[k]
		if since <= onset {
			o.early.y[k], o.early.d[k] = o.early.y[k]+b.y[k], o.early.d[k]+b.d[k]
		}
	}
	at.n++
	o.current.advance()
}

// jump is a step of the others at a stage.
type jump struct {
	diff, v       float64
	early, lately float64 // what of it there was within Onset, and is in the later half
}

// unchangedStep is what a measure of the others has become since the stage began.
func (j *Judge) unchangedStep(k int) (jump, bool) {
	o := &j.unchanged
	if !o.isKnown {
		return jump{}, false
	}
	now := o.current.window(false)
	var py, pd, y, d float64
	for _, m := range j.order {
		if !m.isChangedInStage && m.implausibleReadings < maxImplausibleReadings && m.prev.d[k] > 0 && m.raw.d[k] > 0 {
			py, pd, y, d = py+m.prev.y[k], pd+m.prev.d[k], y+m.raw.y[k], d+m.raw.d[k]
		}
	}
	ly, ld := sum(o.current.window(true), k)
	if pd <= 0 || d <= 0 || ld <= 0 || o.early.d[k] <= 0 || len(now) < 4 {
		return jump{}, false
	}
	s := within([][]batch{o.previous, now}, []float64{1, 1}, k)
	if s.df < 6 {
		return jump{}, false
	}
	was := py / pd
	v := max(s.v, (was+j.options.margin(k)/4)*j.unit(k)) * (1/pd + 1/d)
	return jump{y/d - was, v, o.early.y[k]/o.early.d[k] - was, ly/ld - was}, true
}

// harmToUnchanged tells which measure of the others has become worse with the stage and has stayed so, and whether
// that can be laid to the change: they also did so at an earlier, smaller step.
func (j *Judge) harmToUnchanged() (k int, again bool, is bool) {
	worst := 0.0
	for i := measureLost; i <= measureSlow; i++ {
		s, ok := j.unchangedStep(i)
		if !ok {
			continue
		}
		m := j.options.margin(i)
		low := s.diff - width(s.v, m, 0.1*j.options.MaxFalseAlarms/float64(j.options.Stages)/(measureSlow+1), true)
		if low > m/2 && s.early > m/2 && s.lately > m/2 && low/m > worst {
			worst, k, is, again = low/m, i, true, false
			for _, was := range j.unchanged.steps[i] {
				if was.mean > m/2 && was.mean > 4*math.Sqrt(was.variance) && s.diff > 1.5*was.mean { // with the dose
					again = true
				}
			}
		}
	}
	return k, again, is
}
