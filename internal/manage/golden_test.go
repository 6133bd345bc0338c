package manage

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Bodies on the control socket have the same keys as in earlier builds. go test ./internal/manage -run Golden -update
// rewrites the golden files.
func TestGoldenControlSocket(t *testing.T) {
	for name, v := range map[string]any{"status": &Status{}, "claim": &Claim{}, "order": &Command{}, "failure": &errorAnswer{}} {
		testkit.GoldenSample(t, "json", "testdata/golden/"+name+".json", v)
	}
}

// Request bodies from clients of earlier builds are accepted, and unknown keys are rejected.
func TestBodiesOfEarlierClients(t *testing.T) {
	daemon := fakeDaemon{make(chan string, 1)}
	handler := newHandler(func() Daemon { return daemon })
	for _, tc := range []struct{ path, body, wantCall string }{
		{"upgrade", `{"program":"/bin/new"}`, "upgrade /bin/new"},
		{"drain", `{"keep":true}`, "drain true"},
		{"drain", ``, "drain false"},
		{"upgrade", `{"path":"/bin/new"}`, ""},
		{"drain", `{"rest":true}`, ""},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/"+tc.path, strings.NewReader(tc.body)))
		gotCall := ""
		if len(daemon.calls) > 0 {
			gotCall = <-daemon.calls
		}
		if isRejected := w.Code == http.StatusBadRequest; gotCall != tc.wantCall || isRejected != (tc.wantCall == "") {
			t.Errorf("%s %s: daemon got call %q, answer %d %s", tc.path, tc.body, gotCall, w.Code, w.Body)
		}
	}
}
