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

	"lockflow/internal/manage"
)

const (
	statusTimeout = 3 * time.Second       // of a status or claim call to a member
	pollInterval  = 20 * time.Millisecond // between polls while waiting for a status or the end of a process
	maxMembers    = 10000                 // in a file that lists control sockets
)

// Member is one daemon of a fleet.
type Member struct {
	Name   string
	Client manage.Client // for the daemon's control socket
}

// MembersInDirectory returns the instances that a Run supervises in a directory, sorted by number.
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

// MembersInFile returns the members whose control sockets a file lists, one absolute path per line. Empty lines and
// lines that begin with # are ignored.
func MembersInFile(path string) ([]Member, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	defer f.Close() //nolint:errcheck // opened for reading, so an error loses no data
	var all []Member
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		switch {
		case !filepath.IsAbs(line):
			return nil, fmt.Errorf("%s:%d: %q is not an absolute path", path, n, line)
		case slices.ContainsFunc(all, func(m Member) bool { return m.Name == line }):
			return nil, fmt.Errorf("%s:%d: %q is listed twice", path, n, line)
		case len(all) == maxMembers:
			return nil, fmt.Errorf("%s:%d: more than %d members", path, n, maxMembers)
		}
		all = append(all, Member{line, manage.Client{Path: line}})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: the file lists no members", path)
	}
	return all, nil
}

// StatusReply is a member's status, or the error of the status call.
type StatusReply struct {
	Member string         `json:"member"`
	Status *manage.Status `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// PollStatus polls all members concurrently and returns their replies, in the order of members.
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

// status requests a member's status.
func status(ctx context.Context, m Member) (manage.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return m.Client.Status(ctx)
}

// hasEnded reports whether a process on this machine has ended. A zombie, for which its parent has not waited yet,
// counts as ended.
func hasEnded(pid int) bool {
	if errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) {
		return true
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	return strings.HasPrefix(rest, "Z") // state Z is a zombie
}

// awaitStatus polls a member until its status matches or ctx is done. It returns the last status.
func awaitStatus(ctx context.Context, m Member, matches func(manage.Status) bool) (manage.Status, error) {
	for {
		s, err := status(ctx, m)
		if err == nil && matches(s) {
			return s, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			if err == nil {
				err = fmt.Errorf("its state is %s", s.State)
			}
			return s, fmt.Errorf("the member was not ready in time: %w", err)
		}
	}
}
