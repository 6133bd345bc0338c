package discovery

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Every field of an endpoint list has an explicit JSON key, so that renaming a field doesn't change the wire format.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "json", EndpointList{}, Endpoint{})
}
