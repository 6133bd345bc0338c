// Package durable replaces files atomically: after a crash, a file is either the old one or the new one, and what a call
// without an error has written is there. The directories have to be on a lasting file system.
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

// ReplaceFile replaces or creates the file at path: it writes a temporary file in the same directory, syncs that, renames
// it and syncs the directory. After an error the file is the old one, or, where only the last sync has failed, the new
// one, which a power failure may undo.
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

// RemoveLeftovers removes the temporary files that ReplaceFile has left for the file at path where its process was
// killed: those of its name after a dot and before digits. It must not be called while the file is replaced.
func RemoveLeftovers(path string) error {
	directory := filepath.Dir(path)
	prefix := "." + filepath.Base(path)
	entries, err := os.ReadDir(directory)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("looking for temporary files: %w", err)
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
