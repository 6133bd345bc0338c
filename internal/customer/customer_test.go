package customer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lockflow/internal/testsupport/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func any(string) bool { return true }

func request(target string, fields ...string) *http.Request {
	r := httptest.NewRequest("GET", target, nil)
	r.RemoteAddr = "127.0.0.1:1234"
	for _, f := range fields {
		k, v, _ := strings.Cut(f, ": ")
		r.Header.Add(k, v)
	}
	return r
}

func TestIdentify(t *testing.T) {
	directory := New(Options{
		DefaultPlan: "basic", MaxUnknown: 10, TrustedProxies: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Identifiers: []Identifier{{Kind: Header, Name: "X-Key", IsSecret: true}, {Kind: Query, Name: "account"}, {Kind: Cookie, Name: "sid"}, {Kind: Address}},
	})
	names, err := ParseFile("f", strings.NewReader("# a comment\nacme, gold\n\"a,b\",basic\nsecret:k-1,gold\n"), any)
	if err != nil {
		t.Fatal(err)
	}
	directory.plans.Store(&names)
	for _, tc := range []struct {
		r          *http.Request
		name, plan string
	}{
		{request("/?account=acme"), "acme", "gold"},
		{request("/?account=a%2Cb"), "a,b", "basic"},
		{request("/?%61ccount=acme"), "acme", "gold"},
		{request("/?account=acme&account=other", "Cookie: sid=s1"), "s1", "basic"},
		{request("/?account=acme", "X-Key: k-1"), HashedName("k-1"), "gold"},
		{request("/", "X-Forwarded-For: 6.6.6.6, 9.9.9.9"), "9.9.9.9", "basic"},
		{request("/", "X-Forwarded-For: 2001:db8:1:2:3::4"), "2001:db8:1:2::/64", "basic"},
		{request("/"), "127.0.0.1", "basic"},
		{request("/?account=" + strings.Repeat("x", 300)), HashedName(strings.Repeat("x", 300)), "basic"},
	} {
		name, plan := directory.Identify(tc.r, time.Now())
		if name != tc.name || plan != tc.plan {
			t.Errorf("%s %v: customer and plan %q, %q, not %q, %q", tc.r.URL, tc.r.Header, name, plan, tc.name, tc.plan)
		}
		if strings.Contains(name, "k-1") {
			t.Error("the name contains the secret")
		}
	}
	if name, plan := New(Options{DefaultPlan: "p"}).Identify(request("/"), time.Now()); name != Anonymous || plan != "p" {
		t.Errorf("without identifiers: %q, %q", name, plan)
	}
}

// However many names clients invent, only a limited number is tracked. Active customers stay tracked, and idle ones
// are evicted for others.
func TestUnknownCustomersAreBounded(t *testing.T) {
	directory := New(Options{Identifiers: []Identifier{{Kind: Header, Name: "X-Name"}}, MaxUnknown: 1000})
	now := time.Now()
	identify := func(name string) string {
		got, _ := directory.Identify(request("/", "X-Name: "+name), now)
		return got
	}
	regular := identify("regular")
	seen := make(map[string]bool)
	for i := range 1_000_000 {
		seen[directory.nameOfUnknown(fmt.Sprint("invented-", i), now)] = true
		if i%5000 == 0 && identify("regular") != regular {
			t.Fatal("an active customer is no longer tracked")
		}
	}
	if len(seen) > 1000+overflowBuckets {
		t.Errorf("a flood of names is tracked as %d customers", len(seen))
	}
	now = now.Add(2 * unknownIdleTime)
	if got := identify("new"); got != "new" {
		t.Errorf("a new customer, with all others idle, is %q", got)
	}
}

func TestParseFileRejectsMalformedFiles(t *testing.T) {
	for text, want := range map[string]string{
		"a": "f: record on line 1: wrong number", "a,gold\nc": "line 2", "a,gold\na,gold": "f:2: the name is given twice",
		",gold": "f:1: the name is empty or too long", "ok,gold\nx,lead": `f:2: "lead" is no plan`, "\"a,gold": "f: ",
	} {
		_, err := ParseFile("f", strings.NewReader(text), func(p string) bool { return p == "gold" })
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, not %s", text, err, want)
		}
	}
}

func TestFollowLoadsChangedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "customers.csv")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("a,gold\n")
	directory := New(Options{File: path})
	if err := directory.Load(any); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { directory.Follow(ctx, any); close(done) }()
	write("a,silver\nb,gold\n")
	testkit.Until(t, "the new file", func() bool { return directory.NameCount() == 2 })
	write("bad line\n")
	write("a,gold\nb,gold\nc,gold\n") // the invalid file in between is ignored
	testkit.Until(t, "the last file", func() bool { return directory.NameCount() == 3 })
	cancel()
	<-done
}

func FuzzParseFile(f *testing.F) {
	f.Add("a,gold\n#x\n\"q\"\"\",p\n")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := ParseFile("f", strings.NewReader(text), any)
		if (all == nil) == (err == nil) {
			t.Errorf("%q: not exactly one of plans and error: %v, %v", text, all, err)
		}
	})
}

func BenchmarkIdentify(b *testing.B) {
	directory := New(Options{Identifiers: []Identifier{{Kind: Header, Name: "X-Name"}}, MaxUnknown: 1000, DefaultPlan: "p"})
	r := request("/", "X-Name: acme")
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		directory.Identify(r, now)
	}
}
