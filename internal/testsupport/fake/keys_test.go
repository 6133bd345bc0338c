package fake

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field of the fake discovery's messages has an explicit JSON key.
func TestKeysAreWritten(t *testing.T) { testkit.RequireKeys(t, "json", message{}) }
