package tree

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// RemovedKeys is the key of a change that lists what it leaves out of the base, each a dotted key; a table
// of a named list is its key and name.
const RemovedKeys = "without"

// MergeOver gives what a change makes of a base, as one document: tables are merged by key; of the top
// level's lists in named, tables are put in place of those of the same name, or come after the others;
// any other value of the change stands in place of the base's. Each value keeps the file and line that
// it was read at, and is as if nobody had read it. Neither of the two is changed.
func (t Table) MergeOver(base Table, named ...string) Table {
	root := base.node.clone()
	for _, key := range t.Texts(RemovedKeys) {
		if !remove(root, key, named) {
			t.Errorf(RemovedKeys, "%q is not in the base", key)
		}
	}
	change := t.node.clone()
	delete(change.table, RemovedKeys)
	for _, key := range named {
		if c, b := change.table[key], root.table[key]; c != nil && b != nil && c.isList && b.isList {
			b.array = mergeByName(b.array, c.array)
			delete(change.table, key)
		}
	}
	merge(root, change)
	return Table{t.reading, root, ""}
}

func (n *Node) clone() *Node {
	c := *n
	c.read, c.merged, c.array, c.table = false, true, nil, nil
	for _, item := range n.array {
		c.array = append(c.array, item.clone())
	}
	if n.table != nil {
		c.table = make(map[string]*Node, len(n.table))
		for key, in := range n.table {
			c.table[key] = in.clone()
		}
	}
	return &c
}

// remove takes a key out, if it is there.
func remove(root *Node, key string, named []string) bool {
	first, rest, _ := strings.Cut(key, ".")
	if in := root.table[first]; in != nil && slices.Contains(named, first) {
		i := slices.IndexFunc(in.array, func(n *Node) bool { return n.name() == rest })
		if rest == "" || i < 0 {
			return false
		}
		in.array = slices.Delete(in.array, i, i+1)
		return true
	}
	at, last := root, first
	for rest != "" {
		if at = at.table[last]; at == nil || at.table == nil {
			return false
		}
		last, rest, _ = strings.Cut(rest, ".")
	}
	if at.table[last] == nil {
		return false
	}
	delete(at.table, last)
	return true
}

func (n *Node) name() string {
	if in := n.table["name"]; in != nil {
		s, _ := in.value.(string)
		return s
	}
	return ""
}

func mergeByName(base, change []*Node) []*Node {
	place := make(map[string]int, len(base))
	for i, n := range base {
		if name := n.name(); name != "" {
			place[name] = i
		}
	}
	for _, n := range change {
		if i, ok := place[n.name()]; ok {
			base[i] = n
		} else {
			base = append(base, n)
		}
	}
	return base
}

func merge(base, change *Node) {
	for key, c := range change.table {
		if b := base.table[key]; b != nil && b.table != nil && c.table != nil {
			merge(b, c)
			b.file, b.line = c.file, c.line
		} else {
			base.table[key] = c
		}
	}
}

// Text writes the document as TOML, with sorted keys: the same for documents that say the same.
func (t Table) Text() ([]byte, error) {
	raw, err := toml.Marshal(t.node.plainValue())
	if err != nil {
		return nil, fmt.Errorf("writing a document: %w", err)
	}
	return raw, nil
}

// plainValue is the node as a library writes it.
func (n *Node) plainValue() any {
	switch {
	case n.table != nil:
		m := make(map[string]any, len(n.table))
		for key, in := range n.table {
			m[key] = in.plainValue()
		}
		return m
	case n.isList:
		all := make([]any, len(n.array))
		for i, item := range n.array {
			all[i] = item.plainValue()
		}
		return all
	case n.value == unsupported{}:
		return "" // no key of ours is a time: reading has told it
	}
	return n.value
}
