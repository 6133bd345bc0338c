package upstream

import (
	"errors"
	"slices"

	"lockflow/internal/shortage"
)

// ErrAborted is the error of a Stream that this node has aborted.
var ErrAborted = errors.New("aborted")

// Errors of attempts that were not sent or got no response.
var (
	errWithdrawn       = errors.New("attempt withdrawn before it was sent")
	errWriteDeadline   = errors.New("write deadline passed before the request was sent")
	errServerRemoved   = errors.New("server removed from the endpoint list")
	errUnknownProcess  = errors.New("another process may have taken over the server's address")
	errNoDescriptor    = errors.New("no file descriptor available for a connection")
	errDialLimit       = errors.New("too many connections are being established")
	errNoStream        = errors.New("no HTTP/2 stream available")
	errResponseTooLong = errors.New("response too long")
)

// nodeErrors are the errors caused by this node and not by the app server.
var nodeErrors = []error{errNoDescriptor, errDialLimit, errWriteDeadline}

// isNodeError reports whether a connection failed because of this node. Such an error does not count as a failure
// of the app server.
func isNodeError(err error) bool {
	isOneOf := func(nodeError error) bool { return errors.Is(err, nodeError) }
	return slices.ContainsFunc(nodeErrors, isOneOf) || shortage.IsDialShortage(err)
}
