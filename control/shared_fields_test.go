package control

import (
	"reflect"
	"testing"
)

// All fields of a customer's checkpoint are shared with its image, except those that have another type or meaning there.
// A field that is renamed in only one of the forms would no longer be stored or restored.
func TestSharedFieldsOfCustomers(t *testing.T) {
	notShared := map[string]bool{
		"ID": true, "Plan": true, "QuotaBurst": true, "HardLimitBurst": true,
		"Sent": true, "Charged": true, "Arrivals": true, "Rejections": true,
	}
	checkpoint := reflect.TypeFor[CustomerCheckpoint]()
	isShared := make(map[string]bool)
	for _, pair := range checkpointToImage.pairs {
		isShared[checkpoint.Field(pair.from).Name] = true
	}
	for i := range checkpoint.NumField() {
		if name := checkpoint.Field(i).Name; isShared[name] == notShared[name] {
			t.Errorf("field %s: shared is %v", name, isShared[name])
		}
	}
	if back := len(imageToCheckpoint.pairs); back != len(checkpointToImage.pairs) {
		t.Errorf("%d fields are copied from an image, but %d to it", back, len(checkpointToImage.pairs))
	}
}
