package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lockflow/internal/fleet"
	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testbench"
)

// ReloadOptions are the options of Reloads.
type ReloadOptions struct {
	Rounds   int
	Duration time.Duration // of each run
	Every    time.Duration // interval between reloads
	Clients  int
	Progress io.Writer
}

// ReloadRow is the result of a run with or without reloads.
type ReloadRow struct {
	Reloads int     `json:"reloads"`
	Rate    float64 `json:"rate"`  // calls served per second
	First   float64 `json:"first"` // Rate in the first quarter of the run
	P99     float64 `json:"p99_ms"`
	Refused int     `json:"refused"`
	Lost    int     `json:"lost"` // calls without an answer, with another call's answer, or failed
	Twice   int     `json:"twice"`
}

// Reloads measures the cost of reloads that change services. Runs with and without reloads alternate. It returns pairs of
// rows, the one without reloads first.
func Reloads(ctx context.Context, o ReloadOptions) ([][2]ReloadRow, error) {
	var rows [][2]ReloadRow
	for round := range o.Rounds {
		var pair [2]ReloadRow
		for i, every := range []time.Duration{0, o.Every} {
			fmt.Fprintf(o.Progress, "round %d of %d, reload interval %v\n", round+1, o.Rounds, every)
			r, err := reloadRun(ctx, o, every, uint64(round))
			if err != nil {
				return nil, err
			}
			pair[i] = r
		}
		rows = append(rows, pair)
	}
	return rows, nil
}

