package tree

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Table reads a table key by key and notes which were read.
type Table struct {
	reading *Reading
	node    *Node
	path    string // dotted; "" is the document
}

// Node is where it stands.
func (t Table) Node() *Node { return t.node }

// Path is a key of the table's, dotted.
func (t Table) Path(key string) string { return strings.TrimPrefix(t.path+"."+key, ".") }

// Errorf says what is wrong with a key; where it is not given, the table's line is told. The key "" is
// the table itself.
func (t Table) Errorf(key, format string, args ...any) {
	n := t.node
	if in := t.node.table[key]; in != nil {
		n = in
	}
	t.ItemErrorf(n, key, format, args...)
}

// ItemErrorf says what is wrong with an item of a key's list.
func (t Table) ItemErrorf(n *Node, key, format string, args ...any) {
	at := t.path
	if key != "" {
		at = t.Path(key)
	}
	t.reading.Errorf(n.file, n.line, at, format, args...)
}

// Has tells whether a key is given.
func (t Table) Has(key string) bool { return t.node.table[key] != nil }

// get is a key's value, if it is given; one of another type is wrong.
func get[T any](t Table, key, want string) (v T, ok bool) {
	n := t.node.table[key]
	if n == nil {
		return v, false
	}
	n.read = true
	if v, ok = n.value.(T); !ok {
		t.Errorf(key, "it has to be %s", want)
	}
	return v, ok
}

// String reads a text.
func (t Table) String(key, missing string) string {
	if v, ok := get[string](t, key, "a text"); ok {
		return v
	}
	return missing
}

// Bool reads true or false.
func (t Table) Bool(key string, missing bool) bool {
	if v, ok := get[bool](t, key, "true or false"); ok {
		return v
	}
	return missing
}

// OneOf reads one of some words and gives its place among them.
func (t Table) OneOf(key string, words ...string) int {
	if !t.Has(key) {
		return 0
	}
	v, ok := get[string](t, key, "a text")
	i := slices.Index(words, v)
	if ok && i < 0 {
		t.Errorf(key, "%q is none of %s", v, strings.Join(words, ", "))
	}
	return max(i, 0)
}

// Integer reads a whole number within bounds.
func (t Table) Integer(key string, missing, lower, upper int64) int64 {
	v, ok := get[int64](t, key, "a whole number")
	if !ok {
		return missing
	}
	return bounded(t, key, v, missing, lower, upper)
}

// bounded gives a value that is within bounds; another one, or none, is wrong.
func bounded[T cmp.Ordered](t Table, key string, v, missing, lower, upper T) T {
	if !(v >= lower && v <= upper) { // also of no number
		t.Errorf(key, "%v is not within %v and %v", v, lower, upper)
		return missing
	}
	return v
}

// Number reads a number, whole or not, within bounds.
func (t Table) Number(key string, missing, lower, upper float64) float64 {
	n := t.node.table[key]
	if n == nil {
		return missing
	}
	n.read = true
	v, ok := n.value.(float64)
	if i, isInteger := n.value.(int64); isInteger {
		v, ok = float64(i), true
	}
	if !ok {
		t.Errorf(key, "it has to be a number")
		return missing
	}
	return bounded(t, key, v, missing, lower, upper)
}

// Duration reads a time such as "250ms" within bounds.
func (t Table) Duration(key string, missing, lower, upper time.Duration) time.Duration {
	s, ok := get[string](t, key, `a time such as "250ms"`)
	if !ok {
		return missing
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Errorf(key, `%q is no time such as "250ms"`, s)
		return missing
	}
	return bounded(t, key, d, missing, lower, upper)
}

var sizes = []struct {
	unit string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Size reads bytes: a whole number or a text such as "16MiB".
func (t Table) Size(key string, missing, lower, upper int64) int64 {
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
		t.Errorf(key, `it has to be a number of bytes or a size such as "16MiB"`)
		return missing
	}
	if v < lower || v > upper {
		t.Errorf(key, "%d bytes are not within %d and %d", v, lower, upper)
		return missing
	}
	return v
}

// Texts reads a list of texts, none twice.
func (t Table) Texts(key string) []string {
	var all []string
	for i, n := range t.List(key) {
		v, ok := n.value.(string)
		if !ok {
			t.ItemErrorf(n, key, "item %d has to be a text", i+1)
			continue
		}
		if slices.Contains(all, v) {
			t.ItemErrorf(n, key, "%q is given twice", v)
		}
		all = append(all, v)
	}
	return all
}

// List reads a list.
func (t Table) List(key string) []*Node {
	n := t.node.table[key]
	if n == nil {
		return nil
	}
	n.read = true
	if !n.isList {
		t.Errorf(key, "it has to be a list")
	}
	return n.array
}

// Tables reads a list of tables.
func (t Table) Tables(key string) []Table {
	var all []Table
	for i, n := range t.List(key) {
		if item, ok := t.Item(n, key, i); ok {
			all = append(all, item)
		}
	}
	return all
}

// Sub reads a table; one that is not given is empty.
func (t Table) Sub(key string) Table {
	n := t.node.table[key]
	if n == nil {
		return Table{t.reading, &Node{file: t.node.file, line: t.node.line, table: map[string]*Node{}}, t.Path(key)}
	}
	n.read = true
	if n.table == nil {
		t.Errorf(key, "it has to be a table")
		n = &Node{file: n.file, line: n.line, table: map[string]*Node{}}
	}
	return Table{t.reading, n, t.Path(key)}
}

// NamedTables reads the tables in a table, by line; those of merged documents by name.
func (t Table) NamedTables(key string) (names []string, each []Table) {
	in := t.Sub(key)
	for name := range in.node.table {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := in.node.table[names[i]], in.node.table[names[j]]
		if in.node.merged {
			return names[i] < names[j]
		}
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(names[i], names[j])) < 0
	})
	for _, name := range names {
		each = append(each, in.Sub(name))
	}
	return names, each
}

// Done says which keys of the table nobody has read.
func (t Table) Done() {
	for key, n := range t.node.table {
		if !n.read {
			t.ItemErrorf(n, key, "unknown key")
		}
	}
}

// Value is a key's value, of whatever type it is; nil where it is not given, or a table or a list.
func (t Table) Value(key string) any {
	n := t.node.table[key]
	if n == nil {
		return nil
	}
	n.read = true
	return n.value
}

// Item is an item of a key's list, read as a table.
func (t Table) Item(n *Node, key string, i int) (item Table, ok bool) {
	path := fmt.Sprintf("%s[%d]", t.Path(key), i+1)
	if n.table == nil {
		t.reading.Errorf(n.file, n.line, path, "it has to be a table")
	}
	return Table{t.reading, n, path}, n.table != nil
}

// Empty is a document of the same reading that says nothing.
func (t Table) Empty() Table {
	return Table{t.reading, &Node{file: t.node.file, line: 1, table: map[string]*Node{}}, ""}
}
