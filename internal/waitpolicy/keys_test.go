package waitpolicy

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Stored and shared sketches have a written key for every field.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "cbor", storedState{}) }
