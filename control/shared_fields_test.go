package control

import (
	"reflect"
	"testing"
)

// Of a customer's checkpoint only what has another type or meaning in an image is not shared with that: a field that is
// renamed in one form alone would no longer be stored or restored.
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
			t.Errorf("%s: shared %v", name, isShared[name])
		}
	}
	if back := len(imageToCheckpoint.pairs); back != len(checkpointToImage.pairs) {
		t.Errorf("%d fields are copied from an image, %d to it", back, len(checkpointToImage.pairs))
	}
}
