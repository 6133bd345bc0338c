// Package fleet is the owner's tool for many daemons on one machine, or behind a file of control
// sockets: it starts them, asks them all, and has a change go over them. How that goes is decided
// in package rollout. It is no cluster manager: nothing of it runs while nobody calls it, but for
// Run, which is the parent of those it starts.
package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lockflow/internal/durable"
	"lockflow/internal/manage"
)

const (
	statusTimeout = 3 * time.Second // of a status
	pollInterval  = 20 * time.Millisecond
	// maxMembers bounds a list of members.
	maxMembers = 10000
)

// Member is one daemon of a fleet.
type Member struct {
	Name   string
	Client manage.Client
}

// MembersInDirectory are the members that Run keeps under a directory, by number.
func MembersInDirectory(dir string) ([]Member, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*", controlSocketName))
	if err != nil {
		return nil, fmt.Errorf("fleet directory: %w", err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("fleet directory %s: there is no instance with a control socket", dir)
	}
	var all []Member
	for _, p := range paths {
		all = append(all, Member{filepath.Base(filepath.Dir(p)), manage.Client{Path: p}})
	}
	slices.SortFunc(all, func(a, b Member) int {
		x, errX := strconv.Atoi(a.Name)
		y, errY := strconv.Atoi(b.Name)
		if errX == nil && errY == nil {
			return x - y
		}
		return strings.Compare(a.Name, b.Name)
	})
	return all, nil
}

// MembersInFile are the members whose control sockets a file names, a path a line; lines that begin with
// # are none.
func MembersInFile(path string) ([]Member, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	defer f.Close() //nolint:errcheck // only read
	var all []Member
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		switch {
		case !filepath.IsAbs(line):
			return nil, fmt.Errorf("%s:%d: %q is no absolute path", path, n, line)
		case slices.ContainsFunc(all, func(m Member) bool { return m.Name == line }):
			return nil, fmt.Errorf("%s:%d: %q is given twice", path, n, line)
		case len(all) == maxMembers:
			return nil, fmt.Errorf("%s:%d: more than %d members", path, n, maxMembers)
		}
		all = append(all, Member{line, manage.Client{Path: line}})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: it names no member", path)
	}
	return all, nil
}

// StatusReply is what a member said of itself, or why it said nothing.
type StatusReply struct {
	Member string         `json:"member"`
	Status *manage.Status `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// PollStatus asks all members for their status, at once.
func PollStatus(ctx context.Context, members []Member) []StatusReply {
	all := make([]StatusReply, len(members))
	var polls sync.WaitGroup
	for i, m := range members {
		polls.Go(func() {
			all[i].Member = m.Name
			s, err := status(ctx, m)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].Status = &s
		})
	}
	polls.Wait()
	return all
}

func status(ctx context.Context, m Member) (manage.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return m.Client.Status(ctx)
}

// Reload has a member read its configuration again; with New, another one, which takes the place of the file.
// A change of a whole fleet is a Rollout; this is for one member.
type Reload struct {
	New []byte // nil leaves the file
}

// Do reloads a member that is at before, and returns once it is ready again.
func (r *Reload) Do(ctx context.Context, m Member, before manage.Status) error {
	if r.New != nil {
		if err := durable.ReplaceFile(before.ConfigPath, r.New, 0o600); err != nil {
			return fmt.Errorf("replacing the configuration: %w", err)
		}
	}
	if _, err := m.Client.Reload(ctx); err != nil {
		return err
	}
	_, err := awaitStatus(ctx, m, func(s manage.Status) bool { return s.IsReady() })
	return err
}

// Upgrade has a new process take a member's place.
type Upgrade struct {
	Program string // absolute; "" is the one that each runs
}

// Do upgrades a member. It returns once the old process has ended: until then it could still go on.
func (u *Upgrade) Do(ctx context.Context, m Member, _ manage.Status) error {
	old, err := status(ctx, m)
	if err != nil {
		return err
	}
	if _, err := m.Client.Upgrade(ctx, u.Program); err != nil {
		return err
	}
	back := false
	now, err := awaitStatus(ctx, m, func(s manage.Status) bool {
		// The old one says so itself once it has gone on without the new one.
		back = s.PID == old.PID && s.IsReady() && s.SuccessorPID == 0
		return back || s.PID != old.PID && s.IsReady() && hasEnded(old.PID)
	})
	if err == nil && back {
		return fmt.Errorf("the new process did not last; process %d goes on", now.PID)
	}
	return err
}

// hasEnded tells whether a process of this machine has ended.
func hasEnded(pid int) bool {
	if errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
		return true
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)) // one that nobody has waited for
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(rest, "Z")
}

// awaitStatus asks a member again and again until it is as wanted.
func awaitStatus(ctx context.Context, m Member, is func(manage.Status) bool) (manage.Status, error) {
	for {
		s, err := status(ctx, m)
		if err == nil && is(s) {
			return s, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			if err == nil {
				err = fmt.Errorf("it is %s", s.State)
			}
			return s, fmt.Errorf("not ready in time: %w", err)
		}
	}
}
