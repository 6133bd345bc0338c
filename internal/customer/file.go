package customer

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"lockflow/internal/filewatch"
)

const (
	maxFileBytes = 64 << 20
	maxNames     = 2_000_000
	pollInterval = time.Second
)

// planTable are the customers that a file gives plans to, swapped as one.
type planTable struct {
	plans atomic.Pointer[map[string]string]
}

func (n *planTable) planOf(name string) (string, bool) {
	m := n.plans.Load()
	if m == nil {
		return "", false
	}
	plan, ok := (*m)[name]
	return plan, ok
}

// ParseFile reads a file of lines "NAME,PLAN" (RFC 4180; a line that begins with # is left out). A name
// that begins with "secret:" stands for the hash of what follows, as Way.Secret makes it. plan
// tells whether a plan is known. An error names the file and the line.
func ParseFile(path string, in io.Reader, plan func(string) bool) (map[string]string, error) {
	r := csv.NewReader(in)
	r.FieldsPerRecord, r.Comment, r.TrimLeadingSpace, r.ReuseRecord = 2, '#', true, true
	all := make(map[string]string)
	plans := make(map[string]string) // one copy of each name of a plan
	for {
		f, err := r.Read()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		line, _ := r.FieldPos(0)
		name := f[0]
		if v, secret := cutSecretMark(name); secret {
			name = HashedName(v)
		}
		_, twice := all[name]
		switch {
		case name == "" || len(name) > maxNameBytes:
			err = errors.New("a name of no bytes, or of too many")
		case twice:
			err = errors.New("a name that is given twice")
		case !plan(f[1]):
			err = fmt.Errorf("%q is no plan of the service", f[1])
		case len(all) >= maxNames:
			err = fmt.Errorf("more than %d names", maxNames)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		if _, ok := plans[f[1]]; !ok {
			plans[f[1]] = string([]byte(f[1]))
		}
		all[string([]byte(name))] = plans[f[1]]
	}
}

func cutSecretMark(name string) (string, bool) {
	const mark = "secret:"
	if len(name) > len(mark) && name[:len(mark)] == mark {
		return name[len(mark):], true
	}
	return name, false
}

// Load reads the book's file, where it has one, and puts it in force; an error leaves the old one.
// One goroutine at a time loads and follows.
func (b *Directory) Load(plan func(string) bool) error {
	if b.File == "" {
		return nil
	}
	f, err := os.Open(b.File)
	if err != nil {
		return fmt.Errorf("reading the customers: %w", err)
	}
	defer f.Close() //nolint:errcheck // only read
	info, err := f.Stat()
	b.loadedFile = info
	if err == nil && info.Size() > maxFileBytes {
		err = fmt.Errorf("%s: %d bytes are more than %d", b.File, info.Size(), maxFileBytes)
	}
	var all map[string]string
	if err == nil {
		all, err = ParseFile(b.File, f, plan)
	}
	if err != nil {
		return fmt.Errorf("reading the customers: %w", err)
	}
	b.plans.plans.Store(&all)
	return nil
}

// NameCount is how many customers the file in force names.
func (b *Directory) NameCount() int {
	if m := b.plans.plans.Load(); m != nil {
		return len(*m)
	}
	return 0
}

// Follow loads the file again whenever it has changed since Load, until ctx ends. One that can't be used
// leaves the old one, and that is said once.
func (b *Directory) Follow(ctx context.Context, plan func(string) bool) {
	if b.File == "" {
		return
	}
	filewatch.Follow(ctx, b.File, pollInterval, b.loadedFile, func() error {
		err := b.Load(plan)
		if err == nil {
			slog.Info("customers: read again", "file", b.File, "names", b.NameCount())
		}
		return err
	}, func(err error) { slog.Warn("customers: the old ones stay", "err", err) })
}
