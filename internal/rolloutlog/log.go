// Package rolloutlog keeps what a coordinator of a change has decided, so that it is on disk before it is done.
// A ledger is a directory with a database (bbolt) and a lock: one process may write it at a time, others may
// read. Each record carries a checksum over itself and the one before it: what is damaged or torn is found
// as such, set aside, and never taken for good.
package rolloutlog

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"
)

const (
	fileName    = "rollout.db"
	lockName    = "rollout.lock"
	openTimeout = 2 * time.Second // of another process's look at the file

	// maxRollouts bounds how many changes are kept: the last ones.
	maxRollouts = 8
	// maxRecordBytes and recordsMost bound what one change may write.
	maxRecordBytes = 64 << 20
	maxRecords     = 1 << 20
	maxQuarantined = 4 // damaged files that are kept for their owner
)

// ErrLocked is another process that writes the same ledger.
var ErrLocked = errors.New("another coordinator writes it")

// Log is open for writing. It is not safe for concurrent use.
type Log struct {
	// QuarantinedPath is where a damaged file was put; "" is none.
	QuarantinedPath string
	// DamageError tells what was wrong with it.
	DamageError error

	directory string
	lockFile  *os.File
	newest    rollout // the newest
}

// rollout is what is in the file of one change.
type rollout struct {
	id           uint64 // bucket; 0 is none
	count        uint64 // records
	lastChecksum [sha256.Size]byte
	records      [][]byte
	note         []byte
}

// Open opens the ledger of a directory and makes it where there is none.
func Open(dir string) (*Log, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("journal %s: %w", dir, err)
	}
	l := &Log{directory: dir, lockFile: lock}
	path := filepath.Join(dir, fileName)
	if l.newest, err = readNewest(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		if !errors.Is(err, errDamaged) {
			l.Close()
			return nil, err
		}
		l.DamageError = err
		if l.QuarantinedPath, err = quarantine(path); err != nil {
			l.Close()
			return nil, err
		}
		l.newest = rollout{}
	}
	return l, nil
}

// quarantine moves a damaged file out of the way.
func quarantine(path string) (string, error) {
	for i := 1; ; i++ {
		to := fmt.Sprintf("%s.damaged-%d", path, i)
		if _, err := os.Lstat(to); i < maxQuarantined && err == nil {
			continue
		}
		if err := os.Rename(path, to); err != nil {
			return "", fmt.Errorf("journal: setting a damaged file aside: %w", err)
		}
		return to, nil
	}
}

// Close lets go of it.
func (l *Log) Close() {
	_ = l.lockFile.Close() // nothing is written to it
}

// Records are those of the newest change, the first first; none where there has been none.
func (l *Log) Records() [][]byte { return l.newest.records }

// Note is what Tell has last kept with the newest change.
func (l *Log) Note() []byte { return l.newest.note }

// Read reads the newest change's records and note without a lock, also while another writes. No error and
// no records: there has been none.
func Read(dir string) (records [][]byte, note []byte, err error) {
	c, err := readNewest(filepath.Join(dir, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	return c.records, c.note, err
}

// Begin begins a change's records with its first. The oldest changes are forgotten.
func (l *Log) Begin(first []byte) error {
	next := rollout{id: l.newest.id + 1}
	err := l.update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(encodeKey(next.id))
		if err != nil {
			return err
		}
		if err := next.append(b, first); err != nil {
			return err
		}
		if next.id > maxRollouts {
			if err := tx.DeleteBucket(encodeKey(next.id - maxRollouts)); err != nil && !errors.Is(err, bolterrors.ErrBucketNotFound) {
				return err
			}
		}
		return nil
	})
	if err == nil {
		next.records = [][]byte{first}
		l.newest = next
	}
	return err
}

// Append keeps a record. It is on disk once this returns.
func (l *Log) Append(record []byte) error {
	if l.newest.id == 0 {
		return errors.New("journal: no change has begun")
	}
	next := l.newest
	err := l.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(encodeKey(next.id))
		if b == nil {
			return fmt.Errorf("%w: change %d is gone", errDamaged, next.id)
		}
		return next.append(b, record)
	})
	if err == nil {
		next.records = append(next.records, record)
		l.newest = next
	}
	return err
}

