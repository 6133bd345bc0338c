package fleetfile

import (
	"fmt"
	"strings"
	"testing"

	"lockflow/internal/regions"
)

// A scatter-gather service forwards to wherever its parts do: regions that gather from each other form a loop, unless
// a route recognises requests from another region by their Via header and sends them to servers.
func TestLoopsThroughGatherServices(t *testing.T) {
	text := func(other, more string) []byte {
		return []byte(fmt.Sprintf(`[services.here]
source = { kind = "static", servers = [{ endpoint = "127.0.0.1:9001" }] }
[services.there]
source = { kind = "static", servers = [{ endpoint = %q }] }
[services.lower.gather]
parts = ["there"]
merge = "ndjson"
[services.district.gather]
parts = ["here", "lower"]
merge = "ndjson"
[[listeners]]
address = "127.0.0.1:0"
[[routes]]
name = "district"
service = "district"
path = "/visits"
`, other) + more)
	}
	for more, want := range map[string]int{
		"": 1,
		"[[routes]]\nname = \"part\"\nservice = \"here\"\npath = \"/visits\"\nheaders = [\"Via\"]\n": 0,
	} {
		files := map[string][]byte{"n.toml": text("10.0.0.2:80", more), "s.toml": text("10.0.0.1:80", more)}
		f, err := Parse("f.toml", []byte("[regions.n]\nconfig = \"n.toml\"\nlisteners = [\"10.0.0.1:80\"]\nmembers = [\"/run/n\"]\n[regions.s]\nconfig = \"s.toml\"\nlisteners = [\"10.0.0.2:80\"]\nmembers = [\"/run/s\"]\n"),
			func(path string) ([]byte, error) { return files[path[strings.LastIndex(path, "/")+1:]], nil })
		if err != nil {
			t.Fatal(err)
		}
		got := regions.Check(f.Regions())
		loops := 0
		for _, c := range got {
			if c.Kind != regions.LoopKind || c.Severity != regions.Error || c.Witness == nil || c.Witness.Path != "/visits" || c.Witness.Headers["Via"] != nil && more == "" {
				t.Errorf("conflict %+v", c)
			}
			loops++
		}
		if loops != want {
			t.Errorf("extra routes %q: %d loops: %+v", more, loops, got)
		}
	}
}
