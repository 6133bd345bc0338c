package control_test

import (
	"fmt"
	"time"

	"lockflow/control"
)

// A gateway passes events to the controller and performs the actions that it returns.
func Example() {
	c, err := control.New(control.Settings{
		GroupSize: 1, MaxAttempts: 3, SupportsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		Classes: []control.Class{{Name: "submit", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans:   []control.Plan{{Name: "basic", Price: 1, QuotaRate: 2, QuotaBurst: 4}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // time on any monotonic clock
	c.Handle(now, control.EndpointList{Kind: control.ListComplete, Endpoints: []control.Endpoint{{Server: 7, Size: 1}}})
	for _, a := range c.Handle(now, control.Request{
		ID: "r1", Class: "submit", Plan: "basic",
		Customer: "c1", Timeout: 3 * time.Second, Units: 1, FanOut: 1,
	}) {
		if s, ok := a.(control.Send); ok {
			fmt.Println("send", s.ID, "to server", s.Server)
		}
	}
	// Output: send r1 to server 7
}
