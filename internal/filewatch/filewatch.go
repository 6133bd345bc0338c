// Package filewatch detects changes of a file by polling, which works on every file system and for files
// that are replaced by a rename.
package filewatch

import (
	"context"
	"os"
	"time"
)

// Follow polls the file at path at each interval until ctx is done, and calls load whenever the file has
// changed. loaded is the state of the file that has already been loaded; if it is nil, or the file differs
// from it, load is called at once. Errors of polling and loading are passed to report, except one with the
// same text as the last one reported since a successful load. load and report are called from the goroutine
// that calls Follow.
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

// hasChanged reports whether a file differs from its loaded state. A file that was replaced by a rename
// differs even if its size and modification time are the same.
func hasChanged(loaded, info os.FileInfo) bool {
	if loaded == nil || !os.SameFile(loaded, info) {
		return true
	}
	return !info.ModTime().Equal(loaded.ModTime()) || info.Size() != loaded.Size()
}
