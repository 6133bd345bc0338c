package node

import (
	"lockflow/control"
	"lockflow/internal/service"
	"lockflow/internal/state"
)

// collectState returns a checkpoint of the services in force and the scatter-gather models. capture returns the state of
// a service, or false if it has none.
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

// Checkpoint returns the quotas that the node has spent and the state that it has learned.
func (n *Node) Checkpoint() state.Checkpoint { return n.collectState((*service.Service).Checkpoint) }

// HandOver returns a checkpoint like Checkpoint, and hands over a fraction (0 to 1) of the remaining quotas to another
// process until Rejoin is called.
func (n *Node) HandOver(fraction float64) state.Checkpoint {
	return n.collectState(func(s *service.Service) (service.State, bool) { return s.HandOver(fraction) })
}

// Restore takes over the spent quotas and learned state of another node or an earlier run. It is called before the first
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

// Rejoin ends the split of quotas that HandOver or Restore began, after the process with the other part has ended.
// returned is the state that comes back from that process, or nil if it is not known.
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
