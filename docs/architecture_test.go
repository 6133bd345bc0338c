package docs

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"lockflow/internal/ci/naming"
)

// TestArchitectureListsEveryPackage holds docs/architecture.md to the packages of the module: each is on it,
// and each package and file that it names exists.
func TestArchitectureListsEveryPackage(t *testing.T) {
	page := readPage(t, "architecture.md")
	var named []string
	for _, match := range regexp.MustCompile("`((?:control|docs|cmd/|internal/)[a-z0-9_/.]*)`").FindAllStringSubmatch(page, -1) {
		named = append(named, match[1])
		if _, err := os.Stat(filepath.Join("..", match[1])); err != nil {
			t.Errorf("the page names %s: %v", match[1], err)
		}
	}
	packages, err := naming.Packages("..")
	if err != nil {
		t.Fatal(err)
	}
	if len(packages) < 40 {
		t.Fatalf("only %d packages are found", len(packages))
	}
	for _, directory := range packages {
		if !slices.Contains(named, directory) {
			t.Errorf("the page does not name package %s", directory)
		}
	}
}

// TestArchitectureNamesRealMetricsAndLines holds the table for whoever is paged to the metrics that are
// exported and to the lines that are logged.
func TestArchitectureNamesRealMetricsAndLines(t *testing.T) {
	_, table, found := strings.Cut(readPage(t, "architecture.md"), "## When you are paged")
	if !found {
		t.Fatal("the page has no table for whoever is paged")
	}
	metrics, logs := readPage(t, "../internal/metrics/families.go")+readPage(t, "../internal/metrics/gathers.go"), readPage(t, "logs.md")
	for _, match := range regexp.MustCompile("`lockflow_([a-z_]+)`").FindAllStringSubmatch(table, -1) {
		if !strings.Contains(metrics, `"`+match[1]+`"`) {
			t.Errorf("no metric lockflow_%s is exported", match[1])
		}
	}
	lines := 0
	for row := range strings.Lines(table) {
		columns := strings.Split(row, "|")
		if len(columns) != 6 || strings.HasPrefix(strings.TrimSpace(columns[1]), "---") {
			continue
		}
		for i, text := range strings.Split(columns[3], "`") {
			isQuoted := i%2 == 1
			if !isQuoted || !strings.Contains(text, " ") || strings.HasPrefix(text, "lockflow ") || strings.HasSuffix(text, "...") {
				continue
			}
			lines++
			if !strings.Contains(logs, "| "+text+" |") {
				t.Errorf("no line %q is logged", text)
			}
		}
	}
	if lines < 5 {
		t.Fatalf("only %d log lines are found in the table", lines)
	}
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// supportFolders hold what is no part of the running node.
var supportFolders = []string{"internal/simulation/", "internal/testsupport/", "internal/trials/", "internal/ci/"}

// supportUsers are production packages that may import support: the commands that offer the simulation and
// the trials, and the program that draws what the simulation prints.
var supportUsers = []string{"internal/command", "cmd/lockplot"}

// TestProductionImportsNoSupport holds that no file of a production package, tests aside, imports a package
// of the support folders.
func TestProductionImportsNoSupport(t *testing.T) {
	packages, err := naming.Packages("..")
	if err != nil {
		t.Fatal(err)
	}
	production := 0
	for _, directory := range packages {
		if isSupport(directory) || slices.Contains(supportUsers, directory) {
			continue
		}
		production++
		for _, imported := range importsOf(t, filepath.Join("..", directory)) {
			if isSupport(imported) {
				t.Errorf("%s imports %s, which is no part of the running node", directory, imported)
			}
		}
	}
	if production < 40 {
		t.Fatalf("only %d production packages are found", production)
	}
}

// isSupport tells whether the package in a directory, relative to the module, is no part of the running node.
func isSupport(directory string) bool {
	return slices.ContainsFunc(supportFolders, func(folder string) bool { return strings.HasPrefix(directory, folder) })
}

// importsOf returns the packages of this module that the files of a directory, tests aside, import.
func importsOf(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var imported []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if inModule, ok := strings.CutPrefix(path, "lockflow/"); ok {
				imported = append(imported, inModule)
			}
		}
	}
	return imported
}

// TestPagesHaveNoConflictMarkers holds that no merge left its markers in a page.
func TestPagesHaveNoConflictMarkers(t *testing.T) {
	marker := regexp.MustCompile(`(?m)^(<<<<<<<|=======|>>>>>>>)( |$)`)
	pages := 0
	for _, pattern := range []string{"../*.md", "*.md", "*/*.md"} {
		names, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			pages++
			if found := marker.FindString(readPage(t, name)); found != "" {
				t.Errorf("%s has a line that begins with %q", name, found)
			}
		}
	}
	if pages < 30 {
		t.Fatalf("only %d pages are found", pages)
	}
}
