package route

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// testRequest is a request in short form; its headers have the form "Name: value".
type testRequest struct {
	host, path, method string
	headers            []string
}

func (a testRequest) header() http.Header {
	h := make(http.Header)
	for _, line := range a.headers {
		k, v, _ := strings.Cut(line, ": ")
		h.Add(k, v)
	}
	return h
}

func mustCompile(t testing.TB, rules []Rule) *Router {
	t.Helper()
	r, problems := New(rules)
	for _, p := range problems {
		t.Fatalf("%s: %v", rules[p.Index].Name, p)
	}
	return r
}

var someRules = []Rule{
	{Name: "any"},
	{Name: "host", Host: "a.example"},
	{Name: "wild", Host: "*.example"},
	{Name: "wilder", Host: "*.b.example"},
	{Name: "docs", Host: "a.example", Prefix: "/docs"},
	{Name: "docs-old", Host: "a.example", Prefix: "/docs/old/"},
	{Name: "docs-index", Host: "a.example", Path: "/docs/"},
	{Name: "docs-post", Host: "a.example", Prefix: "/docs", Method: "POST"},
	{Name: "docs-beta", Host: "a.example", Prefix: "/docs", Headers: []Header{{Name: "x-beta", Any: true}}},
	{Name: "docs-beta-2", Host: "a.example", Prefix: "/docs", Headers: []Header{{Name: "X-Beta", Value: "2"}}},
	{Name: "class", Class: "visit-update"},
	{Name: "class-post", Class: "visit-update", Method: "POST"},
	{Name: "anywhere-notes", Prefix: "/notes"},
	{Name: "deep", Prefix: "/x" + strings.Repeat("/y", 80)},
}

func TestRouterFind(t *testing.T) {
	r := mustCompile(t, someRules)
	for _, tc := range []struct {
		testRequest
		want string
	}{
		{testRequest{host: "other", path: "/"}, "any"},
		{testRequest{host: "", path: "/"}, "any"},
		{testRequest{host: "a.example", path: "/"}, "host"},
		{testRequest{host: "c.example", path: "/"}, "wild"},
		{testRequest{host: "d.c.example", path: "/"}, "wild"},
		{testRequest{host: "example", path: "/"}, "any"},
		{testRequest{host: "c.b.example", path: "/"}, "wilder"},
		{testRequest{host: "b.example", path: "/"}, "wild"},
		{testRequest{host: "a.example", path: "/docs"}, "docs"},
		{testRequest{host: "a.example", path: "/docs/"}, "docs-index"},
		{testRequest{host: "a.example", path: "/docs/x"}, "docs"},
		{testRequest{host: "a.example", path: "/docsx"}, "host"},
		{testRequest{host: "a.example", path: "/docs/old"}, "docs-old"},
		{testRequest{host: "a.example", path: "/docs/old/"}, "docs-old"},
		{testRequest{host: "a.example", path: "/docs/old/1"}, "docs-old"},
		{testRequest{host: "a.example", path: "/docs/older"}, "docs"},
		{testRequest{host: "a.example", path: "/docs", method: "POST"}, "docs-post"},
		{testRequest{host: "a.example", path: "/docs", headers: []string{"X-Beta: 1"}}, "docs-beta"},
		{testRequest{host: "a.example", path: "/docs", headers: []string{"X-Beta: 2"}}, "docs-beta-2"},
		{testRequest{host: "a.example", path: "/docs", headers: []string{"X-Beta: 2", "X-Beta: 2"}}, "docs-beta"},
		{testRequest{host: "a.example", path: "/docs", method: "POST", headers: []string{"X-Beta: 2"}}, "docs-post"},
		{testRequest{host: "other", path: "/visit-update/7"}, "class"},
		{testRequest{host: "other", path: "/visit-update", method: "POST"}, "class-post"},
		{testRequest{host: "a.example", path: "/visit-update"}, "host"},
		{testRequest{host: "a.example", path: "/notes"}, "host"},
		{testRequest{host: "other", path: "/notes/"}, "anywhere-notes"},
		{testRequest{host: "other", path: "/Notes"}, "any"},
		{testRequest{host: "other", path: "/x" + strings.Repeat("/y", 90)}, "deep"},
		{testRequest{host: "other", path: "/x" + strings.Repeat("/y", 79)}, "any"},
	} {
		method := tc.method
		if method == "" {
			method = "GET"
		}
		i, ok := r.Find(tc.host, tc.path, method, tc.header())
		if !ok || someRules[i].Name != tc.want {
			t.Errorf("%+v: %q, not %q", tc.testRequest, someRules[i].Name, tc.want)
		}
		if why := r.Explain(tc.host, tc.path, method, tc.header()); why[0].Index != i {
			t.Errorf("%+v: Why tells %q", tc.testRequest, someRules[why[0].Index].Name)
		}
	}
	if i, ok := mustCompile(t, someRules[1:2]).Find("other", "/", "GET", nil); ok {
		t.Errorf("rule %d, not none", i)
	}
}

