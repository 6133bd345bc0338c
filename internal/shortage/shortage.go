// Package shortage tells apart errors of system calls that are transient, a lack of descriptors, ports, memory or
// buffers, from permanent ones, and retries calls that fail with transient ones.
package shortage

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// Bounds of the backoff between two calls.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

var (
	// of the process's or the system's descriptors, of memory and buffers
	resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}
	// of local ports, as connect(2) returns it; bind(2) returns it for an invalid address
	portErrors = []error{syscall.EADDRNOTAVAIL, syscall.EAGAIN}
)

// OfResources reports whether an error is one of a shortage of descriptors, memory or buffers on this machine.
func OfResources(err error) bool { return isAnyOf(err, resourceErrors) }

// OfDial reports whether an error of connecting is one of a shortage on this machine, of ports too. It says
// nothing about the peer.
func OfDial(err error) bool { return OfResources(err) || isAnyOf(err, portErrors) }

func isAnyOf(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// Retry calls a function until it fails with no shortage, or limit has passed or ctx has ended, and returns its last
// error.
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
