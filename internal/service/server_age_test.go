package service

import (
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
)

// ageRecorder is a module that records how old each server was when it was listed last.
type ageRecorder struct {
	statefulRecorder
	ages *map[uint32]time.Duration
}

func (r ageRecorder) Handle(now time.Duration, e control.Event) []control.Action {
	if list, ok := e.(control.EndpointList); ok {
		for _, endpoint := range list.Endpoints {
			(*r.ages)[endpoint.Server] = now - endpoint.StartedAt
		}
	}
	return nil
}

func newAgeRecorder() (ages map[uint32]time.Duration, newModule func() (Module, error)) {
	ages = make(map[uint32]time.Duration)
	return ages, moduleOf(ageRecorder{statefulRecorder{new([]control.Request)}, &ages})
}

// bootMS is the Unix time in ms at which a server's start is told, some time ago by its clock.
func bootMS(age time.Duration) float64 { return float64(time.Now().Add(-age).UnixMilli()) }

// A server that is new in a list, or has started again, is no older than the list before that lacked it, and no
// younger than not at all: a wall clock that is an hour ahead or behind must not have it pass for warm, or warm up
// for an hour.
func TestServerAgeIsBoundedByLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ages, newModule := newAgeRecorder()
		s, _ := startService(t, Options{NewModule: newModule})
		synctest.Wait()
		tell := func(uid string, boot float64) {
			s.receiveEndpoints(discovery.EndpointList{Endpoints: []discovery.Endpoint{{UID: uid, Address: "127.0.0.1:1", State: "up", StartedAtMS: boot}}})
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		tell("s-2", bootMS(time.Hour))
		if age := ages[2]; age != 3*time.Second {
			t.Errorf("a new server by a clock an hour ahead is %v old", age)
		}
		time.Sleep(2 * time.Second)
		tell("s-1", bootMS(time.Hour))
		if age := ages[1]; age != 2*time.Second {
			t.Errorf("a server that started again by a clock an hour ahead is %v old", age)
		}
		time.Sleep(2 * time.Second)
		ahead := bootMS(-time.Hour)
		tell("s-3", ahead)
		if age := ages[3]; age != 0 {
			t.Errorf("a new server by a clock an hour behind is %v old", age)
		}
		time.Sleep(time.Second)
		tell("s-3", ahead)
		if age := ages[3]; age != time.Second {
			t.Errorf("a second later it is %v old", age)
		}
		time.Sleep(4 * time.Second)
		tell("s-4", bootMS(time.Second))
		if age := ages[4]; age != time.Second {
			t.Errorf("a server that started a second ago is %v old", age)
		}
		time.Sleep(time.Second)
		tell("s-5", 1)
		if age := ages[5]; age != time.Second {
			t.Errorf("a new server that started in 1970 is %v old", age)
		}
	})
}
