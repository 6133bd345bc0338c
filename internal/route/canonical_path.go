package route

import (
	"errors"
	"fmt"
	"strings"
)

// Errors for a malformed or ambiguous request target or host. All are client errors.
var (
	errNoPath       = errors.New("the target is no path")
	errInvalidByte  = errors.New("a byte that no path may hold")
	errEncoding     = errors.New("a % with no two hex digits behind it")
	errEncodedSlash = errors.New("an encoded slash or a backslash")
	errDotSegment   = errors.New("a dot segment")
	errEmptySegment = errors.New("an empty segment")
	errAuthority    = errors.New("the authority is no host with an optional port")
)

// SplitTarget splits a request target (RFC 9112, 3.2) into its authority and its raw path without the
// query. The authority is empty unless the target has the absolute form; otherwise it takes precedence
// over the Host header (3.2.2). Targets without a path, in authority or asterisk form, are errors.
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

// CanonicalPath returns the form of a raw path that routes are matched against. Encoded unreserved
// characters are decoded and other encodings are in upper case (RFC 3986, 6.2.2); parameters of a segment,
// from its first ';', are removed. The case of letters and a trailing slash are kept.
//
// The raw path is forwarded unchanged, so a path that a server could read differently is an error: one with
// an encoded slash, a backslash, a dot segment in any spelling, or an empty segment.
func CanonicalPath(raw string) (string, error) {
	if raw == "" || raw[0] != '/' {
		return "", errNoPath
	}
	isCanonical := true // nothing has to be decoded or removed
	for i := range len(raw) {
		switch b := raw[i]; {
		case b == '%' || b == ';':
			isCanonical = false
		case b == '\\':
			return "", errEncodedSlash
		case b <= ' ' || b >= 0x7f || b == '#':
			return "", errInvalidByte
		case b == '/' && i > 0 && raw[i-1] == '/':
			return "", errEmptySegment
		}
	}
	path := raw
	if !isCanonical {
		var err error
		if path, err = decodePath(raw); err != nil {
			return "", err
		}
	}
	return path, checkSegments(path)
}

// checkSegments rejects dot segments, and empty segments that result from the removal of parameters.
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

// decodePath decodes the unreserved characters of a raw path and removes the parameters of its segments.
func decodePath(raw string) (string, error) {
	const upperHexDigits = "0123456789ABCDEF"
	out := make([]byte, 0, len(raw))
	inParameters := false // whether the position is in the parameters of a segment
	for i := 0; i < len(raw); i++ {
		b := raw[i]
		switch b {
		case '/':
			inParameters = false
		case ';':
			inParameters = true
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
			case inParameters:
			case isUnreserved(v):
				out = append(out, v)
			default:
				out = append(out, '%', upperHexDigits[v>>4], upperHexDigits[v&15])
			}
			continue
		}
		if !inParameters {
			out = append(out, b)
		}
	}
	return string(out), nil
}

func isLower(b byte) bool { return 'a' <= b && b <= 'z' }

func isUpper(b byte) bool { return 'A' <= b && b <= 'Z' }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isUnreserved reports whether b is an unreserved character (RFC 3986, 2.3).
func isUnreserved(b byte) bool {
	return isLower(b) || isUpper(b) || isDigit(b) || strings.IndexByte("-._~", b) >= 0
}

// isHexDigit reports whether b is a hexadecimal digit in either case.
func isHexDigit(b byte) bool {
	lower := b | 0x20 // sets the bit that distinguishes lower-case from upper-case letters
	return isDigit(b) || 'a' <= lower && lower <= 'f'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(b byte) byte {
	switch {
	case b <= '9':
		return b - '0'
	case b <= 'F':
		return b - 'A' + 10
	}
	return b - 'a' + 10
}

// FirstSegment returns the first segment of a path.
func FirstSegment(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// checkCanonical rejects a path or host of a rule that is not in canonical form, since requests could never match it.
func checkCanonical(given string, canonicalize func(string) (string, error)) error {
	got, err := canonicalize(given)
	if err != nil {
		return fmt.Errorf("%q: %w", given, err)
	}
	if got != given {
		return fmt.Errorf("%q can never match: requests are matched as %q", given, got)
	}
	return nil
}
