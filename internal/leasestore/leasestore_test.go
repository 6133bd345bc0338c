package leasestore

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lockflow/internal/quotalease"
	"lockflow/internal/testsupport/redistest"
)

var rules = quotalease.Rules{Instances: 4, Term: time.Second, ReservationTime: 2 * time.Second, ResizeTime: 2 * time.Second}

func evalScript(t *testing.T, server *redistest.Server, call *quotalease.StoreCall) quotalease.StoreReply {
	t.Helper()
	args := []string{"EVAL", scriptSource, "1", "{x}"}
	for _, decoded := range EncodeCall(call, rules) {
		args = append(args, fmt.Sprint(decoded))
	}
	reply := server.Do(args...)
	list, ok := reply.([]any)
	if !ok {
		t.Fatalf("reply %v is not a list", reply)
	}
	raw := make([]string, len(list))
	for i, v := range list {
		raw[i] = v.(string)
	}
	decoded, err := DecodeReply(raw)
	if err != nil {
		t.Fatalf("%v: %q", err, raw)
	}
	return decoded
}

// The script answers each call as quotalease.Store does, for random calls in random order, while the clock jumps
// forwards and backwards, a token shows that the store has lost data, and holders return wrong amounts.
func TestScriptMatchesStore(t *testing.T) {
	grantCount, returnCount := 0, 0
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_700_000_000, 0)
		server := redistest.New()
		server.SetClock(func() time.Time { return now })
		id := evalScript(t, server, &quotalease.StoreCall{HolderID: "x"}).StoreID
		store := quotalease.NewStore(rules, id)
		store.Handle(time.Duration(now.UnixMicro())*time.Microsecond, quotalease.StoreCall{HolderID: "x"})
		var grants []quotalease.Grant
		var holders []string
		echoedTime := time.Duration(now.UnixMicro()) * time.Microsecond
		for step := range 300 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			switch rng.IntN(60) {
			case 0:
				now = now.Add(-time.Duration(rng.IntN(3000)) * time.Millisecond)
			case 1:
				now = now.Add(time.Duration(rng.IntN(30)) * time.Second)
			}
			call := quotalease.StoreCall{HolderID: fmt.Sprint("i", rng.IntN(4)), StoreID: id, EchoedTime: echoedTime - time.Duration(rng.IntN(2500))*time.Millisecond}
			if rng.IntN(4) > 0 {
				call.ReservedFraction = 0.25
			}
			if rng.IntN(50) == 0 {
				call.LastToken = uint64(rng.IntN(2000))
			}
			if rng.IntN(30) == 0 {
				call.StoreID = "another"
			}
			for range rng.IntN(3) {
				call.Requests = append(call.Requests, quotalease.LeaseRequest{
					Key: fmt.Sprint("k ", rng.IntN(3)), Limit: quotalease.HardLimit{Rate: 30, Burst: 60},
					Units: rng.Float64() * 20, MinUnits: rng.Float64() * 4,
				})
			}
			for range rng.IntN(3) {
				if len(grants) > 0 {
					i := rng.IntN(len(grants))
					g := grants[i]
					if call.HolderID = holders[i]; rng.IntN(4) == 0 {
						call.HolderID = "i1"
					}
					call.Returns = append(call.Returns, quotalease.LeaseReturn{Key: g.Key, Token: g.Token, Units: g.Units * rng.Float64() * 1.5})
					returnCount++
				}
			}
			storeTime := time.Duration(now.UnixMicro()) * time.Microsecond
			want, got := store.Handle(storeTime, call), evalScript(t, server, &call)
			isEqual := want.StoreID == got.StoreID && want.StoreTime == got.StoreTime && want.IsLending == got.IsLending && len(want.Grants) == len(got.Grants)
			for i := 0; isEqual && i < len(want.Grants); i++ {
				w, g := want.Grants[i], got.Grants[i]
				isEqual = w.Key == g.Key && w.Token == g.Token && math.Abs(w.Units-g.Units) < 1e-6
			}
			if !isEqual {
				t.Fatalf("seed %d, step %d: %+v\nstore:  %+v\nscript: %+v", seed, step, call, want, got)
			}
			for _, g := range got.Grants {
				grants, holders = append(grants, g), append(holders, call.HolderID)
			}
			grantCount += len(got.Grants)
			if want.StoreID == id {
				echoedTime = storeTime
			}
		}
	}
	if t.Logf("%d grants, %d returns", grantCount, returnCount); grantCount < 200 || returnCount < 200 {
		t.Error("want at least 200 grants and 200 returns")
	}
}

