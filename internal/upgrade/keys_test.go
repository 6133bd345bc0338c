package upgrade

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// The environment variable of a successor has an explicit key for every field.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "json", inheritance{}) }
