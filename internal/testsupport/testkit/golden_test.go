package testkit

import (
	"strings"
	"testing"
	"time"
)

type stored struct {
	Name  string               `json:"name" cbor:"name"`
	Times map[string]time.Time `json:"times" cbor:"times"`
	Inner *inner               `json:"inner" cbor:"inner"`
	Skip  int                  `json:"-" cbor:"-"`
}

type inner struct {
	Count int8    `json:"count" cbor:"count"`
	Share float64 `json:"share" cbor:"share"`
}

// renamed has the keys of stored with other Go names and in another order, so its sample must be the same.
type renamed struct {
	Nested *struct {
		Part   float64 `json:"share" cbor:"share"`
		Number int8    `json:"count" cbor:"count"`
	} `json:"inner" cbor:"inner"`
	Label string               `json:"name" cbor:"name"`
	At    map[string]time.Time `json:"times" cbor:"times"`
}

func TestSampleFollowsFromKeys(t *testing.T) {
	var a stored
	var b renamed
	Sample("json", &a)
	Sample("json", &b)
	if a.Skip != 0 || a.Name == "" || len(a.Times) != 1 || a.Inner.Count == 0 || a.Inner.Share == 0 {
		t.Errorf("%+v has fields with zero values, or a value for an excluded field", a)
	}
	if a.Name != b.Label || a.Inner.Count != b.Nested.Number || a.Inner.Share != b.Nested.Part {
		t.Errorf("%+v and %+v differ", a, b)
	}
}

// RoundTrip returns an error for an unknown key and for content that decoding drops or changes.
func TestRoundTrip(t *testing.T) {
	var sample stored
	Sample("json", &sample)
	for _, format := range []string{"json", "cbor"} {
		raw, err := encode(format, &sample)
		if err != nil {
			t.Fatal(err)
		}
		if err := RoundTrip(format, raw, new(stored)); err != nil {
			t.Error(err)
		}
		// The replacement has the key's length, so that the CBOR encoding remains well-formed.
		for _, key := range []string{"name", "times", "inner", "count", "share"} {
			other := strings.Replace(string(raw), key, strings.Repeat("x", len(key)), 1)
			if other == string(raw) {
				t.Fatalf("%s: the sample has no key %s", format, key)
			}
			if RoundTrip(format, []byte(other), new(stored)) == nil {
				t.Errorf("%s: an unknown key in place of %s was accepted", format, key)
			}
		}
	}
	for raw, why := range map[string]string{
		`{"name":"a","times":null,"inner":null}{}`:      "data after the value",
		`{"NAME":"a","times":null,"inner":null}`:        "encoded differently than read",
		`{"name":"a","times":null}`:                     "encoded differently than read",
		`{"name":"a","times":null,"inner":{},"more":1}`: "unknown field",
	} {
		if err := RoundTrip("json", []byte(raw), new(stored)); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%s: got error %v, want one with %q", raw, err, why)
		}
	}
}
