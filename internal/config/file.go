package config

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/config/tree"
	"lockflow/internal/desiredstate"
	"lockflow/internal/discovery"
	"lockflow/internal/limits"
	"lockflow/internal/protocol"
	"lockflow/internal/quotalease"
	"lockflow/internal/route"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// Bounds of what a file may say.
const (
	fileMost     = desiredstate.MaxSettingsBytes
	servicesMost = 5000
	day          = 24 * time.Hour
	figureMost   = 1e9
	countMost    = 1 << 20
	bytesMost    = 1 << 40
	bodyMost     = 16 << 20

	socketPathMost = 107 // unix(7): sun_path with its end
	answerMost     = 16 << 20
)

// Inherited begins an address that names a socket which the supervisor passes on.
const Inherited = "systemd:"

// Load reads a file of our own form at path. An error is of type FieldErrors, with every one
// found, or tells why the file can't be read.
func Load(path string) (Config, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > fileMost {
		err = fmt.Errorf("%d bytes are more than %d", info.Size(), int64(fileMost))
	}
	if err != nil {
		return Config{}, fmt.Errorf("reading the configuration: %w", err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("reading the configuration: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads a file's text; name is told in errors, which are of type FieldErrors.
func Parse(name string, raw []byte) (Config, error) {
	var r tree.Reading
	var c Config
	if t, ok := r.Parse(name, raw); ok {
		c = Read(t)
	}
	if err := r.Err(); err != nil {
		return Config{}, err
	}
	c.Hash = desiredstate.Hash(raw)
	return c, nil
}

// reader holds what further parts of a file refer to.
type reader struct {
	classes map[string]control.Class
	plans   map[string]control.Plan
	group   struct{ size, index int }
	counted map[string]bool // names at counters
	speaks  int             // the protocol of services that name none, among protocols
}

// Read reads a document. What it gives is of use only where the document's reading has no problem.
func Read(t tree.Table) Config {
	r := &reader{classes: map[string]control.Class{}, plans: map[string]control.Plan{}, counted: map[string]bool{}}
	var c Config
	r.speaks = t.OneOf("protocol", protocols...)
	process := t.Sub("process")
	c.Process = r.process(process)
	c.Listeners = r.listeners(t)
	if t.Has("metrics") {
		m := t.Sub("metrics")
		c.Metrics = m.Str("address", "")
		checkAddress(m, "address", c.Metrics)
		m.Done()
	}
	classNames, classes := t.Named("classes")
	for i, k := range classNames {
		r.classes[k] = class(k, classes[i])
	}
	planNames, plans := t.Named("plans")
	for i, p := range planNames {
		r.plans[p] = plan(p, plans[i])
	}
	names, services := t.Named("services")
	if len(names) == 0 {
		t.Wrong("services", "there is none")
	}
	if len(names) > servicesMost {
		t.Wrong("services", "%d are more than %d", len(names), servicesMost)
	}
	names, services = r.gatherers(&c, names, services)
	for i, name := range names {
		c.Services = append(c.Services, r.service(name, services[i], classNames, planNames))
	}
	r.divide(process, &c, services)
	r.routes(t, &c)
	t.Done()
	return c
}

func (r *reader) process(t tree.Table) Process {
	p := Process{Shared: true, Cores: t.Number("cores", 0, 0, 1024), MemoryMB: int(t.Integer("memory_mb", 0, 0, countMost))}
	p.Descriptors = int(t.Integer("descriptors", 1024, 64, countMost))
	p.Total = Amounts{
		Descriptors: int64(limits.MaxConnections(p.Descriptors)),
		Held:        t.Integer("held", 0, 1, countMost),
		Bytes:       t.Size("bytes", 64<<20, 1, bytesMost), Dials: t.Integer("dials", 128, 1, countMost),
		ModuleTime: t.Number("module_time", 0.5, 0.001, 1024),
	}
	p.Clients = t.Integer("clients", p.Total.Descriptors/3, 1, countMost)
	r.group.size = int(t.Integer("instances", 1, 1, countMost))
	r.group.index = int(t.Integer("instance", 0, 0, countMost))
	if r.group.index >= r.group.size {
		t.Wrong("instance", "%d is none of %d, counted from 0", r.group.index, r.group.size)
	}
	d := t.Sub("drain")
	p.Drain = Drain{
		Idle: d.Span("idle", PlatformDrain.Idle, 0, day), Accept: d.Span("accept", PlatformDrain.Accept, 0, day),
		Most: d.Span("most", PlatformDrain.Most, 0, day),
	}
	if p.Drain.Idle > p.Drain.Accept || p.Drain.Accept > p.Drain.Most {
		d.Wrong("accept", "idle, accept and most come in this order: %v, %v, %v", p.Drain.Idle, p.Drain.Accept, p.Drain.Most)
	}
	d.Done()
	p.State, p.Control = path(t, "state"), path(t, "control")
	if len(p.Control) > socketPathMost {
		t.Wrong("control", "%d bytes are more than the %d that the address of a Unix socket may have", len(p.Control), socketPathMost)
	}
	p.Checkpoint = t.Span("checkpoint", time.Second, 10*time.Millisecond, day)
	if t.Has("checkpoint") && p.State == "" {
		t.Wrong("checkpoint", "only with a state directory")
	}
	u := t.Sub("upgrade")
	p.Upgrade = Upgrade{
		Within:    u.Span("within", 15*time.Second, 10*time.Millisecond, day),
		Probation: u.Span("probation", 2*time.Second, 0, day),
	}
	u.Done()
	t.Done()
	return p
}

// path reads the place of a file: a whole one, as a daemon's own directory is nobody's concern.
func path(t tree.Table, key string) string {
	v := t.Str(key, "")
	if v != "" && !filepath.IsAbs(v) {
		t.Wrong(key, "%q is no absolute path", v)
	}
	return v
}

func (r *reader) listeners(t tree.Table) []string {
	var all []string
	for _, l := range t.Tables("listeners") {
		addr := l.Str("address", "")
		if name, inherited := strings.CutPrefix(addr, Inherited); !inherited {
			checkAddress(l, "address", addr)
		} else if name == "" {
			l.Wrong("address", "%q names no socket that the supervisor passes on", addr)
		}
		if slices.Contains(all, addr) {
			l.Wrong("address", "%q is given twice", addr)
		}
		all = append(all, addr)
		l.Done()
	}
	if len(all) == 0 {
		t.Wrong("listeners", "there is none")
	}
	return all
}

func checkAddress(t tree.Table, key, addr string) {
	if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
		t.Wrong(key, "%q is no host:port", addr)
	}
}

func class(name string, t tree.Table) control.Class {
	k := control.Class{
		Name: name, LatencyObjective: t.Span("aim", 2*time.Second, time.Millisecond, day),
		Deadline:       t.Span("deadline", 0, time.Millisecond, day),
		Idempotency:    control.Idempotency(t.OneOf("repeats", "free", "keyed", "never")),
		KeyScope:       control.KeyScope(t.OneOf("key_scope", "all", "zone", "group")),
		PriorityWeight: t.Number("worth", 1, 0, figureMost), LateWeightFraction: t.Number("late_share", 0, 0, 1),
		RepeatWindow: t.Span("repeat_window", 0, 0, day),
	}
	if k.Deadline == 0 {
		k.Deadline = 4 * k.LatencyObjective
	}
	if k.Deadline < k.LatencyObjective {
		t.Wrong("deadline", "%v is before the aim of %v", k.Deadline, k.LatencyObjective)
	}
	if !t.Has("repeats") {
		t.Wrong("repeats", `it has to be said: "free", "keyed" or "never"`)
	}
	keyed := k.Idempotency == control.IdempotentWithKey
	for _, key := range []string{"key_scope", "repeat_window"} {
		if t.Has(key) && !keyed {
			t.Wrong(key, `only with repeats = "keyed"`)
		}
	}
	if keyed && k.RepeatWindow == 0 {
		t.Wrong("repeat_window", "a keyed class needs one")
	}
	if first := route.FirstSegment("/" + name); first != name || name == "" {
		t.Wrong("", "%q is no segment of a path", name)
	}
	t.Done()
	return k
}

func plan(name string, t tree.Table) control.Plan {
	p := control.Plan{
		Name: name, Price: t.Number("price", 1, 0, figureMost), QuotaRate: t.Number("rate", 0, 0, figureMost),
		QuotaBurst: t.Number("depth", 0, 0, figureMost), MaxInFlight: int(t.Integer("open", 0, 0, countMost)),
		OverQuotaCost: t.Number("over_cost", 0, 0, figureMost), OverQuotaGain: t.Number("over_earns", 0, 0, 1),
		HardLimitRate:  t.Number("ceiling_rate", 0, 0, figureMost),
		HardLimitBurst: t.Number("ceiling_burst", 0, 0, figureMost), HardLimitSlack: t.Number("ceiling_slack", 0, 0, figureMost),
	}
	if p.QuotaRate > 0 && p.QuotaBurst == 0 {
		t.Wrong("depth", "a rate needs one: units that may be used at once")
	}
	if t.Has("depth") && p.QuotaRate == 0 {
		t.Wrong("depth", "only with a rate")
	}
	if p.HardLimitRate > 0 && p.HardLimitBurst == 0 {
		t.Wrong("ceiling_burst", "a ceiling needs one")
	}
	for _, key := range []string{"ceiling_burst", "ceiling_slack"} {
		if t.Has(key) && p.HardLimitRate == 0 {
			t.Wrong(key, "only with a ceiling_rate")
		}
	}
	if name == "" {
		t.Wrong("", "a plan needs a name")
	}
	if p.HardLimitRate > 0 && p.QuotaRate > p.HardLimitRate {
		t.Wrong("ceiling_rate", "%g is below the rate of %g", p.HardLimitRate, p.QuotaRate)
	}
	t.Done()
	return p
}

func (r *reader) service(name string, t tree.Table, classes, plans []string) Service {
	speaks := r.speaks
	if t.Has("protocol") {
		speaks = t.OneOf("protocol", protocols...)
	}
	s := Service{
		Name: name, Required: t.Flag("required", true), OnPanic: service.PanicPolicy(t.OneOf("on_panic", "end", "restart")),
		Connect:   t.Span("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute),
		Keepalive: t.Span("keepalive", 15*time.Second, 100*time.Millisecond, day),
		Body:      t.Size("body", protocol.MaxBodyBytes, 0, bodyMost),
		Answer:    t.Size("answer", protocol.MaxBodyBytes, 1, answerMost),
	}
	set := control.Settings{
		SelfIndex: r.group.index, GroupSize: r.group.size, Zone: t.Str("zone", ""),
		DrainGrace: t.Span("drain_grace", 2*time.Second, 0, day), WarmupTime: t.Span("cold", 15*time.Second, 0, day),
		InitialCapacity: t.Number("cold_from", 0.15, 0, 1), OverloadWindow: t.Span("fall", 2*time.Second, 0, day),
		OverloadMultiple: t.Number("fall_multiple", 2.5, 0, figureMost), MeterPeriod: t.Span("meter_period", 0, 0, day),
		UnitsInResponse: t.Flag("cost_after", false), MaxUnits: t.Number("units_top", 0, 0, figureMost),
		MaxAttempts: int(t.Integer("attempts", 6, 1, 1000)), CanCancel: true, RetriesAreMarked: t.Flag("marks_retry", true),
		MaxRetryAfter: t.Span("retry_after", time.Second, 0, day),
	}
	set.SupportsRetryAfter = set.MaxRetryAfter > 0
	ordinary := protocols[speaks] == "http"
	for _, k := range r.named(t, "classes", classes, ordinary) {
		if c, ok := r.classes[k]; ok {
			set.Classes = append(set.Classes, c)
		}
	}
	for _, p := range r.named(t, "plans", plans, ordinary) {
		if c, ok := r.plans[p]; ok {
			set.Plans = append(set.Plans, c)
		}
	}
	s.Settings = set
	s.Servers = servers(t.Sub("servers"))
	if t.Has("counter") {
		s.Counter = r.counter(t.Sub("counter"), name, set.Plans)
	}
	if ordinary {
		r.http(t, &s)
	}
	s.Source = r.source(t)
	rec := t.Sub("record")
	s.Record = Record{Dir: path(rec, "dir"), Bytes: rec.Size("bytes", 64<<20, 1<<20, bytesMost)}
	if t.Has("record") && s.Record.Dir == "" {
		rec.Wrong("dir", "it has to be said where the recordings go")
	}
	if s.Record.Dir != "" && strings.ContainsAny(name, "/\\*?[") {
		rec.Wrong("dir", "the service's name %q can't begin a file's", name)
	}
	rec.Done()
	t.Sub("guaranteed") // read by divide, once all are known
	t.Done()
	return s
}

// counter reads how a service's ceilings are shared. What can't be kept by its figures is wrong here,
// and not found out in service.
func (r *reader) counter(t tree.Table, name string, plans []control.Plan) Counter {
	c := Counter{
		Addresses: t.Texts("addresses"), Name: t.Str("name", name), Username: t.Str("username", ""), PasswordFile: path(t, "password_file"),
		Within: t.Span("within", 200*time.Millisecond, time.Millisecond, quotalease.CallWithin), Ceilings: make(map[string]quotalease.Ceiling),
	}
	c.Rules = quotalease.Rules{
		Instances: max(1, r.group.size), Term: t.Span("term", time.Second, 10*time.Millisecond, time.Minute),
		Pledge: t.Span("pledge", 2*time.Second, 10*time.Millisecond, time.Hour), Settle: t.Span("settle", 10*time.Second, 10*time.Millisecond, day),
		Drift: t.Number("drift", 0.001, 0, 0.1),
	}
	most := t.Number("over", 0.05, 0, 1)
	if len(c.Addresses) == 0 {
		t.Wrong("addresses", "a counter needs one at least")
	}
	for i, a := range c.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			t.Wrong("addresses", "%q: %v", a, err)
		}
		if slices.Contains(c.Addresses[:i], a) {
			t.Wrong("addresses", "%q is there twice", a)
		}
	}
	if c.Name == "" || strings.ContainsAny(c.Name, "{} \t\r\n") {
		t.Wrong("name", "%q can't be a part of keys", c.Name)
	}
	// Guards against two that each have a part of the same ceiling.
	if r.counted[c.Name] {
		t.Wrong("name", "another service counts as %q", c.Name)
	}
	r.counted[c.Name] = true
	if err := c.Rules.Check(); err != nil {
		t.Wrong("term", "%v", err)
	}
	for _, p := range plans {
		if p.HardLimitRate == 0 {
			continue
		}
		of := quotalease.Ceiling{Rate: p.HardLimitRate, Burst: p.HardLimitBurst}
		c.Ceilings[p.Name] = of
		if over := c.Rules.Over(of, time.Minute); over > most {
			b := c.Rules.Bound(of)
			t.Wrong("over", "plan %s: a minute may hold %.4g + 60*%.4g units, which is %.1f%% more than %.4g + 60*%.4g, and not %.1f%%: its term is too long, or clocks too wrong",
				p.Name, b.Burst, b.Rate, 100*over, of.Burst, of.Rate, 100*most)
		}
	}
	if len(c.Ceilings) == 0 {
		t.Wrong("addresses", "no plan of the service has a ceiling")
	}
	t.Done()
	return c
}

// servers reads how a service's servers are spoken to.
func servers(t tree.Table) Servers {
	s := Servers{Protocol: upstream.Protocol(t.OneOf("protocol", discovery.Protocols...))}
	s.Streams = int(t.Integer("streams", 100, 1, 10000))
	s.Connections = int(t.Integer("connections", 2, 1, 100))
	s.Age = t.Span("age", 0, 0, day)
	s.Again = t.Span("again", time.Minute, 100*time.Millisecond, day)
	if t.Has("tls") {
		c := t.Sub("tls")
		s.TLS = certs.Options{On: true, CA: path(c, "ca"), Cert: path(c, "cert"), Key: path(c, "key"), Name: c.Str("name", "")}
		if (s.TLS.Cert == "") != (s.TLS.Key == "") {
			c.Wrong("cert", "a certificate needs its key, and a key its certificate")
		}
		c.Done()
	}
	t.Done()
	return s
}

// named reads which classes or plans a service has; all where it doesn't say, which may be none.
func (r *reader) named(t tree.Table, key string, all []string, none bool) []string {
	if !t.Has(key) {
		if len(all) == 0 && !none {
			t.Wrong(key, "the file has none")
		}
		return all
	}
	names := t.Texts(key)
	if len(names) == 0 {
		t.Wrong(key, "there is none")
	}
	for _, n := range names {
		if !slices.Contains(all, n) {
			t.Wrong(key, "%q is none of the file's", n)
		}
	}
	return names
}

func (r *reader) source(in tree.Table) discovery.Source {
	if !in.Has("source") {
		in.Wrong("source", "it has to be said where the servers come from")
		return discovery.Source{}
	}
	t := in.Sub("source")
	src := discovery.Source{Kind: discovery.Kind(t.OneOf("kind", "discovery", "file", "static"))}
	if !t.Has("kind") {
		t.Wrong("kind", `it has to be said: "discovery", "file" or "static"`)
	}
	src.Address, src.Path = t.Str("address", ""), t.Str("path", "")
	for i, one := range t.Tables("servers") {
		src.Endpoints = append(src.Endpoints, server(one))
		for _, s := range src.Endpoints[:i] {
			if s.UID == src.Endpoints[i].UID {
				one.Wrong("uid", "%q is given twice", s.UID)
			}
		}
	}
	for i, key := range []string{"address", "path", "servers"} {
		mine := discovery.Kind(i) == src.Kind
		if mine && !t.Has(key) && t.Has("kind") {
			t.Wrong(key, "this kind of source needs it")
		}
		if !mine && t.Has(key) && t.Has("kind") {
			t.Wrong(key, "not with this kind of source")
		}
	}
	if src.Kind == discovery.Watch && t.Has("address") {
		checkAddress(t, "address", src.Address)
	}
	if src.Kind == discovery.Static && t.Has("servers") && len(src.Endpoints) == 0 {
		t.Wrong("servers", "there is none")
	}
	t.Done()
	return src
}

func server(t tree.Table) discovery.Endpoint {
	s := discovery.Endpoint{
		UID: t.Str("uid", ""), Address: t.Str("endpoint", ""), Zone: t.Str("zone", ""),
		Model: t.Str("model", ""), Group: int(t.Integer("group", 0, 0, countMost)),
		State: []string{"up", "draining"}[t.OneOf("state", "up", "draining")], Capacity: t.Number("capacity", 1, 0.001, figureMost),
	}
	if s.UID == "" {
		s.UID = s.Address
	}
	if t.Has("protocol") {
		s.Protocol = discovery.Protocols[t.OneOf("protocol", discovery.Protocols...)]
	}
	checkAddress(t, "endpoint", s.Address)
	t.Done()
	return s
}
