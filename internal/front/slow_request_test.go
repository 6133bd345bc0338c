package front

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/service"
)

// The deadline of a client counts from the last byte of its request, however slowly the request arrives (PROTOCOL, "Figures").
func TestDeadlineCountsFromLastByte(t *testing.T) {
	const timeLeft = time.Second
	head := "POST /write?account=0000000000000001 HTTP/1.1\r\n" + strings.Replace(requestHeaders, "15000m", "1000m", 1) + "Content-Length: 4\r\n\r\n"
	for name, pieces := range map[string][]string{
		"at once":   {head + "body"},
		"slow head": {head[:30], head[30:] + "body"},
		"slow body": {head, "bo", "dy"},
		"both":      {head[:9], head[9:30], head[30:] + "b", "od", "y"},
		"last byte": {head + "bod", "y"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var received []time.Duration
				listener, _, _, stop := startFront(t, func(r control.Request) []control.Action {
					received = append(received, r.Timeout)
					return rejectRequest(r)
				}, nil, nil)
				defer stop()
				client := listener.dial()
				defer client.Close()
				go io.Copy(io.Discard, client)
				for i, piece := range pieces {
					if i > 0 {
						time.Sleep(400 * time.Millisecond)
					}
					io.WriteString(client, piece)
				}
				synctest.Wait()
				if len(received) != 1 || received[0] != timeLeft-service.DeadlineMargin {
					t.Errorf("timeouts at the decision module: %v, want one, of the time left minus DeadlineMargin", received)
				}
			})
		})
	}
}
