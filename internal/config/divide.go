package config

import (
	"math"

	"lockflow/internal/config/tree"
)

// dividedResource is what services have guaranteed parts of.
type dividedResource struct {
	key      string
	total    float64
	readPart func(tree.Table, string) float64
	setPart  func(*Amounts, float64)
}

// divide reads the parts of services that name one, and gives the others an even part of what is left.
func (d *dividedResource) divide(c *Config, services []tree.Table) {
	left, unnamed := d.total, []int{}
	for i, s := range services {
		t := s.Sub("guaranteed")
		if !t.Has(d.key) {
			unnamed = append(unnamed, i)
			continue
		}
		v := d.readPart(t, d.key)
		if left -= v; left < 0 && left+v >= 0 {
			t.Errorf(d.key, "the parts named up to here sum to %g, more than the %g that the process has for services", d.total-left, d.total)
		}
		d.setPart(&c.Services[i].Guaranteed, v)
	}
	for _, i := range unnamed {
		even := math.Max(0, left) / float64(len(unnamed)+1)
		if d.key != "module_time" {
			even = math.Floor(even)
		}
		d.setPart(&c.Services[i].Guaranteed, even)
	}
}

// divideResources reads the guaranteed parts. A service that names none of a thing has an even part of
// what the others leave, as if there were one service more: that one's can only be borrowed.
func (r *reader) divideResources(process tree.Table, c *Config, services []tree.Table) {
	things := []dividedResource{
		{
			"descriptors", float64(c.Process.Total.Descriptors - c.Process.ClientDescriptors), integerReader(maxCount),
			func(a *Amounts, v float64) { a.Descriptors = int64(v) },
		},
		{"held", float64(c.Process.Total.Requests), integerReader(maxCount), func(a *Amounts, v float64) { a.Requests = int64(v) }},
		{
			"bytes", float64(c.Process.Total.Bytes), func(t tree.Table, key string) float64 { return float64(t.Size(key, 0, 0, maxBytes)) },
			func(a *Amounts, v float64) { a.Bytes = int64(v) },
		},
		{"dials", float64(c.Process.Total.Dials), integerReader(maxCount), func(a *Amounts, v float64) { a.Dials = int64(v) }},
		{
			"module_time", c.Process.Total.ModuleTime, func(t tree.Table, key string) float64 { return t.Number(key, 0, 0, 1024) },
			func(a *Amounts, v float64) { a.ModuleTime = v },
		},
	}
	if c.Process.ClientDescriptors > c.Process.Total.Descriptors {
		process.Errorf("clients", "%d are more than the %d connections that %d descriptors leave", c.Process.ClientDescriptors,
			c.Process.Total.Descriptors, c.Process.Descriptors)
		return
	}
	// Each held request has a connection of its client: more than there is room for beside the
	// connections to servers would leave none for the clients of other services.
	capacity := int64(0)
	for i, thing := range things {
		if i == 1 {
			if c.Process.Total.Requests == 0 {
				c.Process.Total.Requests = capacity
				thing.total = float64(capacity)
			} else if c.Process.Total.Requests > capacity {
				process.Errorf("held", "%d requests need as many connections of clients; the services' guaranteed connections leave %d",
					c.Process.Total.Requests, capacity)
			}
		}
		thing.divide(c, services)
		if i == 0 {
			capacity = c.Process.Total.Descriptors
			for _, s := range c.Services {
				capacity -= s.Guaranteed.Descriptors
			}
			capacity = max(capacity, 1)
		}
	}
	checkBytes(c, services)
}

// checkBytes reports services whose parts, or the process's bytes, hold no single request.
func checkBytes(c *Config, services []tree.Table) {
	for i, s := range services {
		t := s.Sub("guaranteed")
		t.Done()
		one := c.Services[i].maxRequestBytes()
		if t.Has("bytes") && c.Services[i].Guaranteed.Bytes < one {
			t.Errorf("bytes", "it holds no single request: body and answer may have %d", one)
		} else if one > c.Process.Total.Bytes {
			s.Errorf("answer", "body and answer of one request may have %d bytes, more than the %d of the process",
				one, c.Process.Total.Bytes)
		}
	}
}

func integerReader(limit int64) func(tree.Table, string) float64 {
	return func(t tree.Table, key string) float64 { return float64(t.Integer(key, 0, 0, limit)) }
}
