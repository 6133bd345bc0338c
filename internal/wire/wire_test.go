package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"lockflow/control"
)

const openLine = "open_instance who=3 salt=77 classes.count=1 classes.0.aim=4000.0 classes.0.deadline=10000.0 " +
	"classes.0.effect=guarded classes.0.key-scope=cell classes.0.name=submit classes.0.repeat-window=5000.0 " +
	"classes.0.stream=false classes.0.worth=1.0 contract.cold=18000.0 contract.fall-multiple=2.5 " +
	"discovery=on_request domain.cost-after=true domain.meter-period=1000.0 group-size=2 self-index=1 " +
	"limits.send-cap=3 limits.probes=true new.key=later tariffs.count=1 tariffs.0.name=start " +
	"tariffs.0.quota-rate=0.84 tariffs.0.depth=4.0 tariffs.0.open=2 tariffs.0.cap-rate=17.0 zone=z1\n"

func batch(lines string) string { return "clock ts=10.25\n" + lines + "end\n" }

func decode(t *testing.T, text string) Batch {
	t.Helper()
	b, err := NewDecoder(strings.NewReader(text)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestSettings(t *testing.T) {
	b := decode(t, batch(openLine))
	s := b.Inputs[0].Open.Settings
	if b.Now != 10250*time.Microsecond || b.Inputs[0].Instance != 3 || b.Inputs[0].Open.Seed != 77 {
		t.Errorf("batch %+v", b)
	}
	k := s.Classes[0]
	if k.Idempotency != control.IdempotentWithKey || k.KeyScope != control.ScopeCell || k.RepeatWindow != 5*time.Second {
		t.Errorf("class %+v", k)
	}
	p := s.Plans[0]
	if p.QuotaRate != 0.84 || p.QuotaBurst != 4 || p.MaxInFlight != 2 || p.HardLimitRate != 17 {
		t.Errorf("plan %+v", p)
	}
	if !s.ListOnRequest || !s.UnitsInResponse || !s.HealthChecks || s.GroupSize != 2 || s.SelfIndex != 1 || s.MaxAttempts != 3 {
		t.Errorf("settings %+v", s)
	}
}

func TestEvents(t *testing.T) {
	b := decode(t, batch("discovery who=3 kind=stale_copy serial=41 members=2\n"+
		"item condition=on area=z1 size=1 server=51 unit-group=0 flavor=a\n"+
		"item condition=fading area=z1 came-up=6100.0 size=1.5 server=74 unit-group=2 flavor=b\n"+
		"request who=3 xid=0a class=submit terms=start client-id=9f ttl=240.0 weight=2 spread=3 set-start=1 bitmap=6\n"+
		"response who=3 xid=0a server=51 cost=3 no-more=1 delay-seen=18.5 use-pct=86 n=0 reason=100 pressure=cpu:0.62,new:3\n"+
		"unheard who=3 of=1\n"+
		"elapsed who=3 label=18446744073709551615\n"+
		"hangup who=3 xid=0a later=1\n"+
		"peer who=3 src=2 raw=6869\n"+
		"reckoned who=3 cname=9 total=38 reason=100\n"+
		"ping_result who=3 server=51 reason=303 delay-seen=250\n"+
		"started who=3 xid=0a n=0 server=51 delay-seen=9.25\n"+
		"power_off who=3\n"))
	if len(b.Inputs) != 10 {
		t.Fatalf("%d inputs, not 10", len(b.Inputs))
	}
	l := b.Inputs[0].Event.(control.EndpointList)
	if l.Kind != control.ListCached || len(l.Endpoints) != 2 || l.Endpoints[1].State != control.Draining ||
		l.Endpoints[1].StartedAt != 6100*time.Millisecond || l.Endpoints[0].HasStartedAt {
		t.Errorf("list %+v", l)
	}
	r := b.Inputs[1].Event.(control.Request)
	if r.Timeout != 240*time.Millisecond || r.Units != 2 || r.FanOut != 3 || !r.IsRetry || !r.IsWrite {
		t.Errorf("request %+v", r)
	}
	o := b.Inputs[2].Event.(control.AttemptResult)
	if !o.IsFinal || o.ActualUnits != 3 || o.QuotaUsage != 86 || o.Reason != control.OK || o.Load.Utilization != 0.62 || o.Load.RequestsPerSecond != -1 {
		t.Errorf("response %+v", o)
	}
	if !b.Inputs[9].PowerOff {
		t.Errorf("last input %+v", b.Inputs[9])
	}
}

func TestMalformedLineErrors(t *testing.T) {
	for text, wants := range map[string][]string{
		"hello\n":           {"line 1", "clock"},
		"clock ts=x\nend\n": {"line 1", "ts"},
		batch("request who=3 xid=0a class=c ttl=abc\n"):                    {"line 2", "ttl"},
		batch("request who=3 class=c ttl=1\n"):                             {"line 2", "xid"},
		batch("elapsed who=3 label=-1\n"):                                  {"line 2", "label"},
		batch("response who=3 xid=0a server=4294967296 reason=1\n"):        {"line 2", "server"},
		batch("discovery who=3 kind=odd members=0\n"):                      {"line 2", "kind"},
		batch("discovery who=3 kind=whole members=1\nhangup who=3\n"):      {"line 3", "item"},
		batch("hangup who=3 xid\n"):                                        {"line 2", "xid"},
		batch("peer who=3 src=1 raw=6\n"):                                  {"line 2", "raw"},
		batch("response who=3 xid=a server=1 reason=100 pressure=cpu:z\n"): {"line 2", "pressure"},
		"clock ts=1\nhangup who=3 xid=a\n":                                 {"line 2", "inside a batch"},
	} {
		_, err := NewDecoder(strings.NewReader(text)).Next()
		if err == nil {
			t.Errorf("%q was accepted", text)
			continue
		}
		for _, w := range wants {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%q: %v does not contain %q", text, err, w)
			}
		}
	}
	if _, err := NewDecoder(strings.NewReader("")).Next(); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: %v", err)
	}
}

