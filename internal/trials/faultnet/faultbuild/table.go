package faultbuild

import (
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Variable is the environment variable that holds the path of a program's Table.
const Variable = "LOCKFLOW_FAULT_TABLE"

// Call is a kind of system call.
type Call int

// The kinds of calls, in the order of the overlay's constants. Reads and writes of pipes and terminals count as those
// of files.
const (
	Accept Call = 1 + iota
	Socket
	Connect
	SocketRead
	SocketWrite
	FileRead
	FileWrite
	Fsync
	Rename
	_ // unused
	Open
)

// ErrShortTransfer is, in place of an error number, the fault by which reads and writes transfer a part of their buffer.
const ErrShortTransfer = syscall.Errno(1 << 16)

// The layout of the table, as in the overlay: word 0 is the clock offset, and each call has words of its own.
const (
	tableBytes   = 4096
	wordBytes    = 8
	clockWord    = 0
	wordsPerCall = 4
	errnoWord    = 0 // of a call: the error it fails with
	intervalWord = 1 // of a call: every interval-th call fails; 0 if none does
	injectedWord = 3 // of a call: number of calls that have failed
)

// words is the table's memory.
type words [tableBytes / wordBytes]uint64

// Table is the shared memory through which faults are injected into the programs that are started with its
// Environment. Its methods are safe for concurrent use, except that Close must be the last call.
type Table struct {
	path  string
	words *words
	raw   []byte // the mapping that words points to
}

// NewTable creates a table without faults at path, where no file may exist.
func NewTable(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("fault table: %w", err)
	}
	defer file.Close() //nolint:errcheck // nothing is written through it
	if err := file.Truncate(tableBytes); err != nil {
		return nil, fmt.Errorf("fault table: %w", err)
	}
	raw, err := unix.Mmap(int(file.Fd()), 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("fault table: %w", err)
	}
	return &Table{path: path, words: (*words)(unsafe.Pointer(&raw[0])), raw: raw}, nil
}

// Close unmaps the table. Running programs keep their own mapping, with the faults in force.
func (t *Table) Close() error { return unix.Munmap(t.raw) }

// Environment returns the environment variable, as K=V, for starting a program with the table.
func (t *Table) Environment() string { return Variable + "=" + t.path }

// StepClock sets the offset of the programs' wall clock from this machine's; a positive one is ahead.
func (t *Table) StepClock(clockOffset time.Duration) {
	atomic.StoreUint64(&t.words[clockWord], uint64(clockOffset))
}

// Fail makes every interval-th call fail from now on, with an error number or ErrShortTransfer.
func (t *Table) Fail(call Call, errno syscall.Errno, interval int) {
	fault := t.words[int(call)*wordsPerCall:]
	atomic.StoreUint64(&fault[errnoWord], uint64(errno))
	atomic.StoreUint64(&fault[intervalWord], uint64(interval))
}

// Heal ends the faults of a call; the number of injected faults stays.
func (t *Table) Heal(call Call) { t.Fail(call, 0, 0) }

// Injected returns the number of calls that have failed since the table was created.
func (t *Table) Injected(call Call) int {
	return int(atomic.LoadUint64(&t.words[int(call)*wordsPerCall+injectedWord]))
}
