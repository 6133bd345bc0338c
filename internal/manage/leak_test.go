package manage

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the tests of this package if one leaks a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
