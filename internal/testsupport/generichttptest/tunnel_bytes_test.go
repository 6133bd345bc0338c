package generichttptest

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

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
