// Package hopheaders says which fields of a message go on and which an intermediary sets, drops or
// replaces (RFC 9110, 7.6; RFC 7239). It does no I/O.
package hopheaders

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"slices"
	"strings"

	"lockflow/internal/protocol"
)

// Alias is how this intermediary calls itself in Via.
const Alias = "lockflow"

// ForwardingFormat is how servers are told of the client.
type ForwardingFormat int

// The ways.
const (
	XForwarded ForwardingFormat = iota // X-Forwarded-For, -Host and -Proto
	Forwarded                          // RFC 7239
	Both
	None // and what a client says of it is dropped
)

// Peer is whom a request comes from.
type Peer struct {
	Addr      netip.Addr // of the connection
	IsTrusted bool       // what it says of those before it is believed
	Host      string     // that it asked for
	Proto     string     // "http" or "https"
}

// DropNamed drops what the Connection field of in names as further fields of that connection.
func DropNamed(out, in http.Header) {
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
}

// dropConnectionFields drops what speaks of one connection only, and what Connection names.
func dropConnectionFields(out, in http.Header) {
	DropNamed(out, in)
	for k := range out {
		if protocol.IsHopHeader(k) || k == "Proxy-Authenticate" || k == "Proxy-Authorization" {
			delete(out, k)
		}
	}
}

// ForwardRequest gives the fields of a client's request as they go on. Values are shared with in; those
// that are set are not.
func ForwardRequest(in http.Header, from Peer, format ForwardingFormat, underscores bool) http.Header {
	out := make(http.Header, len(in)+5)
	for k, v := range in {
		// Guards against two names that a server which turns fields into variables takes for one.
		if underscores || strings.IndexByte(k, '_') < 0 {
			out[k] = v
		}
	}
	dropConnectionFields(out, in)
	// RFC 9110, 10.1.4: of TE only that trailers are understood can go on.
	for _, v := range in["Te"] {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), "trailers") {
				out["Te"] = []string{"trailers"}
			}
		}
	}
	addVia(out, in)
	addForwarding(out, from, format)
	return out
}

// ForwardAnswer copies the fields of a server's answer that go on to a client.
func ForwardAnswer(out, in http.Header) {
	for k, v := range in {
		out[k] = v
	}
	dropConnectionFields(out, in)
	addVia(out, in)
}

// addVia adds this intermediary; both sides of it speak HTTP/1.1.
func addVia(out, in http.Header) {
	v := in["Via"]
	out["Via"] = append(v[:len(v):len(v)], "1.1 "+Alias)
}

var forwardingFields = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded"}

// addForwarding says who the client is. What a peer that is not trusted says of it is replaced.
func addForwarding(out http.Header, from Peer, format ForwardingFormat) {
	if !from.IsTrusted || format == None {
		for _, name := range forwardingFields {
			delete(out, name)
		}
		if format == None {
			return
		}
	}
	addr := from.Addr.Unmap().WithZone("").String()
	if format != Forwarded {
		before := out["X-Forwarded-For"]
		if len(before) > 0 {
			out["X-Forwarded-For"] = []string{strings.Join(before, ", ") + ", " + addr}
		} else {
			out["X-Forwarded-For"] = []string{addr}
		}
		if len(out["X-Forwarded-Host"]) == 0 && from.Host != "" {
			out["X-Forwarded-Host"] = []string{from.Host}
		}
		if len(out["X-Forwarded-Proto"]) == 0 {
			out["X-Forwarded-Proto"] = []string{from.Proto}
		}
	}
	if format != XForwarded {
		node := addr
		if from.Addr.Unmap().Is6() {
			node = `"[` + addr + `]"`
		}
		e := "for=" + node + ";proto=" + from.Proto
		if from.Host != "" && !strings.ContainsAny(from.Host, "\"\\") {
			e += `;host="` + from.Host + `"`
		}
		v := out["Forwarded"]
		out["Forwarded"] = append(v[:len(v):len(v)], e)
	}
}

// IsTrusted tells whether an address is within one of some prefixes.
func IsTrusted(addr netip.Addr, prefixes []netip.Prefix) bool {
	addr = addr.Unmap().WithZone("")
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// maxChainLength bounds how far back a chain of proxies is followed.
const maxChainLength = 32

// ClientAddr is the address of the client at the end of the chain that a request tells: from the right
// the first that is no trusted proxy. What a proxy that is not trusted says is not believed; where
// the chain is not to be read, the last trusted one counts.
func ClientAddr(h http.Header, peer netip.Addr, trusted []netip.Prefix) netip.Addr {
	at := peer.Unmap().WithZone("")
	if len(trusted) == 0 || !IsTrusted(at, trusted) {
		return at
	}
	chain := proxyChain(h)
	for i := len(chain) - 1; i >= 0 && i >= len(chain)-maxChainLength; i-- {
		next, ok := parseNode(chain[i])
		if !ok {
			return at
		}
		if at = next; !IsTrusted(at, trusted) {
			return at
		}
	}
	return at
}

// proxyChain is what a request tells of those before the peer, the nearest last. Forwarded goes first.
func proxyChain(h http.Header) []string {
	var chain []string
	if f := h["Forwarded"]; len(f) > 0 {
		for _, line := range f {
			for _, element := range splitUnquoted(line, ',') {
				node := ""
				for _, pair := range splitUnquoted(element, ';') {
					name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
					if strings.EqualFold(name, "for") {
						node = strings.Trim(value, `"`)
					}
				}
				chain = append(chain, node)
			}
		}
		return chain
	}
	for _, line := range h["X-Forwarded-For"] {
		for one := range strings.SplitSeq(line, ",") {
			chain = append(chain, strings.TrimSpace(one))
		}
	}
	return chain
}

// splitUnquoted cuts at a byte that stands outside quotes.
func splitUnquoted(s string, by byte) []string {
	var all []string
	quoted, from := false, 0
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && quoted:
			i++
		case s[i] == '"':
			quoted = !quoted
		case s[i] == by && !quoted:
			all = append(all, s[from:i])
			from = i + 1
		}
	}
	return append(all, s[from:])
}

// parseNode reads a node of RFC 7239, 6: an address with or without a port. One that is obfuscated
// or unknown is none.
func parseNode(s string) (netip.Addr, bool) {
	if a, err := netip.ParseAddr(strings.Trim(s, "[]")); err == nil {
		return a.Unmap().WithZone(""), true
	}
	if a, err := netip.ParseAddrPort(s); err == nil {
		return a.Addr().Unmap().WithZone(""), true
	}
	return netip.Addr{}, false
}
