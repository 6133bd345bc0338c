package command

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lockflow/internal/quotalease"
	"lockflow/internal/testsupport/testkit"
)

func TestAllowance(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.toml")
	text := strings.Replace(testkit.SmallConfig, "[plans.p]", "[plans.p]\n[plans.enterprise]\nceiling_rate = 30\nceiling_burst = 60", 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]struct {
		code   int
		output string
	}{
		"--plan enterprise --instances 40 --units 4":  {ExitOK, "the store of one part, 1.5 units, never fills up to one request"},
		"--plan enterprise --instances 40 --spread 4": {ExitOK, "10.0%"},
		"--plan enterprise":                           {ExitOK, "1 instances, traffic through 1"},
		"--plan p":                                    {ExitFailed, "has no ceiling"},
		"--plan q":                                    {ExitFailed, "no plan"},
		"--plan enterprise --term 5s":                 {ExitFailed, "term 5s, pledge 2s"},
		"--plan enterprise --units 0":                 {ExitUsage, "--units above 0"},
		"":                                            {ExitUsage, "takes explain with --config"},
		"--plan enterprise --instances -1":            {ExitFailed, "over -1 instances"},
		"--plan enterprise --config /none/of/these":   {ExitFailed, "none/of/these"},
		"--plan enterprise --instances 40 --drift 0.005 --json": {ExitOK, `"case":"the counter answers"`},
		"--plan enterprise --instances 40 --drift 0.5 --json":   {ExitFailed, "drift 0.5"},
	} {
		code, out, errs := runCommand(t, nil, append([]string{"allowance", "explain", "--config", file}, strings.Fields(args)...)...)
		if code != want.code || !strings.Contains(out+errs, want.output) {
			t.Errorf("allowance explain %s: got exit code %d and output\n%s%s", args, code, out, errs)
		}
	}
	_, out, _ := runCommand(t, nil, "allowance", "explain", "--config", file, "--plan", "enterprise", "--instances", "40", "--json")
	var got struct {
		Bound    quotalease.HardLimit
		Promises []quotalease.Guarantee
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil || got.Bound.Burst <= 60 || len(got.Promises) < 6 {
		t.Errorf("got JSON error %v, output %s", err, out)
	}
	for _, p := range got.Promises {
		if p.Excess < 0 || p.Utilization < 0 || p.Utilization > 1 || p.Reason == "" {
			t.Errorf("got guarantee %+v out of range or without a reason", p)
		}
	}
}
