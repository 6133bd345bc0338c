package rolloutlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// The database has a bucket for each rollout, keyed by the rollout's id. A bucket holds the sealed records, keyed by
// their numbers from 1, and the sealed note under noteKey. Ids and numbers are encoded as eight bytes, big endian.

// openTimeout is the maximum time to wait for another process that has the database open. Readers and the writer open
// it only for the duration of one transaction.
const openTimeout = 2 * time.Second

// keyBytes is the length of an encoded id or number.
const keyBytes = 8

var noteKey = []byte("note")

// errDamaged means that the content of the database is not what a Log has written.
var errDamaged = errors.New("the file is damaged")

func encodeKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func options(readOnly bool) *bbolt.Options {
	return &bbolt.Options{
		Timeout:        openTimeout,
		ReadOnly:       readOnly,
		NoFreelistSync: true, // a free list that is not stored cannot be damaged
		FreelistType:   bbolt.FreelistMapType,
	}
}

// update runs one read-write transaction. The database is open only meanwhile, so that other processes can read it
// between transactions.
func (l *Log) update(transaction func(*bbolt.Tx) error) error {
	path := filepath.Join(l.directory, fileName)
	err := catchDamage(func() error {
		database, err := bbolt.Open(path, 0o600, options(false))
		if err != nil {
			return err
		}
		return errors.Join(database.Update(transaction), database.Close())
	})
	if err != nil {
		return fmt.Errorf("rollout log: writing %s: %w", path, err)
	}
	return nil
}

// readNewest reads the newest rollout of a database. The error wraps errDamaged, or comes from opening the file.
func readNewest(path string) (rollout, error) {
	info, err := os.Stat(path)
	if err != nil {
		return rollout{}, err
	}
	var newest rollout
	err = catchDamage(func() error {
		if info.Size() == 0 {
			return fmt.Errorf("%w: it has no content", errDamaged)
		}
		database, err := bbolt.Open(path, 0o600, options(true))
		if err != nil {
			if errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) {
				return err
			}
			return fmt.Errorf("%w: %w", errDamaged, err)
		}
		defer database.Close() //nolint:errcheck // the database is only read
		return database.View(newest.load)
	})
	if err != nil {
		return rollout{}, fmt.Errorf("rollout log %s: %w", path, err)
	}
	return newest, nil
}

// catchDamage runs work on a database and converts the panics and page faults that a damaged file causes into errors.
func catchDamage(work func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errDamaged, cause)
		}
	}()
	return work()
}

// load reads the rollout with the highest id. A database that was created but not written to yet has none.
func (r *rollout) load(tx *bbolt.Tx) error {
	key, _ := tx.Cursor().Last()
	if key == nil {
		return nil
	}
	bucket := tx.Bucket(key)
	if len(key) != keyBytes || bucket == nil {
		return fmt.Errorf("%w: the key of the newest rollout is invalid", errDamaged)
	}
	r.id = binary.BigEndian.Uint64(key)
	return bucket.ForEach(r.loadEntry)
}

// loadEntry reads one entry of the rollout's bucket. Entries are read in the order of their keys: first the records by
// number, then the note.
func (r *rollout) loadEntry(key, sealed []byte) error {
	if string(key) == string(noteKey) {
		note, err := unseal(checksum{}, 0, sealed)
		r.note = note
		return err
	}
	number := r.count + 1
	if len(key) != keyBytes || binary.BigEndian.Uint64(key) != number {
		return fmt.Errorf("%w: record %d is missing", errDamaged, number)
	}
	record, err := unseal(r.lastChecksum, number, sealed)
	if err != nil {
		return err
	}
	r.count = number
	copy(r.lastChecksum[:], sealed)
	r.records = append(r.records, record)
	return nil
}

// bucket returns the rollout's bucket.
func (r *rollout) bucket(tx *bbolt.Tx) (*bbolt.Bucket, error) {
	bucket := tx.Bucket(encodeKey(r.id))
	if bucket == nil {
		return nil, fmt.Errorf("%w: rollout %d is missing", errDamaged, r.id)
	}
	return bucket, nil
}

// append adds a record to the rollout's bucket and counts it. The caller adds it to records after the commit.
func (r *rollout) append(bucket *bbolt.Bucket, record []byte) error {
	number := r.count + 1
	if len(record) > maxRecordBytes || r.count >= maxRecords {
		return fmt.Errorf("record %d of %d bytes exceeds the maximum size or number of records", number, len(record))
	}
	sealed := seal(r.lastChecksum, number, record)
	if err := bucket.Put(encodeKey(number), sealed); err != nil {
		return err
	}
	r.count = number
	copy(r.lastChecksum[:], sealed)
	return nil
}
