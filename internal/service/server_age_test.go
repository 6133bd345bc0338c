package service

import (
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/discovery"
)

// ageRecorder is a module that records the age of each server when it was last listed.
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

// bootMS returns the boot time, in Unix ms, of a server that started age ago by its own clock.
func bootMS(age time.Duration) float64 { return float64(time.Now().Add(-age).UnixMilli()) }

// Guards against wall clocks that are an hour ahead or behind, with which a new or restarted server would count as warm,
// or warm up for an hour: its age is at most the time since the previous list, and not negative.
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
			t.Errorf("age of a new server by a clock an hour ahead is %v, want 3s", age)
		}
		time.Sleep(2 * time.Second)
		list("s-1", bootMS(time.Hour))
		if age := ages[1]; age != 2*time.Second {
			t.Errorf("age of a restarted server by a clock an hour ahead is %v, want 2s", age)
		}
		time.Sleep(2 * time.Second)
		future := bootMS(-time.Hour)
		list("s-3", future)
		if age := ages[3]; age != 0 {
			t.Errorf("age of a new server by a clock an hour behind is %v, want 0s", age)
		}
		time.Sleep(time.Second)
		list("s-3", future)
		if age := ages[3]; age != time.Second {
			t.Errorf("age one second later is %v, want 1s", age)
		}
		time.Sleep(4 * time.Second)
		list("s-4", bootMS(time.Second))
		if age := ages[4]; age != time.Second {
			t.Errorf("age of a server that started a second ago is %v, want 1s", age)
		}
		time.Sleep(time.Second)
		list("s-5", 1)
		if age := ages[5]; age < 0 || age > time.Second {
			t.Errorf("age of a new server with a boot time in 1970 is %v, want 0s to 1s", age)
		}
	})
}

// Guards against a reload that changes the ages of servers: a replacement uses the same ages as the original service.
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
			t.Errorf("age of the server after a reload is %v, want 2s", age)
		}
	})
}

// restoreRecorder is a module that records the checkpoint that it is restored from and the checkpoint's age.
type restoreRecorder struct {
	ageRecorder
	restored *control.Checkpoint
	age      *time.Duration
}

func (r restoreRecorder) Restore(now time.Duration, c control.Checkpoint, _ control.Trust) {
	*r.restored, *r.age = c, now-c.At
}

// Guards against a clock step that shifts a restored state: the state's times are shifted by its age, even if the wall
// clock was stepped after it was taken. A server is no older than in the process that took the state.
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
					t.Errorf("restored at an age of %v, want 3s: %+v", age, restored)
				}
				if ages[1] > 10*time.Second || ages[1] < 0 || step <= 0 && ages[1] != 10*time.Second {
					t.Errorf("age of the server is %v, want at most 10s", ages[1])
				}
			})
		})
	}
}

// A start shortly before the last list is accepted, as lists may be late, unless the wall clock was stepped since the
// service started.
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
			t.Errorf("clock step of %v: age of the server is %v", step, age)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
