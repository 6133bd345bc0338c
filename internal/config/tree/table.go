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

// Table reads a table of a document key by key and records which keys were read. A missing key yields the
// fallback; an invalid value is recorded as an error and yields the fallback too.
type Table struct {
	reading *Reading
	node    *Node
	path    string // dotted; "" is the document
}

// Node returns the table's node.
func (t Table) Node() *Node { return t.node }

// Path returns the dotted path of a key of the table.
func (t Table) Path(key string) string { return strings.TrimPrefix(t.path+"."+key, ".") }

// Errorf records an error for a key, at the key's line or, if the key is missing, at the table's. The key ""
// stands for the table itself.
func (t Table) Errorf(key, format string, args ...any) {
	n := t.node
	if child := t.node.table[key]; child != nil {
		n = child
	}
	t.ItemErrorf(n, key, format, args...)
}

// ItemErrorf records an error for the item n of a key's list, at the item's line.
func (t Table) ItemErrorf(n *Node, key, format string, args ...any) {
	keyPath := t.path
	if key != "" {
		keyPath = t.Path(key)
	}
	t.reading.Errorf(n.file, n.line, keyPath, format, args...)
}

// Has reports whether a key is present.
func (t Table) Has(key string) bool { return t.node.table[key] != nil }

// get returns the value of a key. ok is false if the key is missing or, with an error recorded, of another type.
func get[T any](t Table, key, expected string) (v T, ok bool) {
	n := t.node.table[key]
	if n == nil {
		return v, false
	}
	n.isRead = true
	if v, ok = n.value.(T); !ok {
		t.Errorf(key, "it has to be %s", expected)
	}
	return v, ok
}

// String reads a string. It does not implement fmt.Stringer.
func (t Table) String(key, fallback string) string {
	if v, ok := get[string](t, key, "a text"); ok {
		return v
	}
	return fallback
}

// Bool reads a boolean.
func (t Table) Bool(key string, fallback bool) bool {
	if v, ok := get[bool](t, key, "true or false"); ok {
		return v
	}
	return fallback
}

// OneOf reads one of several allowed strings and returns its index; 0 if the key is missing or invalid.
func (t Table) OneOf(key string, values ...string) int {
	if !t.Has(key) {
		return 0
	}
	v, ok := get[string](t, key, "a text")
	i := slices.Index(values, v)
	if ok && i < 0 {
		t.Errorf(key, "%q is none of %s", v, strings.Join(values, ", "))
	}
	return max(i, 0)
}

// Integer reads an integer between two bounds, inclusive.
func (t Table) Integer(key string, fallback, lower, upper int64) int64 {
	v, ok := get[int64](t, key, "a whole number")
	if !ok {
		return fallback
	}
	return bounded(t, key, v, fallback, lower, upper)
}

// bounded returns v if it is between two bounds, inclusive; otherwise it records an error and returns the
// fallback.
func bounded[T cmp.Ordered](t Table, key string, v, fallback, lower, upper T) T {
	if !(v >= lower && v <= upper) { // negated so that NaN is rejected
		t.Errorf(key, "%v is not within %v and %v", v, lower, upper)
		return fallback
	}
	return v
}

// Number reads a number between two bounds, inclusive.
func (t Table) Number(key string, fallback, lower, upper float64) float64 {
	n := t.node.table[key]
	if n == nil {
		return fallback
	}
	n.isRead = true
	v, ok := n.value.(float64)
	if i, isInteger := n.value.(int64); isInteger {
		v, ok = float64(i), true
	}
	if !ok {
		t.Errorf(key, "it has to be a number")
		return fallback
	}
	return bounded(t, key, v, fallback, lower, upper)
}

// Duration reads a duration such as "250ms" between two bounds, inclusive.
func (t Table) Duration(key string, fallback, lower, upper time.Duration) time.Duration {
	s, ok := get[string](t, key, `a time such as "250ms"`)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Errorf(key, `%q is no time such as "250ms"`, s)
		return fallback
	}
	return bounded(t, key, d, fallback, lower, upper)
}

