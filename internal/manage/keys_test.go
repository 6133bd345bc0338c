package manage

import (
	"testing"

	"lockflow/internal/testkit"
)

// All that passes over the control socket has a written key for every field.
func TestKeysAreWritten(t *testing.T) {
	testkit.RequireKeys(t, "json", Status{}, Claim{}, Order{}, errorAnswer{})
}
