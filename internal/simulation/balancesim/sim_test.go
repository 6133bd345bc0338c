package balancesim

import (
	"reflect"
	"testing"
	"time"
)

// Without load reports, the module serves at least as large a fraction of the calls as round robin and least in flight,
// less 0.01, also if one server is slow or fails. The same seed gives the same report.
func TestModuleAvoidsFaultyServers(t *testing.T) {
	o := Options{Load: 0.5, Duration: 25 * time.Second, Seed: 3}
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			got := make(map[string]Report)
			for _, p := range Policies {
				r, err := Run(c, p, o)
				if err != nil {
					t.Fatal(err)
				}
				if got[p] = r; r.Calls < 1000 {
					t.Fatalf("%+v", r)
				}
			}
			m, roundRobin := got["module"], got["round robin"]
			if m.Served < roundRobin.Served-0.01 || m.Served < got["least in flight"].Served-0.01 {
				t.Errorf("module %+v\nround robin %+v\nleast in flight %+v", m, roundRobin, got["least in flight"])
			}
			if repeated, _ := Run(c, "module", o); !reflect.DeepEqual(repeated, m) {
				t.Errorf("the same seed gave different reports:\n%+v\n%+v", m, repeated)
			}
		})
	}
	if _, err := Run(Cases[0], "no such policy", o); err == nil {
		t.Error("no error for an unknown policy")
	}
}
