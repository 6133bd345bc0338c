package soak

import (
	"encoding/json"
	"time"
)

// class is a class of requests as the nodes' settings name it.
type class struct {
	name, effect, scope string
	deadline, window    time.Duration
}

// The classes: one that may be repeated at will, one with a key, and one that may not be repeated.
var (
	readClass           = class{name: "read", effect: "free", scope: "all", deadline: 600 * time.Millisecond, window: time.Second}
	idempotencyKeyClass = class{name: "keyed", effect: "guarded", scope: "cell", deadline: 900 * time.Millisecond, window: 2 * time.Second}
	notIdempotentClass  = class{name: "once", effect: "single_shot", scope: "all", deadline: 700 * time.Millisecond, window: time.Second}
	classes             = []class{readClass, idempotencyKeyClass, notIdempotentClass}
)

// Terms of the settings that the judge needs.
const (
	longestDeadline = 900 * time.Millisecond
	killDelay       = longestDeadline + 700*time.Millisecond // from SIGTERM to SIGKILL at the soonest (PROTOCOL)
	drainGrace      = time.Second
	warmupTime      = 6 * time.Second
	initialCapacity = 0.15
	fallTime        = time.Second
	fallMultiple    = 2.5
	keepAlive       = 4 * time.Second
	hardRate        = 40.0 // units a second of one customer over all nodes
	hardBurst       = 60.0
	hardSlack       = 10.0
	cells           = 3
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings are those of node number index of a group, as PROTOCOL and DEPLOY give them.
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

// configuration is the file of a node, with the discovery that it follows.
func configuration(index, group int, discovery string) []byte {
	raw, err := json.Marshal(map[string]any{
		"name": "n", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": settings(index, group),
	})
	if err != nil {
		panic(err) // of values of this file alone
	}
	return raw
}
