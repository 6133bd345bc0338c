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
		list := func(uid string, boot float64) {
			s.receiveEndpoints(discovery.EndpointList{Endpoints: []discovery.Endpoint{{UID: uid, Address: "127.0.0.1:1", State: "up", StartedAtMS: boot}}})
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		list("s-2", bootMS(time.Hour))
		if age := ages[2]; age != 3*time.Second {
			t.Errorf("a new server by a clock an hour ahead is %v old", age)
		}
		time.Sleep(2 * time.Second)
		list("s-1", bootMS(time.Hour))
		if age := ages[1]; age != 2*time.Second {
			t.Errorf("a server that started again by a clock an hour ahead is %v old", age)
		}
		time.Sleep(2 * time.Second)
		future := bootMS(-time.Hour)
		list("s-3", future)
		if age := ages[3]; age != 0 {
			t.Errorf("a new server by a clock an hour behind is %v old", age)
		}
		time.Sleep(time.Second)
		list("s-3", future)
		if age := ages[3]; age != time.Second {
			t.Errorf("a second later it is %v old", age)
		}
		time.Sleep(4 * time.Second)
		list("s-4", bootMS(time.Second))
		if age := ages[4]; age != time.Second {
			t.Errorf("a server that started a second ago is %v old", age)
		}
		time.Sleep(time.Second)
		list("s-5", 1)
		if age := ages[5]; age < 0 || age > time.Second {
			t.Errorf("a new server that started in 1970 is %v old", age)
		}
	})
}

// A replacement has servers be as old as the service that it replaces.
func TestServerAgeSurvivesReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, newModule := newAgeRecorder()
		original, _ := startService(t, Options{NewModule: newModule})
		synctest.Wait()
		time.Sleep(time.Second)
		original.receiveEndpoints(discovery.EndpointList{Endpoints: []discovery.Endpoint{
			{UID: "s-1", Address: "127.0.0.1:1", State: "up", StartedAtMS: bootMS(time.Hour)},
		}})
		synctest.Wait()
		time.Sleep(time.Second)
		ages, newModule := newAgeRecorder()
		replacement, err := New(Options{Settings: testSettings(), NewModule: newModule, CachedEndpoints: original.Endpoints(), Predecessor: original})
		if err != nil {
			t.Fatal(err)
		}
		original.ReplaceWith(replacement)
		go replacement.Run(t.Context()) //nolint:errcheck // ends with the test
		synctest.Wait()
		if age := ages[1]; age != 2*time.Second {
			t.Errorf("behind a reload the server is %v old", age)
		}
	})
}

// restoreRecorder is a module that records the checkpoint that it is restored from, and its age.
type restoreRecorder struct {
	ageRecorder
	restored *control.Checkpoint
	age      *time.Duration
}

func (r restoreRecorder) Restore(now time.Duration, c control.Checkpoint, _ control.Trust) {
	*r.restored, *r.age = c, now-c.At
}

// A state is restored by its age, though the wall clock was stepped after it was taken; a server that the other
// process saw start is no older than there.
func TestRestoredStateIsMovedToClockOfProcess(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ages := make(map[uint32]time.Duration)
				var restored control.Checkpoint
				var age time.Duration
				module := restoreRecorder{ageRecorder{statefulRecorder{new([]control.Request)}, &ages}, &restored, &age}
				boot := float64(time.Now().Add(step).UnixMilli()) // by the clock before the step
				time.Sleep(10 * time.Second)
				known := discovery.EndpointList{Endpoints: []discovery.Endpoint{{UID: "s-1", Address: "127.0.0.1:1", State: "up", StartedAtMS: boot}}}
				s, err := New(Options{Settings: testSettings(), NewModule: moduleOf(module), CachedEndpoints: known})
				if err != nil {
					t.Fatal(err)
				}
				takenAt := s.clock.now() + step - 3*time.Second
				state := State{
					Checkpoint: control.Checkpoint{At: takenAt, Servers: []control.ServerCheckpoint{{Server: 7, EjectedUntil: takenAt + 5*time.Second}}},
					Servers:    map[uint32]string{7: "s-1"},
					Starts:     map[string]ServerStart{"s-1": {boot, takenAt - 7*time.Second}},
				}
				s.Restore(state, 3*time.Second, control.TrustAll)
				go s.Run(t.Context()) //nolint:errcheck // ends with the test
				synctest.Wait()
				if age != 3*time.Second || restored.Servers[0].EjectedUntil-restored.At != 5*time.Second {
					t.Errorf("restored at an age of %v: %+v", age, restored)
				}
				if ages[1] > 10*time.Second || ages[1] < 0 || step <= 0 && ages[1] != 10*time.Second {
					t.Errorf("the server is %v old", ages[1])
				}
			})
		})
	}
}

// A start that a late list tells holds, unless the wall clock was stepped since the service began.
func TestStartBeforeLastListIsKeptWithoutClockStep(t *testing.T) {
	startedAt := readClocks()
	after := func(d, step time.Duration) clockReading {
		return clockReading{startedAt.monotonic.Add(d), startedAt.wall + d + step}
	}
	for _, step := range append([]time.Duration{0}, -time.Hour, -5*time.Second, 5*time.Second, time.Hour) {
		s := newServerStarts()
		s.startedAt = startedAt
		s.listReceived(startedAt.monotonic.Add(9*time.Second), nil)
		now := after(10*time.Second, step)
		boot := milliseconds(startedAt.wall + 6*time.Second) // 4 s ago, 3 s before the last list
		age := now.monotonic.Sub(s.resolve("s-1", boot, now))
		if step == 0 && age.Round(time.Millisecond) != 4*time.Second || step != 0 && (age < 0 || age > time.Second) {
			t.Errorf("a step of %v: the server is %v old", step, age)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
