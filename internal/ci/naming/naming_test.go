package naming

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../../.."

// TestNoPackageGainsPlainWords holds each package to the number that testdata/left.txt allows it, and
// those that it doesn't list, which are finished or new, to none.
func TestNoPackageGainsPlainWords(t *testing.T) {
	allowed := readLeft(t)
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
		if len(findings) <= allowed[directory] {
			continue
		}
		t.Errorf("%s: %d declared names hold a plain word, %d are allowed", directory, len(findings), allowed[directory])
		for _, finding := range findings {
			t.Log(finding)
		}
	}
	for directory := range allowed {
		if !slices.Contains(directories, directory) {
			t.Errorf("testdata/left.txt lists %s, which is no package", directory)
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

// readLeft reads the packages that are not finished: a path and a number a line.
func readLeft(t *testing.T) map[string]int {
	t.Helper()
	text, err := os.ReadFile("testdata/left.txt")
	if err != nil {
		t.Fatal(err)
	}
	left := map[string]int{}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 {
			t.Fatalf("testdata/left.txt: line %q isn't a path and a number", line)
		}
		number, err := strconv.Atoi(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		left[fields[0]] = number
	}
	return left
}
