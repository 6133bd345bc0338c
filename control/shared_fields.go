package control

import "reflect"

// sharedFields copies the fields that two stored forms have in common, which are those of the same name and type. The
// forms differ in their keys and the order of their fields, both of which are fixed, so Go cannot convert between them.
type sharedFields[From, To any] struct{ pairs []fieldPair }

// fieldPair is one shared field, given by its indexes in both forms.
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
