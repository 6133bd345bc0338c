package soak

import (
	"encoding/json"
	"time"
)

// class is a class of requests with the values of its fields in the nodes' settings.
type class struct {
	name     string
	effect   string // "free", "guarded" or "single_shot"
	scope    string // within which an idempotency key is unique: "cell" or "all"
	deadline time.Duration
	window   time.Duration // repeat window: the time for which an idempotency key prevents a second execution
}

// The classes of requests: idempotent, idempotent with an idempotency key, and not idempotent.
var (
	readClass           = class{name: "read", effect: "free", scope: "all", deadline: 600 * time.Millisecond, window: time.Second}
	idempotencyKeyClass = class{name: "keyed", effect: "guarded", scope: "cell", deadline: 900 * time.Millisecond, window: 2 * time.Second}
	notIdempotentClass  = class{name: "once", effect: "single_shot", scope: "all", deadline: 700 * time.Millisecond, window: time.Second}
	classes             = []class{readClass, idempotencyKeyClass, notIdempotentClass}
)

// Values of the settings against which the journal checks.
const (
	longestDeadline = 900 * time.Millisecond
	killDelay       = longestDeadline + 700*time.Millisecond // minimum time from SIGTERM to SIGKILL (PROTOCOL)
	drainGrace      = time.Second
	warmupTime      = 6 * time.Second
	initialCapacity = 0.15        // fraction of a warm server's capacity
	fallTime        = time.Second // period over which the load of a warming-up server is measured
	fallMultiple    = 2.5         // multiple of a warming-up server's capacity above which it is overloaded
	keepAlive       = 4 * time.Second
	hardRate        = 40.0 // units per second of one customer over all nodes
	hardBurst       = 60.0 // units
	hardSlack       = 10.0 // units
	cells           = 3
)

// milliseconds converts a duration to the unit that the settings use.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings returns the settings of the node with an index in a group of nodes, in the form that PROTOCOL and DEPLOY define.
func settings(index, group int) map[string]any {
	var classList []map[string]any
	for _, c := range classes {
		classList = append(classList, map[string]any{
			"name": c.name, "aim": milliseconds(c.deadline) / 2, "deadline": milliseconds(c.deadline), "effect": c.effect,
			"key-scope": c.scope, "repeat-window": milliseconds(c.window), "stream": false, "worth": 1.0, "late-share": 0.2,
		})
	}
	return map[string]any{
		"self-index": index, "group-size": group, "zone": "z0", "azs": []string{"z0", "z1"}, "discovery": "pushed",
		"classes": classList,
		"tariffs": []map[string]any{
			{"name": "open", "value-factor": 1.0, "quota-rate": 100000.0, "depth": 100000.0, "open": 0, "overrun-cost": 1.0},
			{
				"name": "capped", "value-factor": 1.0, "quota-rate": hardRate, "depth": hardBurst, "open": 0, "overrun-cost": 1.0,
				"cap-rate": hardRate, "hard-burst": hardBurst, "ceiling-slack": hardSlack,
			},
		},
		"clients": map[string]any{"marks-retry": false},
		"contract": map[string]any{
			"ask-within": 10000.0, "cold": milliseconds(warmupTime), "cold-from": initialCapacity, "drain-grace": milliseconds(drainGrace),
			"fall": milliseconds(fallTime), "fall-multiple": fallMultiple, "grace-to-answer": 16.0,
		},
		"domain": map[string]any{"meter-period": 0.0, "cost-after": false, "units-top": 4},
		"limits": map[string]any{
			"connect-timeout": 250.0, "keepalive": milliseconds(keepAlive), "send-cap": 4, "may-cancel": true, "max-retry-after": 1000.0,
			"retry-after": false, "second-copies": false,
		},
	}
}

// descriptors is a node's descriptor limit in runs without a flood.
const descriptors = 512

// configuration returns the configuration file of a node; discovery is the address of its discovery server.
func configuration(index, group, descriptors int, discovery string) []byte {
	raw, err := json.Marshal(map[string]any{
		"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": descriptors},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": settings(index, group),
	})
	if err != nil {
		panic(err) // impossible: all values can be marshaled
	}
	return raw
}
