package fleetfile

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"
	"reflect"
	"strings"
	"testing"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/regions"
	"lockflow/internal/regions/mixture"
)

const baseText = `protocol = "http"
[process]
instances = 4
[[listeners]]
address = "10.0.0.1:80"
[classes.read]
repeats = "free"
[classes.write]
repeats = "never"
[plans.gold]
ceiling_rate = 30
ceiling_burst = 60
[services.app]
source = { kind = "static", servers = [{ uid = "a", endpoint = "10.1.0.1:80" }] }
[[routes]]
name = "all"
service = "app"
[[routes]]
name = "old"
service = "app"
prefix = "/old"
`

const changeText = `without = ["routes.old", "classes.read"]
[process]
instances = 6
[[routes]]
name = "all"
service = "app"
method = "GET"
[[routes]]
name = "new"
service = "app"
prefix = "/new"
[classes.a]
repeats = "never"
[services.aa]
source = { kind = "file", path = "/a" }
[[routes]]
name = "aa"
service = "aa"
prefix = "/aa"
`

const validFile = `base = "base.toml"
[regions.north]
members = ["/run/0.sock", { socket = "/run//1.sock", zone = "b" }]
zone = "a"
[regions.south]
change = "sub/south.toml"
members = ["/run/2.sock"]
listeners = ["south.example:80"]
instances = 8
[[waivers]]
kind = "coverage"
regions = ["north", "south"]
rules = ["new", "old"]
reason = "south tries it first"
until = 2027-01-31
[[waivers]]
kind = "ceiling"
regions = ["south"]
rules = ["gold"]
reason = "r"
until = "2026-01-31"
`

