package desiredstate

import (
	"testing"

	"lockflow/internal/testkit"
)

// The book of orders, and what coordinators say, have a written key for every field.
func TestStoredFieldsHaveKeys(t *testing.T) {
	testkit.RequireKeys(t, "json", State{}, Claim{}, Command{})
}
