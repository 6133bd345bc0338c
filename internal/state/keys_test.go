package state

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field of a node's checkpoint, including its services' checkpoints, has an explicit key.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "cbor", Checkpoint{}) }
