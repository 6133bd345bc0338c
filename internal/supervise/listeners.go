package supervise

import (
	"fmt"
	"net"

	"github.com/coreos/go-systemd/v22/activation"
)

// InheritedListeners returns the listeners that the service manager has passed to this process (LISTEN_FDS,
// LISTEN_FDNAMES), by name. It returns an error if two listeners have the same name or a descriptor is not a stream socket.
func InheritedListeners() (map[string]net.Listener, error) {
	byName, err := activation.ListenersWithNames()
	if err != nil {
		return nil, fmt.Errorf("inheriting listeners: %w", err)
	}
	listeners := make(map[string]net.Listener)
	for name, sameNameListeners := range byName {
		for _, listener := range sameNameListeners {
			if listener == nil {
				return nil, fmt.Errorf("inheriting listeners: %q is not a stream socket", name)
			}
			if listeners[name] != nil {
				return nil, fmt.Errorf("inheriting listeners: duplicate name %q", name)
			}
			listeners[name] = listener
		}
	}
	return listeners, nil
}
