package generichttptest

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"lockflow/internal/testsupport/fake"
)

// TestTunnelCarriesAnyBytes checks that the bytes of a tunnel are not taken for heads of requests: neither many lines nor
// any other bytes of the client end it.
func TestTunnelCarriesAnyBytes(t *testing.T) {
	random := make([]byte, 256<<10)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range random {
		random[i] = byte(rng.Uint32())
	}
	for name, sent := range map[string][]byte{
		"line feeds":   bytes.Repeat([]byte("\n"), 4*256),
		"lines":        []byte(strings.Repeat("message\r\n", 4*256)),
		"long heads":   []byte("GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 4*256) + "\r\n"),
		"random bytes": random,
	} {
		t.Run(name, func(t *testing.T) {
			o := startNode(t, &fake.Origin{})
			client, reader := openTunnel(t, o)
			go client.Write(sent)
			got := make([]byte, len(sent))
			if n, err := io.ReadFull(reader, got); err != nil || !bytes.Equal(got, sent) {
				t.Errorf("%d of %d bytes came back, %v", n, len(sent), err)
			}
			requireEcho(t, client, reader, "still open")
		})
	}
}

// TestDrainLeavesTunnelsOpen checks that tunnels without any other client stay open during a drain, until its timeout.
func TestDrainLeavesTunnelsOpen(t *testing.T) {
	o := startNodeWithConfig(t, `drain = { idle = "0s", accept = "100ms", most = "4s" }`, "", "", &fake.Origin{})
	client, reader := openTunnel(t, o)
	closed, closedReader := openTunnel(t, o)
	o.Drain()
	for started := time.Now(); time.Since(started) < time.Second; time.Sleep(20 * time.Millisecond) {
		requireEcho(t, client, reader, "while it drains")
	}
	// The drain ends with its last tunnel.
	for _, c := range []struct {
		conn   net.Conn
		reader io.Reader
	}{{client, reader}, {closed, closedReader}} {
		c.conn.(*net.TCPConn).CloseWrite()
		if rest, err := io.ReadAll(c.reader); err != nil || len(rest) > 0 {
			t.Errorf("after the end of a tunnel: got %q, error %v", rest, err)
		}
	}
	started := time.Now()
	if err := o.Stop(); err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("the node ended %v after its last tunnel, before its timeout of 4s is over", took)
	}
}
