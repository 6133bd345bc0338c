package waitpolicy

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field of stored and shared sketches has an explicit key.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "cbor", storedState{}) }
