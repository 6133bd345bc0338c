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

// partialRequestTimeLimit is the time within which a client that stops in the middle of a request must get an error or a
// close.
const partialRequestTimeLimit = 3 * time.Second

// Guards against connections that stay open after the first bytes of a request: until net/http has four bytes of a further
// request, it applies the timeout for idle connections.
func TestConnectionIsClosedAfterFirstBytesOfNextRequest(t *testing.T) {
	for sent := 1; sent <= 5; sent++ {
		synctest.Test(t, func(t *testing.T) {
			listener, _, _, stop := startFront(t, rejectRequest, nil, nil)
			defer stop()
			client, server := net.Pipe()
			listener.conns <- &lingeringConn{Conn: withInputConn(server)}
			defer client.Close()
			in := bufio.NewReader(client)
			io.WriteString(client, completeRequest)
			if resp, err := http.ReadResponse(in, nil); err != nil || resp.Close {
				t.Fatalf("answer to the first request: %v, error %v; want one that keeps the connection open", resp, err)
			}
			time.Sleep(time.Second) // the connection is idle
			startedAt := time.Now()
			io.WriteString(client, completeRequest[:sent])
			_, err := in.ReadByte()
			if took := time.Since(startedAt); took > partialRequestTimeLimit {
				t.Errorf("after %d bytes of the next request: read error %v only after %v", sent, err, took)
			}
		})
	}
}
