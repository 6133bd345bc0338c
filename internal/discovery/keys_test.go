package discovery

import (
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Lists of servers, as they are fetched, have a written key for every field.
func TestFieldsHaveExplicitKeys(t *testing.T) {
	testkit.RequireKeys(t, "json", EndpointList{}, Endpoint{})
}
