package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"

	"lockflow/internal/certs"
	"lockflow/internal/limits"
	"lockflow/internal/shortage"
)

// Protocol names in TLS (ALPN, RFC 7301).
const (
	alpnHTTP1 = "http/1.1"
	alpnHTTP2 = "h2"
)

// dial establishes an HTTP/1.1 connection.
func (u *Upstream) dial(ctx context.Context, endpoint string) (*serverConn, error) {
	conn, rawConn, negotiated, err := u.connect(ctx, endpoint, alpnHTTP1)
	if err != nil {
		return nil, err
	}
	if negotiated != "" && negotiated != alpnHTTP1 {
		conn.Close()
		return nil, certs.ErrProtocol
	}
	return u.newConn(conn, rawConn), nil
}

// connect establishes a connection and counts it with both limiters. rawConn is its socket, below TLS if there is
// any. negotiated is the protocol chosen by ALPN; it is empty without TLS or if the server does not negotiate.
func (u *Upstream) connect(
	ctx context.Context, endpoint string, offered ...string,
) (conn *limits.Conn, rawConn syscall.RawConn, negotiated string, err error) {
	if u.DialLimiter != nil {
		if !u.DialLimiter.TryAcquire() {
			return nil, nil, "", errDialLimit
		}
		defer u.DialLimiter.Release()
	}
	if !u.SocketLimiter.TryAcquire() {
		return nil, nil, "", errNoDescriptor
	}
	if u.TLS != nil { // ConnectTimeout includes the handshake
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, u.ConnectTimeout)
		defer cancel()
	}
	dialed, err := u.dialTCP(ctx, endpoint)
	if err != nil {
		u.SocketLimiter.Release()
		return nil, nil, "", err
	}
	rawConn, err = dialed.(*net.TCPConn).SyscallConn()
	if u.TLS != nil && err == nil {
		var tlsConn *tls.Conn
		if tlsConn, negotiated, err = u.TLS.Client(ctx, dialed, endpoint, offered); err == nil {
			dialed = tlsConn
		}
	}
	conn = limits.Track(dialed, u.SocketLimiter)
	if err != nil {
		conn.Close()
		return nil, nil, "", err
	}
	return conn, rawConn, negotiated, nil
}

// dialTCP establishes a TCP connection. Within the connect timeout it retries when this node is short of descriptors
// or ports, which is no failure of the server.
func (u *Upstream) dialTCP(ctx context.Context, endpoint string) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: u.ConnectTimeout, KeepAlive: -1}
	err = shortage.Retry(ctx, u.ConnectTimeout, shortage.IsDialShortage, func() (err error) {
		conn, err = dialer.DialContext(ctx, "tcp", endpoint)
		return err
	})
	return conn, err
}
