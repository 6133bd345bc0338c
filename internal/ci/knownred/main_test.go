package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// An entry of KNOWN-RED.txt and contents of test files that fail or pass.
const (
	redEntry = "test: lockflow/one TestRed\n" +
		"command: go test -run '^TestRed$' ./one\n" +
		"seed: none\n" +
		"seen: it always fails\n" +
		"issue: 7\n"
	failingTest = "import \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"as ever\") }\n\nfunc TestGreen(*testing.T) {}\n"
	passingTest = "import \"testing\"\n\nfunc TestRed(*testing.T) {}\n\nfunc TestGreen(*testing.T) {}\n"
)

var (
	greenEntry = strings.ReplaceAll(redEntry, "TestRed", "TestGreen")
	entryOfTwo = entryWith("lockflow/one", "lockflow/two")
)

// entryWith returns redEntry with the first occurrence of old replaced.
func entryWith(old, replacement string) string { return strings.Replace(redEntry, old, replacement, 1) }

var knownRedCases = map[string]struct {
	list        string // KNOWN-RED.txt; no file if empty
	one, two    string
	lint        string // .ci/lint; a script without findings if empty
	wantSuccess bool
	wantOutput  string
}{
	"lint finds something":                 {one: passingTest, two: passingTest, lint: "#!/bin/sh\necho a finding\nexit 1\n", wantOutput: "a finding"},
	"no list and all pass":                 {one: passingTest, two: passingTest, wantSuccess: true, wantOutput: "ok"},
	"no list and one fails":                {one: failingTest, two: passingTest, wantOutput: "as ever"},
	"an empty list":                        {list: "\n", one: passingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:1: "" is not a line "test: "`},
	"the listed one fails":                 {list: redEntry, one: failingTest, two: passingTest, wantSuccess: true, wantOutput: "known red, fails:\n" + redEntry},
	"the listed one passes":                {list: redEntry, one: passingTest, two: passingTest, wantSuccess: true, wantOutput: "known red, passes:\n" + redEntry},
	"no end of line":                       {list: strings.TrimSpace(redEntry), one: failingTest, two: passingTest, wantSuccess: true, wantOutput: "known red, fails:\n" + redEntry},
	"another of its name fails":            {list: redEntry, one: failingTest, two: failingTest, wantOutput: "TestRed of lockflow/two fails and KNOWN-RED.txt doesn't list it"},
	"another fails":                        {list: redEntry, one: failingTest, two: strings.Replace(failingTest, "TestRed", "TestRedder", 1), wantOutput: "TestRedder"},
	"one whose name goes on is no other":   {list: redEntry, one: strings.Replace(failingTest, "TestRed", "TestRedder", 1), two: passingTest, wantOutput: "lockflow/one has no test TestRed"},
	"a name that no test has":              {list: strings.ReplaceAll(redEntry, "TestRed", "TestBlue"), one: failingTest, two: passingTest, wantOutput: "lockflow/one has no test TestBlue"},
	"a package that isn't there":           {list: entryWith("lockflow/one", "lockflow/three"), one: failingTest, two: passingTest, wantOutput: "lockflow/three has no test TestRed"},
	"no package":                           {list: entryWith("lockflow/one ", ""), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:1: "test: TestRed" is not a line "test: "`},
	"no test":                              {list: entryWith("one TestRed", "one"), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:1: "test: lockflow/one" is not a line "test: "`},
	"no command":                           {list: entryWith("command: go test -run '^TestRed$' ./one\n", ""), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:2: "seed: none" is not a line "command: "`},
	"a command for another test":           {list: entryWith("'^TestRed$'", "'^TestGreen$'"), one: failingTest, two: passingTest, wantOutput: "KNOWN-RED.txt:2: the command doesn't name TestRed"},
	"no seed":                              {list: entryWith("seed: none\n", ""), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:3: "seen: it always fails" is not a line "seed: "`},
	"a seed without a number":              {list: entryWith("seed: none", "seed: some"), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:3: "seed: some" is not a line "seed: "`},
	"a seed":                               {list: entryWith("seed: none", "seed: 81"), one: failingTest, two: passingTest, wantSuccess: true, wantOutput: "seed: 81\n"},
	"not what was seen":                    {list: entryWith("seen: it always fails\n", ""), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:4: "issue: 7" is not a line "seen: "`},
	"an empty line for what was seen":      {list: entryWith("it always fails", "  "), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:4: "seen:   " is not a line "seen: "`},
	"no issue":                             {list: entryWith("issue: 7\n", ""), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:1: the entry has no line "issue: "`},
	"an issue without a number":            {list: entryWith("issue: 7", "issue: none"), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:5: "issue: none" is not a line "issue: "`},
	"a line too many":                      {list: redEntry + "note: flaky\n", one: failingTest, two: passingTest, wantOutput: "KNOWN-RED.txt:6: the entry has a line too many"},
	"no empty line between two":            {list: redEntry + greenEntry, one: failingTest, two: passingTest, wantOutput: "KNOWN-RED.txt:6: the entry has a line too many"},
	"two empty lines between two":          {list: redEntry + "\n\n" + greenEntry, one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:7: "" is not a line "test: "`},
	"the second entry has another form":    {list: redEntry + "\n" + strings.Replace(greenEntry, "issue: 7", "issue: 0", 1), one: failingTest, two: passingTest, wantOutput: `KNOWN-RED.txt:11: "issue: 0" is not a line "issue: "`},
	"four entries":                         {list: redEntry + "\n" + entryOfTwo + "\n" + greenEntry + "\n" + strings.Replace(greenEntry, "lockflow/one", "lockflow/two", 1), one: failingTest, two: failingTest, wantSuccess: true, wantOutput: "known red, fails:\n" + entryOfTwo},
	"three entries, two of them of a name": {list: redEntry + "\n" + entryOfTwo + "\n" + greenEntry, one: failingTest, two: failingTest, wantSuccess: true, wantOutput: "known red, passes:\n" + greenEntry},
}

// TestKnownRed runs .ci/run on a small module in which listed tests, other tests or the linter fail.
func TestKnownRed(t *testing.T) {
	for name, c := range knownRedCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			writeFile := func(path, text string, mode os.FileMode) {
				t.Helper()
				path = filepath.Join(dir, path)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), mode); err != nil {
					t.Fatal(err)
				}
			}
			readFile := func(path string) string {
				t.Helper()
				raw, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				return string(raw)
			}
			writeFile(".ci/run", readFile("../../../.ci/run"), 0o755)
			if c.lint == "" {
				c.lint = "#!/bin/sh\n" // the project's own needs tools that this module does not have
			}
			writeFile(".ci/lint", c.lint, 0o755)
			writeFile("internal/ci/knownred/main.go", readFile("main.go"), 0o644)
			writeFile("deploy/balancer.toml", "build = \"mkdir bin && cp /bin/sh bin/lockflow\"\n", 0o644) // fast, and a dynamically linked program, as .ci/run expects
			writeFile("go.mod", "module lockflow\n\ngo 1.26.0\n", 0o644)
			writeFile("one/one_test.go", "package one\n\n"+c.one, 0o644)
			writeFile("two/two_test.go", "package two\n\n"+c.two, 0o644)
			if c.list != "" {
				writeFile("KNOWN-RED.txt", c.list, 0o644)
			}
			// Run by the shell of its first line: a file that was just written can't be executed (ETXTBSY) while a
			// process that a parallel test has forked still has its descriptor open for writing.
			cmd := exec.Command("/bin/sh", filepath.Join(dir, ".ci/run"))
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "GOFLAGS=-count=1", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.wantSuccess || !strings.Contains(string(out), c.wantOutput) {
				t.Errorf(".ci/run: got error %v, want success %v and output %q:\n%s", err, c.wantSuccess, c.wantOutput, out)
			}
		})
	}
}
