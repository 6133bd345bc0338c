package fake

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Messages of the discovery stand-in have a written key for every field.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "json", message{}) }
