package config

import (
	"slices"
	"strings"
	"time"

	"lockflow/control"
	"lockflow/internal/certs"
	"lockflow/internal/config/tree"
	"lockflow/internal/discovery"
	"lockflow/internal/protocol"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

func (r *reader) readService(name string, t tree.Table, classes, plans []string) Service {
	speaks := r.defaultProtocol
	if t.Has("protocol") {
		speaks = t.OneOf("protocol", protocols...)
	}
	s := Service{
		Name: name, Required: t.Bool("required", true), OnPanic: service.PanicPolicy(t.OneOf("on_panic", "end", "restart")),
		ConnectTimeout:   t.Duration("connect_timeout", 250*time.Millisecond, time.Millisecond, time.Minute),
		Keepalive:        t.Duration("keepalive", 15*time.Second, 100*time.Millisecond, day),
		MaxBodyBytes:     t.Size("body", protocol.MaxBodyBytes, 0, maxBodyBytes),
		MaxResponseBytes: t.Size("answer", protocol.MaxBodyBytes, 1, maxResponseBytes),
	}
	set := control.Settings{
		SelfIndex: r.group.index, GroupSize: r.group.size, Zone: t.String("zone", ""),
		DrainGrace: t.Duration("drain_grace", 2*time.Second, 0, day), WarmupTime: t.Duration("cold", 15*time.Second, 0, day),
		InitialCapacity: t.Number("cold_from", 0.15, 0, 1), OverloadWindow: t.Duration("fall", 2*time.Second, 0, day),
		OverloadMultiple: t.Number("fall_multiple", 2.5, 0, maxNumber), MeterPeriod: t.Duration("meter_period", 0, 0, day),
		UnitsInResponse: t.Bool("cost_after", false), MaxUnits: t.Number("units_top", 0, 0, maxNumber),
		MaxAttempts: int(t.Integer("attempts", 6, 1, 1000)), CanCancel: true, RetriesAreMarked: t.Bool("marks_retry", true),
		MaxRetryAfter: t.Duration("retry_after", time.Second, 0, day),
	}
	set.SupportsRetryAfter = set.MaxRetryAfter > 0
	isGenericHTTP := protocols[speaks] == "http"
	for _, k := range r.readNames(t, "classes", classes, isGenericHTTP) {
		if c, ok := r.classes[k]; ok {
			set.Classes = append(set.Classes, c)
		}
	}
	for _, p := range r.readNames(t, "plans", plans, isGenericHTTP) {
		if c, ok := r.plans[p]; ok {
			set.Plans = append(set.Plans, c)
		}
	}
	s.Settings = set
	s.Servers = readServers(t.Sub("servers"))
	if t.Has("counter") {
		s.Counter = r.readCounter(t.Sub("counter"), name, set.Plans)
	}
	if isGenericHTTP {
		r.readHTTP(t, &s)
	}
	s.Source = r.readSource(t)
	rec := t.Sub("record")
	s.Record = Record{Dir: readPath(rec, "dir"), MaxBytes: rec.Size("bytes", 64<<20, 1<<20, maxBytes)}
	if t.Has("record") && s.Record.Dir == "" {
		rec.Errorf("dir", "it has to be said where the recordings go")
	}
	if s.Record.Dir != "" && strings.ContainsAny(name, "/\\*?[") {
		rec.Errorf("dir", "the service's name %q can't begin a file's", name)
	}
	rec.Done()
	t.Sub("guaranteed") // read by divide, once all are known
	t.Done()
	return s
}

// readServers reads how a service's servers are spoken to.
func readServers(t tree.Table) Servers {
	s := Servers{Protocol: upstream.Protocol(t.OneOf("protocol", discovery.Protocols...))}
	s.MaxStreams = int(t.Integer("streams", 100, 1, 10000))
	s.MaxConnections = int(t.Integer("connections", 2, 1, 100))
	s.MaxAge = t.Duration("age", 0, 0, day)
	s.HTTP2RetryInterval = t.Duration("again", time.Minute, 100*time.Millisecond, day)
	if t.Has("tls") {
		c := t.Sub("tls")
		s.TLS = certs.Options{On: true, CA: readPath(c, "ca"), Cert: readPath(c, "cert"), Key: readPath(c, "key"), Name: c.String("name", "")}
		if (s.TLS.Cert == "") != (s.TLS.Key == "") {
			c.Errorf("cert", "a certificate needs its key, and a key its certificate")
		}
		c.Done()
	}
	t.Done()
	return s
}

// readNames reads which classes or plans a service has; all where it doesn't say, which may be none.
func (r *reader) readNames(t tree.Table, key string, all []string, none bool) []string {
	if !t.Has(key) {
		if len(all) == 0 && !none {
			t.Errorf(key, "the file has none")
		}
		return all
	}
	names := t.Texts(key)
	if len(names) == 0 {
		t.Errorf(key, "there is none")
	}
	for _, n := range names {
		if !slices.Contains(all, n) {
			t.Errorf(key, "%q is none of the file's", n)
		}
	}
	return names
}
