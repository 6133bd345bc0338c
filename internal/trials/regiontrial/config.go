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
var template string

// regionNames are the regions of a trial, in the order of a gathered result.
var regionNames = []string{"north", "south", "east"}

const regionCount = 3

// Regions returns the names of the regions of a trial. The slice must not be changed.
func Regions() []string { return regionNames }

// Rates (a second) and bursts of the plans with a hard limit, in requests. The change lowers one of the two
// plans and raises the other, so that neither end is the stricter and the change needs intermediate settings.
const (
	unitsLow  = 8
	unitsHigh = 16
)

// configKind is one configuration of the complete fleet.
type configKind int

const (
	oldConfig         configKind = iota // all run it at first
	newConfig                           // other gather settings, routes and hard limits
	conflictingConfig                   // what arrives through another region is gathered again, which loops
	harmfulConfig                       // as newConfig, with a server that fails every request
)

// configKinds are all kinds, by the names of their directories.
var configKinds = map[string]configKind{
	"before": oldConfig, "after": newConfig, "conflicting": conflictingConfig, "harmful": harmfulConfig,
}

// fleetConfig is a fleet file and the hashes of its regions' configurations.
type fleetConfig struct {
	file   string   // path
	hashes []string // by region
}

// partRoute is a route by which a region accepts its part of what another gathers. The arguments are a name
// and a path.
const partRoute = "[[routes]]\nname = %q\nservice = \"here\"\npath = %q\nheaders = [\"Via\"]\n"

// regionConfig returns the configuration of a region.
func (r *run) regionConfig(region int, kind configKind) string {
	names := []string{"here"}
	var peers strings.Builder
	for i, name := range regionNames {
		if i == region {
			continue
		}
		names = append(names, name)
		fmt.Fprintf(&peers, "[services.%s]\nconnect_timeout = \"200ms\"\nidle = \"5s\"\nplans = [\"free\"]\nsource = { kind = \"static\", servers = [%s] }\n", name,
			serverList(name, r.fixture.entryAddresses(i)))
	}
	gold, silver := unitsLow, unitsHigh
	gather := fmt.Sprintf("parts = [%q, %q, %q]\nweights = [2, 1, 1]\nleast = 0.5\nhalf_life = \"300ms\"\ndeadline = \"learned\"\n", names[0], names[1], names[2])
	routes := "[[routes]]\nname = \"list\"\nservice = \"app\"\npath = \"/list\"\n"
	if kind != oldConfig {
		gold, silver = unitsHigh, unitsLow
		gather = fmt.Sprintf("parts = [%q, %q, %q]\nleast = 0.3\nhalf_life = \"200ms\"\ndeadline = \"400ms\"\n", names[1], names[0], names[2])
		routes = strings.Replace(routes, "app", "district", 1) + fmt.Sprintf(partRoute, "list-part", "/list")
	}
	if kind != conflictingConfig {
		routes += fmt.Sprintf(partRoute, "district-part", "/visits")
	}
	app := serverList("app-"+regionNames[region], r.fixture.appAddresses(region))
	if kind == harmfulConfig {
		app = serverList("failing", []string{r.failingServer.addr})
	}
	return strings.NewReplacer(
		"@instances", strconv.Itoa(r.nodes()),
		"@gold", strconv.Itoa(gold),
		"@silver", strconv.Itoa(silver),
		"@app", app,
		"@customers", r.customersPath(),
		"@here", serverList("here-"+regionNames[region], []string{r.fixture.poolAddress(region)}),
		"@others", peers.String(),
		"@gather", gather,
		"@routes", routes,
	).Replace(template)
}

// serverList returns static servers as items of a TOML list. Their UIDs start with a name.
func serverList(name string, addresses []string) string {
	var servers []string
	for i, address := range addresses {
		servers = append(servers, fmt.Sprintf("{ uid = \"%s-%d\", endpoint = %q }", name, i, address))
	}
	return strings.Join(servers, ", ")
}

func (r *run) customersPath() string { return filepath.Join(r.options.Dir, "customers.csv") }

// fleetWaivers lets the change move the route "list" of all regions to another service.
const fleetWaivers = "[[waivers]]\nkind = \"service\"\nregions = [\"north\", \"south\", \"east\"]\nrules = [\"list\", \"list-part\"]\n" +
	"reason = \"the list is gathered from this change on\"\nuntil = 2099-12-31\n"

// writeFleet writes a fleet file and its regions' configurations into a directory of a name.
func (r *run) writeFleet(name string, kind configKind) (config fleetConfig, err error) {
	dir := filepath.Join(r.options.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return config, fmt.Errorf("a trial: %w", err)
	}
	var file strings.Builder
	for i, region := range regionNames {
		text := r.regionConfig(i, kind)
		config.hashes = append(config.hashes, desiredstate.Hash([]byte(text)))
		if err := os.WriteFile(filepath.Join(dir, region+".toml"), []byte(text), 0o600); err != nil {
			return config, fmt.Errorf("a trial: %w", err)
		}
		var members []string
		for n := range r.options.NodesPerRegion {
			members = append(members, strconv.Quote(r.fixture.controlLink(i*r.options.NodesPerRegion+n).Addr()))
		}
		listeners := r.fixture.entryAddresses(i)
		fmt.Fprintf(&file, "[regions.%s]\nconfig = %q\nlisteners = [%q, %q]\nmembers = [%s]\nzone = %q\n", region, region+".toml",
			listeners[0], listeners[1], strings.Join(members, ", "), region)
	}
	file.WriteString(fleetWaivers)
	config.file = filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(config.file, []byte(file.String()), 0o600); err != nil {
		return config, fmt.Errorf("a trial: %w", err)
	}
	return config, nil
}
