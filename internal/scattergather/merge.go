// Package scattergather carries a query out over many services and makes one answer of theirs. When to
// stop waiting is another's decision (package gather): here is what is asked, what of it is held, how it is
// joined, and that no answer claims a part that it does not hold.
package scattergather

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Merge is a way in which parts' answers become one.
type Merge uint8

// The ways.
const (
	Array Merge = iota // JSON arrays (RFC 8259): their elements in the parts' order
	Lines              // a JSON value a line
)

// Merges are the ways by their names in a configuration.
var Merges = map[string]Merge{"json-array": Array, "ndjson": Lines}

// ContentType is that of a merged answer.
func (m Merge) ContentType() string {
	if m == Lines {
		return "application/x-ndjson"
	}
	return "application/json"
}

const whitespace = " \t\r\n"

// Check gives what of a part's whole answer goes into the merged one, without its brackets or the
// space around it; nothing is an answer without elements. An error is an answer that can't be merged:
// none of it counts. The result is a part of body.
func (m Merge) Check(body []byte) ([]byte, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("it is no UTF-8")
	}
	if m == Lines {
		for n, rest := 1, body; len(rest) > 0; n++ {
			var line []byte
			line, rest, _ = bytes.Cut(rest, []byte("\n"))
			if line = bytes.Trim(line, whitespace); len(line) > 0 && !json.Valid(line) {
				return nil, fmt.Errorf("line %d is no JSON", n)
			}
		}
		return bytes.Trim(body, whitespace), nil
	}
	if !json.Valid(body) {
		return nil, errors.New("it is no JSON")
	}
	body = bytes.Trim(body, whitespace)
	if body[0] != '[' {
		return nil, errors.New("it is no JSON array")
	}
	return bytes.Trim(body[1:len(body)-1], whitespace), nil
}

// Join gives the merged answer as pieces to be written one after another, and their bytes in all.
// What it is given was checked; it is not copied.
func (m Merge) Join(checked [][]byte) (pieces [][]byte, size int) {
	open, between, end := "[", ",", "]"
	if m == Lines {
		open, between, end = "", "\n", "\n"
	}
	add := func(p []byte) {
		if len(p) > 0 {
			pieces, size = append(pieces, p), size+len(p)
		}
	}
	add([]byte(open))
	some := false
	for _, c := range checked {
		if len(c) == 0 {
			continue
		}
		if some {
			add([]byte(between))
		}
		add(c)
		some = true
	}
	if some || m == Array {
		add([]byte(end))
	}
	return pieces, size
}

// Fields of an answer that say what it holds.
const (
	HeaderParts   = "Lockflow-Parts"   // "2/3": so many of so many parts are in it
	HeaderMissing = "Lockflow-Missing" // the others, as "pod-c, west/pod-d"
)

const (
	maxInnerParts   = 10000   // parts that an answer may say it is of
	maxMissingBytes = 8 << 10 // bytes of the names of those that it misses
)

// ParsePartsHeaders reads what an answer says that it holds which another gatherer made; held equals of where it
// says nothing. An error is one that can't be relied on.
func ParsePartsHeaders(parts, missing []string) (present, of int, without []string, err error) {
	if len(parts) == 0 && len(missing) == 0 {
		return 1, 1, nil, nil
	}
	if len(parts) != 1 || len(missing) > 1 {
		return 0, 0, nil, fmt.Errorf("%s: given %d times, and %s %d times", HeaderParts, len(parts), HeaderMissing, len(missing))
	}
	a, b, ok := strings.Cut(parts[0], "/")
	present, e1 := strconv.Atoi(a)
	of, e2 := strconv.Atoi(b)
	if !ok || e1 != nil || e2 != nil || present < 0 || of < 1 || present > of || of > maxInnerParts {
		return 0, 0, nil, fmt.Errorf("%s: %q", HeaderParts, parts[0])
	}
	if len(missing) == 1 && strings.Trim(missing[0], whitespace) != "" {
		if len(missing[0]) > maxMissingBytes {
			return 0, 0, nil, fmt.Errorf("%s: %d bytes", HeaderMissing, len(missing[0]))
		}
		for name := range strings.SplitSeq(missing[0], ",") {
			name = strings.Trim(name, whitespace)
			if name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
				return 0, 0, nil, fmt.Errorf("%s: %q", HeaderMissing, name)
			}
			without = append(without, name)
		}
	}
	// One name may stand for a whole gatherer of many parts, but none stands for nothing.
	if (present < of) != (len(without) > 0) || len(without) > of-present {
		return 0, 0, nil, fmt.Errorf("%s: %s with %d missing by name", HeaderParts, parts[0], len(without))
	}
	return present, of, without, nil
}
