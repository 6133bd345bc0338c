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

// renderSettings returns a configuration with the given hard limits of two plans, class settings and group size.
func renderSettings(rate1, rate2 int, class string, instances int) []byte {
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
		"all limits higher":              {renderSettings(10, 10, notIdempotent, 4), renderSettings(20, 20, notIdempotent, 4), ""},
		"all limits lower":               {renderSettings(20, 20, notIdempotent, 4), renderSettings(10, 10, notIdempotent, 4), ""},
		"one limit higher, one lower":    {renderSettings(10, 20, notIdempotent, 4), renderSettings(20, 10, notIdempotent, 4), "ceiling_rate = 10"},
		"class settings and hard limits": {renderSettings(10, 10, withKey, 4), renderSettings(20, 20, notIdempotent, 4), "never"},
		"larger group":                   {renderSettings(10, 10, notIdempotent, 4), renderSettings(20, 20, notIdempotent, 5), "instances = 5"},
	} {
		got, err := IntermediateSettings(tc.old, tc.new)
		if err != nil || (got == nil) != (tc.want == "") || !strings.Contains(strings.ReplaceAll(string(got), "'", `"`), tc.want) {
			t.Errorf("%s: got intermediate settings %s, %v", name, got, err)
		}
	}
}

// For arbitrary old and new settings, each step of a change (old to intermediate to new, or old to new) has settings
// that may be in force at the same time, so that no step needs further intermediate settings.
func TestIntermediateSettingsNeedNoFurtherStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawSettings := func(which string) []byte {
			class := rapid.SampledFrom([]string{withKey, notIdempotent, `repeats = "free"`, strings.Replace(withKey, "30s", "9s", 1)}).Draw(t, which)
			drawNumber := func(what string) int { return rapid.IntRange(1, 4).Draw(t, which+what) }
			return renderSettings(drawNumber("a"), drawNumber("b"), class, drawNumber("instances"))
		}
		old, new := drawSettings("old"), drawSettings("new")
		intermediate, err := IntermediateSettings(old, new)
		if err != nil {
			t.Fatal(err)
		}
		steps := [][]byte{old, intermediate, new}
		if intermediate == nil {
			steps = [][]byte{old, new}
		}
		for i := range len(steps) - 1 {
			a, _ := parseRegion("a", steps[i])
			b, _ := parseRegion("b", steps[i+1])
			if len(mixture.Phases(a, b)) > 0 {
				t.Fatalf("settings\n%s\nand\n%s\nmay not be in force at the same time", steps[i], steps[i+1])
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
		// A change that decodes is either resumed or rejected, and events after that don't panic.
		if r, err := rollout.Resume(c.Plan, "o", rand.New(rand.NewPCG(1, 1)), entries, len(first)%2 == 0); err == nil {
			r.Handle(0, rollout.Tick{})
			r.Handle(time.Second, rollout.MemberStatus{IsServing: true, Version: "a"})
		}
	})
}

// The records of a rollout log are used only if all of them can be decoded, and an unfinished change is recognized by its
// last entry.
func TestDecode(t *testing.T) {
	validChange := fmt.Sprintf(`{"form":1,"kind":"settings","plan":{"members":[{"name":"0","gens":["a","b"]}]},"sockets":["/s"],"texts":{%q:"x"}}`, desiredstate.Hash([]byte("x")))
	for name, tc := range map[string]struct {
		records []string
		want    string
	}{
		"none":                        {nil, ""},
		"fine":                        {[]string{validChange, `{"entry":{"kind":"epoch","epoch":3}}`}, ""},
		"no JSON":                     {[]string{"{"}, "decoding the change"},
		"unknown format version":      {[]string{`{"form":2}`}, "format version 2"},
		"unknown kind":                {[]string{`{"form":1,"kind":"magic"}`}, `unknown kind "magic"`},
		"missing socket":              {[]string{strings.Replace(validChange, `"/s"`, ``, 1)}, "1 members but 0 control sockets"},
		"text doesn't match its hash": {[]string{strings.Replace(validChange, `"x"`, `"y"`, 1)}, "do not match their hash"},
		"missing generation":          {[]string{strings.Replace(validChange, `"a",`, ``, 1)}, "1 generations"},
		"malformed record":            {[]string{validChange, "nonsense"}, "record 2"},
	} {
		var raw [][]byte
		for _, r := range tc.records {
			raw = append(raw, []byte(r))
		}
		_, entries, err := decode(raw)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) || err == nil && len(raw) > 1 && entries[0].Epoch != 3 {
			t.Errorf("%s: got entries %+v, error %v", name, entries, err)
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
		log := RolloutLog{Change: &Change{}, Entries: []rollout.Entry{c.last}}
		if got := log.Unfinished(); got != c.want {
			t.Errorf("Unfinished with last entry %+v: got %q", c.last, got)
		}
	}
}
