package regions

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// slowStartBudgetFraction is the fraction of a warming server's budget that package control uses.
	slowStartBudgetFraction = 0.32
	// minWarmupFraction is the smallest capacity that package control assumes for a warming server, as a
	// fraction of a warm server's.
	minWarmupFraction = 0.1
	// maxReportedServers is the largest number of servers that a conflict names.
	maxReportedServers = 8
)

// serverUser is a region's service that sends to a server.
type serverUser struct {
	*indexedRegion
	*Service
	listID string // equal for services with the same servers
}

// findSlowStartConflicts compares the load that the regions together send to a warming server with its capacity.
func (x *Index) findSlowStartConflicts() (conflicts []Conflict) {
	users, positionsByServer := x.serverUsers()
	servers := make(map[string][]string) // by the positions of the users that send to them, as a text
	positions := make(map[string][]int)
	for id, userPositions := range positionsByServer {
		key := fmt.Sprint(userPositions)
		servers[key] = append(servers[key], id)
		positions[key] = userPositions
	}
	for key, ids := range servers {
		var sharedUsers []serverUser
		for _, i := range positions[key] {
			sharedUsers = append(sharedUsers, users[i])
		}
		conflict := slowStartConflict(sharedUsers)
		if conflict == nil {
			continue
		}
		slices.Sort(ids)
		conflict.Rules = ids
		if len(ids) > maxReportedServers {
			conflict.Rules = ids[:maxReportedServers]
			conflict.Why += fmt.Sprintf("; and of %d more servers", len(ids)-maxReportedServers)
		}
		conflicts = append(conflicts, *conflict)
	}
	return conflicts
}

// serverUsers returns the services that send to servers, and their positions in that list by server.
func (x *Index) serverUsers() (users []serverUser, positionsByServer map[string][]int) {
	known := x.knownServers()
	positionsByServer = make(map[string][]int)
	listIDs := make(map[string]int) // by source, or by the list of servers as a text
	for _, region := range x.regions {
		for i := range region.Services {
			service := &region.Services[i]
			servers := serversOf(service, known)
			if len(servers) == 0 {
				continue
			}
			list := "source " + service.Source
			if service.Source == "" {
				list = strings.Join(slices.Sorted(slices.Values(servers)), "\n")
			}
			if _, ok := listIDs[list]; !ok {
				listIDs[list] = len(listIDs)
			}
			for _, id := range servers {
				positions := positionsByServer[id]
				if len(positions) == 0 || positions[len(positions)-1] != len(users) {
					positionsByServer[id] = append(positions, len(users))
				}
			}
			users = append(users, serverUser{region, service, fmt.Sprint(listIDs[list])})
		}
	}
	return users, positionsByServer
}

// serversOf returns the servers of a service: those that it lists, else those known for its source, else the
// source itself as a placeholder.
func serversOf(service *Service, known map[string][]string) []string {
	switch {
	case len(service.Servers) > 0 || service.Source == "":
		return service.Servers
	case len(known[service.Source]) > 0:
		return known[service.Source]
	default:
		return []string{service.Source}
	}
}

// knownServers returns the servers of each source, from the service that lists the largest number of them.
func (x *Index) knownServers() map[string][]string {
	known := make(map[string][]string)
	for _, region := range x.regions {
		for _, service := range region.Services {
			if service.Source != "" && len(service.Servers) > len(known[service.Source]) {
				known[service.Source] = service.Servers
			}
		}
	}
	return known
}

