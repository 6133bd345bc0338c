package testkit

import (
	"slices"
	"testing"
	"time"
)

type tagged struct {
	Name  string `json:"name"`
	Other string // has no tag, so it is reported
	local int    //nolint:unused // unexported, so no encoder writes it
	Skip  int    `json:"-"`
	When  time.Time
}

type positional struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Kind nested
}

type nested struct{ Depth int }

type outer struct {
	tagged
	Lists map[string][]*nested `json:"lists"`
	Any   any                  `json:"any"`
	Empty int                  `json:",omitempty"`
}

// A field without a key is found in every position from which an encoder can reach it.
func TestMissingKeys(t *testing.T) {
	for _, c := range []struct {
		format string
		root   any
		want   []string
	}{
		{"json", &outer{}, []string{
			"testkit.nested.Depth has no key in a json tag",
			"testkit.outer.Any is of type interface {}, whose concrete types are unknown: list them as roots",
			"testkit.outer.Empty has no key in a json tag",
			"testkit.tagged.Other has no key in a json tag",
			"testkit.tagged.When has no key in a json tag",
		}},
		{"cbor", []positional{}, []string{"testkit.nested.Depth has no key in a cbor tag"}},
		{"json", map[string]time.Time{}, nil},
	} {
		if got := MissingKeys(c.format, c.root); !slices.Equal(got, c.want) {
			t.Errorf("%s of %T: got %q, want %q", c.format, c.root, got, c.want)
		}
	}
}
