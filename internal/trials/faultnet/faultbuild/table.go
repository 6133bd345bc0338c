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

// Variable is the environment variable by which a program finds its Table.
const Variable = "LOCKFLOW_FAULT_TABLE"

// Call is a kind of system call.
type Call int

// The kinds of calls. Reads and writes of pipes and terminals count as those of files.
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
	_
	Open
)

// ErrShortTransfer is, in place of an error number, to have reads and writes transfer a part of what was asked for.
const ErrShortTransfer = syscall.Errno(1 << 16)

const (
	tableBytes   = 4096
	wordsPerCall = 4
)

// Table is the shared memory by which faults are injected into the programs that were started with it. Its methods
// are safe for concurrent use.
type Table struct {
	path  string
	words *[tableBytes / 8]uint64
	raw   []byte
}

// NewTable makes a table at path, without faults.
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
	return &Table{path: path, words: (*[tableBytes / 8]uint64)(unsafe.Pointer(&raw[0])), raw: raw}, nil
}

// Close unmaps the table. Programs keep it as it is.
func (t *Table) Close() error { return unix.Munmap(t.raw) }

// Environment is the variable, as K=V, that a program is started with.
func (t *Table) Environment() string { return Variable + "=" + t.path }

// StepClock sets by how much the wall clock of the programs is ahead of this machine's; below 0 is behind.
func (t *Table) StepClock(clockOffset time.Duration) {
	atomic.StoreUint64(&t.words[0], uint64(clockOffset))
}

// Fail has each interval-th call fail from now on, with an error or ErrShortTransfer.
func (t *Table) Fail(call Call, errno syscall.Errno, interval int) {
	words := t.words[int(call)*wordsPerCall:]
	atomic.StoreUint64(&words[0], uint64(errno))
	atomic.StoreUint64(&words[1], uint64(interval))
}

// Heal ends the faults of a call.
func (t *Table) Heal(call Call) { t.Fail(call, 0, 0) }

// Injected returns how many calls have failed since the table was made.
func (t *Table) Injected(call Call) int {
	return int(atomic.LoadUint64(&t.words[int(call)*wordsPerCall+3]))
}
