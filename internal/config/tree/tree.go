// Package tree reads TOML documents and records all errors in them with their file, line and key, unknown
// keys among them. It also merges a document that changes another into it.
package tree

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// FieldError is one error in a file, with its place.
type FieldError struct {
	File string
	Line int    // from 1
	Key  string // dotted; "" is the file as a whole
	Text string
}

func (p FieldError) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// FieldErrors are all errors in files, by file and line.
type FieldErrors []FieldError

func (ps FieldErrors) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Node is a value of a TOML document with its place: a table, a list or a scalar.
type Node struct {
	file  string
	line  int
	table map[string]*Node // nil unless it is a table
	array []*Node          // of a list
	// value is that of a scalar: string, int64, float64, bool, toml.LocalDate, or unsupported.
	value    any
	isList   bool
	isRead   bool // by a Table; others are unknown keys
	isMerged bool // from several documents: its keys are in the order of their names, as Text writes them
}

// unsupported is the value of a type that no key has: a time.
type unsupported struct{}

// File returns the name of the value's file.
func (n *Node) File() string { return n.file }

// Line returns the value's line, from 1.
func (n *Node) Line() int { return n.line }

// Value returns a string, int64, float64, bool or toml.LocalDate; nil for a table or a list.
func (n *Node) Value() any { return n.value }

// Reading collects the errors of the documents that are read with it. The zero value is ready for use. It is
// not safe for concurrent use.
type Reading struct {
	fieldErrors FieldErrors
	reported    map[FieldError]bool // by place
}

// Err returns all errors as FieldErrors, by file and line; nil where there are none.
func (r *Reading) Err() error {
	if r.fieldErrors == nil {
		return nil
	}
	slices.SortStableFunc(r.fieldErrors, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return r.fieldErrors
}

// Errorf records an error at a place. Of several errors at one place only the first is recorded, as the
// others mostly follow from it.
func (r *Reading) Errorf(file string, line int, key, format string, args ...any) {
	if r.reported == nil {
		r.reported = make(map[FieldError]bool)
	}
	p := FieldError{file, line, key, fmt.Sprintf(format, args...)}
	place := FieldError{File: file, Line: line, Key: key}
	if key == "" {
		place = p // a file as a whole may have several errors
	}
	if r.reported[place] {
		return
	}
	r.reported[place] = true
	r.fieldErrors = append(r.fieldErrors, p)
}

// Parse reads a document. Errors name it by name. Of a text that is no TOML only the first error is
// recorded, and ok is false.
func (r *Reading) Parse(name string, raw []byte) (t Table, ok bool) {
	root := r.parse(name, raw)
	return Table{r, root, ""}, root != nil
}

func (r *Reading) parse(name string, raw []byte) *Node {
	var valid map[string]any
	if err := toml.Unmarshal(raw, &valid); err != nil {
		line, key := 1, ""
		if d := (*toml.DecodeError)(nil); errors.As(err, &d) {
			line, _ = d.Position()
			key = strings.Join(d.Key(), ".")
		}
		r.Errorf(name, line, key, "%s", strings.TrimPrefix(err.Error(), "toml: "))
		return nil
	}
	p := &parser{file: name, lines: []int{0}}
	for i, b := range raw {
		if b == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	p.Reset(raw)
	root := &Node{file: name, line: 1, table: map[string]*Node{}}
	current := root
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			current = openTable(root, p, e.Key(), false)
		case unstable.ArrayTable:
			current = openTable(root, p, e.Key(), true)
		case unstable.KeyValue:
			setValue(current, p, e)
		}
	}
	return root
}

// parser finds lines by their offsets: the library's own method counts from the top of the document for
// each place.
type parser struct {
	unstable.Parser
	file  string
	lines []int // offsets at which lines start
}

func (p *parser) line(n *unstable.Node) int {
	i, found := slices.BinarySearch(p.lines, int(n.Raw.Offset))
	if found {
		i++
	}
	return i
}

// open returns the table of a header, which may exist; that of an array is always new.
func openTable(parent *Node, p *parser, key unstable.Iterator, element bool) *Node {
	for key.Next() {
		k, line, last := string(key.Node().Data), p.line(key.Node()), key.IsLast()
		next := parent.table[k]
		if next == nil {
			next = &Node{file: p.file, line: line, isList: last && element}
			if !next.isList {
				next.table = map[string]*Node{}
			}
			parent.table[k] = next
		}
		if last && !element {
			next.line = line
		}
		if next.isList && last {
			next.array = append(next.array, &Node{file: p.file, line: line, table: map[string]*Node{}})
		}
		if next.isList {
			next = next.array[len(next.array)-1]
		}
		parent = next
	}
	return parent
}

// put sets the value of a line with a key and a value.
func setValue(node *Node, p *parser, e *unstable.Node) {
	key := e.Key()
	for key.Next() {
		k, line := string(key.Node().Data), p.line(key.Node())
		if key.IsLast() {
			node.table[k] = value(p, e.Value(), line)
			return
		}
		if node.table[k] == nil {
			node.table[k] = &Node{file: p.file, line: line, table: map[string]*Node{}}
		}
		node = node.table[k]
	}
}

func value(p *parser, v *unstable.Node, line int) *Node {
	n := &Node{file: p.file, line: line}
	text := strings.ReplaceAll(string(v.Data), "_", "")
	switch v.Kind {
	case unstable.String:
		n.value = string(v.Data)
	case unstable.Bool:
		n.value = text == "true"
	case unstable.Integer:
		n.value, _ = strconv.ParseInt(strings.TrimPrefix(text, "+"), 0, 64) // valid: it was unmarshalled
	case unstable.Float:
		n.value, _ = strconv.ParseFloat(text, 64)
	case unstable.Array:
		n.isList = true
		for it := v.Children(); it.Next(); {
			n.array = append(n.array, value(p, it.Node(), max(line, 1)))
		}
	case unstable.InlineTable:
		n.table = map[string]*Node{}
		for it := v.Children(); it.Next(); {
			setValue(n, p, it.Node())
		}
	case unstable.LocalDate:
		var d toml.LocalDate
		if n.value = any(unsupported{}); d.UnmarshalText(v.Data) == nil {
			n.value = d
		}
	default:
		n.value = unsupported{}
	}
	return n
}
