package state

import (
	"testing"

	"lockflow/internal/testkit"
)

// The state of a node, with the checkpoints in it, has a written key for every field.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "cbor", State{}) }
