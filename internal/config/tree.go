package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one thing that is wrong in a file, and where.
type Problem struct {
	File string
	Line int    // from 1
	Key  string // dotted; "" is the file as a whole
	Text string
}

func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// Problems are all that is wrong in a file, by line.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// node is a value of a TOML document with the line that it stands on.
type node struct {
	line  int
	table map[string]*node
	array []*node
	// Of one that is neither: string, int64, float64, bool, or other (a date or time).
	value  any
	isList bool
	read   bool
}

type other struct{}

// file collects what is wrong while a file is read.
type file struct {
	name     string
	problems Problems
}

// wrong notes what is wrong at a place; what follows there from the first is not told.
func (f *file) wrong(line int, key, format string, args ...any) {
	if key != "" && slices.ContainsFunc(f.problems, func(p Problem) bool { return p.Line == line && p.Key == key }) {
		return
	}
	f.problems = append(f.problems, Problem{f.name, line, key, fmt.Sprintf(format, args...)})
}

// parse reads a document. Of one that is no TOML only the first error is told.
func (f *file) parse(raw []byte) *node {
	var valid map[string]any
	if err := toml.Unmarshal(raw, &valid); err != nil {
		line, key := 1, ""
		if d := (*toml.DecodeError)(nil); errors.As(err, &d) {
			line, _ = d.Position()
			key = strings.Join(d.Key(), ".")
		}
		f.wrong(line, key, "%s", strings.TrimPrefix(err.Error(), "toml: "))
		return nil
	}
	p := &parser{lines: []int{0}}
	for i, b := range raw {
		if b == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	p.Reset(raw)
	root := &node{line: 1, table: map[string]*node{}}
	at := root
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			at = open(root, p, e.Key(), false)
		case unstable.ArrayTable:
			at = open(root, p, e.Key(), true)
		case unstable.KeyValue:
			put(at, p, e)
		}
	}
	return root
}

// parser knows where lines begin. Guards against the parser's own count, which starts at the
// top for each place asked for.
type parser struct {
	unstable.Parser
	lines []int // offsets
}

func (p *parser) line(n *unstable.Node) int {
	i, found := slices.BinarySearch(p.lines, int(n.Raw.Offset))
	if found {
		i++
	}
	return i
}

// open finds or makes the table of a header; one of an array is new.
func open(at *node, p *parser, key unstable.Iterator, element bool) *node {
	for key.Next() {
		k, line, last := string(key.Node().Data), p.line(key.Node()), key.IsLast()
		next := at.table[k]
		if next == nil {
			next = &node{line: line, isList: last && element}
			if !next.isList {
				next.table = map[string]*node{}
			}
			at.table[k] = next
		}
		if last && !element {
			next.line = line
		}
		if next.isList && last {
			next.array = append(next.array, &node{line: line, table: map[string]*node{}})
		}
		if next.isList {
			next = next.array[len(next.array)-1]
		}
		at = next
	}
	return at
}

// put sets what a line of a key and a value says.
func put(at *node, p *parser, e *unstable.Node) {
	key := e.Key()
	for key.Next() {
		k, line := string(key.Node().Data), p.line(key.Node())
		if key.IsLast() {
			at.table[k] = value(p, e.Value(), line)
			return
		}
		if at.table[k] == nil {
			at.table[k] = &node{line: line, table: map[string]*node{}}
		}
		at = at.table[k]
	}
}

func value(p *parser, v *unstable.Node, line int) *node {
	n := &node{line: line}
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
		n.table = map[string]*node{}
		for it := v.Children(); it.Next(); {
			put(n, p, it.Node())
		}
	default:
		n.value = other{}
	}
	return n
}

// table reads a table key by key and notes which were read.
type table struct {
	f    *file
	node *node
	path string // dotted; "" is the document
}

func (t table) at(key string) string { return strings.TrimPrefix(t.path+"."+key, ".") }

// wrong says what is wrong with a key; where it is not given, the table's line is told.
func (t table) wrong(key, format string, args ...any) {
	line := t.node.line
	if n := t.node.table[key]; n != nil {
		line = n.line
	}
	t.f.wrong(line, t.at(key), format, args...)
}

func (t table) has(key string) bool { return t.node.table[key] != nil }

// get is a key's value, if it is given; one of another type is wrong.
func get[T any](t table, key, want string) (v T, ok bool) {
	n := t.node.table[key]
	if n == nil {
		return v, false
	}
	n.read = true
	if v, ok = n.value.(T); !ok {
		t.wrong(key, "it has to be %s", want)
	}
	return v, ok
}

func (t table) str(key, missing string) string {
	if v, ok := get[string](t, key, "a text"); ok {
		return v
	}
	return missing
}

