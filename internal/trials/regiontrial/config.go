package regiontrial

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"lockflow/internal/desiredstate"
)

//go:embed config.toml
var settingsTemplate string

// regionNames are the names of a trial's regions.
var regionNames = []string{"north", "south", "east"}

const regionCount = 3

// Regions returns the names of the regions.
func Regions() []string { return regionNames }

// Rates and bursts of the plans with a hard limit, in requests. The change lowers one of the two and raises the other, so
// that neither the old nor the new settings are the stricter ones and the change has to go through intermediate settings.
const (
	unitsLow  = 8
	unitsHigh = 16
)

// kind is a version of the settings of the whole fleet.
type kind int

const (
	before      kind = iota // the initial settings
	after                   // other gather settings, routes and hard limits
	conflicting             // lacks the route for a region's part of /visits, so that a query from another region is gathered a second time, in a loop
	harmful                 // like after, but with app servers that fail every request
)

// partRoute is the settings of a route for the part that a region contributes to the queries of another region.
const partRoute = "[[routes]]\nname = %q\nservice = \"here\"\npath = %q\nheaders = [\"Via\"]\n"

// settingsText returns the text of a region's settings.
func (r *run) settingsText(region int, k kind) string {
	gold, silver := unitsLow, unitsHigh
	names := []string{"here"}
	var otherServices, servers strings.Builder
	for i, name := range regionNames {
		if i == region {
			continue
		}
		names = append(names, name)
		fmt.Fprintf(&otherServices, "[services.%s]\nconnect_timeout = \"200ms\"\nidle = \"5s\"\nplans = [\"free\"]\nsource = { kind = \"static\", servers = [%s] }\n", name,
			serverList(name, r.fixture.listenerAddrs(i)))
	}
	gather := fmt.Sprintf("parts = [%q, %q, %q]\nweights = [2, 1, 1]\nleast = 0.5\nhalf_life = \"300ms\"\ndeadline = \"learned\"\n", names[0], names[1], names[2])
	routes := "[[routes]]\nname = \"list\"\nservice = \"app\"\npath = \"/list\"\n"
	app := serverList("app-"+regionNames[region], r.fixture.appAddrs(region))
	if k != before {
		gold, silver = unitsHigh, unitsLow
		gather = fmt.Sprintf("parts = [%q, %q, %q]\nleast = 0.3\nhalf_life = \"200ms\"\ndeadline = \"400ms\"\n", names[1], names[0], names[2])
		routes = strings.Replace(routes, "app", "district", 1) + fmt.Sprintf(partRoute, "list-part", "/list")
	}
	if k != conflicting {
		routes += fmt.Sprintf(partRoute, "district-part", "/visits")
	}
	if k == harmful {
		app = serverList("failing", []string{r.failing.Addr})
	}
	fmt.Fprint(&servers, otherServices.String())
	return strings.NewReplacer("@instances", strconv.Itoa(r.nodes()), "@gold", strconv.Itoa(gold), "@silver", strconv.Itoa(silver),
		"@app", app, "@customers", r.customersFile(), "@here", serverList("here-"+regionNames[region], []string{r.fixture.poolAddr(region)}),
		"@others", servers.String(), "@gather", gather, "@routes", routes).Replace(settingsTemplate)
}

func serverList(name string, addrs []string) string {
	var entries []string
	for i, a := range addrs {
		entries = append(entries, fmt.Sprintf("{ uid = \"%s-%d\", endpoint = %q }", name, i, a))
	}
	return strings.Join(entries, ", ")
}

func (r *run) customersFile() string { return filepath.Join(r.options.Dir, "customers.csv") }

// writeFleetFile writes a fleet file and the settings of its regions, and returns the path of the fleet file and the
// hashes of the settings.
func (r *run) writeFleetFile(name string, k kind) (path string, hashes []string, err error) {
	dir := filepath.Join(r.options.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", nil, fmt.Errorf("creating the directory of a fleet file: %w", err)
	}
	var file strings.Builder
	for i, region := range regionNames {
		text := r.settingsText(i, k)
		hashes = append(hashes, desiredstate.Hash([]byte(text)))
		if err := os.WriteFile(filepath.Join(dir, region+".toml"), []byte(text), 0o600); err != nil {
			return "", nil, fmt.Errorf("writing the settings of a region: %w", err)
		}
		var members []string
		for n := range r.options.NodesPerRegion {
			members = append(members, strconv.Quote(r.fixture.control(i*r.options.NodesPerRegion+n).Addr()))
		}
		fmt.Fprintf(&file, "[regions.%s]\nconfig = %q\nlisteners = [%q, %q]\nmembers = [%s]\nzone = %q\n", region, region+".toml",
			r.fixture.listenerAddrs(i)[0], r.fixture.listenerAddrs(i)[1], strings.Join(members, ", "), region)
	}
	file.WriteString("[[waivers]]\nkind = \"service\"\nregions = [\"north\", \"south\", \"east\"]\nrules = [\"list\", \"list-part\"]\n" +
		"reason = \"the list is gathered from this change on\"\nuntil = 2099-12-31\n")
	path = filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(file.String()), 0o600); err != nil {
		return "", nil, fmt.Errorf("writing a fleet file: %w", err)
	}
	return path, hashes, nil
}
