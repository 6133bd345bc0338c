package validation

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestScannerOfRequests(t *testing.T) {
	long := strings.Repeat("x", 300)
	for name, tc := range map[string]struct {
		text string
		want error
	}{
		"plain":             {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		"two":               {"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nGET GET / HTTP/1.1\r\nA: b\r\n\r\n", nil},
		"chunked, then one": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\na\r\nb\n\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\n\r\n", nil},
		"long fields":       {"GET /" + long + " HTTP/1.1\r\nA: " + long + "\r\n\r\n", nil},
		"CR in a body":      {"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n\r\r\r", nil},
		"same lengths":      {"POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\nx", nil},
		"both":              {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrFraming},
		"both, late":        {"GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", ErrFraming},
		"differing":         {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", ErrContentLength},
		"list":              {"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx", ErrContentLength},
		"plus":              {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx", ErrContentLength},
		"negative":          {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nx", ErrContentLength},
		"empty":             {"POST / HTTP/1.1\r\nContent-Length:\r\n\r\nx", ErrContentLength},
		"huge":              {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nx", ErrContentLength},
		"fold":              {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ErrLineFolding},
		"fold in a trailer": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\tc\r\n\r\n", ErrLineFolding},
		"CR":                {"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", ErrBareCR},
		"CR CR LF":          {"GET / HTTP/1.1\r\nA: b\r\r\n\r\n", ErrBareCR},
		"CR in the target":  {"GET /\r HTTP/1.1\r\n\r\n", ErrBareCR},
		"old":               {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrHTTP10TransferEncoding},
		"old, long target":  {"POST /" + long + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrHTTP10TransferEncoding},
		"gzip":              {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrTransferEncoding},
		"twice chunked":     {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferEncoding},
		"long coding":       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked" + strings.Repeat(" ", 300) + "x\r\n\r\n", ErrTransferEncoding},
		"no size":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", ErrChunkSize},
		"chunk too long":    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", ErrChunkSize},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 3, len(tc.text)} { // bytes that each Feed gets
				var s Scanner
				var err error
				for rest := []byte(tc.text); len(rest) > 0; {
					n := min(size, len(rest))
					err = s.Feed(rest[:n])
					rest = rest[n:]
				}
				if !errors.Is(err, tc.want) {
					t.Errorf("fed in pieces of %d bytes: got error %v, want %v", size, err, tc.want)
				}
			}
		})
	}
}

func TestScannerOfAnswers(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\r \r":                                                            nil,
		"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": ErrFraming,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                                        ErrHTTP10TransferEncoding,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                                                                        ErrLineFolding,
	} {
		s := Scanner{ReadsResponses: true}
		if err := s.Feed([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%q: got error %v, want %v", text, err, want)
		}
	}
}

// Guards against request smuggling: net/http must split all input that the scanner accepts into the same
// messages, each ending at the same byte.
func FuzzScannerAgreesWithNetHTTP(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.0\r\nContent-Length: 0\r\ntransfer-encoding : chunked\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\nHost: h\n\nGET / HTTP/1.1\nHost: h\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := bufio.NewReader(bytes.NewReader(raw))
		consumed := func() int { return len(raw) - reader.Buffered() }
		if len(raw) > 4000 { // longer input does not fit in the reader's buffer, so consumed would be wrong
			return
		}
		for range 10 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			var s Scanner
			if s.Feed(raw[:consumed()]) != nil {
				return // rejected
			}
			if s.state != inHead || s.hasStartLine || s.bytesToSkip > 0 {
				t.Fatalf("net/http ends a message at byte %d of %q; the scanner is in state %d and skips %d more bytes", consumed(), raw, s.state, s.bytesToSkip)
			}
		}
	})
}

func BenchmarkScannerFeed(b *testing.B) {
	head := []byte("POST /roster/week?x=1 HTTP/1.1\r\nContent-Length: 0\r\nHost: care.example\r\nUser-Agent: curl/8\r\nAccept: */*\r\nCookie: " +
		strings.Repeat("c", 200) + "\r\n\r\n")
	b.ReportAllocs()
	var s Scanner
	for b.Loop() {
		if s.Feed(head) != nil {
			b.Fatal("valid request head was rejected")
		}
	}
}
