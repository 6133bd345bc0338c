package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lockflow/internal/limits"
	"lockflow/internal/upstream"
)

// clientRegistry tracks the connections of all clients. Its zero value is empty and ready to use; it
// is safe for concurrent use.
//
// Invariant: the node closes a connection only while no request on it has started, and a request on a
// closed connection is never started. net/http reads a request before it reports that the connection
// is active, so the node may close the connection in between; if that request were forwarded, it would
// run without a client to receive the answer.
type clientRegistry struct {
	inputMemory InputMemory // nil for no limit; set before the first connection

	mu             sync.Mutex
	connections    map[net.Conn]*clientConn
	isDraining     bool
	isShuttingDown bool          // beginShutdown was called: the process is about to end
	empty          chan struct{} // closed when the last connection is removed; nil unless waitEmpty is waiting
}

// clientKey is the context key of a request's *clientConn.
type clientKey struct{}

// register is the http.Server's ConnContext. It adds the connection and stores its clientConn in the
// context of its requests.
func (r *clientRegistry) register(ctx context.Context, conn net.Conn) context.Context {
	client := &clientConn{conn: conn, idleSince: time.Now(), isNew: true}
	if l, ok := conn.(*lingeringConn); ok {
		client.conn = l.Conn
		client.lingering = l
	}
	if tcp := tcpConnOf(conn); tcp != nil {
		client.rawConn, _ = tcp.SyscallConn()
	}
	client.input = findWrappedConn[*inputConn](conn)
	if client.validating = findWrappedConn[*validatingConn](conn); client.validating != nil {
		client.validating.input.memory = r.inputMemory
	}
	if limited := findWrappedConn[*limits.Conn](conn); limited != nil {
		client.acceptedAt = limited.AcceptedAt
		client.queued = limited.Queued
		client.limited = limited
		limited.BeginServing()
		client.idleSince = client.silentSince(client.idleSince)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connections == nil {
		r.connections = make(map[net.Conn]*clientConn)
	}
	r.connections[conn] = client
	return context.WithValue(ctx, clientKey{}, client)
}

// clientOf returns the connection of a request; nil if the request did not arrive over a registered connection.
func clientOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientKey{}).(*clientConn)
	return c
}

// waitingClient returns the client that waits for the answer to a request; nil if clientOf returns nil.
func waitingClient(r *http.Request) upstream.Client {
	if c := clientOf(r); c != nil {
		return c
	}
	return nil
}

// isStillConnected reports whether the client of a request is still connected to receive an answer.
func isStillConnected(r *http.Request) bool {
	client := clientOf(r)
	return r.Context().Err() == nil && client != nil && client.IsWaiting()
}

// trackState is the http.Server's ConnState hook. net/http reports StateActive before it calls the handler.
func (r *clientRegistry) trackState(conn net.Conn, newState http.ConnState) {
	if l, ok := conn.(*lingeringConn); ok && newState != http.StateClosed {
		l.isBusy.Store(newState == http.StateActive)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	client := r.connections[conn]
	if client == nil {
		return
	}
	switch newState {
	case http.StateActive:
		client.idleSince = time.Time{}
		client.isNew = false
		if client.input != nil {
			client.input.becameActive()
		}
		if client.validating != nil {
			client.validating.becameActive()
		}
	case http.StateIdle:
		client.idleSince = time.Now()
		if client.input != nil {
			client.input.becameIdle()
		}
		if client.validating != nil {
			client.validating.becameIdle()
		}
		if r.isDraining {
			client.closeIf(client.canCloseWithoutLoss)
		}
	case http.StateClosed, http.StateHijacked:
		client.endServing()
		delete(r.connections, conn)
		if len(r.connections) == 0 && r.empty != nil {
			close(r.empty)
			r.empty = nil
		}
	}
}

// closeWhenIdle closes the idle connections, and closes each other connection when it becomes idle. It
// spares a connection if closing it would lose a request or a part of an answer; such a connection is
// closed after its next answer or by a later call.
func (r *clientRegistry) closeWhenIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDraining = true
	for _, c := range r.connections {
		if !c.idleSince.IsZero() && !c.isNew {
			c.closeIf(c.canCloseWithoutLoss)
		}
	}
}

// waitEmpty waits until no connection is left. It returns false if ctx ends first.
func (r *clientRegistry) waitEmpty(ctx context.Context) bool {
	r.mu.Lock()
	if len(r.connections) == 0 {
		r.mu.Unlock()
		return true
	}
	if r.empty == nil {
		r.empty = make(chan struct{})
	}
	empty := r.empty
	r.mu.Unlock()
	select {
	case <-empty:
		return true
	case <-ctx.Done():
		return false
	}
}
