package front

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"lockflow/internal/testsupport/testkit"
)

// A busy connection with unread input lingers until its client closes. A connection that is idle, or whose
// client must detect that the answer is incomplete, is reset at once.
func TestLingeringConnClose(t *testing.T) {
	for name, tc := range map[string]struct {
		isActive, mustReset bool
		err                 error
	}{"answered": {true, false, nil}, "answer truncated": {true, true, syscall.ECONNRESET}, "rests": {false, false, syscall.ECONNRESET}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
			c, err := LingeringListener(ValidatingListener(l)).Accept()
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(client, "more")
			testkit.Until(t, "arrival of the client's input", func() bool { return hasUnread(tcpConnOf(c)) })
			c.(*lingeringConn).isBusy.Store(tc.isActive)
			if tc.mustReset {
				c.(*lingeringConn).Conn.(*validatingConn).resetOnClose()
			}
			closed := make(chan struct{})
			go func() { c.Close(); close(closed) }()
			if tc.err != nil {
				testkit.Next(t, closed)
			}
			if _, err := io.ReadAll(client); !errors.Is(err, tc.err) {
				t.Errorf("error of the client's read: %v", err)
			}
			client.Close()
			testkit.Next(t, closed)
		})
	}
}
