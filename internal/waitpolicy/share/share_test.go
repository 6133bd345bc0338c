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
	m *waitpolicy.Model
}

func start(t *testing.T, id string, stores ...*redistest.Server) instance {
	t.Helper()
	o := Options{Gatherer: "district", InstanceID: id, Interval: 10 * time.Second, Timeout: testkit.Patience, Log: slog.New(slog.DiscardHandler)}
	for _, s := range stores {
		o.Stores = append(o.Stores, Store{Address: s.Addr()})
	}
	m := waitpolicy.NewModel(settings, waitpolicy.Options{})
	s, err := New(o, m)
	if err != nil {
		t.Fatal(err)
	}
	s.pool = pool.New(pool.Options{OwnID: id, Lifetime: time.Minute, MergeInterval: 1}) // trust is as quick as tests are
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Run(ctx)
	})
	return instance{s, m}
}

func (i instance) sees(n int) {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	for range n {
		for p := range settings.Parts {
			i.m.Observe("c", p, 0, waitpolicy.Outcome{Duration: time.Duration(float64(100*ms) * math.Exp(0.5*rng.NormFloat64()))})
		}
	}
}

// One that has seen nothing knows from the others, over a server that runs the very script; in the time
// that a server is dark, refuses or is replaced it goes on with what it knows, and finds back.
func TestShares(t *testing.T) {
	s := store(t)
	ctx := t.Context()
	var all []instance
	for i := range 4 {
		one := start(t, fmt.Sprint("i", i), s)
		if i > 0 {
			one.sees(200)
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
	f := all[0].m.Forecast("c", 0)
	if q := f.Quantile(0, 0.5); !f.IsKnown() || q < 80*ms || q > 130*ms {
		t.Fatalf("knows %v: half within %v; %+v", f.IsKnown(), q, all[0].Status())
	}
	for name, fault := range map[string]func(){
		"dark": func() { s.Set(0, "", true) }, "refuses": func() { s.Set(0, "LOADING x", false) },
		"cut": s.Cut, "replaced": s.Replace,
	} {
		fault()
		short, cancel := context.WithTimeout(ctx, 200*ms) // the dark one says nothing
		all[0].Exchange(short)
		cancel()
		if f := all[0].m.Forecast("c", 0); !f.IsKnown() {
			t.Errorf("%s: nothing is known at once", name)
		}
		s.Set(0, "", false)
		round()
		if st := all[0].Status(); len(st.Failing) > 0 || st.Members != 3 || st.Trust < 0.5 {
			t.Errorf("%s, and back: %+v", name, st)
		}
	}
	if st := all[0].Status(); st.Failures < 2 || st.Bytes > waitpolicy.MaxSharedBytes {
		t.Errorf("%+v", st)
	}
}

// What is nonsense in the store costs nothing else: another's key, the members' hash, an age.
func TestNonsenseInTheStore(t *testing.T) {
	s, ctx := store(t), t.Context()
	a, b, c := start(t, "a", s), start(t, "b", s), start(t, "c", s)
	b.sees(100)
	c.sees(100)
	b.Exchange(ctx)
	c.Exchange(ctx)
	s.Do("SET", "{lockflow:district}:gather:c", "lockflow gather\nrubbish")
	s.Do("HSET", "{lockflow:district}:gather", "nobody", "1e99", "odd", "x", "far", "99999999999999999", "gone", fmt.Sprint(time.Now().UnixMilli()))
	a.Exchange(ctx)
	if f, st := a.m.Forecast("c", 0), a.Status(); !f.IsKnown() || st.Members != 1 || st.Rejected != 1 || len(st.Failing) != 1 {
		t.Errorf("%v %+v", f.IsKnown(), st)
	}
	if left := s.Do("HGETALL", "{lockflow:district}:gather").([]any); len(left) != 8 { // a, b, c, gone
		t.Errorf("%q", left)
	}
}

// Two stores: each member is heard over the one that is left.
func TestTwoStores(t *testing.T) {
	one, two := store(t), store(t)
	a, b := start(t, "a", one, two), start(t, "b", one, two)
	one.Set(0, "READONLY x", false)
	b.sees(100)
	b.Exchange(t.Context())
	a.Exchange(t.Context())
	if st := a.Status(); st.Members != 1 || len(st.Failing) != 1 || st.Failing[0] != one.Addr() {
		t.Errorf("%+v", st)
	}
}

// A hundred members are read some at a time, and an answer is bounded.
func TestManyMembers(t *testing.T) {
	s := store(t)
	a := start(t, "a", s)
	b := start(t, "b", s)
	b.sees(50)
	raw, _ := b.m.Shared()
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
