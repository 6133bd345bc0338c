package regions

import (
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"lockflow/control"
	"lockflow/internal/route"
)

// fleet returns regions with the given number of rules each, ownRules of which no other region has.
func fleet(regions, rules, ownRules int) (all []Region) {
	newRoute := func(i int) Route {
		r := Route{Rule: route.Rule{Name: fmt.Sprint("r", i), Service: fmt.Sprint("s", i%20), Host: fmt.Sprintf("h%d.example", i%200), Prefix: fmt.Sprintf("/p%d/q%d", i/200, i%200)}, Base: true}
		switch i % 10 {
		case 0:
			r.Host = ""
		case 1:
			r.Host = fmt.Sprintf("*.z%d.example", i%40)
		case 2:
			r.Method = http.MethodPost
		case 3:
			r.Headers = []route.Header{{Name: "X-Beta", Any: true}}
		case 4:
			r.Prefix, r.Path = "", r.Prefix+"/x"
		}
		return r
	}
	var services []Service
	for i := range 20 {
		s := Service{
			Name: fmt.Sprint("s", i), GenericHTTP: true, Classes: []control.Class{{Name: "read"}, {Name: "write", Idempotency: control.NotIdempotent}},
			Source: fmt.Sprint("source", i), SlowStart: SlowStart{WarmupTime: 15 * time.Second, InitialCapacity: 0.15, OverloadMultiple: 2.5}, Plans: []control.Plan{{Name: "p", HardLimitRate: 9, HardLimitBurst: 9}},
		}
		for k := range 20 {
			s.Servers = append(s.Servers, fmt.Sprint(20*i+k))
		}
		services = append(services, s)
	}
	for n := range regions {
		r := Region{Name: fmt.Sprintf("region%02d", n), Instances: regions, Members: 1, Listeners: []string{fmt.Sprint("n", n, ":80")}, Services: services}
		r.Routes = append(r.Routes, Route{Rule: route.Rule{Name: "all", Service: "s0"}, Base: true})
		for i := 1; i < rules-ownRules; i++ {
			r.Routes = append(r.Routes, newRoute(i))
		}
		for i := range ownRules {
			o := newRoute(rules + n*ownRules + i)
			o.Base = false
			r.Routes = append(r.Routes, o)
		}
		all = append(all, r)
	}
	return all
}

// withServiceOfRule returns a region in which one rule forwards to another service.
func withServiceOfRule(r Region, rule, serviceNumber int) Region {
	r.Routes = append([]Route(nil), r.Routes...)
	r.Routes[rule].Service = fmt.Sprint("s", serviceNumber)
	return r
}

// cpuTime returns the CPU time of the process, which other processes on busy cores affect less than the elapsed time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCheck builds an index of all regions, and reports the memory of the index without that of the regions.
func BenchmarkCheck(b *testing.B) {
	for _, ownRules := range []int{0, 20, 1000} {
		for _, n := range []int{2, 10, 50} {
			b.Run(fmt.Sprintf("regions=%d/own=%d", n, ownRules), func(b *testing.B) {
				all := fleet(n, 10000, ownRules)
				heapBefore, conflictCount, cpuStart := heapBytes(), 0, cpuTime()
				var x *Index
				for b.Loop() {
					x = NewIndex(all)
					conflictCount = len(x.Conflicts())
				}
				b.ReportMetric((cpuTime()-cpuStart).Seconds()*1e3/float64(b.N), "cpu-ms/op")
				b.ReportMetric((heapBytes()-heapBefore)/1e6, "MB")
				b.ReportMetric(float64(conflictCount), "conflicts")
				runtime.KeepAlive(x)
				runtime.KeepAlive(all)
			})
		}
	}
}

// BenchmarkReplace replaces a region in which one rule has changed.
func BenchmarkReplace(b *testing.B) {
	for _, rule := range []int{5, 10, 0} { // rules for one host, for any host, and for all requests
		for _, n := range []int{2, 10, 50} {
			b.Run(fmt.Sprintf("regions=%d/rule=%d", n, rule), func(b *testing.B) {
				all := fleet(n, 10000, 20)
				x := NewIndex(all)
				conflictCount := len(x.Conflicts())
				versions := [2]Region{withServiceOfRule(all[1], rule, 7), all[1]}
				cpuStart := cpuTime()
				for i := 0; b.Loop(); i++ {
					x.Replace(versions[i%2])
				}
				b.ReportMetric((cpuTime()-cpuStart).Seconds()*1e3/float64(b.N), "cpu-ms/op")
				b.ReportMetric(float64(conflictCount), "conflicts")
			})
		}
	}
}

// BenchmarkPairwise compares each rule of one region with each rule of another, as an implementation without an index would.
func BenchmarkPairwise(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("rules=%d", n), func(b *testing.B) {
			all := fleet(2, n, 20)
			first, second := newReference(b, all[0]), newReference(b, withServiceOfRule(all[1], 5, 7))
			x := NewIndex(all)
			for b.Loop() {
				for _, ruleA := range x.regions[0].rules {
					for _, ruleB := range x.regions[1].rules {
						set, ok := ruleA.requests.intersect(ruleB.requests)
						if !ok {
							continue
						}
						if set.method == "" {
							set.method = http.MethodGet
						}
						w := x.minimalRequest(set)
						conflictKinds(first.handle(w), second.handle(w))
					}
				}
			}
		})
	}
}
