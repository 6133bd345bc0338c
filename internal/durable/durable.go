// Package durable replaces files atomically: after a crash, a file has either its old or its new content, and content
// whose write has returned no error is not lost. The directories must be on persistent storage.
package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/renameio/v2"
)

// ReplaceFile replaces or creates the file at path: it writes a temporary file in the same directory, syncs it, renames
// it to path and syncs the directory. After an error the file has its old content or, if only the sync of the directory
// failed, the new content, which a power failure may undo.
func ReplaceFile(path string, content []byte, mode os.FileMode) error {
	directory := filepath.Dir(path)
	if err := renameio.WriteFile(path, content, mode, renameio.WithTempDir(directory)); err != nil {
		return err
	}
	return syncDirectory(directory)
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close() //nolint:errcheck // only read; Sync returns the error
	return directory.Sync()
}

// RemoveLeftovers removes temporary files of the file at path that ReplaceFile left behind when its process was killed.
// Their names are a dot, the name of the file, and digits. It must not run while the file is being replaced.
func RemoveLeftovers(path string) error {
	directory := filepath.Dir(path)
	prefix := "." + filepath.Base(path)
	entries, err := os.ReadDir(directory)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("listing the directory of temporary files: %w", err)
	}
	var removeErrors []error
	for _, entry := range entries {
		if number, ok := strings.CutPrefix(entry.Name(), prefix); ok && isNumber(number) && entry.Type().IsRegular() {
			removeErrors = append(removeErrors, os.Remove(filepath.Join(directory, entry.Name())))
		}
	}
	return errors.Join(removeErrors...)
}

func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