// SetNote keeps a note in the place of the last one: what whoever looks is told.
func (l *Log) SetNote(note []byte) error {
	if l.newest.id == 0 {
		return errors.New("journal: no change has begun")
	}
	return l.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(encodeKey(l.newest.id))
		if b == nil {
			return fmt.Errorf("%w: change %d is gone", errDamaged, l.newest.id)
		}
		return b.Put(noteKey, seal([sha256.Size]byte{}, 0, note))
	})
}

// update opens the file for one write: others may look in between.
func (l *Log) update(f func(*bbolt.Tx) error) error {
	err := catchDamage(func() error {
		db, err := bbolt.Open(filepath.Join(l.directory, fileName), 0o600, options(false))
		if err != nil {
			return err
		}
		if err := db.Update(f); err != nil {
			return errors.Join(err, db.Close())
		}
		return db.Close()
	})
	if err != nil {
		return fmt.Errorf("journal: writing %s: %w", filepath.Join(l.directory, fileName), err)
	}
	return nil
}

func options(readOnly bool) *bbolt.Options {
	// The list of free pages is not kept but found: one thing less that can be damaged.
	return &bbolt.Options{Timeout: openTimeout, ReadOnly: readOnly, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType}
}

var (
	errDamaged = errors.New("it is damaged")
	noteKey    = []byte("note")
)

// catchDamage turns what a damaged file has the database do (panics, reads beyond the file's end) into errors.
func catchDamage(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return f()
}

func encodeKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// append adds a record to a bucket and to what is known of it.
func (c *rollout) append(b *bbolt.Bucket, record []byte) error {
	if len(record) > maxRecordBytes || c.count >= maxRecords {
		return fmt.Errorf("record %d of %d bytes is beyond the bounds", c.count+1, len(record))
	}
	raw := seal(c.lastChecksum, c.count+1, record)
	if err := b.Put(encodeKey(c.count+1), raw); err != nil {
		return err
	}
	c.count++
	copy(c.lastChecksum[:], raw)
	return nil
}

// seal is a record behind its checksum, which is over the one before it and its number too.
func seal(last [sha256.Size]byte, n uint64, record []byte) []byte {
	h := sha256.New()
	h.Write(last[:])
	h.Write(encodeKey(n))
	h.Write(record)
	return append(h.Sum(nil), record...)
}

// unseal gives a record that is what was sealed.
func unseal(last [sha256.Size]byte, n uint64, raw []byte) ([]byte, error) {
	if len(raw) < sha256.Size {
		return nil, fmt.Errorf("%w: record %d is cut", errDamaged, n)
	}
	record := raw[sha256.Size:]
	if string(seal(last, n, record)) != string(raw) {
		return nil, fmt.Errorf("%w: record %d is not what was written", errDamaged, n)
	}
	return append([]byte(nil), record...), nil
}

// readNewest reads the newest change of a file.
func readNewest(path string) (c rollout, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return c, err
	}
	err = catchDamage(func() error {
		if info.Size() == 0 {
			return fmt.Errorf("%w: it is empty", errDamaged)
		}
		db, err := bbolt.Open(path, 0o600, options(true))
		if err != nil {
			if errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, os.ErrPermission) {
				return err
			}
			return fmt.Errorf("%w: %w", errDamaged, err)
		}
		defer db.Close() //nolint:errcheck // only read
		return db.View(func(tx *bbolt.Tx) error {
			k, _ := tx.Cursor().Last()
			if k == nil {
				return nil // made, and nothing written yet
			}
			b := tx.Bucket(k)
			if len(k) != 8 || b == nil {
				return fmt.Errorf("%w: a key is none", errDamaged)
			}
			c.id = binary.BigEndian.Uint64(k)
			return c.load(b)
		})
	})
	if err != nil {
		return rollout{}, fmt.Errorf("journal %s: %w", path, err)
	}
	return c, nil
}

func (c *rollout) load(b *bbolt.Bucket) error {
	return b.ForEach(func(k, raw []byte) error {
		if string(k) == string(noteKey) {
			note, err := unseal([sha256.Size]byte{}, 0, raw)
			c.note = note
			return err
		}
		if len(k) != 8 || binary.BigEndian.Uint64(k) != c.count+1 {
			return fmt.Errorf("%w: record %d is missing", errDamaged, c.count+1)
		}
		record, err := unseal(c.lastChecksum, c.count+1, raw)
		if err != nil {
			return err
		}
		c.count++
		copy(c.lastChecksum[:], raw)
		c.records = append(c.records, record)
		return nil
	})
}
