package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lockflow/internal/accept"
	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
	"lockflow/internal/shortage"
)

const (
	startListenRetryTime  = 10 * time.Second       // time to retry on a shortage of descriptors or buffers at startup
	reloadListenRetryTime = 200 * time.Millisecond // the same in a reload; short, since Node.mu is held meanwhile
)

// openListeners listens on the addresses that have no listener yet and returns the new listeners. On a shortage of
// descriptors or buffers it retries for up to retryTime. If it returns an error, no listener stays open. The caller
// holds n.mu, unless n is not yet shared between goroutines.
func (n *Node) openListeners(addresses []string, retryTime time.Duration) ([]*listener, error) {
	var opened []*listener
	for _, address := range addresses {
		if n.findListener(address) != nil {
			continue
		}
		var l *listener
		err := shortage.Retry(context.Background(), retryTime, shortage.IsResourceShortage, func() (err error) {
			l, err = n.openListener(address)
			return err
		})
		if err != nil {
			for _, l := range opened {
				l.close()
			}
			return nil, fmt.Errorf("listening for clients: %w", err)
		}
		opened = append(opened, l)
	}
	return opened, nil
}

// openListener listens on one address.
func (n *Node) openListener(address string) (*listener, error) {
	socket, err := listen(address, n.inherited)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	tcp, _ := socket.(*net.TCPListener)
	l := &listener{
		configuredAddress: address,
		tcp:               tcp,
		cancel:            cancel,
		done:              ctx.Done(),
		serveEnded:        make(chan struct{}),
	}
	persistent := accept.NewRetryingListener(socketQueue{socket, l}, accept.Clients)
	l.Listener = limits.Listen(ctx, persistent, n.clientSockets)
	return l, nil
}

// findListener returns the listener of a configured address, or nil.
func (n *Node) findListener(address string) *listener {
	for _, l := range n.listeners {
		if l.configuredAddress == address {
			return l
		}
	}
	return nil
}

// setListeners applies the addresses of a new configuration: it serves the listeners that were opened for it and drains
// those whose addresses were removed. The caller holds n.mu.
func (n *Node) setListeners(opened []*listener, addresses []string) {
	old := n.listeners
	n.listeners = slices.Concat(old, opened)
	var ordered []*listener
	for _, address := range addresses {
		ordered = append(ordered, n.findListener(address))
	}
	n.listeners = ordered
	for _, l := range opened {
		n.serveListener(l)
	}
	for _, l := range old {
		if n.findListener(l.configuredAddress) == nil {
			n.removeListener(l)
		}
	}
}

// removeListener drains a listener whose address was removed; closeRemovedListeners closes it later. The caller holds
// n.mu.
func (n *Node) removeListener(l *listener) {
	slog.Info("no longer serving", "listen", l.Addr().String())
	if n.server == nil {
		l.close()
		return
	}
	l.drain()
	n.removed = append(n.removed, l)
}

// closeRemovedListeners waits until the listeners that a reload removed have accepted the connections in their queues,
// or a time limit has passed, and closes them.
func (n *Node) closeRemovedListeners() {
	n.mu.Lock()
	removed := n.removed
	timeout := max(n.cfg.Process.Drain.Max, finalAnswerTime)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	awaitListeners(ctx, removed)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range removed {
		l.close()
	}
	n.removed = nil
}

// awaitListeners waits until the draining listeners are no longer served or ctx is done.
func awaitListeners(ctx context.Context, listeners []*listener) {
	for _, l := range listeners {
		select {
		case <-l.serveEnded:
		case <-ctx.Done():
		}
	}
}

// serveListener starts accepting the clients of a listener. It does nothing if the node does not run yet. The caller
// holds n.mu.
func (n *Node) serveListener(l *listener) {
	if n.server == nil {
		return
	}
	slog.Info("serving", "listen", l.Addr().String())
	server := n.server
	n.tasks.Go(func() {
		defer close(l.serveEnded)
		err := server.Serve(front.LingeringListener(front.ValidatingListener(l)))
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return
		}
		select {
		case n.listenerFailures <- err:
		default: // an earlier failure already ends the node
		}
	})
}

// listen listens on an address, or returns the inherited listener for it.
func listen(address string, inherited map[string]net.Listener) (net.Listener, error) {
	if l := inherited[address]; l != nil { // passed on by a predecessor process
		return l, nil
	}
	name, ok := strings.CutPrefix(address, config.Inherited)
	if !ok {
		return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	}
	l := inherited[name]
	if l == nil {
		return nil, fmt.Errorf("the supervisor passed no socket named %q", name)
	}
	return l, nil
}

// Addr returns the address of the first listener.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[0].Addr().String()
}

// Addresses returns the addresses of all listeners, in the order of the configuration.
func (n *Node) Addresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, l := range n.listeners {
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// ListenerFiles returns duplicates of the listeners' sockets by configured address, to be passed to another process
// that listens on them too. The caller closes the files.
func (n *Node) ListenerFiles() (map[string]*os.File, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	files := make(map[string]*os.File)
	for _, l := range n.listeners {
		if l.tcp == nil {
			continue
		}
		file, err := duplicateSocket(l.tcp)
		if err != nil {
			for _, duplicate := range files {
				_ = duplicate.Close() // the socket itself stays open
			}
			return nil, fmt.Errorf("duplicating the socket of listener %s: %w", l.configuredAddress, err)
		}
		files[l.configuredAddress] = file
	}
	return files, nil
}

// duplicateSocket returns a listener's socket as a file that can be passed to another process. net.TCPListener.File is
// not used because getting the descriptor of its file puts the socket into blocking mode in every process that has it.
// An Accept then blocks in the kernel, where neither a deadline nor Close unblocks it.
func duplicateSocket(l *net.TCPListener) (*os.File, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	controlErr := raw.Control(func(original uintptr) { fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0) })
	if controlErr != nil {
		return nil, controlErr
	}
	if err != nil {
		return nil, os.NewSyscallError("fcntl", err)
	}
	return os.NewFile(uintptr(fd), l.Addr().String()), nil
}

// PauseListeners stops accepting new connections. Other processes with the listeners' sockets may accept them; if there
// is none, the connections wait in the accept queue. Accepted connections stay open.
func (n *Node) PauseListeners() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.pause()
	}
}

// ResumeListeners accepts new connections again after PauseListeners.
func (n *Node) ResumeListeners() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.resume()
	}
}
