package manage

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lockflow/internal/testsupport/testkit"
)

// Bodies on the control socket have the keys of earlier builds. go test ./internal/manage -run Golden -update replaces the
// golden files.
func TestGoldenControlSocket(t *testing.T) {
	for name, v := range map[string]any{"status": &Status{}, "claim": &Claim{}, "order": &Command{}, "failure": &errorAnswer{}} {
		testkit.GoldenSample(t, "json", "testdata/golden/"+name+".json", v)
	}
}

// Bodies that clients of earlier builds send are accepted, and an unknown key is rejected.
func TestBodiesOfEarlierClients(t *testing.T) {
	f := fakeDaemon{make(chan string, 1)}
	h := newHandler(func() Daemon { return f })
	for _, c := range []struct{ path, body, does string }{
		{"upgrade", `{"program":"/bin/new"}`, "upgrade /bin/new"},
		{"drain", `{"keep":true}`, "drain true"},
		{"drain", ``, "drain false"},
		{"upgrade", `{"path":"/bin/new"}`, ""},
		{"drain", `{"rest":true}`, ""},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/"+c.path, strings.NewReader(c.body)))
		did := ""
		if len(f.calls) > 0 {
			did = <-f.calls
		}
		if refused := w.Code == http.StatusBadRequest; did != c.does || refused != (c.does == "") {
			t.Errorf("%s %s: %q, %d %s", c.path, c.body, did, w.Code, w.Body)
		}
	}
}
