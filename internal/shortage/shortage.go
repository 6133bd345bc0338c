// Package shortage tells errors of the system that pass by themselves, a lack of descriptors, ports, memory or buffers,
// from those that a later call gives again, and has calls outlast them.
package shortage

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// Bounds of the backoff between two calls. A shortage may pass at once, and many wait for the same.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

var (
	// of the process's or the system's descriptors, of memory and buffers
	resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}
	// of local ports, as connect(2) tells it; bind(2) tells a wrong address so
	portErrors = []error{syscall.EADDRNOTAVAIL, syscall.EAGAIN}
)

// OfResources reports whether an error is one of a shortage of descriptors, memory or buffers on this machine.
func OfResources(err error) bool { return isAny(err, resourceErrors) }

// OfDial reports whether an error of making a connection is one of a shortage on this machine, of ports too. It tells
// nothing about the peer.
func OfDial(err error) bool { return OfResources(err) || isAny(err, portErrors) }

func isAny(err error, all []error) bool {
	return slices.ContainsFunc(all, func(one error) bool { return errors.Is(err, one) })
}

// Retry calls a function until it fails with no shortage, or limit has passed or ctx has ended, and returns its last
// error.
func Retry(ctx context.Context, limit time.Duration, isShortage func(error) bool, call func() error) error {
	begun, backoff := time.Now(), minBackoff
	for {
		err := call()
		if err == nil || !isShortage(err) || time.Since(begun)+backoff > limit {
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
