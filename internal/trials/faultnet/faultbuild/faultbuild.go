// Package faultbuild builds programs of this repository in which system calls can be made to fail and the wall clock
// can be stepped while they run. The program's source is unchanged: a build overlay (go build -overlay) replaces files
// of packages syscall and time with edited copies of the toolchain's own. It is used by tests and measurements only.
package faultbuild

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
)

//go:embed overlay/zfault_linux.go.txt
var faultSource string

// edit replaces a text that has to occur exactly once in a file of the standard library.
type edit struct {
	old string
	new string
}

// insertAfter returns the edit that inserts a line after a function's signature.
func insertAfter(signature, line string) edit {
	return edit{old: signature + "\n", new: signature + "\n\t" + line + "\n"}
}

// failing returns the edit that makes a function fail according to the fault table.
func failing(signature, call, result string) edit {
	return insertAfter(signature, "if e := faultFor("+call+"); e != 0 {\n\t\treturn "+result+"\n\t}")
}

// failingTransfer is failing for a read or a write, which may also be short.
func failingTransfer(signature, socketCall, fileCall string) edit {
	return insertAfter(signature, "if e := faultTransfer("+socketCall+", "+fileCall+", fd, &p); e != 0 {\n\t\treturn -1, e\n\t}")
}

// edits are the edits of the standard library, by file relative to GOROOT/src.
var edits = map[string][]edit{
	"syscall/zsyscall_linux_" + runtime.GOARCH + ".go": {
		failing("func accept4(s int, rsa *RawSockaddrAny, addrlen *_Socklen, flags int) (fd int, err error) {", "faultAccept", "-1, e"),
		failing("func socket(domain int, typ int, proto int) (fd int, err error) {", "faultSocket", "-1, e"),
		failing("func connect(s int, addr unsafe.Pointer, addrlen _Socklen) (err error) {", "faultConnect", "e"),
		failing("func Fsync(fd int) (err error) {", "faultFsync", "e"),
		failing("func openat(dirfd int, path string, flags int, mode uint32) (fd int, err error) {", "faultOpen", "-1, e"),
		failingTransfer("func read(fd int, p []byte) (n int, err error) {", "faultSocketRead", "faultFileRead"),
		failingTransfer("func write(fd int, p []byte) (n int, err error) {", "faultSocketWrite", "faultFileWrite"),
	},
	"syscall/syscall_linux.go": {
		failing("func Rename(oldpath string, newpath string) (err error) {", "faultRename", "e"),
	},
	"time/time.go": {
		{
			"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n",
			"func Now() Time {\n\tsec, nsec, mono := runtimeNow()\n" +
				"\tif step := syscall.FaultClockStep(); step != 0 {\n" +
				"\t\tall := sec*1e9 + int64(nsec) + step\n\t\tsec, nsec = all/1e9, int32(all%1e9)\n\t}\n",
		},
		{"import (\n\t\"errors\"\n\t\"math/bits\"\n", "import (\n\t\"errors\"\n\t\"math/bits\"\n\t\"syscall\"\n"},
	},
}

// Build builds the program of a package, such as ./cmd/lockflow in the current directory, as the file out. It writes
// the overlay's files to directory, which must exist, and uses the toolchain's build cache.
func Build(ctx context.Context, pkg, out, directory string) error {
	overlay, err := writeOverlay(ctx, directory)
	if err != nil {
		return fmt.Errorf("building with faults: %w", err)
	}
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", out, pkg)
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("building with faults: %w\n%s", err, output)
	}
	return nil
}

// writeOverlay writes the edited files of the standard library and the overlay file that lists them, and returns the
// path of the latter.
func writeOverlay(ctx context.Context, directory string) (path string, err error) {
	output, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", err
	}
	library := filepath.Join(strings.TrimSpace(string(output)), "src")
	replaced := make(map[string]string)
	write := func(name, text string) error {
		file := filepath.Join(directory, strings.ReplaceAll(name, "/", "_"))
		replaced[filepath.Join(library, name)] = file
		return os.WriteFile(file, []byte(text), 0o600)
	}
	for name, changes := range edits {
		raw, err := os.ReadFile(filepath.Join(library, name))
		if err != nil {
			return "", err
		}
		text, err := apply(changes, name, string(raw))
		if err != nil {
			return "", err
		}
		if err := write(name, text); err != nil {
			return "", err
		}
	}
	if err := write("syscall/zfault_linux.go", faultSource); err != nil {
		return "", err
	}
	raw, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", err
	}
	path = filepath.Join(directory, "overlay.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// apply applies edits to the text of the named file.
func apply(changes []edit, name, text string) (string, error) {
	for _, change := range changes {
		if n := strings.Count(text, change.old); n != 1 {
			return "", fmt.Errorf("%s contains this text %d times instead of one time: %q", name, n, change.old)
		}
		text = strings.Replace(text, change.old, change.new, 1)
	}
	return text, nil
}
