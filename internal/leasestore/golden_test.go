package leasestore

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lockflow/internal/quotalease"
	"lockflow/internal/testsupport/redistest"
	"lockflow/internal/testsupport/testkit"
)

// The arguments of a call and the keys and fields in which the script stores leases are the same as in earlier builds,
// because instances of those builds share one lease store with this build. go test ./internal/leasestore -run Golden
// -update rewrites the file.
func TestGoldenCounter(t *testing.T) {
	var text strings.Builder
	client := New(Options{Address: "127.0.0.1:1", KeyPrefix: "care"})
	t.Cleanup(func() { _ = client.Close() })
	fmt.Fprintln(&text, "key", client.keys)

	now := time.Unix(1_700_000_000, 0)
	server := redistest.New()
	server.SetClock(func() time.Time { return now })
	id := evalScript(t, server, &quotalease.StoreCall{HolderID: "x"}).StoreID
	var last quotalease.StoreCall
	for step := range 5 { // a reservation accrues units only after some time
		now = now.Add(time.Second)
		last = quotalease.StoreCall{HolderID: "x", StoreID: id, EchoedTime: time.Duration(now.UnixMicro()) * time.Microsecond, ReservedFraction: 0.5, LastToken: 7}
		if step == 4 {
			last.Requests = []quotalease.LeaseRequest{{Key: "p c", Limit: quotalease.HardLimit{Rate: 30, Burst: 60}, Units: 4, MinUnits: 1.5}}
			last.Returns = []quotalease.LeaseReturn{{Key: "p d", Token: 3, Units: 2.5}}
		}
		if a := evalScript(t, server, &last); step == 4 && len(a.Grants) != 1 {
			t.Errorf("no grant in reply %+v", a)
		}
	}
	fmt.Fprintln(&text, "asked", EncodeCall(&last, rules))

	base := "{x}:" + id
	for _, key := range []string{":m", ":p", ":l:1:8"} {
		fields, _ := server.Do("HGETALL", base+key).([]any)
		var pairs []string
		for i := 0; i+1 < len(fields); i += 2 {
			pairs = append(pairs, fmt.Sprintf("%v=%v", fields[i], fields[i+1]))
		}
		slices.Sort(pairs)
		fmt.Fprintln(&text, "hash", key, pairs)
	}
	fmt.Fprintln(&text, "text :s:1:p c", server.Do("GET", base+":s:1:p c"))
	testkit.GoldenBytes(t, "testdata/golden/counter.txt", []byte(strings.ReplaceAll(text.String(), id, "ID")))
}
