package regions

import (
	"fmt"
	"slices"
	"strings"
)

// handling describes how a region handles the witness of a conflict.
type handling struct {
	region string // name of the region
	ruleID int32  // or noRule
	disposition
}

func (x *Index) handlingOf(found *finding, region int32) handling {
	ruleID := found.ruleIn(region)
	return handling{x.regions[region].Name, ruleID, x.disposition(ruleID, found.witness)}
}

// describe states how two regions handle a finding's request.
func (x *Index) describe(found *finding, a, b handling) string {
	switch found.kind {
	case ServiceKind:
		return x.describeServices(found.requestText, a, b)
	case TermsKind:
		return fmt.Sprintf("%s is of class %q in %s (%v) and %q in %s (%v): a repeat through the other region goes by other terms",
			found.requestText, a.class, a.region, a.terms, b.class, b.region, b.terms)
	}
	if b.isAccepted {
		a, b = b, a
	}
	return found.requestText + " is taken by service " + a.service + " in " + a.region + describeRejection(b)
}

func (x *Index) describeServices(request string, a, b handling) string {
	if a.service == b.service {
		return request + " leads to service " + a.service + ", which in " + a.region + " " + x.describeGather(a.disposition) +
			" and in " + b.region + " " + x.describeGather(b.disposition)
	}
	return request + " leads to service " + a.service + " in " + a.region + " and to " + b.service + " in " + b.region
}

// describeRejection states why a region rejects a request that another one accepts.
func describeRejection(h handling) string {
	switch {
	case h.ruleID == noRule:
		return ", and no route is for it in " + h.region
	case h.gatherID != 0:
		return ", and service " + h.service + " in " + h.region + " gathers, which is for other requests"
	case h.hasTerms:
		return ", and " + h.region + " serves its class " + h.class + " by another method"
	case h.class == "":
		return ", and service " + h.service + " in " + h.region + " has no class for it"
	}
	return ", and service " + h.service + " in " + h.region + " has no class " + h.class
}

// describeGather states what a service requests of other services.
func (x *Index) describeGather(d disposition) string {
	if d.gatherID == 0 {
		return "has servers of its own"
	}
	return "gathers " + strings.TrimPrefix(x.texts.values[d.gatherID], gatherPrefix)
}

// String returns the request on one line: method, host and path, and the headers by name.
func (w *Witness) String() string {
	if w == nil {
		return ""
	}
	var text strings.Builder
	text.WriteString(w.Method + " " + w.Host + w.Path)
	names := make([]string, 0, len(w.Headers))
	for name := range w.Headers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range w.Headers[name] {
			text.WriteString(", " + name + ": " + value)
		}
	}
	return text.String()
}
