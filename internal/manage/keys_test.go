package manage

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// All bodies on the control socket have an explicit key for every field.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "json", Status{}, Claim{}, Command{}, errorAnswer{}, upgradeRequest{}, drainRequest{})
}
