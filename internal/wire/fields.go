package wire

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// fields holds the key=value pairs of one line and the first error in them. Its methods read a value by its
// key; a missing value reads as zero, and is an error if it is required.
type fields struct {
	keys, values []string
	err          error
}

// parseFields splits a line into its pairs.
func parseFields(s string) *fields {
	const typicalPairs = 16
	f := &fields{keys: make([]string, 0, typicalPairs), values: make([]string, 0, typicalPairs)}
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, " ")
		if pair == "" {
			continue
		}
		key, value, hasValue := strings.Cut(pair, "=")
		if !hasValue {
			f.fail(key, errors.New("has no value"))
			continue
		}
		f.keys = append(f.keys, key)
		f.values = append(f.values, value)
	}
	return f
}

// fail records an error for a key, unless an error is already recorded.
func (f *fields) fail(key string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", key, err)
	}
}

func (f *fields) has(key string) bool {
	for _, k := range f.keys {
		if k == key {
			return true
		}
	}
	return false
}

func (f *fields) text(key string, isRequired bool) string {
	for i, k := range f.keys {
		if k == key {
			return f.values[i]
		}
	}
	if isRequired {
		f.fail(key, errors.New("is missing"))
	}
	return ""
}

// parseNumber parses a finite number.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}

func (f *fields) number(key string, isRequired bool) float64 {
	s := f.text(key, isRequired)
	if s == "" {
		return 0
	}
	v, err := parseNumber(s)
	if err != nil {
		f.fail(key, err)
	}
	return v
}

// maxMilliseconds bounds durations to about thirty years.
const maxMilliseconds = 1e12

// milliseconds reads a duration in milliseconds, rounded to microseconds.
func (f *fields) milliseconds(key string, isRequired bool) time.Duration {
	v := f.number(key, isRequired)
	if math.Abs(v) > maxMilliseconds {
		f.fail(key, fmt.Errorf("%g ms is out of range", v))
		return 0
	}
	return milliseconds(v)
}

func milliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v*1000)) * time.Microsecond
}

func (f *fields) integer(key string, isRequired bool) int64 {
	s := f.text(key, isRequired)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(key, err)
	}
	return v
}

func (f *fields) unsigned(key string, isRequired bool) uint64 {
	s := f.text(key, isRequired)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail(key, err)
	}
	return v
}

func (f *fields) server() uint32 {
	v := f.unsigned("server", true)
	if v > math.MaxUint32 {
		f.fail("server", fmt.Errorf("%d is out of range", v))
	}
	return uint32(v)
}

func (f *fields) boolean(key string) bool {
	switch s := f.text(key, false); s {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	default:
		f.fail(key, fmt.Errorf("%q is not a boolean", s))
		return false
	}
}

// bytes reads bytes in hex; "-" stands for none.
func (f *fields) bytes(key string) []byte {
	s := f.text(key, false)
	if s == "" || s == "-" {
		return nil
	}
	b, err := hex.DecodeString(s)
	if err != nil {
		f.fail(key, err)
	}
	return b
}
