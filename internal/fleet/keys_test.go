package fleet

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// The records of a rollout and the printed status of a fleet have an explicit key for every field.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "json", Change{}, logRecord{}, Progress{}, []StatusReply{})
}
