package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// maxPartialRequestTime is within which clients that stop in the middle of a request are owed an error or a close.
const partialRequestTimeLimit = 3 * time.Second

// Guards against connections that stay open behind the first bytes of a request: net/http waits for the first four bytes
// of a further request as for an idle connection.
func TestConnectionIsClosedAfterFirstBytesOfNextRequest(t *testing.T) {
	for sent := 1; sent <= 5; sent++ {
		synctest.Test(t, func(t *testing.T) {
			m, _, _, stop := startFront(t, rejectRequest, nil, nil)
			defer stop()
			client, server := net.Pipe()
			m.conns <- &lingeringConn{Conn: withInputConn(server)}
			defer client.Close()
			in := bufio.NewReader(client)
			io.WriteString(client, completeRequest)
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close {
				t.Fatalf("%v, %v", resp, err)
			}
			time.Sleep(time.Second) // the connection is idle
			startedAt := time.Now()
			io.WriteString(client, completeRequest[:sent])
			_, err := in.ReadByte()
			if took := time.Since(startedAt); took > partialRequestTimeLimit {
				t.Errorf("%d bytes: %v after %v", sent, err, took)
			}
		})
	}
}
