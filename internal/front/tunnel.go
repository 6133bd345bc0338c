package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// tunnel copies bytes between a client and a server after an upgrade to another protocol.
type tunnel struct {
	client       net.Conn
	fromClient   *bufio.ReadWriter // reads client, beginning with the bytes that net/http has already buffered
	server       *upstream.Stream
	idleTimeout  time.Duration
	startedAt    time.Time
	lastActivity atomic.Int64 // time.Duration since startedAt at the last read in either direction
}

// serveTunnel hijacks the client's connection and copies bytes in both directions until both sides have
// closed, one of them fails, or neither has sent anything for the idle timeout.
func (o *GenericHTTP) serveTunnel(w http.ResponseWriter, answer service.Answer) {
	client, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer client.Close()
	_ = client.SetDeadline(time.Time{})
	_ = client.SetWriteDeadline(time.Now().Add(o.IdleTimeout))
	if writeUpgradeHead(buffered.Writer, w.Header(), answer.Header["Upgrade"]) != nil {
		return
	}
	t := &tunnel{client: client, fromClient: buffered, server: answer.Stream, idleTimeout: o.IdleTimeout}
	t.run()
}

// writeUpgradeHead writes the head of a 101 answer to a client.
func writeUpgradeHead(out *bufio.Writer, header http.Header, upgrade []string) error {
	delete(header, "Content-Type")
	header["Connection"] = []string{"Upgrade"}
	header["Upgrade"] = upgrade
	out.WriteString("HTTP/1.1 101 Switching Protocols\r\n")
	_ = header.Write(out) // Flush returns the error of a failed write
	out.WriteString("\r\n")
	return out.Flush()
}

// run copies in both directions until both have ended.
func (t *tunnel) run() {
	t.startedAt = time.Now()
	var directions sync.WaitGroup
	directions.Go(t.copyToServer)
	t.copyToClient()
	directions.Wait()
}

func (t *tunnel) copyToServer() {
	err := t.copyDirection(t.server, readFunc(func(p []byte) (int, error) {
		_ = t.client.SetReadDeadline(time.Now().Add(t.idleTimeout))
		return t.fromClient.Read(p)
	}))
	t.server.CloseWrite()
	if err != nil {
		t.closeBoth()
	}
}

func (t *tunnel) copyToClient() {
	err := t.copyDirection(writeFunc(func(p []byte) (int, error) {
		_ = t.client.SetWriteDeadline(time.Now().Add(t.idleTimeout))
		return t.client.Write(p)
	}), t.server)
	if err != nil {
		t.closeBoth()
		return
	}
	closeWrite(t.client)
}

func (t *tunnel) closeBoth() {
	t.server.Close()
	t.client.Close()
}

// copyDirection copies until source has closed its side, and then returns nil. A read timeout ends the copy
// only if the other direction has been idle as well.
func (t *tunnel) copyDirection(destination io.Writer, source io.Reader) error {
	buffer := upstream.BodyBuffers.Get().(*[]byte)
	defer upstream.BodyBuffers.Put(buffer)
	for {
		n, err := source.Read(*buffer)
		if n > 0 {
			t.lastActivity.Store(int64(time.Since(t.startedAt)))
			if _, err := destination.Write((*buffer)[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case isTimeout(err) && !t.isIdle():
		default:
			return err
		}
	}
}

// isIdle reports whether neither side has sent anything for the idle timeout.
func (t *tunnel) isIdle() bool {
	return time.Since(t.startedAt)-time.Duration(t.lastActivity.Load()) >= t.idleTimeout
}

// closeWrite closes the sending side of a connection, or the whole connection if it has no TCP socket.
func closeWrite(conn net.Conn) {
	if tcp := tcpConnOf(conn); tcp != nil {
		_ = tcp.CloseWrite() // reads report a broken connection
	} else {
		conn.Close()
	}
}

// readFunc adapts a function to io.Reader.
type readFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// writeFunc adapts a function to io.Writer.
type writeFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writeFunc) Write(p []byte) (int, error) { return f(p) }
