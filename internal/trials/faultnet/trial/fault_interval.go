package trial

import (
	"context"
	"time"

	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/script"
)

// side is what faults can explain: what clients of a node see by themselves, or the way beyond it.
type side struct {
	node       int
	isUpstream bool
}

// faultInterval is the faults of one side.
type faultInterval struct {
	activeFaults int       // in force
	lastEnd      time.Time // when one ended last
}

// explainedSide gives the side that a fault explains what happens on; false where it explains nothing.
func (r *run) explainedSide(e script.Entry) (side, bool) {
	switch {
	case !e.Kind.OfLink():
		return side{node: e.On}, e.Kind == script.Kill || e.Kind == script.Pause
	case e.On%(2+r.options.Servers) == 0:
		return side{node: e.On / (2 + r.options.Servers)}, true
	case e.On%(2+r.options.Servers) == 1:
		return side{}, false
	}
	return side{node: e.On / (2 + r.options.Servers), isUpstream: true}, true
}

// beforeStep notes faults ahead of their begin, so that whoever feels one finds it noted.
func (r *run) beforeStep(st script.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range st.Begins {
		if s, ok := r.explainedSide(e); ok {
			if r.sides[s] == nil {
				r.sides[s] = &faultInterval{}
			}
			r.sides[s].activeFaults++
		}
		if e.Kind == script.Kill {
			r.kills++
		}
	}
}

// afterStep notes the end of faults once they have ended: that of a kill when clients find the new
// process.
func (r *run) afterStep(ev faultnet.Event) {
	for _, e := range ev.Step.Begins {
		if e.Kind == script.Kill {
			r.link(e.On, 0).To(unusedAddr) // the port may be another's by now
		}
	}
	for _, e := range ev.Step.Ends {
		s, ok := r.explainedSide(e)
		if !ok {
			continue
		}
		if e.Kind == script.Kill && r.procs[e.On].Runs() {
			r.starts.Go(func() {
				// Where it is killed again meanwhile, the start after that counts.
				p := r.procs[e.On]
				starts := p.Starts()
				if err := r.awaitReady(context.Background(), e.On); err != nil && p.Runs() && p.Starts() == starts {
					r.notes.Wrong("node %d: %v; %s", e.On, err, r.tail(e.On))
				}
				r.noteFaultEnd(s)
			})
			continue
		}
		r.noteFaultEnd(s)
	}
	if r.options.OnEvent != nil {
		r.options.OnEvent(ev)
	}
}

func (r *run) noteFaultEnd(s side) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sides[s].activeFaults--
	r.sides[s].lastEnd = time.Now()
}

// isClientFaultPossible tells whether a fault of a node's clients' way or of its process explains what has
// befallen a connection since then; beyond is of the ways to its servers.
func (r *run) isClientFaultPossible(node int, since time.Time) bool {
	return r.isFaultPossible(side{node: node}, since)
}

func (r *run) isUpstreamFaultPossible(node int, since time.Time) bool {
	return r.isFaultPossible(side{node: node, isUpstream: true}, since)
}

func (r *run) isFaultPossible(s side, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.sides[s]
	return t != nil && (t.activeFaults > 0 || t.lastEnd.After(since))
}
