package upstream

import (
	"testing"

	"golang.org/x/sys/unix"

	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// TestServerConnectionsSetNoDelay checks that TCP_NODELAY is set, so that the system does not delay small writes: the
// last byte of a request would arrive late, and closing a connection with unread bytes would drop it.
func TestServerConnectionsSetNoDelay(t *testing.T) {
	app := testkit.NewApp(t, testkit.AnswerServed)
	upstream := newTestUpstream(testkit.WaitTimeout, limits.NewSocketLimiter(1024))
	for name, offered := range map[string]string{"HTTP/1.1": alpnHTTP1, "HTTP/2": alpnHTTP2} {
		t.Run(name, func(t *testing.T) {
			conn, raw, _, err := upstream.connect(t.Context(), app.Addr(), offered)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			err = raw.Control(func(fd uintptr) {
				if on, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
					t.Errorf("TCP_NODELAY is %d, %v", on, err)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}
