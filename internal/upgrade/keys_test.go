package upgrade

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field in the value of a successor's environment variable has an explicit key.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "json", inheritance{}) }
