package supervise

import (
	"fmt"
	"net"

	"github.com/coreos/go-systemd/v22/activation"
)

// InheritedListeners returns the listeners that the service manager passed on (LISTEN_FDS, LISTEN_FDNAMES), by name.
// Two of one name are an error, and so is what is no stream socket.
func InheritedListeners() (map[string]net.Listener, error) {
	byName, err := activation.ListenersWithNames()
	if err != nil {
		return nil, fmt.Errorf("taking over listeners: %w", err)
	}
	listeners := make(map[string]net.Listener)
	for name, ofName := range byName {
		for _, l := range ofName {
			if l == nil || listeners[name] != nil {
				return nil, fmt.Errorf("taking over listeners: %q is given twice or is no stream socket", name)
			}
			listeners[name] = l
		}
	}
	return listeners, nil
}
