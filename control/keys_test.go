package control_test

import (
	"testing"

	"lockflow/control"
	"lockflow/internal/testsupport/testkit"
)

// All fields of settings, checkpoints and images must have explicit keys, since they are stored under them.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "cbor", control.Settings{}, control.Checkpoint{}, control.Image{})
}
