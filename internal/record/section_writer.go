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

// batch is an item in the writer's queue: the start of a section, or frames of the current section.
type batch struct {
	startsSection bool
	frames        []byte
}

// sectionWriter writes one file per section and removes the oldest files. It runs a goroutine that close ends.
type sectionWriter struct {
	options Options
	batches chan batch
	done    chan struct{} // closed when the goroutine has ended

	// Only the goroutine uses the fields below.

	file       *os.File // nil between sections, and if the section's file could not be created
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

// enqueue adds a batch to the writer's queue without blocking. It returns false if the queue is full.
func (w *sectionWriter) enqueue(b batch) bool {
	select {
	case w.batches <- b:
		return true
	default:
		return false
	}
}

// close ends the goroutine after it has written all queued batches.
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
	w.compressor, _ = gzip.NewWriterLevel(file, gzip.BestSpeed) // fails only for invalid levels
	_, _ = w.compressor.Write([]byte(fileMagic))                // endSection reports any error
}

func (w *sectionWriter) writeFrames(frames []byte) {
	if w.file == nil {
		return
	}
	if _, err := w.compressor.Write(frames); err == nil {
		_ = w.compressor.Flush() // endSection reports any error
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

// createFile removes the oldest files so that the service stays within filesPerService, and creates a section's file.
func (w *sectionWriter) createFile() (*os.File, error) {
	files, err := filepath.Glob(filepath.Join(w.options.Dir, w.options.Service+"-*"+Suffix))
	if err != nil {
		return nil, err
	}
	slices.Sort(files) // oldest first: names contain the creation time
	for len(files) >= filesPerService {
		if err := os.Remove(files[0]); err != nil {
			return nil, err
		}
		files = files[1:]
	}
	name := fmt.Sprintf("%s-%020d%s", w.options.Service, time.Now().UnixNano(), Suffix)
	return os.OpenFile(filepath.Join(w.options.Dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}
