package front

import (
	"sync"

	"lockflow/internal/validation"
)

const (
	// maxHeadFields limits the header fields of a request.
	maxHeadFields = 256

	// fieldBytes is the memory of a header field beside its text: a slot in the map of net/http and in that of the
	// forwarded request, and an element of the list that is sorted when the request is written.
	fieldBytes = 192

	// headByteFactor is how many times the text of a head is held: read, as the strings of the parsed request, and while
	// a line that exceeds the read buffer is put together.
	headByteFactor = 3

	// copiedFieldBytes is the memory of a header field in a further copy of the request.
	copiedFieldBytes = 96

	// includedInputBytes is the memory that a connection may use for a request without reserving any. It suffices for the
	// heads and short bodies of most requests, so that these do not depend on what other clients send.
	includedInputBytes = 6 << 10

	// idleConnectionBytes is the memory of a connection with a small request: the buffers of net/http, and the stacks of
	// the goroutines that read its requests and wait for their answers.
	idleConnectionBytes = 18 << 10

	// requestBytes is the memory of a request beside its head, its body and the body of its answer: the stacks and the state
	// of its attempts, the buffers of their connections, and the head of the answer.
	requestBytes = 32 << 10

	// ConnectionBytes is the memory to provide for each client connection in addition to InputMemory and to what
	// Service.Admit reserves.
	ConnectionBytes = idleConnectionBytes + includedInputBytes
)

// InputMemory limits the memory of the heads and bodies of requests until Service.Admit has reserved memory for them. It is
// shared by all connections and safe for concurrent use.
type InputMemory interface {
	// TryAcquire reserves bytes. It returns false, and reserves none, if fewer are available.
	TryAcquire(bytes int64) bool
	// Release returns reserved bytes.
	Release(bytes int64)
}

// inputReservation is what one connection has reserved of the InputMemory. It is safe for concurrent use.
type inputReservation struct {
	memory InputMemory // nil for no limit

	mu            sync.Mutex
	isClosed      bool
	headBytes     int64 // memory of heads
	admittedBytes int64 // the part of headBytes that Service.Admit has reserved
	bodyBytes     int64 // memory of a body that is being read
	reserved      int64 // of memory: by how much the sum exceeds includedInputBytes
}

// headMemory returns the memory of heads of a size.
func headMemory(size validation.HeadSize) int64 {
	return size.Bytes*headByteFactor + size.Fields*fieldBytes
}

// setHead sets the size of the heads. It returns false if the memory is not available.
func (r *inputReservation) setHead(size validation.HeadSize) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set(headMemory(size), r.admittedBytes, r.bodyBytes)
}

// setBody sets the memory of the body. It returns false if the memory is not available. Any body is allowed if r is nil.
func (r *inputReservation) setBody(bytes int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set(r.headBytes, r.admittedBytes, bytes)
}

// headReservation returns the memory of the heads that Service.Admit has to reserve; 0 if r is nil.
func (r *inputReservation) headReservation() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.headBytes-includedInputBytes)
}

// admitted records that Service.Admit has reserved the memory of the body and, as headReservation said, of the heads.
func (r *inputReservation) admitted(headReservation int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(r.headBytes, headReservation, 0)
}

// ended records that a request has ended, and sets the size of the heads that are still held.
func (r *inputReservation) ended(remaining validation.HeadSize) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(headMemory(remaining), 0, 0)
}

// set changes the amounts and the reservation with them. If the memory is not available, it changes nothing and returns
// false. The caller holds mu.
func (r *inputReservation) set(headBytes, admittedBytes, bodyBytes int64) bool {
	needed := max(0, headBytes-admittedBytes+bodyBytes-includedInputBytes)
	if r.memory == nil || r.isClosed {
		needed = 0
	}
	if needed > r.reserved && !r.memory.TryAcquire(needed-r.reserved) {
		return false
	}
	if needed < r.reserved {
		r.memory.Release(r.reserved - needed)
	}
	r.headBytes = headBytes
	r.admittedBytes = admittedBytes
	r.bodyBytes = bodyBytes
	r.reserved = needed
	return true
}

// close returns all that is reserved. Nothing is reserved afterwards.
func (r *inputReservation) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	r.set(0, 0, 0)
}
