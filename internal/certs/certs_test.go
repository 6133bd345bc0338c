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

// self makes a certificate that vouches for itself, and its key.
func self(t *testing.T, ends time.Time) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "s"}, DNSNames: []string{"s"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: ends, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})
}

type folder string

func (f folder) put(t *testing.T, name string, raw []byte) string {
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

// What can't be used is one error that names the file.
func TestLoad(t *testing.T) {
	dir := folder(t.TempDir())
	cert, key := self(t, time.Now().Add(time.Hour))
	old, oldKey := self(t, time.Now().Add(-time.Minute))
	good, goodKey := dir.put(t, "good", cert), dir.put(t, "good.key", key)
	for name, tc := range map[string]struct {
		o    Options
		want string
	}{
		"all":                  {Options{CA: good, Cert: good, Key: goodKey}, ""},
		"the system's":         {Options{}, ""},
		"no authorities there": {Options{CA: string(dir) + "/none"}, "none: no such file"},
		"nothing in them":      {Options{CA: goodKey}, "no certificate in it"},
		"another's key":        {Options{Cert: good, Key: dir.put(t, "old.key", oldKey)}, "does not match"},
		"half a file":          {Options{Cert: dir.put(t, "half", cert[:len(cert)/2]), Key: goodKey}, "half"},
		"one that has ended":   {Options{Cert: dir.put(t, "old", old), Key: dir.put(t, "old.key", oldKey)}, "old: it ended"},
	} {
		if _, err := Load(tc.o); (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// hello does a handshake with a server that has a certificate and tells what came of it.
func hello(b *Store, cert, key []byte, speaks ...string) (string, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	go func() {
		if far, err := l.Accept(); err == nil {
			tls.Server(far, &tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: speaks}).Handshake()
			far.Close()
		}
	}()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return "", err
	}
	defer near.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	_, protocol, err := b.Client(ctx, near, "s:443", []string{"h2", "http/1.1"})
	return protocol, err
}

// Servers have to show the right name under an authority of the file; files that change are read
// anew, those that can't be used leave what was in force.
func TestFollow(t *testing.T) {
	dir := folder(t.TempDir())
	first, firstKey := self(t, time.Now().Add(time.Hour))
	second, secondKey := self(t, time.Now().Add(time.Hour))
	path := dir.put(t, "ca", first)
	b, err := Load(Options{CA: path})
	if err != nil {
		t.Fatal(err)
	}
	if p, err := hello(b, first, firstKey, "h2"); p != "h2" || err != nil {
		t.Errorf("%q, %v", p, err)
	}
	if p, err := hello(b, first, firstKey); p != "" || err != nil {
		t.Errorf("a server that knows nothing of protocols: %q, %v", p, err)
	}
	if _, err := hello(b, second, secondKey); err == nil {
		t.Error("another authority's server is trusted")
	}
	b.Name = "other"
	if _, err := hello(b, first, firstKey); err == nil {
		t.Error("another name is taken")
	}
	b.Name = ""

	dir.put(t, "ca", []byte("nothing")) // after it was read, before it is followed: a change like any other
	ctx, cancel := context.WithCancel(t.Context())
	wrong, done := make(chan error, 10), make(chan struct{})
	go func() { b.Follow(ctx, time.Millisecond, func(err error) { wrong <- err }); close(done) }()
	if err := testkit.Next(t, wrong); !strings.Contains(err.Error(), "no certificate") {
		t.Error(err)
	}
	if _, err := hello(b, first, firstKey); err != nil {
		t.Errorf("after a bad file: %v", err)
	}
	dir.put(t, "ca", second)
	testkit.Until(t, "the second authority", func() bool { _, err := hello(b, second, secondKey); return err == nil })
	if _, err := hello(b, first, firstKey); err == nil {
		t.Error("the first authority is still trusted")
	}
	cancel()
	<-done
}
