package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// newSelfSignedCert returns a self-signed certificate and its key, in PEM form.
func newSelfSignedCert(t *testing.T, notAfter time.Time) (cert, key []byte) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "s"}, DNSNames: []string{"s"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: notAfter, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})
}

type testDirectory string

func (f testDirectory) replaceFile(t *testing.T, name string, raw []byte) string {
	t.Helper()
	path := filepath.Join(string(f), name)
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	return path
}

// Files that can't be used must give an error that names the file.
func TestLoad(t *testing.T) {
	dir := testDirectory(t.TempDir())
	cert, key := newSelfSignedCert(t, time.Now().Add(time.Hour))
	expired, expiredKey := newSelfSignedCert(t, time.Now().Add(-time.Minute))
	good, goodKey := dir.replaceFile(t, "good", cert), dir.replaceFile(t, "good.key", key)
	for name, tc := range map[string]struct {
		options Options
		want    string
	}{
		"all":                                    {Options{CA: good, Cert: good, Key: goodKey}, ""},
		"system authorities":                     {Options{}, ""},
		"missing authorities file":               {Options{CA: string(dir) + "/none"}, "none: no such file"},
		"authorities file without a certificate": {Options{CA: goodKey}, "holds no PEM certificate"},
		"key of another certificate":             {Options{Cert: good, Key: dir.replaceFile(t, "old.key", expiredKey)}, "does not match"},
		"truncated certificate":                  {Options{Cert: dir.replaceFile(t, "half", cert[:len(cert)/2]), Key: goodKey}, "half"},
		"expired certificate":                    {Options{Cert: dir.replaceFile(t, "old", expired), Key: dir.replaceFile(t, "old.key", expiredKey)}, "old: expired at"},
	} {
		if _, err := Load(tc.options); (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

// handshake performs a handshake with a server that uses a certificate, and returns the negotiated protocol.
func handshake(store *Store, cert, key []byte, serverProtocols ...string) (string, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	go func() {
		if serverConn, err := listener.Accept(); err == nil {
			tls.Server(serverConn, &tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: serverProtocols}).Handshake()
			serverConn.Close()
		}
	}()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return "", err
	}
	defer clientConn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	_, protocol, err := store.Client(ctx, clientConn, "s:443", []string{"h2", "http/1.1"})
	return protocol, err
}

// Servers must prove the expected name with a certificate of an authority in the file. A changed file is
// reloaded; one that can't be used leaves the previous configuration in use.
func TestFollow(t *testing.T) {
	dir := testDirectory(t.TempDir())
	first, firstKey := newSelfSignedCert(t, time.Now().Add(time.Hour))
	second, secondKey := newSelfSignedCert(t, time.Now().Add(time.Hour))
	path := dir.replaceFile(t, "ca", first)
	store, err := Load(Options{CA: path})
	if err != nil {
		t.Fatal(err)
	}
	if p, err := handshake(store, first, firstKey, "h2"); p != "h2" || err != nil {
		t.Errorf("server that selects h2: got protocol %q, error %v", p, err)
	}
	if p, err := handshake(store, first, firstKey); p != "" || err != nil {
		t.Errorf("server without ALPN: got protocol %q, error %v", p, err)
	}
	if _, err := handshake(store, second, secondKey); err == nil {
		t.Error("server with a certificate of another authority is trusted")
	}
	store.Name = "other"
	if _, err := handshake(store, first, firstKey); err == nil {
		t.Error("server with a certificate for another name is trusted")
	}
	store.Name = ""

	dir.replaceFile(t, "ca", []byte("nothing")) // a change between Load and Follow must be detected too
	ctx, cancel := context.WithCancel(t.Context())
	reported, done := make(chan error, 10), make(chan struct{})
	go func() { store.Follow(ctx, time.Millisecond, func(err error) { reported <- err }); close(done) }()
	if err := testkit.Next(t, reported); !strings.Contains(err.Error(), "holds no PEM certificate") {
		t.Error(err)
	}
	if _, err := handshake(store, first, firstKey); err != nil {
		t.Errorf("server of the first authority is rejected after an invalid authorities file: %v", err)
	}
	dir.replaceFile(t, "ca", second)
	testkit.Until(t, "the second authority is trusted", func() bool { _, err := handshake(store, second, secondKey); return err == nil })
	if _, err := handshake(store, first, firstKey); err == nil {
		t.Error("server of the first authority is still trusted after its authority was replaced")
	}
	cancel()
	<-done
}