func (t table) flag(key string, missing bool) bool {
	if v, ok := get[bool](t, key, "true or false"); ok {
		return v
	}
	return missing
}

// oneOf reads one of some words and gives its place among them.
func (t table) oneOf(key string, words ...string) int {
	if !t.has(key) {
		return 0
	}
	v, ok := get[string](t, key, "a text")
	i := slices.Index(words, v)
	if ok && i < 0 {
		t.wrong(key, "%q is none of %s", v, strings.Join(words, ", "))
	}
	return max(i, 0)
}

// integer reads a whole number within bounds.
func (t table) integer(key string, missing, least, most int64) int64 {
	v, ok := get[int64](t, key, "a whole number")
	if !ok {
		return missing
	}
	return within(t, key, v, missing, least, most)
}

// within gives a value that is within bounds; another one, or none, is wrong.
func within[T cmp.Ordered](t table, key string, v, missing, least, most T) T {
	if !(v >= least && v <= most) { // also of no number
		t.wrong(key, "%v is not within %v and %v", v, least, most)
		return missing
	}
	return v
}

// number reads a number, whole or not, within bounds.
func (t table) number(key string, missing, least, most float64) float64 {
	n := t.node.table[key]
	if n == nil {
		return missing
	}
	n.read = true
	v, ok := n.value.(float64)
	if i, whole := n.value.(int64); whole {
		v, ok = float64(i), true
	}
	if !ok {
		t.wrong(key, "it has to be a number")
		return missing
	}
	return within(t, key, v, missing, least, most)
}

// span reads a time such as "250ms" within bounds.
func (t table) span(key string, missing, least, most time.Duration) time.Duration {
	s, ok := get[string](t, key, `a time such as "250ms"`)
	if !ok {
		return missing
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.wrong(key, `%q is no time such as "250ms"`, s)
		return missing
	}
	return within(t, key, d, missing, least, most)
}

var sizes = []struct {
	unit string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// size reads bytes: a whole number or a text such as "16MiB".
func (t table) size(key string, missing, least, most int64) int64 {
	n := t.node.table[key]
	if n == nil {
		return missing
	}
	n.read = true
	v, ok := n.value.(int64)
	if s, isText := n.value.(string); isText {
		for _, u := range sizes {
			if digits, has := strings.CutSuffix(s, u.unit); has {
				i, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
				if ok = err == nil && i >= 0 && i <= math.MaxInt64/u.size; ok {
					v = i * u.size
				}
				break
			}
		}
	}
	if !ok {
		t.wrong(key, `it has to be a number of bytes or a size such as "16MiB"`)
		return missing
	}
	if v < least || v > most {
		t.wrong(key, "%d bytes are not within %d and %d", v, least, most)
		return missing
	}
	return v
}

// texts reads a list of texts, none twice.
func (t table) texts(key string) []string {
	var all []string
	for i, n := range t.list(key) {
		v, ok := n.value.(string)
		if !ok {
			t.f.wrong(n.line, t.at(key), "item %d has to be a text", i+1)
			continue
		}
		if slices.Contains(all, v) {
			t.f.wrong(n.line, t.at(key), "%q is given twice", v)
		}
		all = append(all, v)
	}
	return all
}

func (t table) list(key string) []*node {
	n := t.node.table[key]
	if n == nil {
		return nil
	}
	n.read = true
	if !n.isList {
		t.wrong(key, "it has to be a list")
	}
	return n.array
}

// tables reads a list of tables.
func (t table) tables(key string) []table {
	var all []table
	for i, n := range t.list(key) {
		path := fmt.Sprintf("%s[%d]", t.at(key), i+1)
		if n.table == nil {
			t.f.wrong(n.line, path, "it has to be a table")
			continue
		}
		all = append(all, table{t.f, n, path})
	}
	return all
}

// sub reads a table; one that is not given is empty.
func (t table) sub(key string) table {
	n := t.node.table[key]
	if n == nil {
		return table{t.f, &node{line: t.node.line, table: map[string]*node{}}, t.at(key)}
	}
	n.read = true
	if n.table == nil {
		t.wrong(key, "it has to be a table")
		n = &node{line: n.line, table: map[string]*node{}}
	}
	return table{t.f, n, t.at(key)}
}

// named reads the tables in a table, by line.
func (t table) named(key string) (names []string, each []table) {
	in := t.sub(key)
	for name := range in.node.table {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := in.node.table[names[i]], in.node.table[names[j]]
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(names[i], names[j])) < 0
	})
	for _, name := range names {
		each = append(each, in.sub(name))
	}
	return names, each
}

// done says which keys of the table nobody has read.
func (t table) done() {
	for key, n := range t.node.table {
		if !n.read {
			t.f.wrong(n.line, t.at(key), "unknown key")
		}
	}
}
