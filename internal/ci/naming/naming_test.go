package naming

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

const root = "../../.."

// TestPackagesDeclareNoPlainWords checks that no package declares a name with a plain word.
func TestPackagesDeclareNoPlainWords(t *testing.T) {
	directories, err := Packages(root)
	if err != nil {
		t.Fatal(err)
	}
	if len(directories) < 40 {
		t.Fatalf("only %d packages found", len(directories))
	}
	for _, directory := range directories {
		findings, err := Check(filepath.Join(root, directory))
		if err != nil {
			t.Fatal(err)
		}
		for _, finding := range findings {
			t.Error(finding)
		}
	}
}

func TestPlainWordFindsWholeWordsOnly(t *testing.T) {
	cases := map[string]string{
		"retryMost": "most", "toldAt": "told", "HTTPRoom": "room", "bookKeeper": "book", "shut_aside": "aside",
		"almost": "", "bookmark": "", "mostly": "", "maxRetries": "", "wholeHTTP2": "whole", "x": "",
	}
	for name, want := range cases {
		if got := plainWord(name); got != want {
			t.Errorf("plainWord(%q) = %q, want %q", name, got, want)
		}
	}
}

func TestCheckFindsEachKindOfDeclaration(t *testing.T) {
	directory := t.TempDir()
	source := `package p
const askAgain = 1
var worthLow int
type room struct{ held, fine int }
func (r room) told(aside int) (trouble error) {
	most := 1
	for least, whole := range []int{most} { _, _ = least, whole }
	return nil
}
`
	if err := os.WriteFile(filepath.Join(directory, "p.go"), []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	findings, err := Check(directory)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, finding := range findings {
		names = append(names, finding.Name)
	}
	slices.Sort(names)
	want := []string{"aside", "askAgain", "held", "least", "most", "room", "told", "trouble", "whole", "worthLow"}
	if !slices.Equal(names, want) {
		t.Errorf("found %v, want %v", names, want)
	}
}
