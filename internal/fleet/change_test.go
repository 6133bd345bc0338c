package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lockflow/internal/desiredstate"
	"lockflow/internal/regions/mixture"
	"lockflow/internal/rollout"
)

// settingsOf returns a configuration with the hard limits of two plans, a class and a group size.
func settingsOf(rate1, rate2 int, class string, instances int) []byte {
	return fmt.Appendf(nil, `protocol = "platform"
[process]
instances = %d
[[listeners]]
address = "127.0.0.1:0"
[classes.write]
aim = "1s"
deadline = "4s"
%s
[plans.a]
ceiling_rate = %d
ceiling_burst = 40
[plans.b]
ceiling_rate = %d
ceiling_burst = 40
[services.s]
source = { kind = "static", servers = [{ endpoint = "127.0.0.1:1" }] }
[[routes]]
service = "s"
as = "write"
`, instances, class, rate1, rate2)
}

const withKey, notIdempotent = "repeats = \"keyed\"\nkey_scope = \"group\"\nrepeat_window = \"30s\"", `repeats = "never"`

func TestIntermediateSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		old, new []byte
		want     string
	}{
		"more in all":        {settingsOf(10, 10, notIdempotent, 4), settingsOf(20, 20, notIdempotent, 4), ""},
		"less in all":        {settingsOf(20, 20, notIdempotent, 4), settingsOf(10, 10, notIdempotent, 4), ""},
		"more and less":      {settingsOf(10, 20, notIdempotent, 4), settingsOf(20, 10, notIdempotent, 4), "ceiling_rate = 10"},
		"terms and ceilings": {settingsOf(10, 10, withKey, 4), settingsOf(20, 20, notIdempotent, 4), "never"},
		"a larger group":     {settingsOf(10, 10, notIdempotent, 4), settingsOf(20, 20, notIdempotent, 5), "instances = 5"},
	} {
		got, err := IntermediateSettings(tc.old, tc.new)
		if err != nil || (got == nil) != (tc.want == "") || !strings.Contains(strings.ReplaceAll(string(got), "'", `"`), tc.want) {
			t.Errorf("%s: %s, %v", name, got, err)
		}
	}
}

// Whatever old and new settings are: no step to, from or without intermediate settings needs others.
func TestIntermediateSettingsAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(which string) []byte {
			class := rapid.SampledFrom([]string{withKey, notIdempotent, `repeats = "free"`, strings.Replace(withKey, "30s", "9s", 1)}).Draw(t, which)
			n := func(what string) int { return rapid.IntRange(1, 4).Draw(t, which+what) }
			return settingsOf(n("a"), n("b"), class, n("instances"))
		}
		old, new := draw("old"), draw("new")
		mid, err := IntermediateSettings(old, new)
		if err != nil {
			t.Fatal(err)
		}
		steps := [][]byte{old, mid, new}
		if mid == nil {
			steps = [][]byte{old, new}
		}
		for i := range len(steps) - 1 {
			a, _ := asRegion("a", steps[i])
			b, _ := asRegion("b", steps[i+1])
			if len(mixture.Phases(a, b)) > 0 {
				t.Fatalf("%s\nand\n%s\nmay not stand side by side", steps[i], steps[i+1])
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"form":1,"kind":"settings","plan":{"members":[{"name":"0","gens":["a","b"]}]},"sockets":["/s"]}`), []byte(`{"entry":{"kind":"epoch"}}`))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		c, entries, err := decode([][]byte{first, second})
		if err != nil {
			return
		}
		// What was read can be gone on with, or is refused; it breaks nothing.
		if r, err := rollout.Resume(c.Plan, "o", rand.New(rand.NewPCG(1, 1)), entries, len(first)%2 == 0); err == nil {
			r.Handle(0, rollout.Tick{})
			r.Handle(time.Second, rollout.MemberStatus{IsServing: true, Version: "a"})
		}
	})
}

// Records of a rollout log count only if all of them can be decoded.
func TestDecode(t *testing.T) {
	fine := fmt.Sprintf(`{"form":1,"kind":"settings","plan":{"members":[{"name":"0","gens":["a","b"]}]},"sockets":["/s"],"texts":{%q:"x"}}`, desiredstate.Hash([]byte("x")))
	for name, tc := range map[string]struct {
		records []string
		want    string
	}{
		"none":          {nil, ""},
		"fine":          {[]string{fine, `{"entry":{"kind":"epoch","epoch":3}}`}, ""},
		"no JSON":       {[]string{"{"}, "its change"},
		"another form":  {[]string{`{"form":2}`}, "form 2"},
		"no kind":       {[]string{`{"form":1,"kind":"magic"}`}, "no known kind"},
		"no socket":     {[]string{strings.Replace(fine, `"/s"`, ``, 1)}, "1 members and 0 sockets"},
		"another text":  {[]string{strings.Replace(fine, `"x"`, `"y"`, 1)}, "do not have their hash"},
		"no generation": {[]string{strings.Replace(fine, `"a",`, ``, 1)}, "1 generations"},
		"a bad record":  {[]string{fine, "nonsense"}, "record 2"},
	} {
		var raw [][]byte
		for _, r := range tc.records {
			raw = append(raw, []byte(r))
		}
		_, entries, err := decode(raw)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) || err == nil && len(raw) > 1 && entries[0].Epoch != 3 {
			t.Errorf("%s: %+v, %v", name, entries, err)
		}
	}
	for _, c := range []struct {
		last rollout.Entry
		want string
	}{
		{rollout.Entry{Kind: rollout.EntryBake}, "it was interrupted at bake"},
		{rollout.Entry{Kind: rollout.EntryEnd, Outcome: string(rollout.ResultDone)}, ""},
		{rollout.Entry{Kind: rollout.EntryEnd, Outcome: string(rollout.ResultStopped)}, "stopped"},
	} {
		j := RolloutLog{Change: &Change{}, Entries: []rollout.Entry{c.last}}
		if got := j.Unfinished(); got != c.want {
			t.Errorf("%+v: %q", c.last, got)
		}
	}
}
