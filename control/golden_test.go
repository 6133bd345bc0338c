package control

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"lockflow/internal/testsupport/testkit"
)

// goldenDir holds files written by earlier builds; go test ./control -run Golden -update rewrites them.
const goldenDir = "testdata/golden"

// The stored types must be written and read under the keys that earlier builds used.
func TestGoldenStoredTypes(t *testing.T) {
	for name, v := range map[string]any{"settings": &Settings{}, "checkpoint-with-servers": &Checkpoint{}, "image-with-servers": &Image{}} {
		testkit.GoldenSample(t, "cbor", filepath.Join(goldenDir, name+".cbor"), v)
	}
}

// Files of builds that did not store the number of warm servers must be read, and written without change.
func TestGoldenStoredTypesWithoutServers(t *testing.T) {
	for name, v := range map[string]any{"checkpoint": &Checkpoint{}, "image": &Image{}} {
		raw, err := os.ReadFile(filepath.Join(goldenDir, name+".cbor"))
		if err != nil {
			t.Fatal(err)
		}
		if err := testkit.RoundTrip("cbor", raw, v); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// goldenRun is an image of a run with the settings under which it was taken.
type goldenRun struct {
	Settings Settings `cbor:"settings"`
	Image    Image    `cbor:"image"`
}

// A controller that is resumed from an image of an earlier build must have an image with the same keys and values.
func TestGoldenImageOfARun(t *testing.T) {
	var raw []byte
	if testkit.IsUpdating() {
		raw = runImage(t)
	}
	raw = testkit.GoldenBytes(t, filepath.Join(goldenDir, "run.cbor"), raw)
	var run goldenRun
	if err := cbor.Unmarshal(raw, &run); err != nil {
		t.Fatal(err)
	}
	controller, err := Resume(run.Settings, run.Image)
	if err != nil {
		t.Fatal(err)
	}
	second, err := cbor.Marshal(goldenRun{run.Settings, controller.Image()})
	if err != nil {
		t.Fatal(err)
	}
	var want, got any
	if err := cbor.Unmarshal(raw, &want); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(second, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("image of the resumed controller is\n%v\nwant\n%v", got, want)
	}
}

// runImage returns the encoded image of a short run at a time when it contains requests, attempts, queued requests and
// abandoned attempts.
func runImage(t *testing.T) []byte {
	s := simulate(t, 39, 30)
	image := s.controller.Image()
	for range 1_000 {
		if len(image.Requests) > 0 && len(image.Attempts) > 0 && len(image.Plans[0].Queue) > 0 && len(image.Abandoned) > 0 {
			break
		}
		s.step()
		image = s.controller.Image()
	}
	raw, err := cbor.Marshal(goldenRun{s.settings, image})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
