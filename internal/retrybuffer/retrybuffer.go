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
	src    io.Reader
	before func() // called before each read of src; nil is nothing
	keep   int    // most bytes that are held

	mu      sync.Mutex
	moved   sync.Cond // something of what follows has changed
	held    []byte
	room    *[]byte // that held began in; nil where it has one of its own
	lost    bool    // more was read than is held
	total   int64   // read of src
	err     error   // with which src ended
	reading bool    // somebody is in a read of src
	closed  bool
	present *Reader
}

// New makes a body of src of which at most keep bytes are held. before, which may be nil, is
// called ahead of each read of src.
func New(src io.Reader, keep int, before func()) *Body {
	b := &Body{src: src, keep: keep, before: before}
	b.moved.L = &b.mu
	return b
}

// Fill reads a body of a known length that fits in what is held, to its end.
func (b *Body) Fill(length int64) error {
	if length > int64(b.keep) {
		return ErrGone
	}
	if b.before != nil {
		b.before()
	}
	held := make([]byte, length)
	n, err := io.ReadFull(b.src, held)
	if err == nil {
		// The library learns of the end only by a read, and looks for a hang-up from then on.
		var one [1]byte
		if m, end := b.src.Read(one[:]); m > 0 || !errors.Is(end, io.EOF) {
			err = errors.New("more than the length that was told")
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held, b.total, b.err = held[:n], int64(n), err
	if err == nil {
		b.err = io.EOF
	}
	return err
}

// Complete is all of the body where it is held; false where some of it has not come or is gone.
func (b *Body) Complete() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, errors.Is(b.err, io.EOF) && !b.lost
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
	return !b.lost && !b.closed && (b.err == nil || errors.Is(b.err, io.EOF))
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
	b.present = &Reader{b: b}
	b.moved.Broadcast()
	return b.present
}

// Reader is one reading of a body from its first byte on.
type Reader struct {
	b  *Body
	at int64
}

// Read is io.Reader's. It gives ErrGone to a Reader that is not the present one.
func (r *Reader) Read(p []byte) (int, error) {
	b := r.b
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.closed:
			return 0, ErrClosed
		case b.present != r:
			return 0, ErrGone
		case !b.lost && r.at < int64(len(b.held)):
			n := copy(p, b.held[r.at:])
			r.at += int64(n)
			return n, nil
		case r.at != b.total:
			return 0, ErrGone
		case b.err != nil:
			return 0, b.err
		case b.reading:
			b.moved.Wait()
			continue
		}
		n, err := b.read(p)
		if r != b.present { // what came is held for the one that is
			continue
		}
		r.at += int64(n)
		return n, err
	}
}

// read takes the next bytes of src; mu is held, but not while src is read.
func (b *Body) read(p []byte) (int, error) {
	by := b.present
	b.reading = true
	b.mu.Unlock()
	if b.before != nil {
		b.before()
	}
	n, err := b.src.Read(p)
	b.mu.Lock()
	b.reading = false
	b.total += int64(n)
	// What a Reader brings that has been left meanwhile is held beyond the bound: one read's worth.
	if !b.lost {
		if len(b.held)+n <= b.keep || by != b.present {
			b.hold(p[:n])
		} else {
			b.lose()
		}
	}
	b.err = err
	b.moved.Broadcast()
	return n, err
}

const roomSize = 64 << 10

// rooms are what most bodies are held in: one that is long leaves its room for the next.
var rooms = sync.Pool{New: func() any { b := make([]byte, 0, roomSize); return &b }}

// hold keeps some more bytes; mu is held.
func (b *Body) hold(p []byte) {
	if b.room == nil && b.held == nil && b.keep <= roomSize {
		b.room = rooms.Get().(*[]byte)
		b.held = (*b.room)[:0]
	}
	b.held = append(b.held, p...)
}

// lose lets go of what is held; mu is held.
func (b *Body) lose() {
	b.lost, b.held = true, nil
	if b.room != nil {
		rooms.Put(b.room)
		b.room = nil
	}
}

// Discard reads on and throws away what comes, until src ends or gives an error. Readers are of
// no use any more.
func (b *Body) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.present = &Reader{b: b}
	b.moved.Broadcast()
	b.lose()
	p := make([]byte, 16<<10)
	for b.err == nil && !b.closed {
		if b.reading {
			b.moved.Wait()
			continue
		}
		_, _ = b.read(p) // the body keeps its error
	}
}

// Close ends all reading. interrupt, which may be nil, has a read of src that waits end; Close
// returns once none is under way.
func (b *Body) Close(interrupt func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.moved.Broadcast()
	if b.reading && interrupt != nil {
		b.mu.Unlock()
		interrupt()
		b.mu.Lock()
	}
	for b.reading {
		b.moved.Wait()
	}
	b.lose()
}
