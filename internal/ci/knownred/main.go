// Command knownred runs the tests that KNOWN-RED.txt lists, in the directory it is started in,
// and prints what go test -skip takes to leave them out. .ci/run calls it. Each line names a
// test that is known to fail, why, and where that is dealt with:
//
//	lockflow/internal/node TestOne: what is at fault (issue 12)
//
// Listed tests may fail. It ends badly for more than three lines, a line of another form, or a
// name that no test of the package has.
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

const (
	file           = "KNOWN-RED.txt"
	maxListedTests = 3
)

var form = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\w*): (.*\w.*) \(issue [1-9][0-9]*\)$`)

// red is a test that is known to fail.
type red struct{ pack, test, line string }

func main() {
	raw, err := os.ReadFile(file)
	var skip string
	if err == nil {
		skip, err = run(string(raw), os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	fmt.Println(skip)
}

// run runs the listed tests, tells their results, and returns what to skip. It fails where a
// test does that has a listed one's name in another package, as -skip knows no packages.
func run(text string, output io.Writer) (string, error) {
	reds, err := parse(text)
	if err != nil || len(reds) == 0 {
		return "", err
	}
	names := make(map[string]bool)
	for _, r := range reds {
		names[r.test] = true
	}
	skip := "^(" + strings.Join(slices.Sorted(maps.Keys(names)), "|") + ")$"
	have, err := list(skip)
	if err != nil {
		return "", err
	}
	for _, r := range reds {
		if !slices.Contains(have, red{pack: r.pack, test: r.test}) {
			return "", fmt.Errorf("%s: %s has no test %s", file, r.pack, r.test)
		}
	}
	var failed error
	for _, h := range have {
		out, err := exec.CommandContext(context.Background(), "go", "test", "-run", "^"+h.test+"$", h.pack).CombinedOutput()
		result := "passes"
		if err != nil {
			result = "fails"
		}
		i := slices.IndexFunc(reds, func(r red) bool { return r.pack == h.pack && r.test == h.test })
		switch {
		case i >= 0:
			fmt.Fprintf(output, "%s%s: known red, %s: %s\n", out, file, result, reds[i].line)
		case err != nil:
			fmt.Fprintf(output, "%s", out)
			failed = fmt.Errorf("%s of %s fails and %s doesn't list it", h.test, h.pack, file)
		}
	}
	return skip, failed
}

// parse reads the list.
func parse(text string) (reds []red, err error) {
	if text == "" {
		return nil, nil
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > maxListedTests {
		return nil, fmt.Errorf("%s: %d lines, at most %d may be known to fail", file, len(lines), maxListedTests)
	}
	for i, line := range lines {
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: %q is not \"import/path TestName: cause (issue N)\"", file, i+1, line)
		}
		reds = append(reds, red{pack: m[1], test: m[2], line: line})
	}
	return reds, nil
}

// list finds the tests whose names match.
func list(names string) (have []red, err error) {
	cmd := exec.CommandContext(context.Background(), "go", "test", "-json", "-list", names, "./...")
	var problems bytes.Buffer
	cmd.Stderr = &problems
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("listing the tests: %w: %s%s", err, problems.Bytes(), out)
	}
	is := regexp.MustCompile(names)
	d := json.NewDecoder(bytes.NewReader(out))
	for {
		var e struct {
			Action  string `json:"Action"`
			Package string `json:"Package"`
			Output  string `json:"Output"`
		}
		if err := d.Decode(&e); errors.Is(err, io.EOF) {
			return have, nil
		} else if err != nil {
			return nil, fmt.Errorf("listing the tests: %w", err)
		}
		if name := strings.TrimSuffix(e.Output, "\n"); e.Action == "output" && is.MatchString(name) {
			have = append(have, red{pack: e.Package, test: name})
		}
	}
}
