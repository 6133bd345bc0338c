package route

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of a target or host that has no single meaning. All are a client's mistake.
var (
	errNoPath       = errors.New("the target is no path")
	errInvalidByte  = errors.New("a byte that no path may hold")
	errEncoding     = errors.New("a % with no two hex digits behind it")
	errEncodedSlash = errors.New("an encoded slash or a backslash")
	errDotSegment   = errors.New("a dot segment")
	errEmptySegment = errors.New("an empty segment")
	errAuthority    = errors.New("the authority is no host with an optional port")
)

const maxHostBytes = 255 // bytes of a host (RFC 1035, 2.3.4)

// SplitTarget takes a request target (RFC 9112, 3.2) apart: its raw path, without the query, and
// for the absolute form its authority, which then goes before the Host header (3.2.2). The
// authority and asterisk forms name no path and are refused.
func SplitTarget(target string) (authority, path string, err error) {
	rest := target
	if !strings.HasPrefix(rest, "/") {
		scheme, after, ok := strings.Cut(rest, "://")
		if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return "", "", errNoPath
		}
		end := strings.IndexAny(after, "/?")
		if end < 0 {
			end = len(after)
		}
		if authority = after[:end]; authority == "" {
			return "", "", errAuthority
		}
		if rest = after[end:]; rest == "" || rest[0] == '?' {
			return authority, "/", nil // RFC 9110, 4.2.3: an empty path is "/"
		}
	}
	path, _, _ = strings.Cut(rest, "?")
	return authority, path, nil
}

// CanonicalHost gives the one form of an authority that routes are matched against: lower case, no
// port, no dot at the end. An empty one stays empty and matches only routes of any host.
func CanonicalHost(authority string) (string, error) {
	h := authority
	if strings.HasPrefix(h, "[") {
		return hostIPv6(h)
	}
	if i := strings.IndexByte(h, ':'); i >= 0 {
		if !isOptionalPort(h[i:]) {
			return "", errAuthority
		}
		if h = h[:i]; h == "" {
			return "", errAuthority
		}
	}
	h = strings.TrimSuffix(h, ".")
	if len(h) > maxHostBytes || h == "" && authority != "" {
		return "", errAuthority
	}
	upper := false
	for i := range len(h) {
		switch b := h[i]; {
		case 'a' <= b && b <= 'z' || '0' <= b && b <= '9' || b == '-' || b == '_':
		case 'A' <= b && b <= 'Z':
			upper = true
		case b == '.' && i > 0 && h[i-1] != '.':
		default:
			return "", errAuthority
		}
	}
	if upper {
		h = strings.ToLower(h)
	}
	return h, nil
}

// hostIPv6 is Host of an IPv6 address, which stands in brackets.
func hostIPv6(h string) (string, error) {
	end := strings.IndexByte(h, ']')
	if end < 0 || !isOptionalPort(h[end+1:]) {
		return "", errAuthority
	}
	for _, b := range []byte(h[1:end]) {
		if !isHexDigit(b) && b != ':' && b != '.' {
			return "", errAuthority
		}
	}
	return strings.ToLower(h[:end+1]), nil
}

// isOptionalPort tells whether what follows a host is nothing or a port.
func isOptionalPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > 6 {
		return false
	}
	for _, b := range []byte(s[1:]) {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// CanonicalPath gives the one form of a raw path that routes are matched against. What a server behind
// could read as another path than this node is an error, as the path goes on unchanged:
// encoded slashes and backslashes, dot segments in any spelling, empty segments. In the form
// encoded unreserved characters are decoded and other encodings are in upper case (RFC 3986,
// 6.2.2), parameters of a segment (from its first ';') are left out, and the case of letters
// and a slash at the end stay.
func CanonicalPath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", errNoPath
	}
	plain := true
	for i := range len(raw) {
		switch b := raw[i]; {
		case b == '%' || b == ';':
			plain = false
		case b == '\\':
			return "", errEncodedSlash
		case b <= ' ' || b >= 0x7f || b == '#':
			return "", errInvalidByte
		case b == '/' && i > 0 && raw[i-1] == '/':
			return "", errEmptySegment
		}
	}
	path := raw
	if !plain {
		var err error
		if path, err = decodePath(raw); err != nil {
			return "", err
		}
	}
	return path, checkSegments(path)
}

// checkSegments looks for dot segments, and for empty ones, that parameters hid.
func checkSegments(path string) error {
	for i := 0; i < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		rest := path[i+1:]
		if strings.HasPrefix(rest, "/") {
			return errEmptySegment
		}
		if !strings.HasPrefix(rest, ".") {
			continue
		}
		if end := strings.IndexByte(rest, '/'); end >= 0 {
			rest = rest[:end]
		}
		if rest == "." || rest == ".." {
			return errDotSegment
		}
	}
	return nil
}

func decodePath(raw string) (string, error) {
	const upper = "0123456789ABCDEF"
	out := make([]byte, 0, len(raw))
	skip := false // in a segment's parameters
	for i := 0; i < len(raw); i++ {
		b := raw[i]
		switch b {
		case '/':
			skip = false
		case ';':
			skip = true
		case '%':
			if i+2 >= len(raw) || !isHexDigit(raw[i+1]) || !isHexDigit(raw[i+2]) {
				return "", errEncoding
			}
			v := hexValue(raw[i+1])<<4 | hexValue(raw[i+2])
			i += 2
			switch {
			case v == '/' || v == '\\':
				return "", errEncodedSlash
			case v < ' ' || v == 0x7f:
				return "", errInvalidByte
			case skip:
			case 'a' <= v && v <= 'z' || 'A' <= v && v <= 'Z' || '0' <= v && v <= '9' ||
				v == '-' || v == '.' || v == '_' || v == '~':
				out = append(out, v)
			default:
				out = append(out, '%', upper[v>>4], upper[v&15])
			}
			continue
		}
		if !skip {
			out = append(out, b)
		}
	}
	return string(out), nil
}

func isHexDigit(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F'
}

func hexValue(b byte) byte {
	switch {
	case b <= '9':
		return b - '0'
	case b <= 'F':
		return b - 'A' + 10
	}
	return b - 'a' + 10
}

// FirstSegment is the first segment of a path in its one form.
func FirstSegment(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// checkCanonical tells whether a path or host of a rule is in its one form already.
func checkCanonical(given string, form func(string) (string, error)) error {
	got, err := form(given)
	if err != nil {
		return fmt.Errorf("%q: %w", given, err)
	}
	if got != given {
		return fmt.Errorf("%q can never match: requests are matched as %q", given, got)
	}
	return nil
}
