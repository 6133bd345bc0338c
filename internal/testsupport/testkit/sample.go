package testkit

import (
	"fmt"
	"hash/crc32"
	"reflect"
	"strings"
	"time"
)

// sampleDepth limits the nesting depth of samples, which is infinite for recursive types.
const sampleDepth = 12

// sampleStart is the earliest time in a sample, in Unix seconds.
const sampleStart = 1_790_000_000

// Sample sets every exported field that the format encodes, in the value that v points to, to a non-zero value. Slices and
// maps get one item. The value of a field depends on the path of keys that leads to it, not on its Go name or position, so
// that the sample of a type does not change when fields are renamed or moved.
func Sample(format string, v any) {
	sampler{format}.fill(reflect.ValueOf(v).Elem(), "", 0)
}

type sampler struct{ format string }

func (s sampler) fill(v reflect.Value, path string, depth int) {
	if depth > sampleDepth {
		return
	}
	n := crc32.ChecksumIEEE([]byte(path))
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(path)
	case reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int, reflect.Int64:
		v.SetInt(int64(n%100) + 1)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint, reflect.Uint64:
		v.SetUint(uint64(n%100) + 1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n%1000) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		s.fill(v.Elem(), path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		s.fill(v.Index(0), path+".0", depth+1)
	case reflect.Array:
		for i := range v.Len() {
			s.fill(v.Index(i), fmt.Sprintf("%s.%d", path, i), depth+1)
		}
	case reflect.Map:
		key, item := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		s.fill(key, path+".key", depth+1)
		s.fill(item, path+".item", depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, item)
	case reflect.Struct:
		s.fields(v, path, depth)
	}
}

func (s sampler) fields(v reflect.Value, path string, depth int) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		seconds := int64(crc32.ChecksumIEEE([]byte(path)) % 1_000_000)
		v.Set(reflect.ValueOf(time.Unix(sampleStart+seconds, 0).UTC()))
		return
	}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key, _, _ := strings.Cut(f.Tag.Get(s.format), ",")
		switch {
		case key == "-":
		case f.Anonymous && key == "":
			s.fill(v.Field(i), path, depth+1)
		case f.IsExported() && key == "":
			s.fill(v.Field(i), path+"."+f.Name, depth+1)
		case f.IsExported():
			s.fill(v.Field(i), path+"."+key, depth+1)
		}
	}
}