// sizeUnits are the units of sizes, in bytes. "B" comes last because it is a suffix of the others.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// parseSize parses a size such as "16MiB" and returns it in bytes.
func parseSize(text string) (bytes int64, ok bool) {
	for _, unit := range sizeUnits {
		digits, hasUnit := strings.CutSuffix(text, unit.name)
		if !hasUnit {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count < 0 || count > math.MaxInt64/unit.bytes {
			return 0, false
		}
		return count * unit.bytes, true
	}
	return 0, false
}

// Size reads a number of bytes between two bounds, inclusive: an integer or a string such as "16MiB".
func (t Table) Size(key string, fallback, lower, upper int64) int64 {
	n := t.node.table[key]
	if n == nil {
		return fallback
	}
	n.isRead = true
	v, ok := n.value.(int64)
	if text, isText := n.value.(string); isText {
		v, ok = parseSize(text)
	}
	if !ok {
		t.Errorf(key, `it has to be a number of bytes or a size such as "16MiB"`)
		return fallback
	}
	if v < lower || v > upper {
		t.Errorf(key, "%d bytes are not within %d and %d", v, lower, upper)
		return fallback
	}
	return v
}

// Strings reads a list of distinct strings.
func (t Table) Strings(key string) []string {
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

// List reads a list of values of any type; it is empty if the key is missing.
func (t Table) List(key string) []*Node {
	n := t.node.table[key]
	if n == nil {
		return nil
	}
	n.isRead = true
	if !n.isList {
		t.Errorf(key, "it has to be a list")
	}
	return n.array
}

// Tables reads a list of tables; items of other types are recorded as errors and skipped.
func (t Table) Tables(key string) []Table {
	var all []Table
	for i, n := range t.List(key) {
		if item, ok := t.Item(n, key, i); ok {
			all = append(all, item)
		}
	}
	return all
}

// Sub reads a nested table; it is empty if the key is missing.
func (t Table) Sub(key string) Table {
	n := t.node.table[key]
	if n == nil {
		return Table{t.reading, &Node{file: t.node.file, line: t.node.line, table: map[string]*Node{}}, t.Path(key)}
	}
	n.isRead = true
	if n.table == nil {
		t.Errorf(key, "it has to be a table")
		n = &Node{file: n.file, line: n.line, table: map[string]*Node{}}
	}
	return Table{t.reading, n, t.Path(key)}
}

// NamedTables reads the tables nested in a table, ordered by line or, in a merged document, by name.
func (t Table) NamedTables(key string) (names []string, tables []Table) {
	parent := t.Sub(key)
	for name := range parent.node.table {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := parent.node.table[names[i]], parent.node.table[names[j]]
		if parent.node.isMerged {
			return names[i] < names[j]
		}
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(names[i], names[j])) < 0
	})
	for _, name := range names {
		tables = append(tables, parent.Sub(name))
	}
	return names, tables
}

// ReportUnknownKeys records an error for each key of the table that was not read.
func (t Table) ReportUnknownKeys() {
	for key, n := range t.node.table {
		if !n.isRead {
			t.ItemErrorf(n, key, "unknown key")
		}
	}
}

// Value returns the value of a key, of any scalar type; nil if the key is missing or holds a table or a list.
func (t Table) Value(key string) any {
	n := t.node.table[key]
	if n == nil {
		return nil
	}
	n.isRead = true
	return n.value
}

// Item reads the i-th item of a key's list as a table.
func (t Table) Item(n *Node, key string, i int) (item Table, ok bool) {
	path := fmt.Sprintf("%s[%d]", t.Path(key), i+1)
	if n.table == nil {
		t.reading.Errorf(n.file, n.line, path, "it has to be a table")
	}
	return Table{t.reading, n, path}, n.table != nil
}

// Empty returns an empty document that records its errors in the same Reading.
func (t Table) Empty() Table {
	return Table{t.reading, &Node{file: t.node.file, line: 1, table: map[string]*Node{}}, ""}
}
