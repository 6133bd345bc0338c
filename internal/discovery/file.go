package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"time"

	"lockflow/internal/filewatch"
)

const (
	fileCheckInterval = time.Second // between two checks of a file for changes
	maxFileBytes      = 4 << 20
)

// followFile delivers the list in a file at first and after each change of the file, until ctx ends. An unreadable or
// invalid file leaves the previous list in force and is logged once.
func (f *Feed) followFile(ctx context.Context, path string) {
	read := func() error {
		list, err := ReadFile(path)
		if err == nil {
			f.receive(list)
		}
		return err
	}
	filewatch.Follow(ctx, path, f.fileInterval, nil, read, func(err error) {
		slog.Warn("endpoint list file invalid: the previous list stays in force", "err", err)
	})
}

// ReadFile reads a complete list from a file that has the JSON format of an EndpointList.
func ReadFile(path string) (EndpointList, error) {
	var list EndpointList
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = fmt.Errorf("%s: file has %d bytes, more than the limit of %d", path, info.Size(), maxFileBytes)
	}
	if err != nil {
		return list, fmt.Errorf("reading endpoint list: %w", err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return list, fmt.Errorf("reading endpoint list: %w", err)
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return list, fmt.Errorf("decoding endpoint list %s: %w", path, err)
	}
	if err := list.Validate(); err != nil {
		return list, fmt.Errorf("invalid endpoint list %s: %w", path, err)
	}
	list.IsComplete = true
	return list, nil
}
