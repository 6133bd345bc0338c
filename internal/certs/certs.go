// Package certs holds the TLS configuration of connections to app servers: certificate authorities, a client
// certificate, and the name that server certificates must be valid for. It reloads the PEM files when they change.
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

// Options configure TLS. The zero value disables TLS. The tags are the keys under which a config.Plan lists changes.
type Options struct {
	Enabled bool   `plan:"on"`
	CA      string `plan:"c_a"`  // PEM file of certificate authorities; "" selects those of the system
	Cert    string `plan:"cert"` // PEM file of the client certificate and its intermediates; "" is none
	Key     string `plan:"key"`  // PEM file of the private key of Cert
	Name    string `plan:"name"` // host name that a server's certificate must be valid for; "" is the host of its address
}

// Store holds the TLS configuration that was loaded last. It is safe for concurrent use, except that only one
// call of Follow may run at a time.
type Store struct {
	Options
	current     atomic.Pointer[tls.Config]
	loadedFiles map[string]os.FileInfo // state of each file when Load read it, by path
}

// Load returns a Store with the configuration read from the files of o.
func Load(o Options) (*Store, error) {
	s := &Store{Options: o, loadedFiles: make(map[string]os.FileInfo)}
	for _, path := range []string{o.CA, o.Cert, o.Key} {
		s.loadedFiles[path], _ = os.Stat(path) // taken before the file is read, so that Follow detects any later change
	}
	return s, s.load()
}

// load reads all files and replaces the current configuration. After an error the previous one stays in use.
func (s *Store) load() error {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if s.CA != "" {
		pem, err := os.ReadFile(s.CA)
		if err != nil {
			return fmt.Errorf("reading certificate authorities: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("certificate authorities: %s holds no PEM certificate", s.CA)
		}
	}
	if s.Cert != "" {
		pair, err := s.loadCertificate()
		if err != nil {
			return err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	s.current.Store(config)
	return nil
}

// loadCertificate reads the client certificate, which must not have expired.
func (s *Store) loadCertificate() (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return pair, fmt.Errorf("loading client certificate %s with key %s: %w", s.Cert, s.Key, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return pair, fmt.Errorf("parsing client certificate %s: %w", s.Cert, err)
	}
	if time.Now().After(leaf.NotAfter) {
		return pair, fmt.Errorf("client certificate %s: expired at %s", s.Cert, leaf.NotAfter.Format(time.RFC3339))
	}
	return pair, nil
}

// Follow polls the files at each interval and reloads them all when one has changed, until ctx is done. After
// an error the previous configuration stays in use, and the error is passed to report; filewatch.Follow
// suppresses repetitions. report may be called concurrently.
func (s *Store) Follow(ctx context.Context, interval time.Duration, report func(error)) {
	done := make(chan struct{})
	paths := []string{s.CA, s.Cert, s.Key}
	for _, path := range paths {
		go func() {
			defer func() { done <- struct{}{} }()
			if path != "" {
				filewatch.Follow(ctx, path, interval, s.loadedFiles[path], s.load, report)
			}
		}()
	}
	for range paths {
		<-done
	}
}

// ErrProtocol is the error for a server that selected none of the protocols offered to it.
var ErrProtocol = errors.New("server selected none of the offered protocols")

// Client performs the TLS handshake on a connection to an address. It returns the protocol negotiated by ALPN,
// which is empty for a server without ALPN. After an error it leaves the connection open.
func (s *Store) Client(ctx context.Context, rawConn net.Conn, address string, protocols []string) (*tls.Conn, string, error) {
	config := s.current.Load().Clone()
	config.NextProtos = protocols
	config.ServerName = s.Name
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, "", fmt.Errorf("finding the server name for TLS: %w", err)
		}
		config.ServerName = host
	}
	conn := tls.Client(rawConn, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, "", fmt.Errorf("TLS handshake: %w", err)
	}
	return conn, conn.ConnectionState().NegotiatedProtocol, nil
}
