// Package filewatch tells when a file has changed, by looking at it: that works on every file system,
// and for files that are put in place by a rename.
package filewatch

import (
	"context"
	"os"
	"time"
)

// Follow calls read at once and again whenever the file at path has changed, until ctx ends; where
// seen is a file's state, that one counts as read. It looks every so often. What keeps the file
// from being looked at or read is told to wrong, once for each text.
func Follow(ctx context.Context, path string, interval time.Duration, loaded os.FileInfo, read func() error, report func(error)) {
	reported := ""
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		info, err := os.Stat(path)
		// What is put in place by a rename is another file, also one of the same size and time.
		if err == nil && (loaded == nil || !os.SameFile(loaded, info) || !info.ModTime().Equal(loaded.ModTime()) || info.Size() != loaded.Size()) {
			if loaded, err = info, read(); err == nil {
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
		case <-t.C:
		}
	}
}
