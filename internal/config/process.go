package config

import (
	"time"

	"lockflow/internal/config/tree"
	"lockflow/internal/limits"
)

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