func TestActions(t *testing.T) {
	for want, a := range map[string]control.Action{
		"call_out who=3 xid=0a server=51 within=80\n": control.Send{ID: "0a", Server: 51, Timeout: 80 * time.Millisecond},
		"call_out who=3 xid=0a server=51\n":           control.Send{ID: "0a", Server: 51},
		"withdraw who=3 xid=0a n=1\n":                 control.CancelAttempt{ID: "0a", Attempt: 1},
		"busy who=3 xid=0a backoff=250.5\n":           control.Reject{ID: "0a", RetryAfter: 250500 * time.Microsecond},
		"finish_error who=3 xid=0a\n":                 control.Fail{ID: "0a"},
		"arm who=3 offset=500 label=77\n":             control.StartTimer{After: 500 * time.Millisecond, Label: 77},
		"poll who=3 server=51\n":                      control.CheckHealth{Server: 51},
		"disconnect who=3 server=51\n":                control.Disconnect{Server: 51},
		"follow who=3 active=1\n":                     control.WatchEndpoints{Active: true},
		"snapshot who=3\n":                            control.FetchEndpoints{},
		"say who=3 neighbour-id=all raw=6869\n":       control.SendPeerMessage{To: -1, Raw: []byte("hi")},
		"say who=3 neighbour-id=2 raw=-\n":            control.SendPeerMessage{To: 2},
		"incr who=3 cname=9 by=-4 expire-in=3000\n":   control.AddToCounter{Name: 9, Add: -4, Lifetime: 3 * time.Second},
		"remark who=3 body-text=two servers known\n":  control.LogLine{Text: "two\nservers known"},
	} {
		if got := string(AppendAction(nil, 3, a)); got != want {
			t.Errorf("%#v: line %q, not %q", a, got, want)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(batch(openLine))
	f.Add(batch("request who=3 xid=0a class=submit terms=start client-id=9f ttl=240.0 weight=2 spread=3\n"))
	f.Add(batch("discovery who=3 kind=patch serial=4 members=1\nitem condition=on server=5\n"))
	f.Add(batch("response who=3 xid=0a server=51 reason=100 pressure=cpu:0.6,rps:1\n"))
	f.Add("clock ts=1e400\nend\n")
	f.Fuzz(func(_ *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for i := 0; i < 100; i++ {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}

// Each inconsistent quota or hard limit is reported once; numbers that are missing or 0 mean no limit and are not
// reported.
func TestInvalidSettings(t *testing.T) {
	validPlans := []control.Plan{
		{Name: "none"},
		{Name: "open", MaxInFlight: 3},
		{Name: "in flight with burst", MaxInFlight: 1, QuotaBurst: 4},
		{Name: "rate", QuotaRate: 0.1, QuotaBurst: 4},
		{Name: "both", QuotaRate: 1, QuotaBurst: 8, MaxInFlight: 2},
		{Name: "ceiling", HardLimitRate: 2, HardLimitBurst: 4, HardLimitSlack: 0.4},
		{Name: "all", QuotaRate: 1, QuotaBurst: 4, HardLimitRate: 2, HardLimitBurst: 9},
	}
	for name, tc := range map[string]struct {
		plan      control.Plan
		wantError string
	}{
		"nothing":                         {control.Plan{Price: 1, OverQuotaCost: 1}, ""},
		"no burst of the quota":           {control.Plan{QuotaRate: 3}, "tariffs.7.depth: "},
		"burst below the largest request": {control.Plan{QuotaRate: 3, QuotaBurst: 3.9}, "tariffs.7.depth: "},
		"no rate of the quota":            {control.Plan{QuotaBurst: 5}, "tariffs.7.quota-rate: "},
		"no burst of the hard limit":      {control.Plan{HardLimitRate: 3, HardLimitSlack: 9}, "tariffs.7.hard-burst: "},
		"no rate of the hard limit":       {control.Plan{QuotaRate: 1, QuotaBurst: 9, HardLimitBurst: 3}, "tariffs.7.cap-rate: "},
	} {
		all := InvalidSettings(control.Settings{MaxUnits: 4, Plans: append(validPlans, tc.plan)})
		if tc.wantError == "" && len(all) > 0 || tc.wantError != "" && (len(all) != 1 || !strings.Contains(all[0].Error(), tc.wantError)) {
			t.Errorf("%s: %v", name, all)
		}
	}
	if all := InvalidSettings(control.Settings{Plans: []control.Plan{{QuotaRate: 1, QuotaBurst: 1}}}); len(all) > 0 {
		t.Errorf("burst of one unit: %v", all)
	}
}
