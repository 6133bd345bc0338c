package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed has .ci/run check a module of its own, in which what is listed fails or something
// else does.
func TestKnownRed(t *testing.T) {
	const (
		red  = "lockflow/one TestRed: it always fails (issue 7)\n"
		bad  = `is not "import/path TestName: cause (issue N)"`
		fail = "import \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"as ever\") }\n\nfunc TestGreen(*testing.T) {}\n"
		pass = "import \"testing\"\n\nfunc TestRed(*testing.T) {}\n\nfunc TestGreen(*testing.T) {}\n"
	)
	for name, c := range map[string]struct {
		list     string // without one there is no file
		one, two string
		lint     string // what .ci/lint is; nothing is one that finds nothing
		ok       bool
		says     string
	}{
		"lint finds something":               {one: pass, two: pass, lint: "#!/bin/sh\necho a finding\nexit 1\n", says: "a finding"},
		"no list and all pass":               {one: pass, two: pass, ok: true, says: "ok"},
		"no list and one fails":              {one: fail, two: pass, says: "as ever"},
		"an empty list":                      {list: "\n", one: pass, two: pass, says: bad},
		"the listed one fails":               {list: red, one: fail, two: pass, ok: true, says: "known red, fails: " + red},
		"the listed one passes":              {list: red, one: pass, two: pass, ok: true, says: "known red, passes: " + red},
		"no end of line":                     {list: strings.TrimSpace(red), one: fail, two: pass, ok: true, says: "known red, fails: " + red},
		"another of its name fails":          {list: red, one: fail, two: fail, says: "TestRed of lockflow/two fails and KNOWN-RED.txt doesn't list it"},
		"another fails":                      {list: red, one: fail, two: strings.Replace(fail, "TestRed", "TestRedder", 1), says: "TestRedder"},
		"one whose name goes on is no other": {list: red, one: strings.Replace(fail, "TestRed", "TestRedder", 1), two: pass, says: "lockflow/one has no test TestRed"},
		"a name that no test has":            {list: strings.Replace(red, "TestRed", "TestBlue", 1), one: fail, two: pass, says: "lockflow/one has no test TestBlue"},
		"a package that isn't there":         {list: strings.Replace(red, "one", "three", 1), one: fail, two: pass, says: "lockflow/three has no test TestRed"},
		"no package":                         {list: "TestRed: it always fails (issue 7)\n", one: fail, two: pass, says: bad},
		"no test":                            {list: "lockflow/one: it always fails (issue 7)\n", one: fail, two: pass, says: bad},
		"no cause":                           {list: "lockflow/one TestRed: (issue 7)\n", one: fail, two: pass, says: bad},
		"an empty cause":                     {list: "lockflow/one TestRed:   (issue 7)\n", one: fail, two: pass, says: bad},
		"no issue":                           {list: "lockflow/one TestRed: it always fails\n", one: fail, two: pass, says: bad},
		"an issue without a number":          {list: "lockflow/one TestRed: it always fails (issue)\n", one: fail, two: pass, says: bad},
		"an empty line":                      {list: red + "\n" + red, one: fail, two: pass, says: "KNOWN-RED.txt:2: "},
		"four lines":                         {list: red + red + red + red, one: fail, two: pass, says: "4 lines, at most 3"},
		"three lines, two of them of a name": {list: red + strings.Replace(red, "one", "two", 1) + strings.Replace(red, "TestRed", "TestGreen", 1), one: fail, two: fail, ok: true, says: "known red, passes: lockflow/one TestGreen"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			put := func(path, text string, mode os.FileMode) {
				t.Helper()
				path = filepath.Join(dir, path)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), mode); err != nil {
					t.Fatal(err)
				}
			}
			taken := func(path string) string {
				t.Helper()
				raw, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				return string(raw)
			}
			put(".ci/run", taken("../../../.ci/run"), 0o755)
			if c.lint == "" {
				c.lint = "#!/bin/sh\n" // the real one takes tools that this module has not
			}
			put(".ci/lint", c.lint, 0o755)
			put("internal/ci/knownred/main.go", taken("main.go"), 0o644)
			put("deploy/balancer.toml", "build = \"mkdir bin && cp /bin/sh bin/lockflow\"\n", 0o644) // quick, and linked dynamically
			put("go.mod", "module lockflow\n\ngo 1.26.0\n", 0o644)
			put("one/one_test.go", "package one\n\n"+c.one, 0o644)
			put("two/two_test.go", "package two\n\n"+c.two, 0o644)
			if c.list != "" {
				put("KNOWN-RED.txt", c.list, 0o644)
			}
			// By the shell that its first line names: a file that was just written can't be executed while a
			// process that another test starts has its descriptor.
			cmd := exec.Command("/bin/sh", filepath.Join(dir, ".ci/run"))
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "GOFLAGS=-count=1", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.ok || !strings.Contains(string(out), c.says) {
				t.Errorf("ended with %v, wanted %v and %q:\n%s", err, c.ok, c.says, out)
			}
		})
	}
}
