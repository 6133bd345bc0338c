package record

import (
	"compress/gzip"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// runWriter is the writer's goroutine: a file each section, the oldest removed.
func (m *Module) runWriter() {
	defer close(m.writerDone)
	var file *os.File
	var z *gzip.Writer
	end := func() {
		if file != nil {
			if err := errors.Join(z.Close(), file.Close()); err != nil {
				slog.Warn("recording: a section is not whole", "file", file.Name(), "err", err)
			}
			file = nil
		}
	}
	defer end()
	for b := range m.batches {
		if b == nil {
			end()
			f, err := m.createFile()
			if err != nil {
				slog.Warn("recording: no section can be begun", "dir", m.options.Dir, "err", err)
				continue
			}
			file = f
			z, _ = gzip.NewWriterLevel(file, gzip.BestSpeed) // an error is a level that is none
			_, _ = z.Write([]byte(fileMagic))                // what fails shows at the end
			continue
		}
		if file != nil {
			if _, err := z.Write(b); err == nil {
				_ = z.Flush()
			}
		}
	}
}

// createFile makes room for a file and opens it.
func (m *Module) createFile() (*os.File, error) {
	old, err := filepath.Glob(filepath.Join(m.options.Dir, m.options.Service+"-*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(old)
	for len(old) >= filesPerService {
		if err := os.Remove(old[0]); err != nil {
			return nil, err
		}
		old = old[1:]
	}
	name := fmt.Sprintf("%s-%020d%s", m.options.Service, time.Now().UnixNano(), Suffix)
	return os.OpenFile(filepath.Join(m.options.Dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
