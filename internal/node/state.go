package node

import (
	"lockflow/control"
	"lockflow/internal/service"
	"lockflow/internal/state"
)

// collectState gets the state of each service in force; capture returns false where there is none.
func (n *Node) collectState(capture func(*service.Service) (service.State, bool)) state.Checkpoint {
	checkpoint := state.Checkpoint{Generation: n.Generation(), Services: make(map[string]service.State)}
	checkpoint.Stamp()
	for name, s := range n.currentServices() {
		if captured, ok := capture(s.Service); ok {
			checkpoint.Services[name] = captured
		}
	}
	checkpoint.ScatterGathers = n.gathererModels()
	return checkpoint
}

// Checkpoint returns what the node has spent and learned.
func (n *Node) Checkpoint() state.Checkpoint { return n.collectState((*service.Service).Checkpoint) }

// HandOver is Checkpoint that hands over a fraction (0 to 1) of the remaining quotas to another process, until Rejoin.
func (n *Node) HandOver(fraction float64) state.Checkpoint {
	return n.collectState(func(s *service.Service) (service.State, bool) { return s.HandOver(fraction) })
}

// Restore takes over what another node, or an earlier run, has spent and learned. It is called before the first
// client connects.
func (n *Node) Restore(checkpoint state.Checkpoint, trust control.Trust) {
	n.mu.Lock()
	n.generation = max(n.generation, checkpoint.Generation)
	n.mu.Unlock()
	age := checkpoint.Age()
	n.restoreGathererModels(checkpoint.ScatterGathers, age)
	for name, s := range n.currentServices() {
		if captured, ok := checkpoint.Services[name]; ok {
			s.Restore(captured, age, trust)
		}
	}
}

// Rejoin ends the split of quotas that HandOver or Restore began: the process with the other part has ended.
// returned is what it left; nil where that is not known.
func (n *Node) Rejoin(returned *state.Checkpoint) {
	for name, s := range n.currentServices() {
		var returnedState *service.State
		if returned != nil {
			if captured, ok := returned.Services[name]; ok {
				returnedState = &captured
			}
		}
		s.Rejoin(returnedState)
	}
}
