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

func store(t *testing.T) *redistest.Server {
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

func start(t *testing.T, id string, stores ...*redistest.Server) instance {
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
	s.pool = pool.New(pool.Options{OwnID: id, Lifetime: time.Minute, MergeInterval: 1}) // trust changes at once
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

// An instance without observations learns from the others, over a server that runs the script. While the server does
// not reply, rejects calls or is replaced the instance uses what it has, and it recovers afterwards.
func TestSharingSurvivesStoreFaults(t *testing.T) {
	s := store(t)
	ctx := t.Context()
	var all []instance
	for i := range 4 {
		one := start(t, fmt.Sprint("i", i), s)
		if i > 0 {
			one.observe(200)
		}
		all = append(all, one)
	}
	round := func() {
		for range 2 {
			for _, one := range all {
				one.Exchange(ctx)
			}
		}
	}
	round()
	f := all[0].learned.Forecast("c", 0)
	if q := f.Quantile(0, 0.5); !f.IsKnown() || q < 80*ms || q > 130*ms {
		t.Fatalf("knows %v: half within %v; %+v", f.IsKnown(), q, all[0].Status())
	}
	for name, fault := range map[string]func(){
		"unresponsive": func() { s.SetFaults(redistest.Faults{IsSilent: true}) }, "rejects": func() { s.SetFaults(redistest.Faults{Error: "LOADING x"}) },
		"cut": s.CloseConns, "replaced": s.Replace,
	} {
		fault()
		short, cancel := context.WithTimeout(ctx, 200*ms) // the unresponsive one does not reply
		all[0].Exchange(short)
		cancel()
		if f := all[0].learned.Forecast("c", 0); !f.IsKnown() {
			t.Errorf("%s: nothing is known at once", name)
		}
		s.SetFaults(redistest.Faults{})
		round()
		if st := all[0].Status(); len(st.Failing) > 0 || st.Members != 3 || st.Trust < 0.5 {
			t.Errorf("%s, and back: %+v", name, st)
		}
	}
	if st := all[0].Status(); st.Failures < 2 || st.Bytes > waitpolicy.MaxSharedBytes {
		t.Errorf("%+v", st)
	}
}

// Malformed values in the store affect no other member: a value, the hash of members, an age.
func TestMalformedValuesInStore(t *testing.T) {
	s, ctx := store(t), t.Context()
	a, b, c := start(t, "a", s), start(t, "b", s), start(t, "c", s)
	b.observe(100)
	c.observe(100)
	b.Exchange(ctx)
	c.Exchange(ctx)
	s.Do("SET", "{lockflow:district}:gather:c", "lockflow gather\nrubbish")
	s.Do("HSET", "{lockflow:district}:gather", "nobody", "1e99", "odd", "x", "far", "99999999999999999", "gone", fmt.Sprint(time.Now().UnixMilli()))
	a.Exchange(ctx)
	if f, st := a.learned.Forecast("c", 0), a.Status(); !f.IsKnown() || st.Members != 1 || st.Rejected != 1 || len(st.Failing) != 1 {
		t.Errorf("%v %+v", f.IsKnown(), st)
	}
	if left := s.Do("HGETALL", "{lockflow:district}:gather").([]any); len(left) != 8 { // a, b, c, gone
		t.Errorf("%q", left)
	}
}

// With two stores, members are read over the one that works.
func TestTwoStores(t *testing.T) {
	one, two := store(t), store(t)
	a, b := start(t, "a", one, two), start(t, "b", one, two)
	one.SetFaults(redistest.Faults{Error: "READONLY x"})
	b.observe(100)
	b.Exchange(t.Context())
	a.Exchange(t.Context())
	if st := a.Status(); st.Members != 1 || len(st.Failing) != 1 || st.Failing[0] != one.Addr() {
		t.Errorf("%+v", st)
	}
}

// Of a hundred members some are read in each exchange.
func TestMembersReadAreLimited(t *testing.T) {
	s := store(t)
	a := start(t, "a", s)
	b := start(t, "b", s)
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
		t.Errorf("%d members after more", n)
	}
}
