package regions

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lockflow/control"
	"lockflow/internal/route"
)

// Classes of generic HTTP requests whose route names no class, as package config adds them.
const (
	classRead  = "read"
	classWrite = "write"
)

// classSource states what determines the class of a rule's requests.
type classSource uint8

const (
	classFromRule   classSource = iota // named by the rule, or the first segment of its path
	classFromMethod                    // generic HTTP: read or write
	classFromPath                      // the first segment of the request's path
)

// outcome is how a rule handles requests. Rules with equal outcomes handle every request identically.
type outcome struct {
	service     string
	classSource classSource
	genericHTTP bool
	class       string // set with classFromRule
	tableID     int32  // table of the classes that its requests can have; 0 if unknown
	gatherID    int32  // Service.Gather as a text of the registry; 0 for other than scatter-gather services
}

// ruleInfo holds the properties of a region's rule other than its conditions.
type ruleInfo struct {
	name           string
	isFromBase     bool
	outcomeID      int32
	destinationsID int32 // 0 if none are known
}

// noRule stands for the rule ID where a region has no rule for a request.
const noRule = -1

// internTable numbers distinct values in the order in which they are added, from 1. The zero value of T has number 0.
type internTable[T comparable] struct {
	ids    map[T]int32
	values []T
}

func (n *internTable[T]) id(value T) int32 {
	if n.ids == nil {
		var zero T
		n.ids = map[T]int32{zero: 0}
		n.values = []T{zero}
	}
	id, ok := n.ids[value]
	if !ok {
		id = int32(len(n.values))
		n.ids[value] = id
		n.values = append(n.values, value)
	}
	return id
}

// registry holds the outcomes and other properties of the rules of all regions, each distinct value once.
type registry struct {
	ruleInfos    internTable[ruleInfo]
	outcomes     internTable[outcome]
	texts        internTable[string] // text forms of class tables, destinations and Service.Gather
	classTables  map[int32]map[string]terms
	destinations map[int32][]string // host:port, sorted
}

func newRegistry() *registry {
	return &registry{classTables: make(map[int32]map[string]terms), destinations: make(map[int32][]string)}
}

// outcomeOf returns the outcome of a rule.
func (b *registry) outcomeOf(ruleID int32) *outcome {
	return &b.outcomes.values[b.ruleInfos.values[ruleID].outcomeID]
}

// classTable returns the number of the table of the classes with the given names, or of all classes where no name is given.
func (b *registry) classTable(classes []control.Class, names ...string) int32 {
	if len(classes) == 0 {
		return 0
	}
	var lines []string
	table := make(map[string]terms)
	for _, class := range classes {
		if len(names) == 0 || slices.Contains(names, class.Name) {
			table[class.Name] = termsOf(class)
			lines = append(lines, fmt.Sprintf("%q %+v", class.Name, termsOf(class)))
		}
	}
	slices.Sort(lines)
	id := b.texts.id("classes\n" + strings.Join(lines, "\n"))
	b.classTables[id] = table
	return id
}

// ruleID returns the number that identifies a route's name, origin, outcome and destinations.
func (b *registry) ruleID(route *Route, env *regionServices) int32 {
	info := ruleInfo{name: route.Name, isFromBase: route.Base}
	service := env.services[route.Service]
	result := outcome{service: route.Service, class: route.RequestClass}
	if service != nil {
		result.genericHTTP = service.GenericHTTP
		if service.Gather != "" {
			result.gatherID = b.texts.id(gatherPrefix + service.Gather)
		}
	}
	setClassSource(&result, route)
	if service != nil {
		result.tableID = b.tableOf(service, &result, env)
		info.destinationsID = env.destinationIDs[route.Service]
	}
	info.outcomeID = b.outcomes.id(result)
	return b.ruleInfos.id(info)
}

// gatherPrefix marks a Service.Gather among the registry's texts.
const gatherPrefix = "gather\n"

// setClassSource sets the class source, and the class where the route determines it, in a route's outcome.
func setClassSource(result *outcome, r *Route) {
	switch {
	case r.RequestClass != "":
	case result.genericHTTP:
		result.classSource = classFromMethod
	default:
		result.class = cmp.Or(route.FirstSegment(r.Path+r.Prefix), r.Class)
		if result.class == "" && r.Path == "" {
			result.classSource = classFromPath
		}
	}
}

// tableOf returns the number of the table of the classes that requests with an outcome can have.
func (b *registry) tableOf(service *Service, result *outcome, env *regionServices) int32 {
	key := tableKey{service.Name, result.classSource, result.class}
	id, ok := env.tableIDs[key]
	if ok {
		return id
	}
	switch result.classSource {
	case classFromRule:
		id = b.classTable(service.Classes, result.class)
	case classFromMethod:
		id = b.classTable(service.Classes, classRead, classWrite)
	default:
		id = b.classTable(service.Classes)
	}
	env.tableIDs[key] = id
	return id
}

// regionServices holds a region's services by name, and the registry's numbers of their class tables and
// destinations.
type regionServices struct {
	services       map[string]*Service
	tableIDs       map[tableKey]int32
	destinationIDs map[string]int32 // by service name
}

type tableKey struct {
	service     string
	classSource classSource
	class       string
}

func (b *registry) regionServices(region *Region) *regionServices {
	env := &regionServices{
		services:       make(map[string]*Service),
		tableIDs:       make(map[tableKey]int32),
		destinationIDs: make(map[string]int32),
	}
	for i := range region.Services {
		service := &region.Services[i]
		env.services[service.Name] = service
		if len(service.Destinations) == 0 {
			continue
		}
		destinations := slices.Compact(slices.Sorted(slices.Values(service.Destinations)))
		id := b.texts.id("leads\n" + strings.Join(destinations, "\n"))
		env.destinationIDs[service.Name] = id
		b.destinations[id] = destinations
	}
	return env
}
