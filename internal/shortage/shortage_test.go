package shortage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestOfDial(t *testing.T) {
	for err, want := range map[error]bool{
		&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENFILE)}:          true,
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}:  true,
		fmt.Errorf("reading: %w", &os.PathError{Op: "open", Path: "x", Err: syscall.EMFILE}): true,
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}:   false,
		&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ENETUNREACH)}:    false,
		&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}:      false,
		fmt.Errorf("reading: %w", &os.PathError{Op: "open", Path: "x", Err: syscall.ENOENT}): false,
		fmt.Errorf("waiting: %w", context.DeadlineExceeded):                                  false,
	} {
		if IsDialShortage(err) != want {
			t.Errorf("OfDial(%v) is %v", err, !want)
		}
	}
}

func TestRetryEndsWithShortageLimitOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		if err := Retry(t.Context(), time.Second, IsResourceShortage, func() error {
			if calls++; calls < 5 {
				return syscall.ENFILE
			}
			return nil
		}); err != nil || calls != 5 {
			t.Errorf("got error %v after %d calls, want none after 5", err, calls)
		}
		permanentError := errors.New("another error")
		if err := Retry(t.Context(), time.Second, IsResourceShortage, func() error { return permanentError }); !errors.Is(err, permanentError) {
			t.Error(err)
		}
		startedAt := time.Now()
		if err := Retry(t.Context(), time.Second, IsResourceShortage, func() error { return syscall.ENFILE }); !errors.Is(err, syscall.ENFILE) {
			t.Error(err)
		}
		if elapsed := time.Since(startedAt); elapsed > time.Second || elapsed < time.Second-maxBackoff {
			t.Errorf("the last call was made after %v", elapsed)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if err := Retry(ctx, time.Second, IsResourceShortage, func() error { return syscall.EMFILE }); !errors.Is(err, syscall.EMFILE) {
			t.Error(err)
		}
	})
}
