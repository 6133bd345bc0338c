package upstream

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that the tests leak no goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
