package control_test

import (
	"testing"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// Settings, checkpoints and images have a written key for every field: they are stored under these.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "cbor", control.Settings{}, control.Checkpoint{}, control.Image{})
}
