package regions

import (
	"net/http"

	"lockflow/control"
	"lockflow/internal/protocol"
	"lockflow/internal/route"
)

// disposition is how a region handles a request. The zero value stands for a region without a rule for it.
type disposition struct {
	isAccepted bool // the service has the request's class and accepts its method
	service    string
	class      string
	hasTerms   bool // the retry terms of the class are known
	terms      terms
	gatherID   int32 // outcome.gatherID of the rule
}

// disposition returns how a rule handles a request.
func (b *registry) disposition(ruleID int32, request *Witness) disposition {
	if ruleID == noRule {
		return disposition{}
	}
	result := b.outcomeOf(ruleID)
	d := disposition{isAccepted: true, service: result.service, class: result.class, gatherID: result.gatherID}
	switch result.classSource {
	case classFromMethod:
		d.class = classWrite
		if protocol.IsSafeMethod(request.Method) {
			d.class = classRead
		}
	case classFromPath:
		d.class = route.FirstSegment(request.Path)
	}
	if !result.acceptsMethod(request.Method) {
		d.isAccepted = false
	}
	if result.tableID == 0 {
		return d
	}
	if d.terms, d.hasTerms = b.classTables[result.tableID][d.class]; !d.hasTerms {
		d.isAccepted = false
		return d
	}
	if result.gatherID != 0 && d.terms.idempotency != control.Idempotent {
		d.isAccepted = false
	}
	if !result.genericHTTP {
		d.isAccepted = request.Method == platformMethod(d.terms)
	}
	return d
}

// acceptsMethod reports whether a service accepts a method, independently of the class's terms.
func (o *outcome) acceptsMethod(method string) bool {
	if o.genericHTTP && method == http.MethodTrace {
		return false
	}
	if o.gatherID == 0 {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead:
		return true
	case http.MethodOptions, http.MethodConnect:
		return false
	}
	return o.classSource != classFromMethod
}

// platformMethod returns the method with which the platform's clients send requests of a class.
func platformMethod(t terms) string {
	if t.idempotency == control.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// conflictsInKind reports whether two regions' dispositions of one request are a conflict of a kind:
// ServiceKind, CoverageKind or TermsKind.
func conflictsInKind(kind Kind, a, b disposition) bool {
	switch kind {
	case ServiceKind:
		isOther := a.service != b.service || a.gatherID != b.gatherID
		return a.isAccepted && b.isAccepted && isOther
	case CoverageKind:
		return a.isAccepted != b.isAccepted
	}
	isComparable := a.service == b.service || a.class == b.class
	return a.hasTerms && b.hasTerms && isComparable && a.terms != b.terms
}
