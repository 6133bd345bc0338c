package route

import (
	"strconv"
	"strings"
	"testing"
)

func TestSplitTarget(t *testing.T) {
	for in, want := range map[string]string{
		"/a?b=/c":               " /a",
		"/":                     " /",
		"http://h:80/a":         "h:80 /a",
		"HTTPS://h/a?x":         "h /a",
		"http://h":              "h /",
		"http://h?x":            "h /",
		"*":                     "no",
		"h:443":                 "no",
		"ftp://h/a":             "no",
		"http:///a":             "no",
		"":                      "no",
		"//h/a":                 " //h/a",
		"/a?http://evil.test/b": " /a",
	} {
		authority, path, err := SplitTarget(in)
		if got := authority + " " + path; err == nil && got != want || err != nil && want != "no" {
			t.Errorf("%q: got %q, error %v", in, got, err)
		}
	}
}

func TestCanonicalHost(t *testing.T) {
	for in, want := range map[string]string{
		"": "", "a.example": "a.example", "A.Example:8080": "a.example", "a.example.": "a.example",
		"a.example.:80": "a.example", "a:": "a", "127.0.0.1:9": "127.0.0.1", "[::1]:9": "[::1]", "[FE80::1]": "[fe80::1]",
		"a..b": "no", ".a": "no", ".": "no", "a:x": "no", "a:1:2": "no", "u@a": "no", "a/b": "no", "a b": "no",
		"[::1": "no", "[::1]x": "no", "[a]b:1": "no", ":80": "no", "a:123456": "no", "a%2eb": "no", "ä": "no",
		strings.Repeat("a", 256): "no",
	} {
		if got, err := CanonicalHost(in); err == nil && got != want || err != nil && want != "no" {
			t.Errorf("%q: got %q, error %v", in, got, err)
		}
	}
}

func TestCanonicalPath(t *testing.T) {
	for in, want := range map[string]string{
		"/": "/", "/a": "/a", "/a/": "/a/", "/A": "/A", "/%41%7e": "/A~", "/a%20b": "/a%20b", "/%c3%a4": "/%C3%A4",
		"/a;v=1/b": "/a/b", "/a;x=%2e": "/a", "/a%3Bb": "/a%3Bb", "/...": "/...", "/.a": "/.a", "/a%25b": "/a%25b",
		"/a%2Fb": "no", "/a%2fb": "no", "/a\\b": "no", "/a%5cb": "no", "/.": "no", "/a/..": "no", "/a/./b": "no",
		"/%2e%2e/b": "no", "/.%2E": "no", "/..;x/b": "no", "/a//b": "no", "//": "no", "/;x/b": "no", "/a%": "no",
		"/a%2": "no", "/a%zz": "no", "/a%00": "no", "/a\x00": "no", "/a b": "no", "/\xc3": "no", "/a#b": "no", "": "no", "a": "no",
		"/a;%2f": "no", "/%7f": "no",
	} {
		got, err := CanonicalPath(in)
		if err == nil && got != want || err != nil && want != "no" {
			t.Errorf("%q: got %q, error %v, want %q", in, got, err, want)
		}
		if err == nil {
			if repeated, err := CanonicalPath(got); err != nil || repeated != got {
				t.Errorf("%q: canonical form %q has canonical form %q, error %v", in, got, repeated, err)
			}
		}
	}
}

// FuzzCanonicalPath checks that a canonical path is its own canonical form, and that a server that decodes the path before it
// splits it gets the same segments.
func FuzzCanonicalPath(f *testing.F) {
	for _, s := range []string{"/a/%2e%2e/b", "/a%2fb", "/a;x/../b", "/%41", "//", "/a%25%32%66"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := CanonicalPath(raw)
		if err != nil {
			return
		}
		if repeated, err := CanonicalPath(got); err != nil || repeated != got {
			t.Fatalf("%q: canonical form %q has canonical form %q, error %v", raw, got, repeated, err)
		}
		for i, s := range strings.Split(got, "/") {
			decoded := s
			if d, err := unescape(s); err == nil {
				decoded = d
			}
			last := i == strings.Count(got, "/")
			if decoded == "." || decoded == ".." || strings.ContainsAny(decoded, "/\\") || s == "" && i > 0 && !last {
				t.Fatalf("%q: invalid segment %q in canonical form %q", raw, s, got)
			}
		}
	})
}

func unescape(s string) (string, error) {
	var out []byte
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			v, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
			if err != nil {
				return "", err
			}
			out, i = append(out, byte(v)), i+2
			continue
		}
		out = append(out, s[i])
	}
	return string(out), nil
}
