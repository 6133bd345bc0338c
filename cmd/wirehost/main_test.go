package main

import (
	"strings"
	"testing"
)

const openInstance = "open_instance who=0 salt=1 classes.count=1 classes.0.aim=400 classes.0.deadline=1000 " +
	"classes.0.effect=free classes.0.name=c tariffs.count=1 tariffs.0.name=p self-index=0 group-size="

func host(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatchesOfInputs(t *testing.T) {
	out, err := host(t, "clock ts=1\nend\n"+
		"clock ts=2\n"+openInstance+"1\ndiscovery who=0 kind=stale_copy members=1\nitem condition=on server=5\nend\n"+
		"clock ts=3\nrequest who=0 xid=0a class=c terms=p client-id=b ttl=900\nrequest who=9 xid=0b class=c terms=p ttl=9\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(out, "yield\n") != 3 || !strings.Contains(out, "call_out who=0 xid=0a server=5") {
		t.Errorf("unexpected replies:\n%s", out)
	}
	if strings.Contains(out, "who=9") {
		t.Error("got an action of instance 9, which was never opened")
	}
}

func TestInvalidSettingsBailOut(t *testing.T) {
	out, err := host(t, "clock ts=2\n"+openInstance+"0\nend\n")
	if err != nil || !strings.HasPrefix(out, "bail_out who=0 body-text=settings: group size") {
		t.Errorf("got %q, %v, want a bail_out of the settings", out, err)
	}
}

func TestMalformedInputEndsTheProgram(t *testing.T) {
	if _, err := host(t, "clock ts=2\nelapsed who=0 label=x\nend\n"); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("got error %v, want one of line 2", err)
	}
}
