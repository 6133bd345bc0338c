package validation

import (
	"errors"
	"strings"
	"testing"
)

// Heads are measured across messages and independently of the pieces in which they arrive; bodies and chunk sizes are not.
func TestScannerMeasuresHeads(t *testing.T) {
	first := "POST / HTTP/1.1\r\nA: b\r\nContent-Length: 8\r\n\r\n"
	second := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	trailer := "T: v\r\n\r\n"
	half := "GET / HTTP/1.1\r\nA"
	text := first + "a\nb\nc\nd\n" + second + "2\r\na\n\r\n0\r\n" + trailer + half
	for _, size := range []int{1, 3, len(text)} {
		var s Scanner
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			if err := s.Feed([]byte(rest[:n])); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		want := HeadSize{Bytes: int64(len(first + second + trailer + half)), Fields: 4}
		if got := s.TotalSize(); got != want {
			t.Errorf("in pieces of %d bytes: total size %+v, want %+v", size, got, want)
		}
		if got := s.CurrentSize(); got != (HeadSize{Bytes: int64(len(half))}) || s.Messages() != 2 {
			t.Errorf("in pieces of %d bytes: current size %+v after %d messages, want that of %q after 2", size, got, s.Messages(), half)
		}
	}
}

// Guards against heads and trailers of any number of fields, also after a violation, behind which every line counts.
func TestScannerLimitsFields(t *testing.T) {
	request := "GET / HTTP/1.1\r\n"
	response := "HTTP/1.1 200 OK\r\n"
	for name, tc := range map[string]struct {
		scanner Scanner
		text    string
		want    error
	}{
		"within the limit":          {Scanner{}, request + strings.Repeat("A: b\r\n", 8) + "\r\n", nil},
		"over the limit":            {Scanner{}, request + strings.Repeat("A: b\r\n", 9), ErrTooManyFields},
		"trailer":                   {Scanner{}, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", 8), ErrTooManyFields},
		"after a violation":         {Scanner{}, request + "A: b\r\n c\r\n" + strings.Repeat("\n", 9), ErrTooManyFields},
		"two messages":              {Scanner{}, strings.Repeat(request+strings.Repeat("A: b\r\n", 8)+"\r\n", 2), nil},
		"response":                  {Scanner{ReadsResponses: true}, response + strings.Repeat("A: b\r\n", 9), ErrTooManyFields},
		"body of a response":        {Scanner{ReadsResponses: true}, response + "\r\n" + strings.Repeat("\n", 99), nil},
		"ignored violation":         {Scanner{ReadsResponses: true, MeasuresOnly: true}, response + "A: b\r\n c\r\n\r\n" + strings.Repeat("\n", 99), nil},
		"ignored violation, many":   {Scanner{ReadsResponses: true, MeasuresOnly: true}, response + strings.Repeat("A: b\r\n c\r\n", 5), ErrTooManyFields},
		"ignored framing":           {Scanner{ReadsResponses: true, MeasuresOnly: true}, response + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("\n", 99), nil},
		"interim, then many fields": {Scanner{ReadsResponses: true}, "HTTP/1.1 103 Early Hints\r\n\r\n" + response + strings.Repeat("A: b\r\n", 9), ErrTooManyFields},
	} {
		t.Run(name, func(t *testing.T) {
			tc.scanner.MaxFields = 8
			var err error
			for i := range len(tc.text) {
				err = tc.scanner.Feed([]byte{tc.text[i]})
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
		})
	}
}
