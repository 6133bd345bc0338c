// Package scattergather runs a query on many services and merges their answers into one. How long to wait for a
// part is decided by package waitpolicy. This package decides what is sent, what of it is in the answer and how it
// is merged, and ensures that no answer claims a part that it does not contain.
package scattergather

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// Merge is a format in which the parts' answers are merged.
type Merge uint8

// The formats.
const (
	Array Merge = iota // JSON arrays (RFC 8259): their elements in the order of the parts
	Lines              // a JSON value on each line
)

// Merges are the formats by their names in settings.
var Merges = map[string]Merge{"json-array": Array, "ndjson": Lines}

// ContentType returns the media type of a merged answer.
func (m Merge) ContentType() string {
	if m == Lines {
		return "application/x-ndjson"
	}
	return "application/json"
}

// whitespace is what JSON and header lists ignore around values.
const whitespace = " \t\r\n"

// Check returns what of a part's answer goes into the merged one, without brackets and whitespace around it; it is
// a slice of body, and empty for an answer without elements. It returns an error for an answer that cannot be merged.
func (m Merge) Check(body []byte) ([]byte, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("it is no UTF-8")
	}
	if m == Lines {
		return checkLines(body)
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

// checkLines does what Check does, for Lines.
func checkLines(body []byte) ([]byte, error) {
	number := 0
	for line := range bytes.SplitSeq(body, []byte("\n")) {
		number++
		line = bytes.Trim(line, whitespace)
		if len(line) > 0 && !json.Valid(line) {
			return nil, fmt.Errorf("line %d is no JSON", number)
		}
	}
	return bytes.Trim(body, whitespace), nil
}

// Join returns the merged answer as pieces to be written in order, and their length in bytes. The contents have
// passed Check and are not copied.
func (m Merge) Join(contents [][]byte) (pieces [][]byte, size int) {
	open, separator, end := "[", ",", "]"
	if m == Lines {
		open, separator, end = "", "\n", "\n"
	}
	add := func(piece []byte) {
		if len(piece) > 0 {
			pieces = append(pieces, piece)
			size += len(piece)
		}
	}
	add([]byte(open))
	isEmpty := true
	for _, content := range contents {
		if len(content) == 0 {
			continue
		}
		if !isEmpty {
			add([]byte(separator))
		}
		add(content)
		isEmpty = false
	}
	if !isEmpty || m == Array {
		add([]byte(end))
	}
	return pieces, size
}
