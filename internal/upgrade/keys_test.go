package upgrade

import (
	"testing"

	"lockflow/internal/testkit"
)

// What a successor process is handed has a written key for every field.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "json", inheritance{}) }
