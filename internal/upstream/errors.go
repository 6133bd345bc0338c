package upstream

import (
	"errors"

	"lockflow/internal/shortage"
)

// ErrAborted is how a Stream ends that was aborted from this side.
var ErrAborted = errors.New("aborted")

// Why an attempt was not sent, or not answered.
var (
	errWithdrawn     = errors.New("withdrawn before it was sent")
	errWriteDeadline = errors.New("the time to write the request is over")
	errServerRemoved = errors.New("the server has been removed from the endpoint list")
	errNoDescriptor  = errors.New("no descriptor is available for a connection")
	errDialLimit     = errors.New("too many connections are being made")
	errNoStream      = errors.New("no HTTP/2 stream is available")
	errTooLong       = errors.New("the answer is too long")
)

// isNodeError reports whether a connection was missing for a reason that lies with this node: it tells nothing
// about the app server.
func isNodeError(err error) bool {
	return errors.Is(err, errNoDescriptor) || errors.Is(err, errDialLimit) || errors.Is(err, errWriteDeadline) || shortage.OfDial(err)
}
