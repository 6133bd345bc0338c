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

// batch is what a module passes to its writer: the beginning of a section, or frames of it.
type batch struct {
	startsSection bool
	frames        []byte
}

// sectionWriter writes a file for each section and removes the oldest files. Its goroutine ends with close.
type sectionWriter struct {
	options Options
	batches chan batch
	done    chan struct{} // closed when the goroutine has ended

	// The goroutine alone uses the fields below.

	file       *os.File // nil between sections, and where one could not be opened
	compressor *gzip.Writer
}

func startSectionWriter(options Options) *sectionWriter {
	w := &sectionWriter{
		options: options,
		batches: make(chan batch, maxQueuedBatches),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// enqueue passes a batch to the writer. It returns false, without waiting, where too many are queued.
func (w *sectionWriter) enqueue(b batch) bool {
	select {
	case w.batches <- b:
		return true
	default:
		return false
	}
}

// close waits until all that is queued is written.
func (w *sectionWriter) close() {
	close(w.batches)
	<-w.done
}

func (w *sectionWriter) run() {
	defer close(w.done)
	defer w.endSection()
	for b := range w.batches {
		if b.startsSection {
			w.endSection()
			w.startSection()
		} else {
			w.writeFrames(b.frames)
		}
	}
}

func (w *sectionWriter) startSection() {
	file, err := w.createFile()
	if err != nil {
		slog.Warn("recording: section not started", "dir", w.options.Dir, "err", err)
		return
	}
	w.file = file
	w.compressor, _ = gzip.NewWriterLevel(file, gzip.BestSpeed) // fails for invalid levels only
	_, _ = w.compressor.Write([]byte(fileMagic))                // endSection reports an error
}

func (w *sectionWriter) writeFrames(frames []byte) {
	if w.file == nil {
		return
	}
	if _, err := w.compressor.Write(frames); err == nil {
		_ = w.compressor.Flush() // as in startSection
	}
}

func (w *sectionWriter) endSection() {
	if w.file == nil {
		return
	}
	if err := errors.Join(w.compressor.Close(), w.file.Close()); err != nil {
		slog.Warn("recording: section incomplete", "file", w.file.Name(), "err", err)
	}
	w.file = nil
}

// createFile creates a section's file, after it has removed the oldest files above the service's limit.
func (w *sectionWriter) createFile() (*os.File, error) {
	files, err := filepath.Glob(filepath.Join(w.options.Dir, w.options.Service+"-*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(files) // by age: names hold the time
	for len(files) >= filesPerService {
		if err := os.Remove(files[0]); err != nil {
			return nil, err
		}
		files = files[1:]
	}
	name := fmt.Sprintf("%s-%020d%s", w.options.Service, time.Now().UnixNano(), Suffix)
	return os.OpenFile(filepath.Join(w.options.Dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
