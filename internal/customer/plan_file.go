package customer

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"lockflow/internal/filewatch"
)

const (
	maxFileBytes = 64 << 20
	maxNames     = 2_000_000
	pollInterval = time.Second // between checks of the file for changes
)

// secretPrefix is the prefix of a name in the file that stands for the hash of the rest of the name.
const secretPrefix = "secret:"

// Errors of a line of the file.
var (
	errNameLength    = errors.New("the name is empty or too long")
	errDuplicateName = errors.New("the name is given twice")
)

// planOf returns the plan that the file in force assigns to a customer.
func (d *Directory) planOf(name string) (plan string, ok bool) {
	plans := d.plans.Load()
	if plans == nil {
		return "", false
	}
	plan, ok = (*plans)[name]
	return plan, ok
}

// ParseFile parses lines "NAME,PLAN" (RFC 4180; a line that begins with # is a comment) into plans by name.
// A name that begins with "secret:" stands for the hash of the rest, see Identifier.IsSecret. isPlan reports
// whether the service has a plan. Errors name the file by path, and the line.
func ParseFile(path string, in io.Reader, isPlan func(string) bool) (map[string]string, error) {
	records := csv.NewReader(in)
	records.FieldsPerRecord, records.Comment, records.TrimLeadingSpace, records.ReuseRecord = 2, '#', true, true
	plansByName := make(map[string]string)
	internedPlans := make(map[string]string) // shares one copy of each plan's name
	for {
		record, err := records.Read()
		if errors.Is(err, io.EOF) {
			return plansByName, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		name, plan := customerName(record[0]), record[1]
		if err := checkRecord(name, plan, plansByName, isPlan); err != nil {
			line, _ := records.FieldPos(0)
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		if _, ok := internedPlans[plan]; !ok {
			internedPlans[plan] = strings.Clone(plan)
		}
		plansByName[strings.Clone(name)] = internedPlans[plan] // a record's strings share the memory of its line
	}
}

// checkRecord checks a line against the service's plans and the preceding lines.
func checkRecord(name, plan string, plansByName map[string]string, isPlan func(string) bool) error {
	_, isDuplicate := plansByName[name]
	switch {
	case name == "" || len(name) > maxNameBytes:
		return errNameLength
	case isDuplicate:
		return errDuplicateName
	case !isPlan(plan):
		return fmt.Errorf("%q is no plan of the service", plan)
	case len(plansByName) >= maxNames:
		return fmt.Errorf("the file has more than %d names", maxNames)
	}
	return nil
}

// customerName returns the customer's name for a name in the file.
func customerName(name string) string {
	if secret, ok := strings.CutPrefix(name, secretPrefix); ok && secret != "" {
		return HashedName(secret)
	}
	return name
}

// Load loads the file, if there is one, and puts it in force. On an error the previous one stays in force.
// isPlan reports whether the service has a plan.
func (d *Directory) Load(isPlan func(string) bool) error {
	if d.File == "" {
		return nil
	}
	f, err := os.Open(d.File)
	if err != nil {
		return fmt.Errorf("reading the customers: %w", err)
	}
	defer f.Close() //nolint:errcheck // only read
	info, err := f.Stat()
	d.loadedFile = info
	if err == nil && info.Size() > maxFileBytes {
		err = fmt.Errorf("%s: %d bytes are more than the %d allowed", d.File, info.Size(), maxFileBytes)
	}
	var loadedPlans map[string]string
	if err == nil {
		loadedPlans, err = ParseFile(d.File, f, isPlan)
	}
	if err != nil {
		return fmt.Errorf("reading the customers: %w", err)
	}
	d.plans.Store(&loadedPlans)
	return nil
}

// NameCount returns the number of customers that the file in force names.
func (d *Directory) NameCount() int {
	if plans := d.plans.Load(); plans != nil {
		return len(*plans)
	}
	return 0
}

// Follow loads the file whenever it has changed since the last Load, until ctx ends. If it cannot be used,
// the previous one stays in force and the error is logged once.
func (d *Directory) Follow(ctx context.Context, isPlan func(string) bool) {
	if d.File == "" {
		return
	}
	filewatch.Follow(ctx, d.File, pollInterval, d.loadedFile, func() error {
		err := d.Load(isPlan)
		if err == nil {
			slog.Info("customer file reloaded", "file", d.File, "names", d.NameCount())
		}
		return err
	}, func(err error) {
		slog.Warn("reloading the customer file failed; the previous version stays in force", "err", err)
	})
}
