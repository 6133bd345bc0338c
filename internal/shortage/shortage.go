// Package shortage distinguishes transient errors of system calls, those caused by a shortage of descriptors, ports,
// memory or buffers on this machine, from permanent ones. It retries calls that fail with transient errors.
package shortage

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// Bounds of the exponential backoff between two calls.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

var (
	// resourceErrors report a shortage of the process's or the system's descriptors, of memory or of buffers, or an
	// interrupted call.
	resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}
	// portErrors report a shortage of local ports if returned by connect(2). bind(2) returns EADDRNOTAVAIL for an
	// invalid address instead.
	portErrors = []error{syscall.EADDRNOTAVAIL, syscall.EAGAIN}
)

// IsResourceShortage reports whether an error is due to a shortage of descriptors, memory or buffers on this machine.
func IsResourceShortage(err error) bool { return isAnyOf(err, resourceErrors) }

// IsDialShortage reports whether a dial error is due to a shortage of descriptors, memory, buffers or ports on this machine,
// so that it says nothing about the peer.
func IsDialShortage(err error) bool { return IsResourceShortage(err) || isAnyOf(err, portErrors) }

func isAnyOf(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// Retry calls a function, with an exponential backoff, until it returns no shortage error, or until limit has passed or
// ctx has ended. It returns the function's last error.
func Retry(ctx context.Context, limit time.Duration, isShortage func(error) bool, call func() error) error {
	started, backoff := time.Now(), minBackoff
	for {
		err := call()
		if err == nil || !isShortage(err) || time.Since(started)+backoff > limit {
			return err
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
