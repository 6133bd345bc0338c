package trial

import (
	"context"
	"time"

	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/script"
)

// side is what faults can explain: what clients of a node see by themselves, or the way beyond it.
type side struct {
	node   int
	beyond bool
}

// trouble is the faults of one side.
type trouble struct {
	open int       // in force
	last time.Time // when one ended last
}

// of gives the side that a fault explains what happens on; false where it explains nothing.
func (r *run) of(e script.Entry) (side, bool) {
	switch {
	case !e.Kind.OfLink():
		return side{node: e.On}, e.Kind == script.Kill || e.Kind == script.Pause
	case e.On%(2+r.o.Servers) == 0:
		return side{node: e.On / (2 + r.o.Servers)}, true
	case e.On%(2+r.o.Servers) == 1:
		return side{}, false
	}
	return side{node: e.On / (2 + r.o.Servers), beyond: true}, true
}

// before notes faults ahead of their begin, so that whoever feels one finds it noted.
func (r *run) before(st script.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range st.Begins {
		if s, ok := r.of(e); ok {
			if r.sides[s] == nil {
				r.sides[s] = &trouble{}
			}
			r.sides[s].open++
		}
		if e.Kind == script.Kill {
			r.kills++
		}
	}
}

// seen notes the end of faults once they have ended: that of a kill when clients find the new
// process.
func (r *run) seen(ev faultnet.Event) {
	for _, e := range ev.Step.Begins {
		if e.Kind == script.Kill {
			r.link(e.On, 0).To(nowhere) // the port may be another's by now
		}
	}
	for _, e := range ev.Step.Ends {
		s, ok := r.of(e)
		if !ok {
			continue
		}
		if e.Kind == script.Kill && r.procs[e.On].Runs() {
			r.starts.Go(func() {
				// Where it is killed again meanwhile, the start after that counts.
				p := r.procs[e.On]
				starts := p.Starts()
				if err := r.up(context.Background(), e.On); err != nil && p.Runs() && p.Starts() == starts {
					r.notes.Wrong("node %d: %v; %s", e.On, err, r.tail(e.On))
				}
				r.over(s)
			})
			continue
		}
		r.over(s)
	}
	if r.o.Seen != nil {
		r.o.Seen(ev)
	}
}

func (r *run) over(s side) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sides[s].open--
	r.sides[s].last = time.Now()
}

// excused tells whether a fault of a node's clients' way or of its process explains what has
// befallen a connection since then; beyond is of the ways to its servers.
func (r *run) excused(node int, since time.Time) bool { return r.explained(side{node: node}, since) }

func (r *run) beyond(node int, since time.Time) bool {
	return r.explained(side{node: node, beyond: true}, since)
}

func (r *run) explained(s side, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.sides[s]
	return t != nil && (t.open > 0 || t.last.After(since))
}
