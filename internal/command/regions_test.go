package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lockflow/internal/regions"
)

// regionConfig returns a configuration of one service. replacements lists values for its placeholders, as KEY=VALUE
// separated by semicolons; the value of MORE is further lines.
func regionConfig(replacements string) string {
	text := `[process]
instances = 8
[[listeners]]
address = "HOST:80"
[classes.read]
repeats = "free"
[classes.write]
repeats = "TERMS"
[plans.gold]
ceiling_rate = RATE
ceiling_burst = BURST
[services.app]
source = { kind = "static", servers = [{ uid = "SERVER", endpoint = "SERVER:80" }] }
MORE
[[routes]]
name = "app"
service = "app"
prefix = "/app"
`
	values := map[string]string{"HOST": "north.example", "TERMS": "never", "RATE": "30", "BURST": "60", "SERVER": "a.example", "MORE": ""}
	for _, w := range strings.Split(replacements, ";") {
		if k, v, ok := strings.Cut(w, "="); ok && values[k] != "" || k == "MORE" {
			values[k] = v
		}
	}
	for k, v := range values {
		text = strings.ReplaceAll(text, k, v)
	}
	return text
}

// writeFleet writes a fleet file with the regions north and south, of four members each, and returns its path.
func writeFleet(t *testing.T, north, south, waivers string) string {
	t.Helper()
	dir, text := t.TempDir(), ""
	for name, region := range map[string]string{"north": north, "south": south} {
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(regionConfig(region)), 0o600); err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf("[regions.%s]\nconfig = '%s.toml'\nmembers = ['/%[1]s/0', '/%[1]s/1', '/%[1]s/2', '/%[1]s/3']\nlisteners = ['%[1]s.example:80']\n", name, name)
	}
	path := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(text+waivers), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func conflictKinds(all []regions.Conflict) (names []string) {
	for _, c := range all {
		names = append(names, string(c.Kind))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// gatherService returns a replacement with a scatter-gather service "all", to which /all is routed, and a service "pod".
func gatherService(settings string) string {
	return "MORE=[services.pod]\nsource={kind='static',servers=[{endpoint='pod.example:80'}]}\n[services.all.gather]\nmerge='json-array'\n" + settings +
		"\n[[routes]]\nname='all'\nservice='all'\nprefix='/all'\n"
}

const serviceB = "[services.b]\nsource = { kind = 'static', servers = [{ uid = 'b', endpoint = 'b.example:80' }] }\n"

// The command must report each kind of conflict with exit code 1, as JSON with a request that shows the conflict and as a
// table.
func TestCheckFleet(t *testing.T) {
	waiver := "[[waivers]]\nkind = 'coverage'\nregions = ['north', 'south']\nrules = ['x', 'app']\nreason = 'tried first'\nuntil = "
	x := "MORE=[[routes]]\nname = 'x'\nservice = 'app'\nprefix = '/x'\n"
	for name, tc := range map[string]struct{ north, south, more, conflictKinds string }{
		"none":                                  {"", "", "", ""},
		"service":                               {"MORE=" + serviceB + "[[routes]]\nname='x'\nservice='b'\nprefix='/app/x'\n", "MORE=" + serviceB + "[[routes]]\nname='x'\nservice='b'\nprefix='/app/y'\n", "", "service"},
		"coverage":                              {x, "", "", "coverage"},
		"terms":                                 {"TERMS=free", "", "", "terms"},
		"ceiling":                               {"RATE=30", "RATE=20", "", "ceiling"},
		"cold":                                  {"MORE=fall_multiple = 9.0", "MORE=fall_multiple = 0.2", "", "cold"},
		"loop":                                  {"SERVER=south.example", "SERVER=north.example", "", "loop"},
		"loop through a scatter-gather service": {"SERVER=south.example;" + gatherService("parts=['pod','app']"), "SERVER=north.example;" + gatherService("parts=['pod','app']"), "", "loop"},
		"loop through one of two":               {"SERVER=south.example;" + gatherService("parts=['pod','app']"), "MORE=" + strings.ReplaceAll(serviceB, "b.", "north.") + "[[routes]]\nname='all'\nservice='b'\nprefix='/all'\n", "", "coverage loop service"},
		"equal scatter-gather services":         {gatherService("parts=['pod','app']"), gatherService("parts=['pod','app']"), "", ""},
		"different wait times of scatter-gather services": {gatherService("parts=['pod','app']"), gatherService("parts=['pod','app']\ndeadline='1s'\nhalf_life='2s'"), "", ""},
		"different parts of scatter-gather services":      {gatherService("parts=['pod','app']"), gatherService("parts=['pod']"), "", "service"},
		"a route to a scatter-gather service":             {gatherService("parts=['pod']"), gatherService("parts=['pod']") + "[[routes]]\nname='x'\nservice='all'\nprefix='/x'\n", "", "coverage"},
		"dead":                                            {x + "[[routes]]\nname = 'k'\nservice = 'app'\nclass = 'x'\n", x, "", "dead"},
		"waived":                                          {x, "", waiver + "2999-01-01", ""},
		"expired":                                         {x, "", waiver + "2020-01-01", "coverage waiver"},
		"unused":                                          {"", "", waiver + "2999-01-01", "waiver"},
	} {
		path := writeFleet(t, tc.north, tc.south, tc.more)
		code, out, errs := runCommand(t, nil, "check", "--fleet", path, "--json")
		var got findings
		if err := json.Unmarshal([]byte(out), &got); err != nil {
			t.Errorf("%s: %v\n%s%s", name, err, out, errs)
			continue
		}
		if strings.Join(conflictKinds(got.Conflicts), " ") != tc.conflictKinds || (code == ExitOK) != (tc.conflictKinds == "") || code == ExitUsage {
			t.Errorf("%s: got exit code %d and output\n%s%s", name, code, out, errs)
		}
		for _, c := range got.Conflicts {
			if len(c.Regions) == 0 || len(c.Rules) == 0 || c.Why == "" || (c.Witness == nil) != slices.Contains([]regions.Kind{"ceiling", "cold", "waiver"}, c.Kind) {
				t.Errorf("%s: got incomplete conflict %+v", name, c)
			}
		}
		if tableCode, out, _ := runCommand(t, nil, "check", "--fleet", path); tableCode != code || len(got.Conflicts) > 0 && !strings.Contains(out, got.Conflicts[0].Why) || code == ExitOK && !strings.Contains(out, "fine: 2 regions, 8 members") {
			t.Errorf("%s: exit %d\n%s", name, tableCode, out)
		}
	}
}

// A plan must report the order of the regions, the conflicts that prevent one, and intermediate settings that allow one.
func TestPlanFleet(t *testing.T) {
	movedRoute := func(to string) string {
		return "MORE=" + serviceB + "[[routes]]\nname='x'\nservice='" + to + "'\nprefix='/x'\n[[routes]]\nname='y'\nservice='b'\nprefix='/y'\n"
	}
	for name, tc := range map[string]struct{ old, new, more, conflictKinds, order, cycle string }{
		"nothing":                    {"", "", "", "", "", ""},
		"one after the other":        {"RATE=40", "RATE=50", "", "", "north south", ""},
		"both get a route":           {"", movedRoute("b"), "", "", "north south", ""},
		"through the smaller values": {"RATE=40;BURST=60", "RATE=50;BURST=50", "", "ceiling", "north (intermediate) south (intermediate) north south", "north south"},
		"both move a route":          {movedRoute("app"), movedRoute("b"), "", "service", "", "north south"},
		"both move a route, waived": {
			movedRoute("app"), movedRoute("b"), "[[waivers]]\nkind='service'\nregions=['north', 'south']\nrules=['x']\nreason='moves'\nuntil=2999-01-01", "",
			"north south", "",
		},
	} {
		old, new := writeFleet(t, tc.old, tc.old, ""), writeFleet(t, tc.new, tc.new, tc.more)
		code, out, errs := runCommand(t, nil, "plan", "--fleet", old, new, "--json")
		var got findings
		if err := json.Unmarshal([]byte(out), &got); err != nil {
			t.Errorf("%s: %v\n%s%s", name, err, out, errs)
			continue
		}
		all := []string{strings.Join(conflictKinds(got.Conflicts), " "), strings.Join(got.Order, " "), strings.Join(got.Cycle, " ")}
		if !slices.Equal(all, []string{tc.conflictKinds, tc.order, tc.cycle}) || (code == ExitOK) != (tc.conflictKinds == "") {
			t.Errorf("%s: got exit code %d; conflicts, order and cycle %q\n%s%s", name, code, all, out, errs)
		}
		for _, intermediate := range got.Intermediate {
			if !strings.Contains(intermediate.Text, "ceiling_rate = 40.0") || !strings.Contains(intermediate.Text, "ceiling_burst = 50.0") || len(intermediate.Changes) != 1 || len(intermediate.Hash) != 64 {
				t.Errorf("%s: got unexpected intermediate configuration %+v", name, intermediate)
			}
		}
		if tableCode, out, _ := runCommand(t, nil, "plan", "--fleet", old, new); tableCode != code || len(got.Order) > 0 && !strings.Contains(out, "1. "+got.Order[0]) {
			t.Errorf("%s: exit %d\n%s", name, tableCode, out)
		}
	}
}

// An invalid fleet file must be reported by file, line and key, with exit code 2.
func TestUnusableFleet(t *testing.T) {
	bad := writeFleet(t, "", "", "x = 1\n")
	for _, args := range [][]string{{"check", "--fleet", bad}, {"check", "--fleet", bad + "no"}, {"plan", "--fleet", bad, bad}, {"plan", "--fleet", bad}, {"check", "--fleet", bad, bad}} {
		code, out, errs := runCommand(t, nil, args...)
		if code != ExitUsage || out != "" || !strings.Contains(errs, "lockflow: ") && !strings.Contains(errs, "fleet.toml:9: regions.south.x: unknown key") && !strings.Contains(errs, "fleet.toml:9: regions.north.x: unknown key") && !strings.Contains(errs, "no such file") {
			t.Errorf("%v: got exit code %d and output\n%s%s", args, code, out, errs)
		}
	}
	code, out, errs := runCommand(t, nil, "check", "--fleet", "../../deploy/fleet.toml")
	if code != ExitOK || !strings.Contains(out, "2 regions") {
		t.Errorf("deploy/fleet.toml: got exit code %d and output\n%s%s", code, out, errs)
	}
}
