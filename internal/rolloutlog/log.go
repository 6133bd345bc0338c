// Package rolloutlog is the write-ahead log of a rollout's coordinator: each decision is on the disk before it is
// acted on. Package fleet writes it and reads it; measurements and tests read it while a coordinator runs.
//
// A log is a directory with a database (bbolt) and a lock file. One process may write it at a time; others may read,
// also meanwhile. A log holds the last rollouts, each with its records, in the order in which they were written, and
// a note that is replaced. Each record carries a checksum over itself and the record before it: a damaged or torn
// file is detected, quarantined, and never taken for valid.
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
	// maxRollouts is how many rollouts a log holds: the newest ones.
	maxRollouts = 8
	// maxRecordBytes and maxRecords limit what one rollout may write.
	maxRecordBytes = 64 << 20
	maxRecords     = 1 << 20
	// maxQuarantined is how many damaged files remain for the operator; the last of them is replaced.
	maxQuarantined = 4
)

// ErrLocked means that another process writes the log.
var ErrLocked = errors.New("another coordinator has it open")

var errNoRollout = errors.New("rollout log: no rollout has begun")

// Log is a log that is open for writing. It is not safe for concurrent use.
type Log struct {
	// QuarantinedPath is where Open moved a damaged file to; "" is none.
	QuarantinedPath string
	// DamageError is what was wrong with that file.
	DamageError error

	directory string
	lockFile  *os.File // locked while the log is open
	newest    rollout  // as it is on the disk
}

// rollout is what a log holds of one rollout.
type rollout struct {
	id           uint64 // names its bucket; 0 is none
	count        uint64 // of records
	lastChecksum checksum
	records      [][]byte
	note         []byte
}

// Open opens the log in a directory for writing, and creates both where there are none. A damaged file is moved out
// of the way and reported in the log's fields; the log is then empty. The error wraps ErrLocked where another
// process has the log open.
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

// lock creates the directory where there is none, and locks the log in it.
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
			return "", fmt.Errorf("rollout log: quarantining a damaged file: %w", err)
		}
		return target, nil
	}
}

// Close closes the log, and lets another process open it.
func (l *Log) Close() {
	_ = l.lockFile.Close() // nothing is written to it
}

// Records returns the records of the newest rollout in the order in which they were written; none where there has
// been no rollout.
func (l *Log) Records() [][]byte { return l.newest.records }

// Note returns the note that the newest rollout had when the log was opened.
func (l *Log) Note() []byte { return l.newest.note }

// Read reads the records and the note of a log's newest rollout without its lock, also while another process writes.
// It returns neither where there has been no rollout.
func Read(directory string) (records [][]byte, note []byte, err error) {
	newest, err := readNewest(filepath.Join(directory, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	return newest.records, newest.note, err
}

// Begin begins a rollout with its first record, and forgets the oldest rollout of more than maxRollouts.
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

// deleteOldest deletes the rollout that is one too many after the newest.
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

// Append appends a record to the newest rollout. It is on the disk when Append returns.
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

// SetNote replaces the note of the newest rollout: its progress, for whoever reads the log meanwhile.
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
