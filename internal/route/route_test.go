package route

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// testRequest is a request for the router; its headers have the form "Name: value".
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

var testRules = []Rule{
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
	r := mustCompile(t, testRules)
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
		if !ok || testRules[i].Name != tc.want {
			t.Errorf("%+v: rule %q, want %q", tc.testRequest, testRules[i].Name, tc.want)
		}
		if matches := r.Explain(tc.host, tc.path, method, tc.header()); matches[0].Index != i {
			t.Errorf("%+v: Explain returns %q first", tc.testRequest, testRules[matches[0].Index].Name)
		}
	}
	if i, ok := mustCompile(t, testRules[1:2]).Find("other", "/", "GET", nil); ok {
		t.Errorf("rule %d, want none", i)
	}
}

func TestNewReportsUnusableRules(t *testing.T) {
	for name, tc := range map[string]struct {
		rules    []Rule
		key      string
		wantText string
	}{
		"twice":                {[]Rule{{Name: "x", Prefix: "/a"}, {Name: "y", Prefix: "/a/"}}, "name", `route "x" has the same`},
		"duplicate of any":     {[]Rule{{Name: "x", Prefix: "/"}, {Name: "y"}}, "name", "same conditions"},
		"duplicate by class":   {[]Rule{{Prefix: "/a", Class: "a"}, {Prefix: "/a"}}, "name", "same conditions"},
		"duplicate by header":  {[]Rule{{Headers: []Header{{Name: "A", Any: true}, {Name: "a", Value: "1"}}}, {Headers: []Header{{Name: "a", Value: "1"}}}}, "name", "same"},
		"host in capitals":     {[]Rule{{Host: "A.example"}}, "host", `"a.example"`},
		"host with port":       {[]Rule{{Host: "a.example:80"}}, "host", "never match"},
		"host with dot":        {[]Rule{{Host: "a.example."}}, "host", "never match"},
		"only a star":          {[]Rule{{Host: "*"}}, "host", "no host"},
		"star inside":          {[]Rule{{Host: "a.*.example"}}, "host", "no host"},
		"star without host":    {[]Rule{{Host: "*."}}, "host", "no host after the wildcard"},
		"path and prefix":      {[]Rule{{Path: "/a", Prefix: "/b"}}, "prefix", "beside"},
		"relative":             {[]Rule{{Path: "a"}}, "path", "no path"},
		"dots":                 {[]Rule{{Prefix: "/a/../b"}}, "prefix", "dot segment"},
		"empty segment":        {[]Rule{{Prefix: "/a//b"}}, "prefix", "empty segment"},
		"encoded slash":        {[]Rule{{Path: "/a%2Fb"}}, "path", "slash"},
		"needless encoding":    {[]Rule{{Path: "/%61"}}, "path", `matched as "/a"`},
		"lower encoding":       {[]Rule{{Path: "/%c3"}}, "path", `"/%C3"`},
		"parameters":           {[]Rule{{Path: "/a;v=1"}}, "path", `"/a"`},
		"a query":              {[]Rule{{Path: "/a#b"}}, "path", "byte"},
		"health":               {[]Rule{{Path: "/healthz"}}, "path", "itself"},
		"other class":          {[]Rule{{Prefix: "/a", Class: "b"}}, "class", `"a"`},
		"class of two":         {[]Rule{{Class: "a/b"}}, "class", "segment"},
		"class of root":        {[]Rule{{Path: "/", Class: "a"}}, "class", "never"},
		"invalid method":       {[]Rule{{Method: "GET POST"}}, "method", "never"},
		"connect":              {[]Rule{{Method: "CONNECT"}}, "method", "never"},
		"two values":           {[]Rule{{Headers: []Header{{Name: "a", Value: "1"}, {Name: "A", Value: "2"}}}}, "headers", "two values"},
		"invalid header name":  {[]Rule{{Headers: []Header{{Name: "a b", Any: true}}}}, "headers", "no name"},
		"invalid header value": {[]Rule{{Headers: []Header{{Name: "a", Value: "x\n"}}}}, "headers", "not a valid header value"},
		"host as header":       {[]Rule{{Headers: []Header{{Name: "host", Value: "x"}}}}, "headers", "never"},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := New(tc.rules)
			if len(problems) != 1 || problems[0].Key != tc.key || !strings.Contains(problems[0].Error(), tc.wantText) {
				t.Errorf("problems %v", problems)
			}
		})
	}
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
