// Package retrybuffer buffers the beginning of a request's body, so that a retry can send the body again
// as long as no attempt has read beyond the buffer. The rest is read from the client once, at the pace of
// the attempt, so a body of any size takes no more memory than the buffer.
//
// Package front creates a Body for the request body in generic HTTP; package upstream reads it, with a
// new Reader for each attempt.
package retrybuffer

import (
	"errors"
	"io"
	"sync"
)

// Errors returned by reads of a body.
var (
	// ErrGone reports that the Reader has been replaced, or that the beginning of the body is no longer
	// buffered.
	ErrGone = errors.New("the beginning of the body is no longer buffered")
	// ErrClosed reports that the body has been closed.
	ErrClosed = errors.New("the body is closed")
)

// errTooLong reports that a body is longer than the length passed to Fill.
var errTooLong = errors.New("more than the length that was told")

// discardBytes is the size of the buffer into which Discard reads the rest of a body.
const discardBytes = 16 << 10

// Body is a request's body. Only its latest Reader can be used. An earlier Reader may still be in a read
// that waits for the client; the latest Reader gets the bytes of that read. Body is safe for concurrent use.
type Body struct {
	source     io.Reader
	beforeRead func() // called before each read of source; may be nil
	limit      int    // maximum number of buffered bytes

	mu        sync.Mutex
	changed   sync.Cond // signals any change of the fields below
	buffered  []byte    // the first totalRead bytes of the body, unless isDropped
	pooled    *[]byte   // the buffer from bufferPool that buffered initially used; nil if there is none
	isDropped bool      // the body is longer than the buffer, or has been discarded
	totalRead int64     // bytes read from source
	err       error     // error with which source ended; io.EOF at the end of the body
	isReading bool      // a goroutine is reading from source, without holding mu
	isClosed  bool
	current   *Reader
}

// FromBytes returns a Body that is already complete. It does not copy the bytes; several bodies may share
// them.
func FromBytes(complete []byte) *Body {
	b := New(nil, len(complete), nil)
	b.buffered, b.totalRead, b.err = complete, int64(len(complete)), io.EOF
	return b
}

// New returns a Body that reads from source and buffers up to limit bytes. beforeRead is called before
// each read of source; it may be nil.
func New(source io.Reader, limit int, beforeRead func()) *Body {
	b := &Body{source: source, limit: limit, beforeRead: beforeRead}
	b.changed.L = &b.mu
	return b
}

// Fill reads and buffers a complete body of a known length, which must not exceed the limit.
func (b *Body) Fill(length int64) error {
	return b.FillReserving(length, func(int64) bool { return true })
}

// FillReserving is like Fill, but reserves the memory of the body as ReadAll does.
func (b *Body) FillReserving(length int64, reserve func(bytes int64) bool) error {
	if length > int64(b.limit) {
		return ErrGone
	}
	if b.beforeRead != nil {
		b.beforeRead()
	}
	buffer, err := ReadAll(b.source, length, reserve)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		// net/http must reach the end of the body before it starts to detect a disconnect of the client.
		var one [1]byte
		if extra, end := b.source.Read(one[:]); extra > 0 || !errors.Is(end, io.EOF) {
			err = errTooLong
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered, b.totalRead, b.err = buffer, int64(len(buffer)), err
	if err == nil {
		b.err = io.EOF
	}
	return err
}

// Complete returns the complete body. It returns false if a part has not been read yet or is no longer buffered.
func (b *Body) Complete() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered, errors.Is(b.err, io.EOF) && !b.isDropped
}

// HasEnded reports whether the body has been read to its end.
func (b *Body) HasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// CanRetry reports whether a retry can send the body from its beginning.
func (b *Body) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isDropped && !b.isClosed && (b.err == nil || errors.Is(b.err, io.EOF))
}

// Err returns the error with which reading of the body failed; nil if it has not failed.
func (b *Body) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// NewReader returns a Reader of the body from its first byte, for one attempt. It replaces all earlier
// Readers.
func (b *Body) NewReader() *Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &Reader{body: b}
	b.changed.Broadcast()
	return b.current
}

// Reader reads a body from its first byte.
type Reader struct {
	body   *Body
	offset int64
}

// Read implements io.Reader. It returns ErrGone if the Reader has been replaced.
func (r *Reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.isClosed:
			return 0, ErrClosed
		case b.current != r:
			return 0, ErrGone
		case !b.isDropped && r.offset < int64(len(b.buffered)):
			n := copy(p, b.buffered[r.offset:])
			r.offset += int64(n)
			return n, nil
		case r.offset != b.totalRead:
			return 0, ErrGone
		case b.err != nil:
			return 0, b.err
		case b.isReading:
			b.changed.Wait()
			continue
		}
		n, err := b.readSource(p)
		if r != b.current { // the bytes are buffered for the current Reader
			continue
		}
		r.offset += int64(n)
		return n, err
	}
}

// readSource reads the next bytes of source. The caller holds mu, which is released during the read.
func (b *Body) readSource(p []byte) (int, error) {
	reader := b.current
	b.isReading = true
	b.mu.Unlock()
	if b.beforeRead != nil {
		b.beforeRead()
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	b.isReading = false
	b.totalRead += int64(n)
	// The bytes of a read for a Reader that has meanwhile been replaced are buffered even beyond the limit.
	if !b.isDropped {
		if len(b.buffered)+n <= b.limit || reader != b.current {
			b.appendBuffered(p[:n])
		} else {
			b.dropBuffered()
		}
	}
	b.err = err
	b.changed.Broadcast()
	return n, err
}

const pooledBytes = 64 << 10

// bufferPool holds buffers of pooledBytes. A body that exceeds its limit returns its buffer early.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, pooledBytes); return &b }}

// appendBuffered adds bytes to the buffer. The caller holds mu.
func (b *Body) appendBuffered(p []byte) {
	if b.pooled == nil && b.buffered == nil && b.limit <= pooledBytes {
		b.pooled = bufferPool.Get().(*[]byte)
		b.buffered = (*b.pooled)[:0]
	}
	b.buffered = append(b.buffered, p...)
}

// dropBuffered releases the buffer. The caller holds mu.
func (b *Body) dropBuffered() {
	b.isDropped, b.buffered = true, nil
	if b.pooled != nil {
		bufferPool.Put(b.pooled)
		b.pooled = nil
	}
}

// Discard reads and discards the rest of the body, until the body ends or a read fails. It replaces all
// Readers.
func (b *Body) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &Reader{body: b}
	b.changed.Broadcast()
	b.dropBuffered()
	p := make([]byte, discardBytes)
	for b.err == nil && !b.isClosed {
		if b.isReading {
			b.changed.Wait()
			continue
		}
		_, _ = b.readSource(p) // b.err ends the loop
	}
}

// Close makes all reads fail and returns once no read of source is in progress. interrupt must make a read
// in progress return; it may be nil.
func (b *Body) Close(interrupt func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isClosed = true
	b.changed.Broadcast()
	if b.isReading && interrupt != nil {
		b.mu.Unlock()
		interrupt()
		b.mu.Lock()
	}
	for b.isReading {
		b.changed.Wait()
	}
	b.dropBuffered()
}