// slowStartConflict returns the conflict over the servers to which all of the given services send, or nil.
func slowStartConflict(users []serverUser) *Conflict {
	conflict := &Conflict{Kind: SlowStartKind, Severity: Error}
	minimumLoad, maxGroup, isUncertain := 0.0, 0.0, false
	var groups []string
	for _, user := range users {
		region := user.indexedRegion.Name
		if len(conflict.Regions) == 0 || conflict.Regions[len(conflict.Regions)-1] != region {
			conflict.Regions = append(conflict.Regions, region)
			groups = append(groups, user.describeGroup())
		}
		if n, isKnown := user.groupCount(); user.SlowStart.WarmupTime > 0 {
			minimumLoad, maxGroup, isUncertain = minimumLoad+n, max(maxGroup, n), isUncertain || !isKnown
		}
	}
	if len(conflict.Regions) < 2 && maxGroup <= 1 {
		return nil
	}
	if minimumLoad*slowStartBudgetFraction > 1+relativeTolerance {
		conflict.Why = fmt.Sprintf("instances send a cold server %.3g requests a second at the least, where a group's one is meant: %s",
			minimumLoad, strings.Join(groups, ", "))
		if isUncertain {
			conflict.Severity = Warning
		}
		return conflict
	}
	if len(conflict.Regions) < 2 {
		return nil
	}
	at, sum, limit := worstExcess(users)
	if sum > limit*(1+relativeTolerance) {
		conflict.Why = fmt.Sprintf("%.3gs after its start the regions let a cold server have %.3g of a warm one's work together, it falls at %.3g: %s",
			at, sum, limit, strings.Join(conflict.Regions, ", "))
		return conflict
	}
	return nil
}

// worstExcess returns the time in seconds after a server's start at which the ratio of the load that it
// receives to its limit is largest. sum and limit are fractions of a warm server's load.
func worstExcess(users []serverUser) (worstTime, sum, limit float64) {
	times := []float64{0}
	for _, user := range users {
		initialCapacity, warmupSeconds := user.SlowStart.InitialCapacity, user.SlowStart.WarmupTime.Seconds()
		times = append(times, warmupSeconds)
		// The times at which the ramp of the service and at which its budget reach a warm server's. Between
		// such times the sum is linear and the limit is the minimum of linear functions, so the ratio is
		// largest at one of these times.
		for _, rampFraction := range []float64{1, 1 / (slowStartBudgetFraction * user.SlowStart.OverloadMultiple)} {
			if t := warmupSeconds * (rampFraction - max(minWarmupFraction, initialCapacity)) / (1 - initialCapacity); t > 0 && t < warmupSeconds {
				times = append(times, t)
			}
		}
	}
	slices.Sort(times)
	for _, t := range times {
		for _, isAfter := range []bool{false, true} { // immediately before t, and at t
			s, b := loadAt(users, t, isAfter)
			if b > 0 && (limit == 0 || s/b > (1+relativeTolerance)*sum/limit) {
				worstTime, sum, limit = t, s, b
			}
		}
	}
	return worstTime, sum, limit
}

// loadAt returns the load that a server receives t seconds after its start, and the smallest limit of the
// services for which it is warming up, or 0 if there is no limit. With isAfter false it returns the values
// immediately before t.
func loadAt(users []serverUser, t float64, isAfter bool) (sum, limit float64) {
	budgets := make(map[string]float64) // by list of servers: users of one list share a warm server's load
	for _, user := range users {
		warmupSeconds := user.SlowStart.WarmupTime.Seconds()
		budget := 1.0 // a warm server's
		isWarmingUp := t < warmupSeconds || !isAfter && t == warmupSeconds && warmupSeconds > 0
		if isWarmingUp {
			initialCapacity := user.SlowStart.InitialCapacity
			rampFraction := min(1, max(minWarmupFraction, initialCapacity)+(1-initialCapacity)*t/warmupSeconds)
			budget = min(1, slowStartBudgetFraction*user.SlowStart.OverloadMultiple*rampFraction)
			if capacity := user.SlowStart.OverloadMultiple * rampFraction; capacity > 0 && (limit == 0 || capacity < limit) {
				limit = capacity
			}
		}
		budgets[user.listID] = max(budgets[user.listID], budget)
	}
	for _, list := range slices.Sorted(maps.Keys(budgets)) { // in a fixed order, so that rounding is deterministic
		sum += budgets[list]
	}
	return sum, limit
}
