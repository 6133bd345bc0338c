package regions

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"lockflow/internal/hopheaders"
	"lockflow/internal/protocol"
	"lockflow/internal/route"
)

const (
	acceptEncoding = "Accept-Encoding"
	identity       = "identity"
)

var (
	// viaAfterTwoRounds is the Via header of a request that two intermediaries have forwarded.
	viaAfterTwoRounds = []string{"1.1 " + hopheaders.Alias, "1.1 " + hopheaders.Alias}
	// setByIntermediaries are headers that intermediaries may set, depending on settings that Region does not have.
	setByIntermediaries = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded", "X-Request-Id"}
	// notForwardedToParts are the headers that a scatter-gather service drops, because it always requests
	// complete and current results of its parts.
	notForwardedToParts = []string{"If-None-Match", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Range", "Expect", "Content-Length"}
)

// hopKinds records which kinds of services are on a path.
type hopKinds struct{ hasGenericHTTP, hasPlatform, hasGather bool }

// conflictOfCycle returns the conflict over the path as a cycle if a request of the set loops in it, else nil.
func (l *loopSearch) conflictOfCycle(set requestSet) *Conflict {
	var ruleIDs []int32
	var kinds hopKinds
	for _, t := range l.path {
		ruleIDs = append(ruleIDs, t.ruleID)
		result := l.outcomeOf(t.ruleID)
		kinds.hasGenericHTTP = kinds.hasGenericHTTP || result.genericHTTP
		kinds.hasPlatform = kinds.hasPlatform || !result.genericHTTP
		kinds.hasGather = kinds.hasGather || result.gatherID != 0
	}
	uncertain, isForwarded := forwardedHeaders(set.headers, kinds)
	if !isForwarded {
		return nil
	}
	for _, variant := range l.variants(set, ruleIDs) {
		request := l.minimalRequest(variant)
		if request == nil || kinds.hasGather && request.Method == http.MethodHead { // scatter-gather services forward HEAD as GET
			continue
		}
		l.setForwardedHeaders(request, kinds)
		isRejected := func(id int32) bool { return !l.disposition(id, request).isAccepted }
		if l.isFollowed(request) && !slices.ContainsFunc(ruleIDs, isRejected) {
			return l.describeCycle(request, append(uncertain, l.dependsOnHeaders(request)...))
		}
	}
	return nil
}

// setForwardedHeaders adds the headers that services on the path set, where a condition names them.
func (l *loopSearch) setForwardedHeaders(request *Witness, kinds hopKinds) {
	set := func(name string, values []string) {
		if request.Headers == nil {
			request.Headers = make(http.Header)
		}
		request.Headers[name] = values
	}
	if kinds.hasGenericHTTP && l.headerNames["Via"] {
		set("Via", viaAfterTwoRounds)
	}
	if kinds.hasGather && l.headerNames[acceptEncoding] {
		set(acceptEncoding, []string{identity})
	}
}

// forwardedHeaders reports whether a request keeps the headers that conditions require on all hops, and for
// which of these headers that depends on settings.
func forwardedHeaders(headers []route.Header, kinds hopKinds) (uncertain []string, isForwarded bool) {
	for _, header := range headers {
		if isDropped(header, kinds) {
			return nil, false
		}
		isSetting := protocol.IsHopHeader(header.Name) || strings.Contains(header.Name, "_")
		if isSetting || slices.Contains(setByIntermediaries, header.Name) {
			uncertain = append(uncertain, header.Name)
		}
	}
	return uncertain, true
}

// isDropped reports whether a header is dropped or changed on one of the hops under any settings.
func isDropped(header route.Header, kinds hopKinds) bool {
	isProxyHeader := header.Name == "Proxy-Authenticate" || header.Name == "Proxy-Authorization"
	isOneVia := header.Name == "Via" && !header.Any
	if kinds.hasGenericHTTP && (isOneVia || isProxyHeader) {
		return true
	}
	if kinds.hasPlatform && protocol.IsInternalHeader(header.Name) && !protocol.IsHopHeader(header.Name) {
		return true
	}
	isOtherEncoding := header.Name == acceptEncoding && !header.Any && header.Value != identity
	return kinds.hasGather && (isOtherEncoding || slices.Contains(notForwardedToParts, header.Name))
}

// dependsOnHeaders returns the headers that intermediaries may set and that would make another rule win.
func (l *loopSearch) dependsOnHeaders(request *Witness) (names []string) {
	for _, name := range setByIntermediaries {
		if !l.headerNames[name] || request.Headers[name] != nil {
			continue
		}
		changed := *request
		changed.Headers = request.Headers.Clone()
		if changed.Headers == nil {
			changed.Headers = make(http.Header)
		}
		changed.Headers[name] = []string{l.unusedHeaderValue(name)}
		if !l.isFollowed(&changed) {
			names = append(names, name)
		}
	}
	return names
}

// describeCycle returns the conflict over the path. It is a warning if it depends on headers that settings may change.
func (l *loopSearch) describeCycle(request *Witness, uncertain []string) *Conflict {
	conflict := &Conflict{Kind: LoopKind, Severity: Error, Witness: request}
	var why strings.Builder
	why.WriteString(request.String() + " goes round:")
	order := make([]int, len(l.path))
	for i := range l.path {
		order[i] = i
		info := &l.ruleInfos.values[l.path[i].ruleID]
		fmt.Fprintf(&why, " %s leads it by route %q and service %q to",
			l.regions[l.pathRegions[i]].Name, info.name, l.outcomes.values[info.outcomeID].service)
	}
	why.WriteString(" " + l.regions[l.start].Name)
	if len(uncertain) > 0 {
		conflict.Severity = Warning
		why.WriteString(", where " + strings.Join(uncertain, ", ") + " goes on as it came")
	}
	conflict.Why = why.String()
	slices.SortFunc(order, func(i, j int) int { return int(l.pathRegions[i]) - int(l.pathRegions[j]) })
	for _, i := range order {
		conflict.Regions = append(conflict.Regions, l.regions[l.pathRegions[i]].Name)
		conflict.Rules = append(conflict.Rules, l.ruleInfos.values[l.path[i].ruleID].name)
	}
	return conflict
}
