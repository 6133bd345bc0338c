// Package rolloutlog is the write-ahead log of a rollout's coordinator: each decision is on the disk before the
// coordinator acts on it. Package fleet writes and reads the log; measurements and tests read it while a coordinator
// runs.
//
// A log is a directory with a database (bbolt) and a lock file. One process at a time may write it, and others may
// read it concurrently. A log holds the newest rollouts, each with its records in the order in which they were written
// and a replaceable note. Each record has a checksum over itself and the checksum of the previous record, so that a
// damaged or torn file is detected, quarantined and never accepted as valid.
package rolloutlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"
)

// Names of the files in a log's directory.
const (
	fileName     = "rollout.db"
	lockFileName = "rollout.lock"
)

const (
	// maxRollouts is how many rollouts a log holds; older ones are deleted.
	maxRollouts = 8
	// maxRecordBytes and maxRecords limit what one rollout may write.
	maxRecordBytes = 64 << 20
	maxRecords     = 1 << 20
	// maxQuarantined is how many damaged files are kept for the operator. A further one replaces the last of them.
	maxQuarantined = 4
)

// ErrLocked means that another process has the log open for writing.
var ErrLocked = errors.New("another coordinator has it open")

var errNoRollout = errors.New("rollout log: no rollout has been started")

// Log is a log that is open for writing. It is not safe for concurrent use.
type Log struct {
	// QuarantinedPath is the path to which Open has moved a damaged file; "" if there was none.
	QuarantinedPath string
	// DamageError describes the damage of the quarantined file.
	DamageError error

	directory string
	lockFile  *os.File // locked while the log is open
	newest    rollout  // the newest rollout, as stored on the disk
}

// rollout is the stored data of one rollout.
type rollout struct {
	id           uint64 // key of its bucket; 0 if there is no rollout
	count        uint64 // number of records
	lastChecksum checksum
	records      [][]byte
	note         []byte
}

// Open opens the log in a directory for writing, and creates both if necessary. A damaged file is quarantined and
// reported in the log's fields; the log is then empty. The error wraps ErrLocked if another process has the log open
// for writing.
func Open(directory string) (*Log, error) {
	lockFile, err := lock(directory)
	if err != nil {
		return nil, err
	}
	l := &Log{directory: directory, lockFile: lockFile}
	if err := l.load(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// lock creates the directory if necessary, and locks the log in it.
func lock(directory string) (*os.File, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, fmt.Errorf("rollout log: %w", err)
	}
	lockFile, err := os.OpenFile(filepath.Join(directory, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("rollout log: %w", err)
	}
	if err := unix.Flock(int(lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lockFile.Close() // nothing was written to it
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("rollout log %s: %w", directory, err)
	}
	return lockFile, nil
}

// load reads the newest rollout, and quarantines a damaged file.
func (l *Log) load() error {
	path := filepath.Join(l.directory, fileName)
	newest, err := readNewest(path)
	switch {
	case err == nil:
		l.newest = newest
		return nil
	case errors.Is(err, os.ErrNotExist):
		return nil
	case !errors.Is(err, errDamaged):
		return err
	}
	l.DamageError = err
	l.QuarantinedPath, err = quarantine(path)
	return err
}

// quarantine renames a damaged file and returns its new path.
func quarantine(path string) (string, error) {
	for i := 1; ; i++ {
		target := fmt.Sprintf("%s.damaged-%d", path, i)
		if _, err := os.Lstat(target); i < maxQuarantined && err == nil {
			continue
		}
		if err := os.Rename(path, target); err != nil {
			return "", fmt.Errorf("rollout log: cannot quarantine the damaged file: %w", err)
		}
		return target, nil
	}
}

// Close closes the log and releases its lock.
func (l *Log) Close() {
	_ = l.lockFile.Close() // nothing is written to it
}

// Records returns the records of the newest rollout in the order in which they were written. It returns none if the
// log holds no rollout.
func (l *Log) Records() [][]byte { return l.newest.records }

// Note returns the note of the newest rollout as of when the log was opened.
func (l *Log) Note() []byte { return l.newest.note }

// Read reads the records and the note of a log's newest rollout. It takes no lock, so another process may be writing
// meanwhile. It returns neither if the log holds no rollout.
func Read(directory string) (records [][]byte, note []byte, err error) {
	newest, err := readNewest(filepath.Join(directory, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	return newest.records, newest.note, err
}

// Begin begins a rollout with its first record. It deletes the oldest rollout if there are more than maxRollouts.
func (l *Log) Begin(first []byte) error {
	next := rollout{id: l.newest.id + 1}
	err := l.update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucket(encodeKey(next.id))
		if err != nil {
			return err
		}
		if err := next.append(bucket, first); err != nil {
			return err
		}
		return deleteOldest(tx, next.id)
	})
	if err != nil {
		return err
	}
	next.records = [][]byte{first}
	l.newest = next
	return nil
}

// deleteOldest deletes the rollout that exceeds maxRollouts when the rollout with the id newest has been added.
func deleteOldest(tx *bbolt.Tx, newest uint64) error {
	if newest <= maxRollouts {
		return nil
	}
	err := tx.DeleteBucket(encodeKey(newest - maxRollouts))
	if errors.Is(err, bolterrors.ErrBucketNotFound) {
		return nil
	}
	return err
}

// Append appends a record to the newest rollout. The record is on the disk when Append returns without an error.
func (l *Log) Append(record []byte) error {
	if l.newest.id == 0 {
		return errNoRollout
	}
	next := l.newest
	err := l.update(func(tx *bbolt.Tx) error {
		bucket, err := next.bucket(tx)
		if err != nil {
			return err
		}
		return next.append(bucket, record)
	})
	if err != nil {
		return err
	}
	next.records = append(next.records, record)
	l.newest = next
	return nil
}

// SetNote replaces the note of the newest rollout. The note holds the progress for concurrent readers of the log.
func (l *Log) SetNote(note []byte) error {
	if l.newest.id == 0 {
		return errNoRollout
	}
	return l.update(func(tx *bbolt.Tx) error {
		bucket, err := l.newest.bucket(tx)
		if err != nil {
			return err
		}
		return bucket.Put(noteKey, seal(checksum{}, 0, note))
	})
}