func files(more ...string) func(string) ([]byte, error) {
	all := map[string]string{"/f/base.toml": baseText, "/f/sub/south.toml": changeText, "/f/bad.toml": baseText + "x = 1\n"}
	for i := 0; i < len(more); i += 2 {
		all["/f/"+more[i]] = more[i+1]
	}
	return func(path string) ([]byte, error) {
		if text, ok := all[path]; ok {
			return []byte(text), nil
		}
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
}

func TestRegions(t *testing.T) {
	f, err := Parse("/f/FLEET.toml", []byte(validFile), files())
	if err != nil {
		t.Fatal(err)
	}
	all := f.Regions()
	north, south := all[0], all[1]
	if m := f.All[0].Members; !reflect.DeepEqual(m, []Member{{"/run/0.sock", "a"}, {"/run/1.sock", "b"}}) {
		t.Errorf("members %+v", m)
	}
	if north.Instances != 4 || north.Members != 2 || south.Instances != 8 || south.Listeners[0] != "south.example:80" || north.Listeners[0] != "10.0.0.1:80" {
		t.Errorf("regions %+v\n%+v", north, south)
	}
	if s := south.Services[1]; !s.GenericHTTP || s.Servers[0] != "a" || s.Destinations[0] != "10.1.0.1:80" || s.Source != "" || s.Plans[0].HardLimitRate != 30 {
		t.Errorf("service %+v", s)
	}
	var got []string
	for _, r := range south.Routes {
		got = append(got, r.Name+" "+r.Method+map[bool]string{true: " base"}[r.Base])
	}
	if want := "all GET,new ,aa "; strings.Join(got, ",") != want || south.Routes[1].Line != 8 || !north.Routes[1].Base || north.Routes[1].Line != 0 {
		t.Errorf("routes %q, lines %+v", got, south.Routes)
	}
	for _, region := range f.All {
		reparsed, err := config.Parse("text", region.Text)
		if sum := sha256.Sum256(region.Text); err != nil || !reflect.DeepEqual(reparsed, region.Config) || hex.EncodeToString(sum[:]) != region.Hash {
			t.Errorf("%s: the text does not parse to the same configuration: %v\n%s", region.Name, err, region.Text)
		}
	}
	// A complete configuration is passed on to members unchanged, byte for byte.
	f, err = Parse("/f/FLEET.toml", []byte("[regions.a]\nconfig='base.toml'\nmembers=['/a']"), files())
	if err != nil || string(f.All[0].Text) != baseText || f.Regions()[0].Routes[1].Line != 18 {
		t.Errorf("error %v, file %+v", err, f)
	}
}

// A scatter-gather service appears as a service of its name, with the destinations of all services that it queries
// and the file's classes. The plans and servers of its parts appear with the parts only.
func TestGatherService(t *testing.T) {
	const inner = "[services.pod]\nsource={kind='static',servers=[{endpoint='10.9.0.1:80'}]}\n[services.west.gather]\nparts=['pod']\nmerge='ndjson'\n" +
		"[services.all.gather]\nparts=['app','west']\nmerge='ndjson'\nLEAST\n[[routes]]\nname='many'\nservice='all'\nprefix='/all'\n"
	regionWith := func(extra string) regions.Region {
		f, err := Parse("/f/FLEET.toml", []byte("[regions.a]\nconfig='g.toml'\nmembers=['/a']"), files("g.toml", baseText+strings.Replace(inner, "LEAST", extra, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return f.Regions()[0]
	}
	r := regionWith("")
	all, app := r.Services[3], r.Services[0]
	if all.Name != "all" || !all.GenericHTTP || all.Gather != "app, west [pod as ndjson, at least 0.5] as ndjson, at least 0.5" ||
		strings.Join(all.Destinations, " ") != "10.1.0.1:80 10.9.0.1:80" || all.Servers != nil || all.Plans != nil || !reflect.DeepEqual(all.Classes, app.Classes) || r.Instances != 4 {
		t.Errorf("gather service %+v", all)
	}
	for _, other := range []string{"least=0.6", "weights=[2,1]"} {
		if regionWith(other).Services[3].Gather == all.Gather {
			t.Errorf("%s does not change the description", other)
		}
	}
	if regionWith("deadline='none'\nhalf_life='2s'").Services[3].Gather != all.Gather || regionWith("weights=[2,2]").Services[3].Gather != all.Gather {
		t.Error("settings that no answer shows change the description")
	}
}

// Each error is reported on one line, with file, line and key.
func TestInvalidFileErrors(t *testing.T) {
	region := func(more string) string { return "[regions.a]\nconfig = 'base.toml'\nmembers = ['/a']\n" + more }
	waiver := "[[waivers]]\nkind='dead'\nregions=['a']\nrules=['x']\nreason='r'\n"
	for text, want := range map[string]string{
		"":                          "FLEET.toml:1: regions: there is none",
		"x = 1\n" + region(""):      "FLEET.toml:1: x: unknown key",
		region("x = 1"):             "FLEET.toml:4: regions.a.x: unknown key",
		region("zone = 1"):          "FLEET.toml:4: regions.a.zone: it has to be a text",
		region("change = 'c.toml'"): "FLEET.toml:4: regions.a.change: not beside config",
		region("listeners = ['x']"): "FLEET.toml:4: regions.a.listeners: \"x\" is no host:port",
		region("[regions.b]\nconfig='base.toml'\nmembers=['/b', '/a']"):      "FLEET.toml:6: regions.b.members: \"/a\" is a member of region a too",
		"[regions.a]\nconfig='base.toml'\nmembers=['/a',\n'//a']":            "FLEET.toml:3: regions.a.members: \"//a\" is given twice",
		"[regions.a]\nconfig='base.toml'\nmembers=[]":                        "FLEET.toml:3: regions.a.members: the region is empty",
		"[regions.a]\nconfig='base.toml'":                                    "FLEET.toml:1: regions.a.members: the region is empty",
		"[regions.a]\nconfig='base.toml'\nmembers=['a']":                     "FLEET.toml:3: regions.a.members: \"a\" is no absolute path",
		"[regions.a]\nconfig='base.toml'\nmembers=[{socket='/a', y=1}]":      "FLEET.toml:3: regions.a.members[1].y: unknown key",
		"[regions.a]\nmembers=['/a']":                                        "FLEET.toml:1: regions.a.config: it has to be said",
		"[regions.a]\nchange='x'\nmembers=['/a']":                            "FLEET.toml:2: regions.a.change: there is no base",
		"[regions.a]\nconfig='no.toml'\nmembers=['/a']":                      "FLEET.toml:2: regions.a.config: open /f/no.toml: file does not exist",
		"[regions.a]\nconfig='bad.toml'\nmembers=['/a']":                     "/f/bad.toml:22: routes[2].x: unknown key",
		"[regions.'a b']\nconfig='base.toml'\nmembers=['/a']":                "FLEET.toml:1: regions.a b: \"a b\" is no name",
		"base='base.toml'\n" + region(""):                                    "FLEET.toml:1: base: every region has a config",
		"base='no.toml'\n[regions.a]\nmembers=['/a']":                        "FLEET.toml:1: base: open",
		"base='base.toml'\n[regions.a]\nchange='lost.toml'\nmembers=['/a']":  "/f/lost.toml:1: without: \"routes.none\" is not in the base",
		"base='base.toml'\n[regions.a]\nchange='wrong.toml'\nmembers=['/a']": "/f/wrong.toml:3: routes[3].service: \"nope\" is no service",
		region(waiver):                  "FLEET.toml:4: waivers[1].until: a waiver needs an end",
		region(waiver + "until='soon'"): "FLEET.toml:9: waivers[1].until: \"soon\" is no date",
		region(waiver + "until=7"):      "FLEET.toml:9: waivers[1].until: it has to be a date",
		region("[[waivers]]\nkind='luck'\nregions=['b']\nrules=['x']\nreason='r'\nuntil=2027-01-01"): "FLEET.toml:5: waivers[1].kind: \"luck\" is none of service,\nFLEET.toml:6: waivers[1].regions: \"b\" is no region",
		"[regions": "FLEET.toml:1: ",
	} {
		_, err := Parse("/f/FLEET.toml", []byte(text), files("lost.toml", "without = ['routes.none']", "wrong.toml", "[[routes]]\nname='n'\nservice='nope'\nprefix='/n'"))
		got, lines := config.FieldErrors(nil), strings.Split(want, "\n")
		if !errors.As(err, &got) || len(got) != len(lines) {
			t.Errorf("%s\ngot %v\nwant %s", text, err, want)
			continue
		}
		for i, line := range lines {
			if !strings.Contains(got[i].Error(), line) {
				t.Errorf("%s\ngot %v\nwant %s", text, got[i], line)
			}
		}
	}
	if _, err := Load(t.TempDir() + "/none"); !errors.As(err, new(config.FieldErrors)) {
		t.Error(err)
	}
}

func TestWaive(t *testing.T) {
	f, err := Parse("/f/FLEET.toml", []byte(validFile), files())
	if err != nil {
		t.Fatal(err)
	}
	c := func(kind regions.Kind, names, rules string) regions.Conflict {
		return regions.Conflict{Kind: kind, Regions: strings.Fields(names), Rules: strings.Split(rules, " ")}
	}
	for day, want := range map[string]string{"2026-01-31": "", "2026-02-01": "ceiling waiver", "2027-01-31": "ceiling waiver", "2027-02-01": "coverage ceiling waiver waiver"} {
		now, _ := time.Parse(time.DateOnly, day)
		var got []string
		for _, left := range f.Waive([]regions.Conflict{c("coverage", "north south", "new "), c("ceiling", "south", "gold")}, now.Add(23*time.Hour)) {
			got = append(got, string(left.Kind))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: conflicts left %q, not %q", day, got, want)
		}
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	others := []regions.Conflict{c("service", "north south", "new"), c("coverage", "north east", "new"), c("coverage", "north south", "new all"), c("coverage", "north south", "")}
	if left := f.Waive(others, now); len(left) != len(others)+2 || left[4].Kind != WaiverKind || !strings.Contains(left[4].Why, "FLEET.toml:10: ") || !strings.Contains(left[4].Why, "waives nothing") {
		t.Errorf("conflicts left %+v", left)
	}
}

// The settings that package mixture proposes can be written into a region's own configuration, whichever of them
// differ.
func TestIntermediate(t *testing.T) {
	const first = "[services.app]\ncold='4s'\n[classes.w]\nrepeats='keyed'\nkey_scope='zone'\nrepeat_window='9s'\n[plans.gold]\nceiling_rate=20\nceiling_burst=90\nceiling_slack=3\n[process]\ninstances=3\n"
	const second = "[services.app]\ncold='8s'\ncold_from=0.5\n[classes.w]\nrepeats='keyed'\nkey_scope='group'\nrepeat_window='20s'\n[plans.gold]\nceiling_slack=1\n"
	var regionsToMix []Region
	for _, change := range []string{first, second} {
		f, err := Parse("/f/FLEET.toml", []byte("base='base.toml'\n[regions.a]\nchange='sub/south.toml'\nmembers=['/a']"), files("sub/south.toml", change))
		if err != nil {
			t.Fatal(err)
		}
		regionsToMix = append(regionsToMix, f.All[0])
	}
	mid := mixture.Strictest(regionsToMix[0].Region(), regionsToMix[1].Region())
	got, err := regionsToMix[0].Intermediate(mid)
	if err != nil || got.Hash == regionsToMix[0].Hash || got.Region().Instances != mid.Instances {
		t.Fatalf("%v\n%s", err, got.Text)
	}
	for _, want := range []string{"instances = 4", "ceiling_rate = 20.0", "ceiling_burst = 60.0", "ceiling_slack = 1.0", "cold = '8s'", "cold_from = 0.15", "repeat_window = '9s'", "key_scope = 'group'"} {
		if !strings.Contains(string(got.Text), want) {
			t.Errorf("%s missing in\n%s", want, got.Text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile, changeText)
	f.Add("[regions.a]\nconfig='base.toml'\nmembers=['/a', {socket=1}]", "[services]\napp = 1\nroutes = [1]")
	f.Add("base='base.toml'\n[regions.a]\nchange='sub/south.toml'\nmembers=['/a']", "without=['services.app.source.kind','routes.','.']\n[plans.x]\nprice=inf\nd=1979-05-27T07:32:00")
	f.Fuzz(func(t *testing.T, fleet, changed string) {
		got, err := Parse("/f/FLEET.toml", []byte(fleet), files("sub/south.toml", changed))
		if problems := config.FieldErrors(nil); err != nil && (!errors.As(err, &problems) || len(problems) == 0) {
			t.Errorf("error of type %T: %v", err, err)
		}
		for _, region := range got.All {
			reparsed, err := config.Parse("text", region.Text)
			if err != nil || len(region.Members) == 0 || !reflect.DeepEqual(reparsed, region.Config) {
				t.Errorf("region %+v: %v", region, err)
			}
		}
	})
}
