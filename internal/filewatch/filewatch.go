// Package filewatch notices changes of a file by polling. That works on every file system, and for files
// that are put in place by a rename.
package filewatch

import (
	"context"
	"os"
	"time"
)

// Follow calls load at once and whenever the file at path has changed, until ctx ends. A file in the state
// loaded counts as loaded; nil is none. The file is polled at each interval. Errors of polling and loading
// are passed to report, each text once until the next successful load. All calls are from the goroutine of
// Follow.
func Follow(ctx context.Context, path string, interval time.Duration, loaded os.FileInfo, load func() error, report func(error)) {
	reported := ""
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		info, err := os.Stat(path)
		if err == nil && hasChanged(loaded, info) {
			loaded = info
			if err = load(); err == nil {
				reported = ""
			}
		}
		if err != nil && err.Error() != reported {
			reported = err.Error()
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasChanged compares a file with its loaded state. A file that a rename has put in place is another one
// even if size and time are the same.
func hasChanged(loaded, info os.FileInfo) bool {
	if loaded == nil || !os.SameFile(loaded, info) {
		return true
	}
	return !info.ModTime().Equal(loaded.ModTime()) || info.Size() != loaded.Size()
}
