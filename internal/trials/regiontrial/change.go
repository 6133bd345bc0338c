package regiontrial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/fleet"
	"lockflow/internal/manage"
	"lockflow/internal/rolloutlog"
)

// Exit codes of a change.
const (
	exitDone  = 0
	exitBack  = 1
	exitStuck = 3
	killed    = -1
)

// ended is how a coordinator's process came to its end.
type ended struct {
	code int
	said string
}

// coordinate runs the real command over the fleet, and kills it once it has told of so many decisions; 0 is
// never. Each line of a decision comes after it was written.
func (r *run) coordinate(ctx context.Context, kill int, args ...string) (e ended, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeWithin)
	defer cancel()
	cmd := exec.CommandContext(ctx, r.o.Program, append([]string{"fleet", "reload"}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var out bytes.Buffer
	var mu sync.Mutex // of out
	cmd.Stdout = writer(func(b []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(b)
	})
	lines, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return e, fmt.Errorf("a coordinator: %w", err)
	}
	decisions := 0
	for in := bufio.NewScanner(lines); in.Scan(); {
		mu.Lock()
		fmt.Fprintln(&out, in.Text())
		mu.Unlock()
		if strings.Contains(in.Text(), `msg="rollout: `) {
			if decisions++; decisions == kill {
				cmd.Process.Kill()
			}
		}
	}
	_ = cmd.Wait() // ProcessState tells how it ended
	e = ended{cmd.ProcessState.ExitCode(), out.String()}
	r.mu.Lock()
	r.decisions += decisions
	if e.code == killed && ctx.Err() == nil {
		r.coordinatorsKilled++
	}
	r.mu.Unlock()
	if ctx.Err() != nil {
		return e, fmt.Errorf("a coordinator did not end within %v: ...%s", changeWithin, e.said[max(len(e.said)-2000, 0):])
	}
	return e, nil
}

type writer func([]byte) (int, error)

func (w writer) Write(b []byte) (int, error) { return w(b) }

// journal reads what a coordinator has begun; nil is nothing.
func (r *run) journal(name string) (*fleet.Change, error) {
	records, _, err := rolloutlog.Read(filepath.Join(r.o.Dir, name))
	if err != nil || len(records) == 0 {
		return nil, err
	}
	c := new(fleet.Change)
	if err := json.Unmarshal(records[0], c); err != nil {
		return nil, fmt.Errorf("a coordinator's journal: %w", err)
	}
	return c, nil
}

// generations notes what the members of a journal's change run at each step: these are wanted.
func (r *run) generations(name string) error {
	c, err := r.journal(name)
	if err != nil || c == nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, m := range c.Plan.Members {
		// A coordinator that begins in the midst of another's change knows fewer of its generations.
		if n := member(i); len(m.Versions) > len(r.gens[n]) {
			r.gens[n] = m.Versions
		}
		for _, h := range m.Versions {
			r.notes.WantGeneration(h)
		}
	}
	return nil
}

// flags of a change, with a journal by name.
func (r *run) flags(fleetFile, journal string, more ...string) []string {
	return append([]string{"--fleet", fleetFile, "--journal", filepath.Join(r.o.Dir, journal), "--within", "20s", "--stages", "1, 50%, 100%"}, more...)
}

// refuse has a change asked for that would bring a conflict: it has to be refused with a request that shows
// it, before anything is changed.
func (r *run) refuse(ctx context.Context, file string) error {
	for {
		e, err := r.coordinate(ctx, 0, r.flags(file, "refused", "--unjudged", "--bake", "100ms")...)
		if err != nil {
			return err
		}
		c, err := r.journal("refused")
		if err != nil {
			return err
		}
		if c != nil || e.code != exitBack || !strings.Contains(e.said, "nothing was changed") {
			r.notes.Wrong("a change with a conflict: exit %d, begun %v: %s", e.code, c != nil, e.said)
		}
		if strings.Contains(e.said, "does not answer") || strings.Contains(e.said, "member ") && !strings.Contains(e.said, "loop") {
			select { // a fault keeps it from looking: again
			case <-time.After(retryEvery):
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if !strings.Contains(e.said, "loop: ") || !strings.Contains(e.said, "/visits") {
			r.notes.Wrong("a change with a conflict is refused without saying why: %s", e.said)
		}
		return nil
	}
}

// begin starts a change until a coordinator has come so far as to write it, and is killed after some
// decisions.
func (r *run) begin(ctx context.Context, file string, kill int, more ...string) (e ended, err error) {
	for {
		if e, err = r.coordinate(ctx, kill, r.flags(file, "journal", more...)...); err != nil {
			return e, err
		}
		c, err := r.journal("journal")
		if err != nil {
			return e, err
		}
		if c != nil {
			return e, nil
		}
		if e.code != exitBack && e.code != killed || !strings.Contains(e.said, "member ") {
			r.notes.Wrong("a change could not be begun: exit %d: %s", e.code, e.said)
			return e, nil
		}
		select { // a member did not answer
		case <-time.After(retryEvery):
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

// state is what all members run: one kind, or neither.
func (r *run) state(ctx context.Context, hashes map[kind][]string) (k kind, one bool, told string) {
	counts := make(map[kind]int)
	for i := range r.nodes() {
		s, err := manage.Client{Path: r.ground.socket(i)}.Status(ctx)
		raw, fileErr := os.ReadFile(r.ground.file(i))
		told += fmt.Sprintf(" %s %.8s", member(i), s.ConfigHash)
		if err != nil || fileErr != nil || !s.IsReady() || desiredstate.Hash(raw) != s.ConfigHash {
			told += fmt.Sprintf(" (%s, its file %.8s; %v, %v)", s.State, desiredstate.Hash(raw), err, fileErr)
			continue
		}
		for k, h := range hashes {
			if h[i/r.o.Each] == s.ConfigHash {
				counts[k]++
			}
		}
	}
	for k, n := range counts {
		if n == r.nodes() {
			return k, true, told
		}
	}
	return 0, false, told
}
