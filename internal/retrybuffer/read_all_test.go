package retrybuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against memory for bodies that are announced and not sent: what is reserved follows what has arrived.
func TestReadAllReservesWhatArrives(t *testing.T) {
	const length = 64 << 10
	for _, arrived := range []int{0, 1, firstReadBytes, firstReadBytes + 1, 20 << 10, length} {
		body := bytes.Repeat([]byte("b"), arrived)
		reserved, peak := int64(0), int64(0)
		got, err := ReadAll(iotest.HalfReader(bytes.NewReader(body)), length, func(n int64) bool {
			reserved, peak = n, max(peak, n)
			return true
		})
		if !bytes.Equal(got, body) || (err == nil) != (arrived == length) {
			t.Errorf("%d bytes arrived: read %d, error %v", arrived, len(got), err)
		}
		if limit := int64(max(firstReadBytes, growthFactor*arrived+arrived)); peak > limit || reserved < int64(arrived) {
			t.Errorf("%d bytes arrived: %d bytes reserved in the end, %d at most, want %d at most", arrived, reserved, peak, limit)
		}
	}
}

func TestReadAllWithoutMemory(t *testing.T) {
	refuseLarge := func(n int64) bool { return n <= firstReadBytes }
	if _, err := ReadAll(strings.NewReader(strings.Repeat("b", 9000)), 9000, refuseLarge); !errors.Is(err, ErrNoMemory) {
		t.Errorf("got error %v, want ErrNoMemory", err)
	}
	if body, err := ReadAll(strings.NewReader("short"), 5, refuseLarge); err != nil || string(body) != "short" {
		t.Errorf("got %q, error %v", body, err)
	}
	if _, err := ReadAll(strings.NewReader("short"), 9, refuseLarge); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want EOF", err)
	}
}
