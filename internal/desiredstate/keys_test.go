package desiredstate

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field of a state and of a coordinator's messages has an explicit key.
func TestStoredFieldsHaveKeys(t *testing.T) {
	testkit.RequireKeys(t, "json", State{}, Claim{}, Command{})
}
