package config

import (
	"net/netip"
	"net/textproto"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/config/tree"
	"lockflow/internal/customer"
	"lockflow/internal/hopheaders"
	"lockflow/internal/responseclass"
)

// protocols are what a service's clients may speak; the first is what a file means that names none.
var protocols = []string{"http", "platform"}

// Classes and plan of a service of generic HTTP whose file has none of these names.
const (
	ClassRead   = "read"  // of safe methods
	ClassWrite  = "write" // of all others
	PlanDefault = "default"

	withoutKeySuffix = " (no key)" // of a keyed class, for requests without a key

	defaultLatencyObjective   = 2 * time.Second
	defaultHTTPDeadline       = 30 * time.Second
	defaultHTTPConnectTimeout = time.Second // the platform's networks are one data centre's
	maxUnknownClients         = 1 << 20
	maxIdleTimeout            = time.Hour
	minIdleTimeout            = 100 * time.Millisecond
)

// HTTP is what a service of generic HTTP has beside what all have.
type HTTP struct {
	ClassWithoutKey   map[string]string // of keyed classes, the one of requests that carry no key
	Customers         customer.Options
	TimeoutHeader     string
	SendTimeLeft      bool
	SendRequestID     bool
	RetryBufferBytes  int64
	IdleTimeout       time.Duration
	MinBytesPerSecond int64
	ResponseRules     responseclass.Rules
	AllowUnderscores  bool
	ForwardingHeaders hopheaders.ForwardingFormat
}

// maxRequestBytes is the most bytes that one request can take with its answer.
func (s *Service) maxRequestBytes() int64 {
	if s.HTTP != nil {
		return s.HTTP.RetryBufferBytes + s.MaxResponseBytes
	}
	return s.MaxBodyBytes + s.MaxResponseBytes
}

// readHTTP reads what only generic HTTP has, and completes the classes and plans.
func (r *reader) readHTTP(t tree.Table, s *Service) {
	h := &HTTP{
		TimeoutHeader: readHeaderName(t, "time_header"), SendTimeLeft: t.Bool("send_time", false), SendRequestID: t.Bool("send_id", false),
		RetryBufferBytes: t.Size("replay", 64<<10, 0, maxBodyBytes), IdleTimeout: t.Duration("idle", time.Minute, minIdleTimeout, maxIdleTimeout),
		MinBytesPerSecond: t.Size("least_rate", 0, 0, 1<<30), AllowUnderscores: t.Bool("underscores", false), ResponseRules: responseclass.DefaultRules(),
		ForwardingHeaders: hopheaders.ForwardingFormat(t.OneOf("forwarded", "x-forwarded", "forwarded", "both", "none")),
	}
	s.HTTP = h
	if !t.Has("connect_timeout") {
		s.ConnectTimeout = defaultHTTPConnectTimeout
	}
	if !t.Has("body") {
		s.MaxBodyBytes = -1
	}
	if t.Has("elsewhere") {
		h.ResponseRules.RetryStatuses = nil
		for _, n := range t.List("elsewhere") {
			v, ok := n.Value().(int64)
			if !ok || v < 500 || v > 599 || slices.Contains(h.ResponseRules.RetryStatuses, int(v)) {
				t.ItemErrorf(n, "elsewhere", "it has to be a list of statuses from 500 to 599, none twice")
				continue
			}
			h.ResponseRules.RetryStatuses = append(h.ResponseRules.RetryStatuses, int(v))
		}
	}
	for _, text := range t.Texts("never_ran") {
		proof, err := responseclass.ParseProof(text)
		if err != nil {
			t.Errorf("never_ran", "%v", err)
		}
		h.ResponseRules.RejectionProofs = append(h.ResponseRules.RejectionProofs, proof)
	}
	r.addDefaults(s)
	r.readCustomers(t, s)
}

