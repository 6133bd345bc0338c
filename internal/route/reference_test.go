package route

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// referenceFind returns the index of the rule for a request, or -1, by ranking all rules by the criteria in the package
// documentation.
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

// referenceRank returns the rank of a rule for a request, with one string for each criterion, or false if the rule
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
	// The text that sorts first takes precedence, so the bytes are inverted.
	for _, b := range []byte(strings.Join(texts, "\n") + "\x00") {
		textRank += string(rune(0x100 - int(b)))
	}
	return sortable(len(texts)) + sortable(withValue), textRank, true
}

func segmentsOf(path string) []string { return strings.Split(strings.Trim(path, "/"), "/") }

// sortable formats a number so that the strings sort in the order of the numbers.
func sortable(n int) string { return fmt.Sprintf("%08d", n) }

// randomRules returns rules made of a few words, so that many of them overlap.
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
		isUsed := map[string]bool{}
		for range rng.IntN(3) {
			if name := pick("A", "B", "C"); !isUsed[name] {
				isUsed[name] = true
				r.Headers = append(r.Headers, Header{Name: name, Value: pick("1", "2")})
				if rng.IntN(2) == 0 {
					r.Headers[len(r.Headers)-1] = Header{Name: name, Any: true}
				}
			}
		}
		rules = append(rules, r)
	}
	// Remove the rules that New rejects.
	for {
		_, problems := New(rules)
		if problems == nil {
			return rules
		}
		rules = slices.Delete(rules, problems[0].Index, problems[0].Index+1)
	}
}

// randomRequest returns a request made of the same words as randomRules.
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

// checkAgainstReference checks that Find agrees with referenceFind on random rules and requests.
func checkAgainstReference(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	rules := randomRules(rng, 1+rng.IntN(60))
	r := mustCompile(t, rules)
	shuffled := slices.Clone(rules)
	rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	shuffledRouter := mustCompile(t, shuffled)
	for range 60 {
		host, path, method, header := randomRequest(rng)
		got, ok := r.Find(host, path, method, header)
		if want := referenceFind(rules, host, path, method, header); !ok && want >= 0 || ok && got != want {
			t.Fatalf("seed %d: %s %s%s %v: rule %d, want %d of %+v", seed, method, host, path, header, got, want, rules)
		}
		// The order of the rules must not matter.
		if i, found := shuffledRouter.Find(host, path, method, header); found != ok || ok && shuffled[i].Name != rules[got].Name {
			t.Fatalf("seed %d: %s%s: rule %s for shuffled rules, want %s", seed, host, path, shuffled[i].Name, rules[got].Name)
		}
	}
}

func TestRouterFindAgreesWithReference(t *testing.T) {
	for seed := range uint64(300) {
		checkAgainstReference(t, seed)
	}
}

func FuzzRouterFindAgreesWithReference(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(checkAgainstReference)
}
