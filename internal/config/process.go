package config

import (
	"time"

	"lockflow/internal/config/tree"
	"lockflow/internal/limits"
)

func (r *reader) readProcess(t tree.Table) Process {
	p := Process{Shared: true, Cores: t.Number("cores", 0, 0, 1024), MemoryMB: int(t.Integer("memory_mb", 0, 0, maxCount))}
	p.Descriptors = int(t.Integer("descriptors", 1024, 64, maxCount))
	p.Total = Amounts{
		Descriptors: int64(limits.MaxConnections(p.Descriptors)),
		Requests:    t.Integer("held", 0, 1, maxCount),
		Bytes:       t.Size("bytes", 64<<20, 1, maxBytes), Dials: t.Integer("dials", 128, 1, maxCount),
		ModuleTime: t.Number("module_time", 0.5, 0.001, 1024),
	}
	p.ClientDescriptors = t.Integer("clients", p.Total.Descriptors/3, 1, maxCount)
	r.group.size = int(t.Integer("instances", 1, 1, maxCount))
	r.group.index = int(t.Integer("instance", 0, 0, maxCount))
	if r.group.index >= r.group.size {
		t.Errorf("instance", "%d is none of %d, counted from 0", r.group.index, r.group.size)
	}
	d := t.Sub("drain")
	p.Drain = Drain{
		Idle: d.Duration("idle", PlatformDrain.Idle, 0, day), Accept: d.Duration("accept", PlatformDrain.Accept, 0, day),
		Max: d.Duration("most", PlatformDrain.Max, 0, day),
	}
	if p.Drain.Idle > p.Drain.Accept || p.Drain.Accept > p.Drain.Max {
		d.Errorf("accept", "idle, accept and most come in this order: %v, %v, %v", p.Drain.Idle, p.Drain.Accept, p.Drain.Max)
	}
	d.Done()
	p.StateDir, p.ControlSocket = readPath(t, "state"), readPath(t, "control")
	if len(p.ControlSocket) > maxSocketPath {
		t.Errorf("control", "%d bytes are more than the %d that the address of a Unix socket may have", len(p.ControlSocket), maxSocketPath)
	}
	p.CheckpointInterval = t.Duration("checkpoint", time.Second, 10*time.Millisecond, day)
	if t.Has("checkpoint") && p.StateDir == "" {
		t.Errorf("checkpoint", "only with a state directory")
	}
	u := t.Sub("upgrade")
	p.Upgrade = Upgrade{
		ReadyTimeout: u.Duration("within", 15*time.Second, 10*time.Millisecond, day),
		Probation:    u.Duration("probation", 2*time.Second, 0, day),
	}
	u.Done()
	t.Done()
	return p
}
