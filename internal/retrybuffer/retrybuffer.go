// Package retrybuffer holds the first part of a request's body, so that a further attempt can send all
// of it, as long as no attempt has gone beyond that part. What goes on is read once, as fast as it
// is taken: a body of any size needs no more memory than the part that is held.
package retrybuffer

import (
	"errors"
	"io"
	"sync"
)

// Errors of reading a body.
var (
	ErrGone   = errors.New("the beginning of the body is not held any more")
	ErrClosed = errors.New("the body is closed")
)

// Body is a request's body. One Reader at a time is of use; those before it may still be in a
// read that waits for the client, and what that read brings goes to the present one. It is safe
// for concurrent use.
type Body struct {
	source     io.Reader
	beforeRead func() // called before each read of src; nil is nothing
	limit      int    // most bytes that are held

	mu        sync.Mutex
	changed   sync.Cond // something of what follows has changed
	buffered  []byte
	pooled    *[]byte // that held began in; nil where it has one of its own
	isDropped bool    // more was read than is held
	totalRead int64   // read of src
	err       error   // with which src ended
	isReading bool    // somebody is in a read of src
	isClosed  bool
	current   *Reader
}

// New makes a body of src of which at most keep bytes are held. before, which may be nil, is
// called ahead of each read of src.
func New(source io.Reader, limit int, beforeRead func()) *Body {
	b := &Body{source: source, limit: limit, beforeRead: beforeRead}
	b.changed.L = &b.mu
	return b
}

// Fill reads a body of a known length that fits in what is held, to its end.
func (b *Body) Fill(length int64) error {
	if length > int64(b.limit) {
		return ErrGone
	}
	if b.beforeRead != nil {
		b.beforeRead()
	}
	buffer := make([]byte, length)
	n, err := io.ReadFull(b.source, buffer)
	if err == nil {
		// The library learns of the end only by a read, and looks for a hang-up from then on.
		var one [1]byte
		if m, end := b.source.Read(one[:]); m > 0 || !errors.Is(end, io.EOF) {
			err = errors.New("more than the length that was told")
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered, b.totalRead, b.err = buffer[:n], int64(n), err
	if err == nil {
		b.err = io.EOF
	}
	return err
}

// Complete is all of the body where it is held; false where some of it has not come or is gone.
func (b *Body) Complete() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered, errors.Is(b.err, io.EOF) && !b.isDropped
}

// HasEnded tells whether the body has come to its end.
func (b *Body) HasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// CanRetry tells whether a further attempt could send all of it.
func (b *Body) CanRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.isDropped && !b.isClosed && (b.err == nil || errors.Is(b.err, io.EOF))
}

// Err is the error with which the body ended early; nil where it has not.
func (b *Body) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// NewReader gives the whole body, for one attempt. Any Reader before it is of no use any more.
func (b *Body) NewReader() *Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &Reader{body: b}
	b.changed.Broadcast()
	return b.current
}

// Reader is one reading of a body from its first byte on.
type Reader struct {
	body   *Body
	offset int64
}

// Read is io.Reader's. It gives ErrGone to a Reader that is not the present one.
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
		if r != b.current { // what came is held for the one that is
			continue
		}
		r.offset += int64(n)
		return n, err
	}
}

// readSource takes the next bytes of src; mu is held, but not while src is read.
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
	// What a Reader brings that has been left meanwhile is held beyond the bound: one read's worth.
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

// bufferPool are what most bodies are held in: one that is long leaves its room for the next.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, pooledBytes); return &b }}

// appendBuffered keeps some more bytes; mu is held.
func (b *Body) appendBuffered(p []byte) {
	if b.pooled == nil && b.buffered == nil && b.limit <= pooledBytes {
		b.pooled = bufferPool.Get().(*[]byte)
		b.buffered = (*b.pooled)[:0]
	}
	b.buffered = append(b.buffered, p...)
}

// dropBuffered lets go of what is held; mu is held.
func (b *Body) dropBuffered() {
	b.isDropped, b.buffered = true, nil
	if b.pooled != nil {
		bufferPool.Put(b.pooled)
		b.pooled = nil
	}
}

// Discard reads on and throws away what comes, until src ends or gives an error. Readers are of
// no use any more.
func (b *Body) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &Reader{body: b}
	b.changed.Broadcast()
	b.dropBuffered()
	p := make([]byte, 16<<10)
	for b.err == nil && !b.isClosed {
		if b.isReading {
			b.changed.Wait()
			continue
		}
		_, _ = b.readSource(p) // the body keeps its error
	}
}

// Close ends all reading. interrupt, which may be nil, has a read of src that waits end; Close
// returns once none is under way.
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
