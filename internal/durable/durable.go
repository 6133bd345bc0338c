// Package durable replaces files so that what was written is there after a crash, and a file is always either the old
// one or the new one. It is for folders that last.
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

// ReplaceFile replaces the file at path, or makes it: it writes a temporary file beside it, syncs that, renames it and
// syncs the folder. With an error the file is the old one, but that the last sync may have failed behind the rename:
// then it is the new one, which a power failure may undo.
func ReplaceFile(path string, raw []byte, mode os.FileMode) error {
	directory := filepath.Dir(path)
	if err := renameio.WriteFile(path, raw, mode, renameio.WithTempDir(directory)); err != nil {
		return err
	}
	return syncDirectory(directory)
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close() //nolint:errcheck // opened to sync; Sync returns what failed
	return directory.Sync()
}

// RemoveLeftovers removes the temporary files that killed calls of ReplaceFile have left beside a file: its name behind
// a dot and before digits. It is called while nobody else writes the file.
func RemoveLeftovers(path string) error {
	directory, prefix := filepath.Dir(path), "."+filepath.Base(path)
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