func reloadRun(ctx context.Context, o ReloadOptions, every time.Duration, seed uint64) (ReloadRow, error) {
	l, err := testbench.Start(testbench.WithDescriptors(512), testbench.DemoServers(seed))
	if err != nil {
		return ReloadRow{}, err
	}
	defer l.Stop() //nolint:errcheck // the measurement is complete
	if err := l.Ready(ctx); err != nil {
		return ReloadRow{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	started := time.Now()
	var mu sync.Mutex
	servedEarly := 0
	run := fake.Clients{Addr: l.Node.Addr(), Seed: seed, Workers: o.Clients, Call: func(rng *rand.Rand) fake.Call {
		c := testbench.RosterCall(rng)
		c.Method, c.Path, c.Body, c.Key = "POST", "/visit-update", "swap", strconv.FormatUint(rng.Uint64(), 16)
		return c
	}, OnAnswer: func(a fake.Answer) {
		if a.Status == 200 && a.Sent.Add(a.Duration).Sub(started) < o.Duration/4 {
			mu.Lock()
			servedEarly++
			mu.Unlock()
		}
	}}.Start(ctx)
	row := ReloadRow{}
	if every > 0 {
		t := time.NewTicker(every)
		defer t.Stop()
		for more := true; more; {
			select {
			case <-t.C:
				text := testbench.WithDescriptors(512)
				if row.Reloads%2 == 0 { // alternates between 5 attempts and the default
					text = strings.Replace(text, "[services.rosters]", "[services.rosters]\nattempts = 5", 1)
				}
				if err := l.Reload(text); err != nil {
					return row, err
				}
				row.Reloads++
			case <-ctx.Done():
				more = false
			}
		}
	}
	r := run.Wait()["rosters"]
	seconds := time.Since(started).Seconds()
	row.Rate, row.First = float64(r.Served)/seconds, float64(servedEarly)/(o.Duration.Seconds()/4)
	row.P99, row.Refused, row.Lost = ms(r.Quantile(0.99)), r.Rejected, r.Lost+r.Wrong+r.Failed
	row.Twice = l.Pools["rosters"].Executions.Counts().DuplicateEffects
	return row, nil
}

// UpgradeOptions are the options of Upgrades.
type UpgradeOptions struct {
	Program  string
	Dir      string
	Upgrades int
	Every    time.Duration // interval between upgrades
	Clients  int           // clients with a persistent connection; as many again open a new one for each call
	Progress io.Writer
}

// UpgradeReport is the result of Upgrades.
type UpgradeReport struct {
	Upgrades  int     `json:"upgrades"`
	Calls     int     `json:"calls"`
	NoConn    int     `json:"no_connection"`
	Refused   int     `json:"refused"`
	Lost      int     `json:"lost"`
	Twice     int     `json:"twice"`
	Around    Times   `json:"around"` // latencies of calls sent less than 1 s before or after the start of an upgrade, 2 s in all
	Quiet     Times   `json:"quiet"`  // latencies of all other calls
	Durations []int64 `json:"took_ms"`
}

// Times are the number and the quantiles of latencies in ms.
type Times struct {
	N   int     `json:"n"`
	P50 float64 `json:"P50,omitempty"`
	P99 float64 `json:"P99,omitempty"`
	Max float64 `json:"max"`
}

// Upgrades measures upgrades of a real process under load.
func Upgrades(ctx context.Context, o UpgradeOptions) (*UpgradeReport, error) {
	pool, err := testbench.StartPool(testbench.DemoServers(1)["rosters"])
	if err != nil {
		return nil, err
	}
	defer pool.Close()
	file := filepath.Join(o.Dir, "upgrade.toml")
	text := strings.ReplaceAll(fleetConfig, "@visits", pool.Discovery.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("measuring upgrades: %w", err)
	}
	run, err := fleet.Start(ctx, fleet.Options{Program: o.Program, Config: file, Dir: o.Dir, Instances: 1, Host: "127.0.0.1", StartTimeout: time.Minute})
	if err != nil {
		return nil, err
	}
	defer run.Stop(5 * time.Second) //nolint:errcheck // the measurement is complete
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var answers []fake.Answer
	clients := fake.Clients{Addr: run.Addr(0), Workers: o.Clients, Call: visitUpdate, OnAnswer: func(a fake.Answer) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	}}
	persistent := clients.Start(load)
	clients.ConnPerAttempt, clients.Seed = true, 1000
	nonPersistent := clients.Start(load)
	rep := &UpgradeReport{}
	var startTimes []time.Time
	for i := range o.Upgrades {
		select {
		case <-time.After(o.Every):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		m := run.Members[0]
		before, err := m.Client.Status(ctx)
		if err != nil {
			return nil, err
		}
		started := time.Now()
		if err := (&fleet.Upgrade{}).Do(ctx, m, before); err != nil {
			return nil, fmt.Errorf("upgrade %d: %w", i+1, err)
		}
		startTimes = append(startTimes, started)
		rep.Durations = append(rep.Durations, time.Since(started).Milliseconds())
		fmt.Fprintf(o.Progress, "upgrade %d of %d: old process ended after %v\n", i+1, o.Upgrades, time.Since(started).Round(time.Millisecond))
	}
	time.Sleep(o.Every)
	cancel()
	for _, r := range []map[string]*fake.Result{persistent.Wait(), nonPersistent.Wait()} {
		x := r["x"]
		rep.Calls, rep.Refused, rep.Lost = rep.Calls+x.Calls, rep.Refused+x.Rejected, rep.Lost+x.Lost+x.Wrong+x.Failed
	}
	rep.addLatencies(answers, startTimes)
	rep.Upgrades, rep.Twice = len(startTimes), pool.Executions.Counts().DuplicateEffects
	return rep, nil
}

// addLatencies sets the latencies of calls around upgrades and of all other calls, and counts attempts without a
// connection.
func (r *UpgradeReport) addLatencies(answers []fake.Answer, upgrades []time.Time) {
	var around, quiet fake.Times
	for _, a := range answers {
		if a.IsUnconnected {
			r.NoConn++
		}
		isNear := slices.ContainsFunc(upgrades, func(t time.Time) bool { d := a.Sent.Sub(t); return d > -time.Second && d < time.Second })
		if isNear {
			around.Add(a.Duration)
		} else {
			quiet.Add(a.Duration)
		}
	}
	r.Around, r.Quiet = latencyTimes(&around), latencyTimes(&quiet)
}

// visitUpdate returns a write with a new idempotency key.
func visitUpdate(rng *rand.Rand) fake.Call {
	return fake.Call{
		Kind: "x", Host: "care.example", Method: "POST", Path: "/visit-update", Plan: "standard", Body: "swap",
		Key: strconv.FormatUint(rng.Uint64(), 16), Customer: rng.Uint64N(500), Deadline: 3 * time.Second,
	}
}

func latencyTimes(t *fake.Times) Times {
	return Times{N: t.Count(), P50: ms(t.Quantile(0.5)), P99: ms(t.Quantile(0.99)), Max: ms(t.Quantile(1))}
}