func TestNewReportsUnusableRules(t *testing.T) {
	for name, tc := range map[string]struct {
		rules []Rule
		key   string
		tells string
	}{
		"twice":             {[]Rule{{Name: "x", Prefix: "/a"}, {Name: "y", Prefix: "/a/"}}, "name", `route "x" has the same`},
		"twice any":         {[]Rule{{Name: "x", Prefix: "/"}, {Name: "y"}}, "name", "same conditions"},
		"twice by class":    {[]Rule{{Prefix: "/a", Class: "a"}, {Prefix: "/a"}}, "name", "same conditions"},
		"twice by header":   {[]Rule{{Headers: []Header{{Name: "A", Any: true}, {Name: "a", Value: "1"}}}, {Headers: []Header{{Name: "a", Value: "1"}}}}, "name", "same"},
		"host in capitals":  {[]Rule{{Host: "A.example"}}, "host", `"a.example"`},
		"host with port":    {[]Rule{{Host: "a.example:80"}}, "host", "never match"},
		"host with dot":     {[]Rule{{Host: "a.example."}}, "host", "never match"},
		"star alone":        {[]Rule{{Host: "*"}}, "host", "no host"},
		"star inside":       {[]Rule{{Host: "a.*.example"}}, "host", "no host"},
		"star with nothing": {[]Rule{{Host: "*."}}, "host", "names no host"},
		"path and prefix":   {[]Rule{{Path: "/a", Prefix: "/b"}}, "prefix", "beside"},
		"relative":          {[]Rule{{Path: "a"}}, "path", "no path"},
		"dots":              {[]Rule{{Prefix: "/a/../b"}}, "prefix", "dot segment"},
		"empty segment":     {[]Rule{{Prefix: "/a//b"}}, "prefix", "empty segment"},
		"encoded slash":     {[]Rule{{Path: "/a%2Fb"}}, "path", "slash"},
		"needless encoding": {[]Rule{{Path: "/%61"}}, "path", `matched as "/a"`},
		"lower encoding":    {[]Rule{{Path: "/%c3"}}, "path", `"/%C3"`},
		"parameters":        {[]Rule{{Path: "/a;v=1"}}, "path", `"/a"`},
		"a query":           {[]Rule{{Path: "/a#b"}}, "path", "byte"},
		"health":            {[]Rule{{Path: "/healthz"}}, "path", "itself"},
		"other class":       {[]Rule{{Prefix: "/a", Class: "b"}}, "class", `"a"`},
		"class of two":      {[]Rule{{Class: "a/b"}}, "class", "segment"},
		"class of root":     {[]Rule{{Path: "/", Class: "a"}}, "class", "never"},
		"odd method":        {[]Rule{{Method: "GET POST"}}, "method", "never"},
		"connect":           {[]Rule{{Method: "CONNECT"}}, "method", "never"},
		"two values":        {[]Rule{{Headers: []Header{{Name: "a", Value: "1"}, {Name: "A", Value: "2"}}}}, "headers", "two values"},
		"odd header":        {[]Rule{{Headers: []Header{{Name: "a b", Any: true}}}}, "headers", "no name"},
		"odd value":         {[]Rule{{Headers: []Header{{Name: "a", Value: "x\n"}}}}, "headers", "no value"},
		"host as header":    {[]Rule{{Headers: []Header{{Name: "host", Value: "x"}}}}, "headers", "never"},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := New(tc.rules)
			if len(problems) != 1 || problems[0].Key != tc.key || !strings.Contains(problems[0].Error(), tc.tells) {
				t.Errorf("%v", problems)
			}
		})
	}
}

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
			t.Errorf("%q: %q, %v", in, got, err)
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
			t.Errorf("%q: %q, %v", in, got, err)
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
			t.Errorf("%q: %q, %v, not %q", in, got, err, want)
		}
		if err == nil {
			if repeated, err := CanonicalPath(got); err != nil || repeated != got {
				t.Errorf("%q: its form %q has the form %q, %v", in, got, repeated, err)
			}
		}
	}
}