func startClient(t *testing.T) (*redistest.Server, *Client) {
	t.Helper()
	server, err := redistest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c := New(Options{Address: server.Addr(), KeyPrefix: "a", Timeout: 5 * time.Second, Rules: rules})
	t.Cleanup(func() { c.Close() })
	return server, c
}

// Calls over the network: a script that the server does not know yet is sent to it, an error is returned, and no
// call is retried.
func TestCalls(t *testing.T) {
	server, client := startClient(t)
	call := func() (quotalease.StoreReply, error) {
		return client.Call(context.Background(), &quotalease.StoreCall{HolderID: "i", Seq: 7})
	}
	reply, err := call()
	if err != nil || reply.StoreID == "" || reply.Seq != 7 || reply.IsLending || server.ScriptRuns() != 1 {
		t.Fatalf("reply %+v, error %v, %d script runs", reply, err, server.ScriptRuns())
	}
	for _, text := range []string{
		"LOADING Redis is loading the dataset in memory", "READONLY You can't write against a read only replica.",
		"MOVED 3999 127.0.0.1:6381", "NOAUTH Authentication required.", "OOM command not allowed when used memory > 'maxmemory'.",
	} {
		server.SetFaults(redistest.Faults{Error: text})
		if _, err := call(); err == nil || !strings.Contains(err.Error(), strings.Fields(text)[0]) {
			t.Errorf("server error %s: call returned %v", text, err)
		}
	}
	server.SetFaults(redistest.Faults{})
	if n := server.ScriptRuns(); n != 1 {
		t.Errorf("%d script runs, want 1", n)
	}
	server.Replace()
	replyAfterReplacement, err := call()
	for range 3 { // the pool may still have connections that were closed
		if err != nil {
			replyAfterReplacement, err = call()
		}
	}
	if err != nil || replyAfterReplacement.StoreID == reply.StoreID {
		t.Errorf("after the server was replaced: reply %+v, error %v", replyAfterReplacement, err)
	}
	server.SetFaults(redistest.Faults{IsSilent: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := client.Call(ctx, &quotalease.StoreCall{}); err == nil {
		t.Error("no error from a server that does not answer")
	}
}

func TestPassword(t *testing.T) {
	server, c := startClient(t)
	server.SetPassword("secret")
	if _, err := c.Call(t.Context(), &quotalease.StoreCall{}); err == nil || !strings.Contains(err.Error(), "NOAUTH") {
		t.Errorf("call without password: error %v", err)
	}
	for password, isAccepted := range map[string]bool{"secret": true, "other": false} {
		c := New(Options{Address: server.Addr(), Password: password, KeyPrefix: "a", Timeout: 5 * time.Second, Rules: rules})
		if _, err := c.Call(t.Context(), &quotalease.StoreCall{}); (err == nil) != isAccepted {
			t.Errorf("call with password %s: error %v", password, err)
		}
		c.Close()
	}
}

// Malformed replies are errors and cause no panic, and no invalid grant is decoded.
func FuzzParse(f *testing.F) {
	f.Add("id\x001700000000000000\x001\x00k\x005\x002.5")
	f.Add("id\x00-1\x001")
	f.Add("id\x001\x001\x00k\x005\x00NaN")
	f.Fuzz(func(t *testing.T, raw string) {
		reply, err := DecodeReply(strings.Split(raw, "\x00"))
		if err != nil {
			return
		}
		for _, g := range reply.Grants {
			if !(g.Units > 0) || math.IsInf(g.Units, 0) || reply.StoreID == "" || reply.StoreTime < 0 {
				t.Errorf("%q: invalid reply accepted: %+v", raw, reply)
			}
		}
	})
}
