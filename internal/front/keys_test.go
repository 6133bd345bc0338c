package front

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field of a problem has an explicit JSON key.
func TestProblemFieldsHaveKeys(t *testing.T) { testkit.RequireKeys(t, "json", problem{}) }