// Whatever the bytes, a canonical path is its own canonical form, and a server that decodes the path before it
// splits it finds the same segments.
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
			t.Fatalf("%q: %q, then %q, %v", raw, got, repeated, err)
		}
		for i, s := range strings.Split(got, "/") {
			decoded := s
			if d, err := unescape(s); err == nil {
				decoded = d
			}
			last := i == strings.Count(got, "/")
			if decoded == "." || decoded == ".." || strings.ContainsAny(decoded, "/\\") || s == "" && i > 0 && !last {
				t.Fatalf("%q: segment %q of %q", raw, s, got)
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

// referenceFind finds a rule by ranking all of them by the criteria in the package documentation.
func referenceFind(rules []Rule, host, path, method string, header http.Header) int {
	best, bestRank := -1, []string(nil)
	for i, r := range rules {
		rank, ok := referenceRank(r, host, path, method, header)
		if ok && (best < 0 || slices.Compare(rank, bestRank) > 0) {
			best, bestRank = i, rank
		}
	}
	return best
}

// referenceRank returns the rank of a rule for a request, one string for each criterion, or false if the rule
// does not match.
func referenceRank(r Rule, host, path, method string, header http.Header) (rank []string, ok bool) {
	hostRank, hostOK := referenceHostRank(r, host)
	pathRank, pathOK := referencePathRank(r, path)
	headerRank, textRank, headersOK := referenceHeaderRanks(r, header)
	if !hostOK || !pathOK || !headersOK || r.Method != "" && r.Method != method || r.Class != "" && r.Class != segmentsOf(path)[0] {
		return nil, false
	}
	methodRank, classRank := "", ""
	if r.Method != "" {
		methodRank = "named"
	}
	if r.Class != "" && !strings.HasPrefix(r.Path+r.Prefix, "/"+r.Class) {
		classRank = "named"
	}
	return []string{hostRank, pathRank, methodRank, classRank, headerRank, textRank}, true
}

func referenceHostRank(r Rule, host string) (rank string, ok bool) {
	switch {
	case r.Host == "":
		return "", true
	case r.Host == host:
		return sortable(1000), true
	case strings.HasPrefix(r.Host, "*.") && strings.HasSuffix(host, r.Host[1:]) && host != r.Host[1:]:
		return sortable(len(r.Host)), true
	}
	return "", false
}

func referencePathRank(r Rule, path string) (rank string, ok bool) {
	switch {
	case r.Path != "":
		return sortable(1000000), r.Path == path
	case r.Prefix != "" && r.Prefix != "/":
		want, have := segmentsOf(r.Prefix), segmentsOf(path)
		if len(have) < len(want) || !slices.Equal(have[:len(want)], want) {
			return "", false
		}
		return sortable(len(strings.Trim(r.Prefix, "/"))), true
	}
	return "", true
}

func referenceHeaderRanks(r Rule, header http.Header) (rank, textRank string, ok bool) {
	withValue, texts := 0, []string{}
	for _, h := range r.Headers {
		got := header.Values(h.Name)
		if h.Any && len(got) == 0 || !h.Any && (len(got) != 1 || got[0] != h.Value) {
			return "", "", false
		}
		text := http.CanonicalHeaderKey(h.Name)
		if !h.Any {
			text += ": " + h.Value
			withValue++
		}
		texts = append(texts, text)
	}
	slices.Sort(texts)
	// The first text wins, so a later one has to rank lower.
	for _, b := range []byte(strings.Join(texts, "\n") + "\x00") {
		textRank += string(rune(0x100 - int(b)))
	}
	return sortable(len(texts)) + sortable(withValue), textRank, true
}

func segmentsOf(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }

// sortable formats a number so that strings sort like numbers.
func sortable(n int) string { return fmt.Sprintf("%08d", n) }

// randomRules makes rules of few words, so that many overlap.
func randomRules(rng *rand.Rand, n int) []Rule {
	pick := func(of ...string) string { return of[rng.IntN(len(of))] }
	var rules []Rule
	for i := range n {
		r := Rule{
			Name: fmt.Sprint("r", i), Host: pick("", "a.x", "b.x", "*.x", "*.a.x", "x"), Method: pick("", "", "GET", "POST"),
			Class: pick("", "", "", "a", "b"),
		}
		path := "/" + pick("a", "b", "c")
		for range rng.IntN(3) {
			path += "/" + pick("a", "b", "ab")
		}
		switch rng.IntN(4) {
		case 0:
			r.Path = path + pick("", "/")
		case 1, 2:
			r.Prefix = path + pick("", "/")
		}
		isKnown := map[string]bool{}
		for range rng.IntN(3) {
			if name := pick("A", "B", "C"); !isKnown[name] {
				isKnown[name] = true
				r.Headers = append(r.Headers, Header{Name: name, Value: pick("1", "2")})
				if rng.IntN(2) == 0 {
					r.Headers[len(r.Headers)-1] = Header{Name: name, Any: true}
				}
			}
		}
		rules = append(rules, r)
	}
	// Rules that New rejects are left out.
	for {
		_, problems := New(rules)
		if problems == nil {
			return rules
		}
		rules = slices.Delete(rules, problems[0].Index, problems[0].Index+1)
	}
}

// randomRequest makes a request of the same words.
func randomRequest(rng *rand.Rand) (host, path, method string, header http.Header) {
	pick := func(of ...string) string { return of[rng.IntN(len(of))] }
	path = "/"
	for i := range rng.IntN(5) {
		if i > 0 {
			path += "/"
		}
		path += pick("a", "b", "c", "ab")
	}
	if path != "/" {
		path += pick("", "", "/")
	}
	header = make(http.Header)
	for _, k := range []string{"A", "B", "C"} {
		for range rng.IntN(3) {
			header.Add(k, pick("1", "2"))
		}
	}
	return pick("", "a.x", "b.x", "c.a.x", "d.c.a.x", "x", "y"), path, pick("GET", "POST", "PUT"), header
}

// compare checks Find against referenceFind on random rules and requests.
func compare(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	rules := randomRules(rng, 1+rng.IntN(60))
	r := mustCompile(t, rules)
	turned := slices.Clone(rules)
	rng.Shuffle(len(turned), func(i, j int) { turned[i], turned[j] = turned[j], turned[i] })
	other := mustCompile(t, turned)
	for range 60 {
		host, path, method, header := randomRequest(rng)
		got, ok := r.Find(host, path, method, header)
		if want := referenceFind(rules, host, path, method, header); !ok && want >= 0 || ok && got != want {
			t.Fatalf("seed %d: %s %s%s %v: rule %d, not %d of %+v", seed, method, host, path, header, got, want, rules)
		}
		// The order of the rules does not matter.
		if i, found := other.Find(host, path, method, header); found != ok || ok && turned[i].Name != rules[got].Name {
			t.Fatalf("seed %d: %s%s: %s in another order, not %s", seed, host, path, turned[i].Name, rules[got].Name)
		}
	}
}

func TestRouterFindAgreesWithReference(t *testing.T) {
	for seed := range uint64(300) {
		compare(t, seed)
	}
}

func FuzzRouterFindAgreesWithReference(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(compare)
}

func BenchmarkRouterFind(b *testing.B) {
	for _, n := range []int{10, 500, 5000} {
		var rules []Rule
		for i := range n {
			rules = append(rules, Rule{Host: fmt.Sprintf("h%d.example", i%(n/5)), Prefix: fmt.Sprintf("/p%d/q", i/(n/5))})
		}
		r := mustCompile(b, rules)
		header := make(http.Header)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				path, err := CanonicalPath("/p3/q/some/further/segments")
				host, err2 := CanonicalHost(rules[i%n].Host)
				if _, ok := r.Find(host, path, "GET", header); err != nil || err2 != nil || !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
