package generichttptest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"lockflow/internal/testsupport/fake"
	"lockflow/internal/testsupport/testkit"
)

// TestUploadDuringReloadIsServed checks that requests whose bodies are still arriving when a reload replaces their service
// are served, while the new service has requests in flight: no two of them may have the same number.
func TestUploadDuringReloadIsServed(t *testing.T) {
	const uploads, others = 3, 3
	process := `drain = { idle = "0s", accept = "0s", most = "1s" }`
	o := startNodeWithConfig(t, process, "", "", &fake.Origin{})
	type openRequest struct {
		conn   net.Conn
		reader *bufio.Reader
	}
	open := func(method, script, beginning string, fields ...string) openRequest {
		conn, reader := dial(t, o)
		writeRequestHead(conn, method, script, fields...)
		io.WriteString(conn, beginning)
		return openRequest{conn, reader}
	}
	requests := func(want int) {
		t.Helper()
		testkit.Until(t, fmt.Sprint(want, " requests"), func() bool { return o.Node.Status()[0].Resources.Requests.Used >= int64(want) })
	}
	var all []openRequest
	for range uploads {
		all = append(all, open("POST", "", "half", "Content-Length: 8"))
	}
	requests(uploads)
	for generation := range 2 {
		cfg, err := o.Config(process, fmt.Sprintf("attempts = %d", 3+generation%2), "")
		if err == nil {
			err = o.Node.Reload(cfg)
		}
		if err != nil {
			t.Fatal(err)
		}
		for range others {
			all = append(all, open("GET", "wait=500ms", ""))
		}
		requests(uploads + others)
	}
	for _, r := range all[:uploads] {
		io.WriteString(r.conn, "half")
	}
	statuses := make(map[int]int)
	for _, r := range all {
		statuses[readResponse(t, r.reader).StatusCode]++
	}
	if statuses[http.StatusOK] != len(all) {
		t.Errorf("statuses and their numbers: %v, want %d of 200", statuses, len(all))
	}
}
