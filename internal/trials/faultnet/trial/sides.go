package trial

import (
	"context"
	"time"

	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/script"
)

// side is the part of a node's connections that a fault affects: those to its clients, or those to its servers.
type side struct {
	node       int
	isUpstream bool
}

// affectedSide returns the side that a fault affects. ok is false if it affects no requests.
func (r *run) affectedSide(e script.Entry) (side, bool) {
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

// beforeStep records faults before they begin, so that a client that a fault affects finds it recorded.
func (r *run) beforeStep(st script.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range st.Begins {
		if s, ok := r.affectedSide(e); ok {
			r.faults.Begin(s)
		}
		if e.Kind == script.Kill {
			r.kills++
		}
	}
}

// afterStep records the end of faults: that of a kill when clients can reach the new process.
func (r *run) afterStep(ev faultnet.Event) {
	for _, e := range ev.Step.Begins {
		if e.Kind == script.Kill {
			r.link(e.On, 0).To(unusedAddr) // another process may listen on the port by now
		}
	}
	for _, e := range ev.Step.Ends {
		s, ok := r.affectedSide(e)
		if !ok {
			continue
		}
		if e.Kind == script.Kill && r.procs[e.On].Runs() {
			r.starts.Go(func() {
				// If the process is killed again meanwhile, its failure to become ready is no violation: the
				// start after that kill is checked.
				p := r.procs[e.On]
				starts := p.Starts()
				if err := r.awaitReady(context.Background(), e.On); err != nil && p.Runs() && p.Starts() == starts {
					r.exchanges.Wrong("node %d: %v; %s", e.On, err, r.logTail(e.On))
				}
				r.faults.End(s)
			})
			continue
		}
		r.faults.End(s)
	}
	if r.options.OnEvent != nil {
		r.options.OnEvent(ev)
	}
}

// isClientFaultPossible reports whether a fault of the link from a node's clients or of its process may have
// affected a connection since a time.
func (r *run) isClientFaultPossible(node int, since time.Time) bool {
	return r.faults.IsPossible(side{node: node}, since)
}

// isUpstreamFaultPossible reports the same for a node's links to its servers.
func (r *run) isUpstreamFaultPossible(node int, since time.Time) bool {
	return r.faults.IsPossible(side{node: node, isUpstream: true}, since)
}
