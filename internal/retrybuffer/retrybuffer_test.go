package retrybuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Wherever earlier attempts stopped, each attempt reads the body from its first byte. It gets ErrGone only
// after an attempt has read beyond the buffer.
func TestEachReaderReadsFromFirstByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "body")
		limit := rapid.IntRange(0, 300).Draw(t, "keep")
		b := New(iotest.OneByteReader(bytes.NewReader(body)), limit, nil)
		if rapid.Bool().Draw(t, "fill") && len(body) <= limit {
			if err := b.Fill(int64(len(body))); err != nil {
				t.Fatal(err)
			}
		}
		maxRead := 0
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			canRetry := b.CanRetry()
			if canRetry != (maxRead <= limit) {
				t.Fatalf("%d of %d bytes were read with a limit of %d: CanRetry is %v", maxRead, len(body), limit, canRetry)
			}
			r := b.NewReader()
			p := make([]byte, rapid.IntRange(0, len(body)+1).Draw(t, "reads"))
			n, err := io.ReadFull(r, p)
			if !canRetry {
				if n > 0 || !errors.Is(err, ErrGone) && len(p) > 0 {
					t.Fatalf("read %d bytes, error %v; want ErrGone", n, err)
				}
				continue
			}
			if !bytes.Equal(p[:n], body[:n]) || n != min(len(p), len(body)) {
				t.Fatalf("read %q, want the beginning of %q", p[:n], body)
			}
			maxRead = max(maxRead, n)
		}
		b.Discard()
		if !b.HasEnded() {
			t.Fatal("the body has not ended after Discard")
		}
	})
}

// If an attempt is replaced while it waits for bytes from the client, the next attempt gets the bytes of its read.
func TestBytesReadByReplacedReaderGoToNextReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, out := io.Pipe()
		b := New(in, 4, nil)
		got := make(chan string, 2)
		read := func(r *Reader) {
			p := make([]byte, 100)
			n, err := r.Read(p)
			got <- string(p[:n]) + errText(err)
		}
		go read(b.NewReader())
		synctest.Wait()
		second := b.NewReader()
		go read(second)
		synctest.Wait()
		out.Write([]byte("beyond what is held"))
		synctest.Wait()
		first, other := <-got, <-got
		if first != ErrGone.Error() && other != ErrGone.Error() || first != "beyond what is held" && other != "beyond what is held" {
			t.Errorf("results of the reads: %q and %q, want ErrGone for the replaced reader and the bytes for the other", first, other)
		}
		go read(second)
		synctest.Wait()
		b.Close(func() { in.CloseWithError(errors.New("interrupted")) })
		if s := <-got; s != ErrClosed.Error() && !strings.Contains(s, "closed pipe") {
			t.Errorf("read during Close: %q, want ErrClosed or a closed pipe", s)
		}
		if b.CanRetry() {
			t.Error("CanRetry is true for a closed body")
		}
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestFillOfTruncatedBody(t *testing.T) {
	b := New(strings.NewReader("abc"), 100, nil)
	if err := b.Fill(5); !errors.Is(err, io.ErrUnexpectedEOF) || b.CanRetry() || b.Err() == nil {
		t.Errorf("Fill: error %v, CanRetry %v; want io.ErrUnexpectedEOF and false", err, b.CanRetry())
	}
}
