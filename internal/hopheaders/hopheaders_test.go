package hopheaders

import (
	"net/http"
	"net/netip"
	"reflect"
	"testing"
)

func TestForwardRequest(t *testing.T) {
	in := http.Header{
		"Accept": {"a", "b"}, "Connection": {"close, x-own", "keep-alive"}, "X-Own": {"1"}, "Keep-Alive": {"1"},
		"Te": {"gzip, Trailers"}, "Upgrade": {"h2c"}, "Content-Length": {"3"}, "Transfer_encoding": {"chunked"},
		"X-Forwarded-For": {"1.1.1.1"}, "X-Forwarded-Host": {"forged"}, "Forwarded": {"for=1.1.1.1"}, "Via": {"1.0 old"},
		"Proxy-Authorization": {"secret"}, "Expect": {"100-continue"},
	}
	peer := Peer{Addr: netip.MustParseAddr("::ffff:127.0.0.1"), Host: "h:1", Proto: "http"}
	withCommonFields := func(h http.Header) http.Header {
		h["Accept"], h["Te"], h["Via"] = []string{"a", "b"}, []string{"trailers"}, []string{"1.0 old", "1.1 lockflow"}
		return h
	}
	untrustedPeerFields := func() http.Header {
		return withCommonFields(http.Header{"X-Forwarded-For": {"127.0.0.1"}, "X-Forwarded-Host": {"h:1"}, "X-Forwarded-Proto": {"http"}})
	}
	trusted := peer
	trusted.IsTrusted = true
	ipv6Peer := peer
	ipv6Peer.Addr = netip.MustParseAddr("fe80::1%eth0")
	for name, tc := range map[string]struct {
		from   Peer
		format ForwardingFormat
		want   http.Header
	}{
		"an untrusted peer": {peer, XForwarded, untrustedPeerFields()},
		"a trusted proxy": {trusted, XForwarded, withCommonFields(http.Header{
			"X-Forwarded-For": {"1.1.1.1, 127.0.0.1"}, "X-Forwarded-Host": {"forged"},
			"X-Forwarded-Proto": {"http"}, "Forwarded": {"for=1.1.1.1"},
		})},
		"RFC 7239":                  {peer, Forwarded, withCommonFields(http.Header{"Forwarded": {`for=127.0.0.1;proto=http;host="h:1"`}})},
		"RFC 7239, a trusted proxy": {trusted, Both, withCommonFields(http.Header{"Forwarded": {"for=1.1.1.1", `for=127.0.0.1;proto=http;host="h:1"`}, "X-Forwarded-For": {"1.1.1.1, 127.0.0.1"}, "X-Forwarded-Host": {"forged"}, "X-Forwarded-Proto": {"http"}})},
		"RFC 7239 over IPv6":        {ipv6Peer, Forwarded, withCommonFields(http.Header{"Forwarded": {`for="[fe80::1]";proto=http;host="h:1"`}})},
		"nothing":                   {trusted, None, withCommonFields(http.Header{})},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ForwardRequest(in, tc.from, tc.format, false); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got header fields %v\nwant %v", got, tc.want)
			}
		})
	}
	if len(in["Via"]) != 1 || in["X-Forwarded-For"][0] != "1.1.1.1" {
		t.Error("ForwardRequest changed the header fields of the incoming request")
	}
	if got := ForwardRequest(in, peer, None, true); got["Transfer_encoding"] == nil {
		t.Error("field with an underscore was dropped although underscores are allowed")
	}
}

func TestClientAddr(t *testing.T) {
	proxies := []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("fd00::/8")}
	for _, tc := range []struct {
		peer string
		h    http.Header
		want string
	}{
		{"127.0.0.1", http.Header{"X-Forwarded-For": {"6.6.6.6, 9.9.9.9"}}, "9.9.9.9"}, // the client forged the left entry
		{"127.0.0.1", http.Header{"X-Forwarded-For": {"6.6.6.6", "9.9.9.9, 127.0.0.2"}}, "9.9.9.9"},
		{"8.8.8.8", http.Header{"X-Forwarded-For": {"6.6.6.6"}}, "8.8.8.8"},
		{"127.0.0.1", nil, "127.0.0.1"},
		{"127.0.0.1", http.Header{"X-Forwarded-For": {"9.9.9.9, unknown"}}, "127.0.0.1"},
		{"127.0.0.1", http.Header{"Forwarded": {`for="[2001:db8::1]:80";by=x, for="_hidden,;x"`}}, "127.0.0.1"},
		{"127.0.0.1", http.Header{"Forwarded": {`for=6.6.6.6`, `For="[2001:db8::1]:80";by=x`}, "X-Forwarded-For": {"6.6.6.6"}}, "2001:db8::1"},
		{"::ffff:127.0.0.1", http.Header{"X-Forwarded-For": {"9.9.9.9:1234"}}, "9.9.9.9"},
		{"127.0.0.1", http.Header{"X-Forwarded-For": {"fd00::1"}}, "fd00::1"}, // all are trusted proxies: the first one is returned
	} {
		if got := ClientAddr(tc.h, netip.MustParseAddr(tc.peer), proxies); got.String() != tc.want {
			t.Errorf("peer %s, header fields %v: got client %v, want %s", tc.peer, tc.h, got, tc.want)
		}
	}
}

func FuzzClientAddr(f *testing.F) {
	f.Add("1.1.1.1, 2.2.2.2", `for="[::1]:80";by=x`)
	f.Fuzz(func(t *testing.T, x, forwarded string) {
		all := []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}
		peer := netip.MustParseAddr("127.0.0.1")
		if a := ClientAddr(http.Header{"X-Forwarded-For": {x}}, peer, all); !a.IsValid() {
			t.Errorf("X-Forwarded-For %q: got no valid address", x)
		}
		if a := ClientAddr(http.Header{"Forwarded": {forwarded}}, peer, all); !a.IsValid() {
			t.Errorf("Forwarded %q: got no valid address", forwarded)
		}
	})
}
