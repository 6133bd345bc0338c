// Package hopheaders determines which header fields of a message an intermediary forwards, drops, sets
// or replaces (RFC 9110, 7.6), and the address of a client behind trusted proxies (RFC 7239). Package
// front applies it to the requests and answers of generic HTTP. It does no I/O and keeps no
// state, so all functions are safe for concurrent use.
package hopheaders

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"slices"
	"strings"

	"lockflow/internal/protocol"
)

// Alias is the name of this intermediary in the Via field.
const Alias = "lockflow"

// ForwardingFormat selects the header fields that describe the client to servers. Its values are in the
// order of the configuration key "forwarded".
type ForwardingFormat int

// The formats.
const (
	XForwarded ForwardingFormat = iota // X-Forwarded-For, -Host and -Proto
	Forwarded                          // Forwarded (RFC 7239)
	Both                               // the fields of XForwarded and Forwarded
	None                               // none, and such fields of the client are dropped
)

// Peer is the other side of the connection that a request arrived on.
type Peer struct {
	Addr      netip.Addr
	IsTrusted bool   // a trusted proxy: its forwarding fields are kept
	Host      string // the requested host
	Proto     string // "http" or "https"
}

// DropNamed deletes from out the fields that the Connection field of in names (RFC 9110, 7.6.1).
func DropNamed(out, in http.Header) {
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
}

// dropConnectionFields deletes from out the fields that apply to a single connection.
func dropConnectionFields(out, in http.Header) {
	DropNamed(out, in)
	for k := range out {
		if protocol.IsHopHeader(k) || k == "Proxy-Authenticate" || k == "Proxy-Authorization" {
			delete(out, k)
		}
	}
}

// ForwardRequest returns the header fields with which a request is forwarded. It does not change in, but
// shares the values of unchanged fields with it. Without underscores, fields whose names contain one are
// dropped: some servers turn fields into variables and would confuse a_b with a-b.
func ForwardRequest(in http.Header, from Peer, format ForwardingFormat, underscores bool) http.Header {
	out := make(http.Header, len(in)+5)
	for k, v := range in {
		if underscores || strings.IndexByte(k, '_') < 0 {
			out[k] = v
		}
	}
	dropConnectionFields(out, in)
	if acceptsTrailers(in) {
		out["Te"] = []string{"trailers"}
	}
	addVia(out, in)
	addForwarding(out, from, format)
	return out
}

// acceptsTrailers reports whether the TE field allows trailers. Nothing else of TE can be forwarded (RFC
// 9110, 10.1.4).
func acceptsTrailers(in http.Header) bool {
	for _, list := range in["Te"] {
		for coding := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(coding), "trailers") {
				return true
			}
		}
	}
	return false
}

// ForwardResponse sets in out the header fields with which a server's response is forwarded to the client.
func ForwardResponse(out, in http.Header) {
	for k, v := range in {
		out[k] = v
	}
	dropConnectionFields(out, in)
	addVia(out, in)
}

// addVia adds this intermediary to the Via field.
func addVia(out, in http.Header) {
	v := in["Via"]
	out["Via"] = append(v[:len(v):len(v)], "1.1 "+Alias)
}

// forwardingFields are all header fields that describe clients to servers.
var forwardingFields = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded"}

// addForwarding adds the peer to the forwarding fields. Fields set by an untrusted peer are dropped first.
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
		addXForwarded(out, from, addr)
	}
	if format != XForwarded {
		addForwarded(out, from, addr)
	}
}

// addXForwarded adds the peer to X-Forwarded-For, and sets the other X-Forwarded fields if there are none.
func addXForwarded(out http.Header, from Peer, addr string) {
	previous := out["X-Forwarded-For"]
	if len(previous) > 0 {
		out["X-Forwarded-For"] = []string{strings.Join(previous, ", ") + ", " + addr}
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

// addForwarded adds an element for the peer to the Forwarded field (RFC 7239, 4).
func addForwarded(out http.Header, from Peer, addr string) {
	node := addr
	if from.Addr.Unmap().Is6() {
		node = `"[` + addr + `]"`
	}
	element := "for=" + node + ";proto=" + from.Proto
	if from.Host != "" && !strings.ContainsAny(from.Host, "\"\\") {
		element += `;host="` + from.Host + `"`
	}
	previous := out["Forwarded"]
	out["Forwarded"] = append(previous[:len(previous):len(previous)], element)
}

// IsTrusted reports whether one of the prefixes contains an address.
func IsTrusted(addr netip.Addr, prefixes []netip.Prefix) bool {
	addr = addr.Unmap().WithZone("")
	return slices.ContainsFunc(prefixes, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// maxChainLength limits how many proxies ClientAddr traces back to find a client.
const maxChainLength = 32

// ClientAddr returns the address of the client of a request that came through proxies: going back from
// the peer, the first address that is not a trusted proxy. Fields set by an untrusted peer are ignored. If
// an entry of the chain is not an address, the trusted proxy that reported the entry is returned.
func ClientAddr(h http.Header, peer netip.Addr, trusted []netip.Prefix) netip.Addr {
	addr := peer.Unmap().WithZone("")
	if len(trusted) == 0 || !IsTrusted(addr, trusted) {
		return addr
	}
	chain := proxyChain(h)
	for i := len(chain) - 1; i >= 0 && i >= len(chain)-maxChainLength; i-- {
		next, ok := parseNode(chain[i])
		if !ok {
			return addr
		}
		if addr = next; !IsTrusted(addr, trusted) {
			return addr
		}
	}
	return addr
}

// proxyChain returns the nodes that a request passed before the peer, the nearest last. Forwarded takes
// precedence over X-Forwarded-For.
func proxyChain(h http.Header) []string {
	var chain []string
	if lines := h["Forwarded"]; len(lines) > 0 {
		for _, line := range lines {
			for _, element := range splitUnquoted(line, ',') {
				chain = append(chain, forNode(element))
			}
		}
		return chain
	}
	for _, line := range h["X-Forwarded-For"] {
		for node := range strings.SplitSeq(line, ",") {
			chain = append(chain, strings.TrimSpace(node))
		}
	}
	return chain
}

// forNode returns the value of the "for" parameter of an element of Forwarded; empty if there is none.
func forNode(element string) (node string) {
	for _, pair := range splitUnquoted(element, ';') {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if strings.EqualFold(name, "for") {
			node = strings.Trim(value, `"`)
		}
	}
	return node
}

// splitUnquoted splits s at the separators outside of quoted strings.
func splitUnquoted(s string, separator byte) []string {
	var parts []string
	quoted, start := false, 0
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && quoted:
			i++
		case s[i] == '"':
			quoted = !quoted
		case s[i] == separator && !quoted:
			parts = append(parts, s[start:i])
			start = i + 1
		}
	}
	return append(parts, s[start:])
}

// parseNode parses a node (RFC 7239, 6): an address with or without a port. It returns false for an
// obfuscated or unknown node.
func parseNode(s string) (netip.Addr, bool) {
	if a, err := netip.ParseAddr(strings.Trim(s, "[]")); err == nil {
		return a.Unmap().WithZone(""), true
	}
	if a, err := netip.ParseAddrPort(s); err == nil {
		return a.Addr().Unmap().WithZone(""), true
	}
	return netip.Addr{}, false
}
