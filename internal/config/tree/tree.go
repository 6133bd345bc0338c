// Package tree reads TOML documents and records all their errors, unknown keys included, with file, line and
// key. It also merges a document of changes into a base document.
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

// FieldError is an error in a file, with its location.
type FieldError struct {
	File string
	Line int    // from 1
	Key  string // dotted; "" stands for the whole file
	Text string
}

func (p FieldError) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// FieldErrors is a list of errors, ordered by file and line.
type FieldErrors []FieldError

func (ps FieldErrors) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Node is a value of a TOML document with its location: a table, a list or a scalar.
type Node struct {
	file  string
	line  int
	table map[string]*Node // nil unless it is a table
	array []*Node          // of a list
	// value holds a scalar: a string, int64, float64, bool, toml.LocalDate or unsupported.
	value    any
	isList   bool
	isRead   bool // by a Table; keys that stay unread are reported as unknown
	isMerged bool // created by MergeOver: its tables are ordered by name, as Text writes them
}

// unsupported stands for a value of a type that no key accepts: a time.
type unsupported struct{}

// File returns the name of the file that holds the value.
func (n *Node) File() string { return n.file }

// Line returns the value's line, from 1.
func (n *Node) Line() int { return n.line }

// Value returns a string, int64, float64, bool or toml.LocalDate; nil for a table or a list.
func (n *Node) Value() any { return n.value }

// Reading collects the errors of the documents that are read through it. The zero value is ready for use. It is
// not safe for concurrent use.
type Reading struct {
	fieldErrors FieldErrors
	reported    map[FieldError]bool // by location
}

// Err returns all errors as FieldErrors, ordered by file and line; nil if there are none.
func (r *Reading) Err() error {
	if r.fieldErrors == nil {
		return nil
	}
	slices.SortStableFunc(r.fieldErrors, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return r.fieldErrors
}

// Errorf records an error at a location. Only the first error at each location is recorded, as the others
// are mostly consequences of it.
func (r *Reading) Errorf(file string, line int, key, format string, args ...any) {
	if r.reported == nil {
		r.reported = make(map[FieldError]bool)
	}
	p := FieldError{file, line, key, fmt.Sprintf(format, args...)}
	place := FieldError{File: file, Line: line, Key: key}
	if key == "" {
		place = p // a whole file may have several errors
	}
	if r.reported[place] {
		return
	}
	r.reported[place] = true
	r.fieldErrors = append(r.fieldErrors, p)
}

// Parse reads a document; name identifies it in errors. If the text is not valid TOML, only its first error is
// recorded and ok is false.
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

// parser looks up lines by their offsets, because the library's own method counts lines from the start of the
// document on each call.
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

// openTable returns the table of a header and creates it if it does not exist. The header of an array of tables
// always appends a new table.
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

// setValue sets the value of a key-value line and creates the tables of a dotted key.
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
		n.value, _ = strconv.ParseInt(strings.TrimPrefix(text, "+"), 0, 64) // valid, since toml.Unmarshal has accepted it
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
