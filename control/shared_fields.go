package control

import "reflect"

// sharedFields copies the fields that one stored form has in common with another: those of the same name and type. The
// forms have other keys and another order of fields, which are fixed, so that Go can't convert one into the other.
type sharedFields[From, To any] struct{ pairs []fieldPair }

// fieldPair is one such field, by its indexes in both forms.
type fieldPair struct{ from, to int }

func newSharedFields[From, To any]() sharedFields[From, To] {
	from := reflect.TypeFor[From]()
	to := reflect.TypeFor[To]()
	var shared sharedFields[From, To]
	for i := range from.NumField() {
		field := from.Field(i)
		target, ok := to.FieldByName(field.Name)
		if ok && target.Type == field.Type {
			shared.pairs = append(shared.pairs, fieldPair{from: i, to: target.Index[0]})
		}
	}
	return shared
}

func (s *sharedFields[From, To]) copy(to *To, from *From) {
	target := reflect.ValueOf(to).Elem()
	source := reflect.ValueOf(from).Elem()
	for _, pair := range s.pairs {
		target.Field(pair.to).Set(source.Field(pair.from))
	}
}