// addDefaults gives a service the classes and the plan that it needs and the file doesn't have. A
// keyed class has a second one, of requests without a key: those must not run twice.
func (r *reader) addDefaults(s *Service) {
	set := &s.Settings
	has := func(name string) bool {
		return slices.ContainsFunc(set.Classes, func(k control.Class) bool { return k.Name == name })
	}
	for _, k := range []control.Class{{Name: ClassRead, Idempotency: control.Idempotent}, {Name: ClassWrite, Idempotency: control.NotIdempotent}} {
		k.LatencyObjective, k.Deadline, k.PriorityWeight = defaultLatencyObjective, defaultHTTPDeadline, 1
		if own, ok := r.classes[k.Name]; ok {
			k = own
		}
		if !has(k.Name) {
			set.Classes = append(set.Classes, k)
		}
	}
	for _, k := range slices.Clone(set.Classes) {
		if k.Idempotency != control.IdempotentWithKey {
			continue
		}
		if s.HTTP.ClassWithoutKey == nil {
			s.HTTP.ClassWithoutKey = make(map[string]string)
		}
		once := k
		once.Name, once.Idempotency, once.KeyScope, once.RepeatWindow = k.Name+withoutKeySuffix, control.NotIdempotent, 0, 0
		s.HTTP.ClassWithoutKey[k.Name] = once.Name
		set.Classes = append(set.Classes, once)
	}
	if len(set.Plans) == 0 {
		set.Plans = []control.Plan{{Name: PlanDefault, Price: 1}}
	}
}

func (r *reader) readCustomers(in tree.Table, s *Service) {
	t := in.Sub("customers")
	c := &s.HTTP.Customers
	c.File = t.String("file", "")
	if c.File != "" && !filepath.IsAbs(c.File) {
		t.Errorf("file", "%q is no absolute path", c.File)
	}
	c.DefaultPlan = t.String("default_plan", s.Settings.Plans[0].Name)
	if !slices.ContainsFunc(s.Settings.Plans, func(p control.Plan) bool { return p.Name == c.DefaultPlan }) {
		t.Errorf("default_plan", "%q is no plan of the service", c.DefaultPlan)
	}
	if len(s.Settings.Plans) > 1 && !t.Has("default_plan") {
		t.Errorf("default_plan", "it has to be said which of %d plans whoever has none has", len(s.Settings.Plans))
	}
	c.MaxUnknown = int(t.Integer("strangers", 4096, 0, maxUnknownClients))
	for _, one := range t.Tables("by") {
		if w, ok := readIdentifier(one); ok {
			c.Identifiers = append(c.Identifiers, w)
		}
		one.Done()
	}
	for _, text := range in.Texts("trusted_proxies") {
		p, err := netip.ParsePrefix(text)
		if a, single := netip.ParseAddr(text); err != nil && single == nil {
			p, err = netip.PrefixFrom(a, a.BitLen()), nil
		}
		if err != nil {
			in.Errorf("trusted_proxies", "%q is neither an address nor a network", text)
			continue
		}
		c.TrustedProxies = append(c.TrustedProxies, p)
	}
	t.Done()
}

// readIdentifier reads one way to tell a customer: { header = "X-Key" }, query, cookie or address = true.
func readIdentifier(t tree.Table) (w customer.Identifier, ok bool) {
	w.IsSecret = t.Bool("secret", false)
	n := 0
	for kind, key := range []string{"header", "query", "cookie"} {
		if t.Has(key) {
			w.Kind, w.Name, n = customer.Kind(kind), t.String(key, ""), n+1
			if key == "header" {
				w.Name = readHeaderName(t, key)
			}
			if w.Name == "" {
				t.Errorf(key, "it names nothing")
			}
		}
	}
	if t.Bool("address", false) {
		w.Kind, n = customer.Address, n+1
	}
	if n != 1 {
		t.Errorf("", "it has to name one of header, query, cookie or address = true")
	}
	return w, n == 1
}

// readHeaderName reads the name of a header field, in its canonical form.
func readHeaderName(t tree.Table, key string) string {
	v := t.String(key, "")
	for _, b := range []byte(v) {
		if b <= ' ' || b >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", b) >= 0 {
			t.Errorf(key, "%q is no name of a header", v)
			return ""
		}
	}
	return textproto.CanonicalMIMEHeaderKey(v)
}

// readUpgrades reads to which protocols a route's requests may change.
func readUpgrades(t tree.Table) []string {
	var all []string
	for _, u := range t.Texts("upgrade") {
		if u == "" || strings.ContainsAny(u, " ,\t") {
			t.Errorf("upgrade", "%q is no name of a protocol", u)
		}
		all = append(all, strings.ToLower(u))
	}
	return all
}
