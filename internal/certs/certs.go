// Package certs holds what TLS to servers needs, from files that are followed: authorities, a
// certificate of this side's own, and the name that servers have to show.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lockflow/internal/filewatch"
)

// Options are where things are. The zero value is no TLS.
type Options struct {
	On   bool   `plan:"on"`
	CA   string `plan:"c_a"`  // file of authorities in PEM; "" is the system's
	Cert string `plan:"cert"` // file of this side's certificate, with those between it and its authority; "" is none
	Key  string `plan:"key"`  // file of its key
	Name string `plan:"name"` // that a server's certificate has to be for; "" is the host of its address
}

// Store holds what was read last. It is safe for concurrent use.
type Store struct {
	Options
	current     atomic.Pointer[tls.Config]
	loadedFiles map[string]os.FileInfo // the files as Load found them, by path
}

// Load reads all files.
func Load(o Options) (*Store, error) {
	b := &Store{Options: o, loadedFiles: make(map[string]os.FileInfo)}
	for _, path := range []string{o.CA, o.Cert, o.Key} {
		b.loadedFiles[path], _ = os.Stat(path) // before it is read: a change from here on is one to follow
	}
	return b, b.load()
}

// load puts what the files say in force, all of it or nothing.
func (b *Store) load() error {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if b.CA != "" {
		raw, err := os.ReadFile(b.CA)
		if err != nil {
			return fmt.Errorf("authorities: %w", err)
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(raw) {
			return fmt.Errorf("authorities: %s: no certificate in it", b.CA)
		}
	}
	if b.Cert != "" {
		pair, err := tls.LoadX509KeyPair(b.Cert, b.Key)
		if err != nil {
			return fmt.Errorf("certificate: %s, %s: %w", b.Cert, b.Key, err)
		}
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		if err != nil {
			return fmt.Errorf("certificate: %s: %w", b.Cert, err)
		}
		if time.Now().After(leaf.NotAfter) {
			return fmt.Errorf("certificate: %s: it ended %s", b.Cert, leaf.NotAfter.Format(time.RFC3339))
		}
		c.Certificates = []tls.Certificate{pair}
	}
	b.current.Store(c)
	return nil
}

// Follow reads the files again as they change, until ctx ends, looking at them every so often.
// What can't be used is told to wrong, once for each text, and what was in force goes on.
func (b *Store) Follow(ctx context.Context, every time.Duration, wrong func(error)) {
	done := make(chan struct{})
	files := []string{b.CA, b.Cert, b.Key}
	for _, path := range files {
		go func() {
			defer func() { done <- struct{}{} }()
			if path != "" {
				filewatch.Follow(ctx, path, every, b.loadedFiles[path], b.load, wrong)
			}
		}()
	}
	for range files {
		<-done
	}
}

// ErrProtocol says that a server agreed to none of the protocols that it was offered.
var ErrProtocol = errors.New("the server agreed to no protocol that was offered")

// Client does the handshake of a connection to an address and tells which of the protocols was
// agreed on (ALPN); "" is a server that knows nothing of that.
func (b *Store) Client(ctx context.Context, c net.Conn, address string, protocols []string) (*tls.Conn, string, error) {
	t := b.current.Load().Clone()
	t.NextProtos = protocols
	if t.ServerName = b.Name; t.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, "", fmt.Errorf("the server's name: %w", err)
		}
		t.ServerName = host
	}
	s := tls.Client(c, t)
	if err := s.HandshakeContext(ctx); err != nil {
		return nil, "", fmt.Errorf("handshake: %w", err)
	}
	return s, s.ConnectionState().NegotiatedProtocol, nil
}
