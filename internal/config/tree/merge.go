package tree

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// RemovedKeys is the key under which a change lists the dotted keys to remove from the base. A table in a list
// of named tables is given by the list's key and the table's name, such as "routes.old".
const RemovedKeys = "without"

// MergeOver returns the base with the change t applied to it, as one document. Tables are merged by key. In the
// top-level lists whose keys are in named, a table of the change replaces the base's table with the same name,
// or is appended if there is none. Any other value of the change replaces the base's. Values keep their file
// and line, and all keys are marked as unread. Neither document is modified.
func (t Table) MergeOver(base Table, named ...string) Table {
	root := base.node.clone()
	for _, key := range t.Strings(RemovedKeys) {
		if !remove(root, key, named) {
			t.Errorf(RemovedKeys, "%q is not in the base", key)
		}
	}
	change := t.node.clone()
	delete(change.table, RemovedKeys)
	for _, key := range named {
		changed, inBase := change.table[key], root.table[key]
		areLists := changed != nil && inBase != nil && changed.isList && inBase.isList
		if areLists {
			inBase.array = mergeByName(inBase.array, changed.array)
			delete(change.table, key)
		}
	}
	merge(root, change)
	return Table{t.reading, root, ""}
}

func (n *Node) clone() *Node {
	c := *n
	c.isRead = false
	c.isMerged = true
	c.array = nil
	c.table = nil
	for _, item := range n.array {
		c.array = append(c.array, item.clone())
	}
	if n.table != nil {
		c.table = make(map[string]*Node, len(n.table))
		for key, child := range n.table {
			c.table[key] = child.clone()
		}
	}
	return &c
}

// remove removes a dotted key and reports whether it was present.
func remove(root *Node, key string, named []string) bool {
	first, rest, _ := strings.Cut(key, ".")
	if list := root.table[first]; list != nil && slices.Contains(named, first) {
		i := slices.IndexFunc(list.array, func(n *Node) bool { return n.name() == rest })
		if rest == "" || i < 0 {
			return false
		}
		list.array = slices.Delete(list.array, i, i+1)
		return true
	}
	node, last := root, first
	for rest != "" {
		if node = node.table[last]; node == nil || node.table == nil {
			return false
		}
		last, rest, _ = strings.Cut(rest, ".")
	}
	if node.table[last] == nil {
		return false
	}
	delete(node.table, last)
	return true
}

func (n *Node) name() string {
	if nameNode := n.table["name"]; nameNode != nil {
		s, _ := nameNode.value.(string)
		return s
	}
	return ""
}

func mergeByName(base, change []*Node) []*Node {
	indexByName := make(map[string]int, len(base))
	for i, n := range base {
		if name := n.name(); name != "" {
			indexByName[name] = i
		}
	}
	for _, n := range change {
		if i, ok := indexByName[n.name()]; ok {
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

// Text returns the document as TOML with sorted keys, so that equal documents have equal texts.
func (t Table) Text() ([]byte, error) {
	raw, err := toml.Marshal(t.node.plainValue())
	if err != nil {
		return nil, fmt.Errorf("writing a document: %w", err)
	}
	return raw, nil
}

// plainValue returns the node's value in a type that the TOML library can encode.
func (n *Node) plainValue() any {
	switch {
	case n.table != nil:
		m := make(map[string]any, len(n.table))
		for key, child := range n.table {
			m[key] = child.plainValue()
		}
		return m
	case n.isList:
		all := make([]any, len(n.array))
		for i, item := range n.array {
			all[i] = item.plainValue()
		}
		return all
	case n.value == unsupported{}:
		return "" // no key accepts a time, so reading it has recorded an error
	}
	return n.value
}
