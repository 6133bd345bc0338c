package route

import "strings"

const maxHostBytes = 255 // RFC 1035, 2.3.4

// CanonicalHost returns the form of an authority that routes are matched against: in lower case, without
// port and without a trailing dot. An empty authority stays empty; it matches only rules without a host.
func CanonicalHost(authority string) (string, error) {
	if strings.HasPrefix(authority, "[") {
		return canonicalIPv6Host(authority)
	}
	host, err := cutPort(authority)
	if err != nil {
		return "", err
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > maxHostBytes || host == "" && authority != "" {
		return "", errAuthority
	}
	hasUpper := false
	for i := range len(host) {
		switch b := host[i]; {
		case isLower(b) || isDigit(b) || b == '-' || b == '_':
		case isUpper(b):
			hasUpper = true
		case b == '.' && i > 0 && host[i-1] != '.':
		default:
			return "", errAuthority
		}
	}
	if hasUpper {
		host = strings.ToLower(host)
	}
	return host, nil
}

// canonicalIPv6Host returns a bracketed IPv6 address in lower case and without the port.
func canonicalIPv6Host(authority string) (string, error) {
	end := strings.IndexByte(authority, ']')
	if end < 0 || !isOptionalPort(authority[end+1:]) {
		return "", errAuthority
	}
	for _, b := range []byte(authority[1:end]) {
		if !isHexDigit(b) && b != ':' && b != '.' {
			return "", errAuthority
		}
	}
	return strings.ToLower(authority[:end+1]), nil
}

// cutPort returns an authority without its optional port.
func cutPort(authority string) (string, error) {
	colon := strings.IndexByte(authority, ':')
	if colon < 0 {
		return authority, nil
	}
	if colon == 0 || !isOptionalPort(authority[colon:]) {
		return "", errAuthority
	}
	return authority[:colon], nil
}

// isOptionalPort reports whether s is empty or a colon followed by up to five digits.
func isOptionalPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > len(":65535") {
		return false
	}
	for _, b := range []byte(s[1:]) {
		if !isDigit(b) {
			return false
		}
	}
	return true
}
