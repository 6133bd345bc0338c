package state

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// A node's checkpoint, with the checkpoints of services in it, has an explicit key for every field.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "cbor", Checkpoint{}) }
