package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "lockflow")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// A start that can't be made is one clear line and exit code 1.
func TestBadStart(t *testing.T) {
	bin := build(t)
	broken := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(broken, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{"none named": "", "missing": broken + ".no", "broken": broken} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(bin)
			cmd.Env = append(os.Environ(), "NODE_CONFIG="+path)
			out, err := cmd.CombinedOutput()
			if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}

// SIGTERM with work held: the client gets its answer, then the program ends well.
func TestTermWithWorkHeld(t *testing.T) {
	held, finish := make(chan struct{}), make(chan struct{})
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(held)
		<-finish
		io.WriteString(w, "done")
	}))
	defer app.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"rev":9,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"az":"z1","state":"up"}]}`+"\n",
			app.Listener.Addr())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()

	cmd := exec.Command(build(t))
	cmd.Env = append(os.Environ(), "NODE_CONFIG=../../internal/node/testdata/config.json",
		"NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY="+discovery.Listener.Addr().String())
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// Ends the program where it hangs, and with it all waiting below.
	defer time.AfterFunc(time.Minute, func() { cmd.Process.Kill() }).Stop()
	lines := bufio.NewScanner(log)
	until := func(word string) string {
		for lines.Scan() {
			if strings.Contains(lines.Text(), word) {
				return lines.Text()
			}
		}
		t.Fatalf("the program ended before it logged %q", word)
		return ""
	}
	_, addr, _ := strings.Cut(until("listen="), "listen=")
	for {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(time.Millisecond)
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/roster-read?account=00000000b4d65521", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Correlation-Id": "id-1", "X-Tariff": "basic", "X-Time-Left": "7000m"} {
		req.Header.Set(k, v)
	}
	answer := make(chan string, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- fmt.Sprint(resp.StatusCode, " ", string(body), " close=", resp.Close)
	}()
	<-held
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until("draining")
	close(finish)
	if a := <-answer; a != "200 done close=true" {
		t.Error(a)
	}
	until("drained")
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
