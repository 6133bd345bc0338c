package front

import (
	"testing"

	"lockflow/internal/testkit"
)

// Answers that tell a problem have a written key for every field.
func TestProblemFieldsHaveKeys(t *testing.T) { testkit.RequireKeys(t, "json", problem{}) }
