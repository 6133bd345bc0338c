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
	errWithdrawn       = errors.New("withdrawn before it was sent")
	errWriteDeadline   = errors.New("the time to write the request is over")
	errServerRemoved   = errors.New("the server has been removed from the endpoint list")
	errNoDescriptor    = errors.New("no descriptor is available for a connection")
	errDialLimit       = errors.New("too many connections are being made")
	errNoStream        = errors.New("no HTTP/2 stream is available")
	errResponseTooLong = errors.New("the answer is too long")
)

// nodeErrors are the errors caused by this node and not by the app server.
var nodeErrors = []error{errNoDescriptor, errDialLimit, errWriteDeadline}

// isNodeError reports whether a connection failed because of this node. Such an error does not count as a failure
// of the app server.
func isNodeError(err error) bool {
	isOneOf := func(nodeError error) bool { return errors.Is(err, nodeError) }
	return slices.ContainsFunc(nodeErrors, isOneOf) || shortage.OfDial(err)
}
