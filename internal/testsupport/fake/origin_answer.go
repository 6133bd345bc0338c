package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	answerBufferBytes = 8 << 10
	bodyPartBytes     = 16 << 10
	pausedPartBytes   = 1 << 10 // if there are pauses between the parts
)

// originAnswer is an Origin's answer to one request, as its script specifies.
type originAnswer struct {
	origin  *Origin
	conn    net.Conn
	in      *bufio.Reader
	request *http.Request
	script  url.Values
}

// limitedWriter fails after a given number of bytes.
type limitedWriter struct {
	writer    io.Writer
	remaining int64
}

// Write writes data up to the limit, and returns errScripted if data exceeds it.
func (l *limitedWriter) Write(data []byte) (int, error) {
	n, err := l.writer.Write(data[:min(int64(len(data)), l.remaining)])
	l.remaining -= int64(n)
	if err == nil && n < len(data) {
		err = errScripted
	}
	return n, err
}

// send sends the answer. An error ends the connection.
func (a *originAnswer) send() error {
	if wait, err := time.ParseDuration(a.script.Get("wait")); err == nil {
		time.Sleep(wait)
	}
	if a.origin.Work > 0 {
		time.Sleep(a.origin.Work)
	}
	if a.script.Has("silent") {
		_, _ = io.Copy(io.Discard, a.in)
		return errScripted
	}
	var output io.Writer = a.conn
	cutAt, err := strconv.ParseInt(a.script.Get("cut"), 10, 64)
	if err == nil {
		output = &limitedWriter{writer: a.conn, remaining: cutAt}
	}
	if a.script.Has("raw") {
		_, _ = io.WriteString(output, a.script.Get("raw"))
		return errScripted
	}
	err = a.writeAll(bufio.NewWriterSize(output, answerBufferBytes))
	switch {
	case err != nil && cutAt%2 == 1:
		resetConn(a.conn)
	case err == nil && a.script.Has("upgrade"):
		_, _ = io.Copy(a.conn, a.in)
		return errScripted
	case err == nil && a.closesConn():
		return errScripted
	}
	return err
}

// closesConn reports whether the connection is closed after the answer.
func (a *originAnswer) closesConn() bool {
	frame := a.script.Get("frame")
	return frame == "close" || frame == "none" || a.script.Has("old") || a.request.Close
}

// writeAll writes the answer one or more times, as the script specifies.
func (a *originAnswer) writeAll(w *bufio.Writer) error {
	for range 1 + len(a.script["twice"]) {
		if err := a.write(w); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (a *originAnswer) write(w *bufio.Writer) error {
	for _, status := range a.script["interim"] {
		fmt.Fprintf(w, "HTTP/1.1 %s Early\r\nLink: </style.css>\r\n\r\n", status)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if a.script.Has("upgrade") {
		fmt.Fprintf(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: %s\r\n\r\n", a.request.Header.Get("Upgrade"))
		return w.Flush()
	}
	status, err := strconv.Atoi(a.script.Get("status"))
	if err != nil {
		status = http.StatusOK
	}
	frame := a.script.Get("frame")
	if frame == "" {
		frame = "length"
	}
	length, _ := strconv.ParseInt(a.script.Get("body"), 10, 64)
	if status == http.StatusNoContent || frame == "none" {
		length = 0
		frame = "none"
	}
	a.writeHeader(w, status, frame, length)
	if a.request.Method == http.MethodHead || status == http.StatusNotModified {
		return w.Flush()
	}
	if err := a.writeBody(w, length, a.isChunked()); err != nil {
		return err
	}
	if a.isChunked() {
		a.writeLastChunk(w)
	}
	return nil
}

func (a *originAnswer) isChunked() bool { return a.script.Get("frame") == "chunked" }

func (a *originAnswer) writeHeader(w *bufio.Writer, status int, frame string, length int64) {
	version := "1.1"
	if a.script.Has("old") {
		version = "1.0"
	}
	fmt.Fprintf(w, "HTTP/%s %d %s\r\nX-Origin: it\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nDate: Tue, 01 Dec 2026 12:00:00 GMT\r\n", version, status, http.StatusText(status))
	if contentType := a.script.Get("type"); contentType != "" {
		fmt.Fprintf(w, "Content-Type: %s\r\n", contentType)
	}
	switch frame {
	case "length":
		fmt.Fprintf(w, "Content-Length: %d\r\n", length)
	case "chunked":
		if trailer := a.script.Get("trailer"); trailer == "1" || trailer == "announced" {
			w.WriteString("Trailer: X-Sum\r\n")
		}
		w.WriteString("Transfer-Encoding: chunked\r\n")
	case "close":
		w.WriteString("Connection: close\r\n")
	}
	w.WriteString("\r\n")
}

// writeLastChunk ends a chunked body and writes the trailer, if the script has one.
func (a *originAnswer) writeLastChunk(w *bufio.Writer) {
	w.WriteString("0\r\n")
	if trailer := a.script.Get("trailer"); trailer == "1" || trailer == "sent" {
		w.WriteString("X-Sum: 42\r\n")
	}
	w.WriteString("\r\n")
}

// writeBody writes a body of Pattern in parts, with the pauses that the script specifies.
func (a *originAnswer) writeBody(w *bufio.Writer, length int64, isChunked bool) error {
	partBytes := int64(bodyPartBytes)
	pause, err := time.ParseDuration(a.script.Get("every"))
	if err == nil {
		partBytes = pausedPartBytes
	}
	buffer := make([]byte, partBytes)
	for body := PatternReader(length); length > 0; {
		n, _ := io.ReadFull(body, buffer[:min(length, partBytes)])
		if isChunked {
			fmt.Fprintf(w, "%x\r\n", n)
		}
		w.Write(buffer[:n])
		if isChunked {
			w.WriteString("\r\n")
		}
		length -= int64(n)
		if err := w.Flush(); err != nil {
			return err
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}
