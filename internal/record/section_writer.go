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

// write is the writer's goroutine: a file each section, the oldest removed.
func (m *Module) write() {
	defer close(m.done)
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
			f, err := m.next()
			if err != nil {
				slog.Warn("recording: no section can be begun", "dir", m.o.Dir, "err", err)
				continue
			}
			file = f
			z, _ = gzip.NewWriterLevel(file, gzip.BestSpeed) // an error is a level that is none
			_, _ = z.Write([]byte(magic))                    // what fails shows at the end
			continue
		}
		if file != nil {
			if _, err := z.Write(b); err == nil {
				_ = z.Flush()
			}
		}
	}
}

// next makes room for a file and opens it.
func (m *Module) next() (*os.File, error) {
	old, err := filepath.Glob(filepath.Join(m.o.Dir, m.o.Service+"-*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(old)
	for len(old) >= files {
		if err := os.Remove(old[0]); err != nil {
			return nil, err
		}
		old = old[1:]
	}
	name := fmt.Sprintf("%s-%020d%s", m.o.Service, time.Now().UnixNano(), Suffix)
	return os.OpenFile(filepath.Join(m.o.Dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
