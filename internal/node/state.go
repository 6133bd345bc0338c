package node

import (
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/control"
	"lockflow/internal/service"
	"lockflow/internal/state"
)

// ListenerFiles are the sockets on which clients come, by the addresses of the configuration, for a
// process that is to listen on them too. They are the caller's to close.
func (n *Node) ListenerFiles() (map[string]*os.File, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make(map[string]*os.File)
	for _, l := range n.listeners {
		if l.tcp == nil {
			continue
		}
		f, err := duplicateSocket(l.tcp)
		if err != nil {
			for _, f := range all {
				_ = f.Close() // a copy of a socket
			}
			return nil, fmt.Errorf("passing on the listener of %s: %w", l.configuredAddress, err)
		}
		all[l.configuredAddress] = f
	}
	return all, nil
}

// duplicateSocket gives a listener's socket as a file that may be handed to another process. Guards against
// File, whose file puts the socket into blocking mode as its descriptor is asked for, in every
// process that has it: an Accept then waits in the kernel, where neither a deadline nor Close ends it.
func duplicateSocket(l *net.TCPListener) (*os.File, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	if e := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		return nil, e
	}
	if err != nil {
		return nil, os.NewSyscallError("fcntl", err)
	}
	return os.NewFile(uintptr(fd), l.Addr().String()), nil
}

// PauseListeners leaves new connections to whoever else has the listeners' sockets; without anybody they
// wait. Those that were taken go on.
func (n *Node) PauseListeners() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.pause()
	}
}

// ResumeListeners ends Pause.
func (n *Node) ResumeListeners() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.resume()
	}
}

// currentServices are the services in force by name.
func (n *Node) currentServices() map[string]*runningService {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make(map[string]*runningService, len(n.services))
	for name, s := range n.services {
		all[name] = s
	}
	return all
}

// collectState asks each service in force for its state.
func (n *Node) collectState(ask func(*service.Service) (service.State, bool)) state.Checkpoint {
	st := state.Checkpoint{TakenAt: time.Now(), Generation: n.Generation(), Services: make(map[string]service.State)}
	for name, s := range n.currentServices() {
		if one, ok := ask(s.Service); ok {
			st.Services[name] = one
		}
	}
	st.ScatterGathers = n.gathererModels()
	return st
}

// Checkpoint tells what the node has spent and learned.
func (n *Node) Checkpoint() state.Checkpoint { return n.collectState((*service.Service).Checkpoint) }

// HandOver is Checkpoint that gives a part (from 0 to 1) of what is left to spend away, until
// Rejoin.
func (n *Node) HandOver(give float64) state.Checkpoint {
	return n.collectState(func(s *service.Service) (service.State, bool) { return s.HandOver(give) })
}

// Restore takes over what a node has spent and learned. It is to be called before the first
// client comes.
func (n *Node) Restore(st state.Checkpoint, trust control.Trust) {
	n.mu.Lock()
	n.generation = max(n.generation, st.Generation)
	n.mu.Unlock()
	n.restoreGathererModels(st.ScatterGathers, time.Since(st.TakenAt))
	for name, s := range n.currentServices() {
		if one, ok := st.Services[name]; ok {
			s.Restore(one, trust)
		}
	}
}

// Rejoin ends what HandOver or Restore began: the process that had the other part has ended, and
// left what is given; nil where that is not known.
func (n *Node) Rejoin(given *state.Checkpoint) {
	for name, s := range n.currentServices() {
		var left *service.State
		if given != nil {
			if one, ok := given.Services[name]; ok {
				left = &one
			}
		}
		s.Rejoin(left)
	}
}

// Instance is this node's number in its group, and the group's size.
func (n *Node) Instance() (index, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	set := n.cfg.Services[0].Settings
	return set.SelfIndex, set.GroupSize
}
