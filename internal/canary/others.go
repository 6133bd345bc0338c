package canary

import (
	"math"
	"time"
)

// others are the members that a stage does not change. What the changed ones do to them shows in both
// sides alike, so they are held against themselves before the stage.
type others struct {
	now   member // all of them as one
	early batch  // within Onset of the last change
	prev  []batch
	steps [counted][]est // of earlier stages
	known bool           // that they were watched before this stage
}

func (o *others) begin(j *Judge, first bool) {
	if !first {
		for k := range counted {
			if s, ok := j.step(k); ok {
				o.steps[k] = append(o.steps[k], est{min(s.diff, s.early, s.lately), s.v})
				if len(o.steps[k]) > 16 {
					o.steps[k] = o.steps[k][1:]
				}
			}
		}
	}
	o.prev = append([]batch(nil), o.now.window(!first)...)
	o.known = len(o.prev) >= 4
	o.flipped()
}

// flipped says that another member has changed: what came before is of a smaller dose.
func (o *others) flipped() { o.now.reset(); o.early = batch{} }

func (o *others) add(since, onset time.Duration, b *batch) {
	at := &o.now.now[o.now.full]
	for k := range counted {
		at.y[k], at.d[k] = at.y[k]+b.y[k], at.d[k]+b.d[k]
		if since <= onset {
			o.early.y[k], o.early.d[k] = o.early.y[k]+b.y[k], o.early.d[k]+b.d[k]
		}
	}
	at.n++
	o.now.advance()
}

// jump is a step of the others at a stage.
type jump struct {
	diff, v       float64
	early, lately float64 // what of it there was within Onset, and is in the later half
}

// step is what a measure of the others has become since the stage began.
func (j *Judge) step(k int) (jump, bool) {
	o := &j.others
	if !o.known {
		return jump{}, false
	}
	now := o.now.window(false)
	var py, pd, y, d float64
	for _, m := range j.order {
		if !m.fresh && m.strikes < strikes && m.prev.d[k] > 0 && m.raw.d[k] > 0 {
			py, pd, y, d = py+m.prev.y[k], pd+m.prev.d[k], y+m.raw.y[k], d+m.raw.d[k]
		}
	}
	ly, ld := sum(o.now.window(true), k)
	if pd <= 0 || d <= 0 || ld <= 0 || o.early.d[k] <= 0 || len(now) < 4 {
		return jump{}, false
	}
	s := within([][]batch{o.prev, now}, []float64{1, 1}, k)
	if s.df < 6 {
		return jump{}, false
	}
	was := py / pd
	v := max(s.v, (was+j.o.margin(k)/4)*j.unit(k)) * (1/pd + 1/d)
	return jump{y/d - was, v, o.early.y[k]/o.early.d[k] - was, ly/ld - was}, true
}

// harmed tells which measure of the others has become worse with the stage and has stayed so, and whether
// that can be laid to the change: they also did so at an earlier, smaller step.
func (j *Judge) harmed() (k int, again bool, is bool) {
	worst := 0.0
	for i := lost; i <= slow; i++ {
		s, ok := j.step(i)
		if !ok {
			continue
		}
		m := j.o.margin(i)
		low := s.diff - width(s.v, m, 0.1*j.o.Alpha/float64(j.o.Stages)/(slow+1), true)
		if low > m/2 && s.early > m/2 && s.lately > m/2 && low/m > worst {
			worst, k, is, again = low/m, i, true, false
			for _, was := range j.others.steps[i] {
				if was.a > m/2 && was.a > 4*math.Sqrt(was.v) && s.diff > 1.5*was.a { // with the dose
					again = true
				}
			}
		}
	}
	return k, again, is
}
