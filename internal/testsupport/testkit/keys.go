package testkit

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// marshalers lists, by format, the methods with which a type encodes itself. The fields of such a type need no keys.
var marshalers = map[string][]string{
	"cbor": {"MarshalCBOR", "MarshalBinary"},
	"json": {"MarshalJSON", "MarshalText"},
	"toml": {"MarshalText"},
}

// RequireKeys fails a test if an encoded type has an exported field without a key in its tag for the format ("cbor", "json"
// or "toml"): renaming the field would change the stored or sent encoding. roots are values of the types that are passed
// to the encoder or decoder. All types reachable from them through pointers, slices, arrays, maps, nested and embedded
// structs are checked too.
func RequireKeys(t testing.TB, format string, roots ...any) {
	t.Helper()
	for _, missing := range MissingKeys(format, roots...) {
		t.Errorf("%s", missing)
	}
}

// MissingKeys returns a sorted description of each field for which RequireKeys fails.
func MissingKeys(format string, roots ...any) []string {
	w := keyChecker{format: format, visited: make(map[reflect.Type]bool)}
	for _, root := range roots {
		w.visit(reflect.TypeOf(root), fmt.Sprintf("%T", root))
	}
	slices.Sort(w.missing)
	return w.missing
}

// keyChecker collects the fields without keys, visiting each type once.
type keyChecker struct {
	format  string
	visited map[reflect.Type]bool
	missing []string
}

func (w *keyChecker) visit(t reflect.Type, path string) {
	if w.visited[t] || w.encodesItself(t) {
		return
	}
	w.visited[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		w.visit(t.Elem(), path)
	case reflect.Map:
		w.visit(t.Key(), path)
		w.visit(t.Elem(), path)
	case reflect.Struct:
		w.fields(t)
	case reflect.Interface:
		w.missing = append(w.missing, fmt.Sprintf("%s is of type %v, whose concrete types are unknown: list them as roots", path, t))
	}
}

func (w *keyChecker) encodesItself(t reflect.Type) bool {
	if t.Kind() == reflect.Interface {
		return false
	}
	for _, method := range marshalers[w.format] {
		if _, ok := reflect.PointerTo(t).MethodByName(method); ok {
			return true
		}
	}
	return false
}

func (w *keyChecker) fields(t reflect.Type) {
	array := isEncodedAsArray(t, w.format)
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get(w.format)
		key, _, _ := strings.Cut(tag, ",")
		path := fmt.Sprintf("%v.%s", t, f.Name)
		switch {
		case tag == "-":
			continue
		case f.Anonymous && key == "":
			// The fields of an embedded struct are encoded as fields of the outer struct.
		case !f.IsExported():
			continue
		case key == "" && !array:
			w.missing = append(w.missing, fmt.Sprintf("%s has no key in a %s tag", path, w.format))
		}
		w.visit(f.Type, path)
	}
}

// isEncodedAsArray reports whether a struct is encoded as an array of its fields, without keys.
func isEncodedAsArray(t reflect.Type, format string) bool {
	f, ok := t.FieldByName("_")
	return ok && strings.Contains(f.Tag.Get(format), ",toarray")
}
