// Command knownred runs the tests that KNOWN-RED.txt in the working directory lists, and prints the pattern
// with which go test -skip leaves them out. .ci/run calls it. An entry has five lines, and an empty line
// separates two entries:
//
//	test: lockflow/internal/node TestOne
//	command: go test -run '^TestOne$' ./internal/node
//	seed: none
//	seen: what the failure showed
//	issue: 12
//
// Listed tests may fail. The command exits with code 1 if an entry is malformed, if the package has no test of
// that name, or if a test of the same name in another package fails and is not listed.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const listFile = "KNOWN-RED.txt"

// entryFields are the fields of an entry in order, each with the pattern of its value.
var entryFields = []struct {
	name string
	form *regexp.Regexp
}{
	{"test", regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\w*)$`)},
	{"command", regexp.MustCompile(`\w`)},
	{"seed", regexp.MustCompile(`^(none|\S*[0-9]\S*)$`)},
	{"seen", regexp.MustCompile(`\w`)},
	{"issue", regexp.MustCompile(`^[1-9][0-9]*$`)},
}

// testName identifies a test of the module by its package and function.
type testName struct{ importPath, function string }

func (n testName) String() string { return n.importPath + " " + n.function }

// entry is a test that is known to fail.
type entry struct {
	test testName
	text string // its lines, as listed
}

func main() {
	var skipPattern string
	text, err := os.ReadFile(listFile)
	if err == nil {
		skipPattern, err = run(string(text), os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	fmt.Println(skipPattern)
}

// run runs the listed tests, writes their results to output, and returns the pattern of names to skip. Since
// -skip matches names in all packages, it also runs unlisted tests of the same names, and returns an error if
// one of them fails.
func run(list string, output io.Writer) (skipPattern string, err error) {
	entries, err := parse(list)
	if err != nil || len(entries) == 0 {
		return "", err
	}
	skipPattern = namePattern(entries)
	existing, err := testsMatching(skipPattern)
	if err != nil {
		return "", err
	}
	for _, listed := range entries {
		if !slices.Contains(existing, listed.test) {
			return "", fmt.Errorf("%s: %s has no test %s", listFile, listed.test.importPath, listed.test.function)
		}
	}
	var unlistedFailure error
	for _, test := range existing {
		testOutput, testErr := runTest(test)
		index := slices.IndexFunc(entries, func(listed entry) bool { return listed.test == test })
		isListed := index >= 0
		switch {
		case isListed:
			fmt.Fprintf(output, "%s%s: known red, %s:\n%s\n", testOutput, listFile, verdict(testErr), entries[index].text)
		case testErr != nil:
			fmt.Fprintf(output, "%s", testOutput)
			unlistedFailure = fmt.Errorf("%s of %s fails and %s doesn't list it", test.function, test.importPath, listFile)
		}
	}
	return skipPattern, unlistedFailure
}

// namePattern returns the pattern that matches the names of the listed tests and no others.
func namePattern(entries []entry) string {
	names := make(map[string]bool)
	for _, listed := range entries {
		names[listed.test.function] = true
	}
	return "^(" + strings.Join(slices.Sorted(maps.Keys(names)), "|") + ")$"
}

func runTest(test testName) (output []byte, err error) {
	return exec.CommandContext(context.Background(), "go", "test", "-run", "^"+test.function+"$", test.importPath).CombinedOutput()
}

func verdict(testErr error) string {
	if testErr != nil {
		return "fails"
	}
	return "passes"
}

// parse reads the list. An error gives the line of the first malformed entry.
func parse(list string) ([]entry, error) {
	if list == "" {
		return nil, nil
	}
	var entries []entry
	lineNumber := 1
	for text := range strings.SplitSeq(strings.TrimSuffix(list, "\n"), "\n\n") {
		listed, err := parseEntry(text, lineNumber)
		if err != nil {
			return nil, err
		}
		entries = append(entries, listed)
		lineNumber += strings.Count(text, "\n") + 2
	}
	return entries, nil
}

// parseEntry reads one entry, which starts on line firstLine of the list.
func parseEntry(text string, firstLine int) (entry, error) {
	lines := strings.Split(text, "\n")
	for i, field := range entryFields {
		if i >= len(lines) {
			return entry{}, fmt.Errorf("%s:%d: the entry has no line %q", listFile, firstLine, field.name+": ")
		}
		value, hasName := strings.CutPrefix(lines[i], field.name+": ")
		if !hasName || !field.form.MatchString(value) {
			return entry{}, fmt.Errorf("%s:%d: %q is not a line %q of the form %s", listFile, firstLine+i, lines[i], field.name+": ", field.form)
		}
	}
	if len(lines) > len(entryFields) {
		return entry{}, fmt.Errorf("%s:%d: the entry has a line too many", listFile, firstLine+len(entryFields))
	}
	parts := strings.Fields(strings.TrimPrefix(lines[0], "test: "))
	test := testName{importPath: parts[0], function: parts[1]}
	if !strings.Contains(lines[1], test.function) {
		return entry{}, fmt.Errorf("%s:%d: the command doesn't name %s", listFile, firstLine+1, test.function)
	}
	return entry{test: test, text: text}, nil
}

// testsMatching returns the module's tests whose names match the pattern.
func testsMatching(pattern string) ([]testName, error) {
	cmd := exec.CommandContext(context.Background(), "go", "test", "-json", "-list", pattern, "./...")
	var errorOutput bytes.Buffer
	cmd.Stderr = &errorOutput
	listing, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("listing the tests: %w: %s%s", err, errorOutput.Bytes(), listing)
	}
	names := regexp.MustCompile(pattern)
	var tests []testName
	decoder := json.NewDecoder(bytes.NewReader(listing))
	for {
		var event struct {
			Action  string `json:"Action"`
			Package string `json:"Package"`
			Output  string `json:"Output"`
		}
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return tests, nil
		}
		if err != nil {
			return nil, fmt.Errorf("listing the tests: %w", err)
		}
		line := strings.TrimSuffix(event.Output, "\n")
		if event.Action == "output" && names.MatchString(line) {
			tests = append(tests, testName{importPath: event.Package, function: line})
		}
	}
}
