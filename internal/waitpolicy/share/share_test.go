package share

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lockflow/internal/testsupport/redistest"
	"lockflow/internal/testsupport/testkit"
	"lockflow/internal/waitpolicy"
	"lockflow/internal/waitpolicy/pool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ms = time.Millisecond

var settings = &waitpolicy.Settings{Parts: []waitpolicy.Part{{Name: "a"}, {Name: "b"}}}

func startStore(t *testing.T) *redistest.Server {
	t.Helper()
	s, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

type instance struct {
	*Sharer
	learned *waitpolicy.Model
}

func startInstance(t *testing.T, id string, stores ...*redistest.Server) instance {
	t.Helper()
	o := Options{Gatherer: "district", InstanceID: id, Interval: 10 * time.Second, Timeout: testkit.WaitTimeout, Log: slog.New(slog.DiscardHandler)}
	for _, s := range stores {
		o.Stores = append(o.Stores, Store{Address: s.Addr()})
	}
	m := waitpolicy.NewModel(settings, waitpolicy.Options{})
	s, err := New(o, m)
	if err != nil {
		t.Fatal(err)
	}
	s.pool = pool.New(pool.Options{OwnID: id, Lifetime: time.Minute, MergeInterval: 1}) // each merge changes trust by a full step
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Run(ctx)
	})
	return instance{s, m}
}

func (i instance) observe(n int) {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	for range n {
		for p := range settings.Parts {
			i.learned.Observe("c", p, 0, waitpolicy.Outcome{Duration: time.Duration(float64(100*ms) * math.Exp(0.5*rng.NormFloat64()))})
		}
	}
}

// An instance without observations learns from the others over a server that runs the script. While the server does not
// reply, rejects calls or is replaced, the instance uses the sketches that it has, and it recovers afterwards.
func TestSharingSurvivesStoreFaults(t *testing.T) {
	s := startStore(t)
	ctx := t.Context()
	var instances []instance
	for i := range 4 {
		member := startInstance(t, fmt.Sprint("i", i), s)
		if i > 0 {
			member.observe(200)
		}
		instances = append(instances, member)
	}
	exchangeTwice := func() {
		for range 2 {
			for _, member := range instances {
				member.Exchange(ctx)
			}
		}
	}
	exchangeTwice()
	forecast := instances[0].learned.Forecast("c", 0)
	if median := forecast.Quantile(0, 0.5); !forecast.IsKnown() || median < 80*ms || median > 130*ms {
		t.Fatalf("forecast known %v, median %v; status %+v", forecast.IsKnown(), median, instances[0].Status())
	}
	for name, fault := range map[string]func(){
		"unresponsive": func() { s.SetFaults(redistest.Faults{IsSilent: true}) }, "rejects": func() { s.SetFaults(redistest.Faults{Error: "LOADING x"}) },
		"cut": s.CloseConns, "replaced": s.Replace,
	} {
		fault()
		shortContext, cancel := context.WithTimeout(ctx, 200*ms) // an unresponsive store does not reply before the deadline
		instances[0].Exchange(shortContext)
		cancel()
		if forecast := instances[0].learned.Forecast("c", 0); !forecast.IsKnown() {
			t.Errorf("%s: forecast is unknown immediately after the fault", name)
		}
		s.SetFaults(redistest.Faults{})
		exchangeTwice()
		if status := instances[0].Status(); len(status.Failing) > 0 || status.Members != 3 || status.Trust < 0.5 {
			t.Errorf("%s: status after recovery: %+v", name, status)
		}
	}
	if status := instances[0].Status(); status.Failures < 2 || status.Bytes > waitpolicy.MaxSharedBytes {
		t.Errorf("%+v", status)
	}
}

// Malformed values in the store do not affect other members: sketches, an entry in the hash of members, an age.
func TestMalformedValuesInStore(t *testing.T) {
	s, ctx := startStore(t), t.Context()
	a, b, c := startInstance(t, "a", s), startInstance(t, "b", s), startInstance(t, "c", s)
	b.observe(100)
	c.observe(100)
	b.Exchange(ctx)
	c.Exchange(ctx)
	s.Do("SET", "{lockflow:district}:gather:c", "lockflow gather\nrubbish")
	s.Do("HSET", "{lockflow:district}:gather", "nobody", "1e99", "odd", "x", "far", "99999999999999999", "gone", fmt.Sprint(time.Now().UnixMilli()))
	a.Exchange(ctx)
	if forecast, status := a.learned.Forecast("c", 0), a.Status(); !forecast.IsKnown() || status.Members != 1 || status.Rejected != 1 || len(status.Failing) != 1 {
		t.Errorf("forecast known %v, status %+v", forecast.IsKnown(), status)
	}
	if remaining := s.Do("HGETALL", "{lockflow:district}:gather").([]any); len(remaining) != 8 { // a, b, c, gone
		t.Errorf("remaining members and times %q, want 8 values", remaining)
	}
}

// With two stores, members are read from the store that works.
func TestTwoStores(t *testing.T) {
	failing, working := startStore(t), startStore(t)
	a, b := startInstance(t, "a", failing, working), startInstance(t, "b", failing, working)
	failing.SetFaults(redistest.Faults{Error: "READONLY x"})
	b.observe(100)
	b.Exchange(t.Context())
	a.Exchange(t.Context())
	if status := a.Status(); status.Members != 1 || len(status.Failing) != 1 || status.Failing[0] != failing.Addr() {
		t.Errorf("%+v", status)
	}
}

// An exchange reads only MaxMembersRead of a hundred members; later exchanges read other members.
func TestMembersReadAreLimited(t *testing.T) {
	s := startStore(t)
	a := startInstance(t, "a", s)
	b := startInstance(t, "b", s)
	b.observe(50)
	raw, _ := b.learned.Shared()
	for i := range 100 {
		s.Do("SET", fmt.Sprintf("{lockflow:district}:gather:m%d", i), string(raw))
		s.Do("HSET", "{lockflow:district}:gather", fmt.Sprintf("m%d", i), fmt.Sprint(time.Now().UnixMilli()))
	}
	a.Exchange(t.Context())
	if n := a.Status().Members; n != MaxMembersRead {
		t.Errorf("%d members after one exchange", n)
	}
	for range 20 {
		a.Exchange(t.Context())
	}
	if n := a.Status().Members; n < 40 || n > 64 {
		t.Errorf("%d members after more exchanges, want 40 to 64", n)
	}
}
