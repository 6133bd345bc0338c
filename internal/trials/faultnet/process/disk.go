package process

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// SetFull simulates a full disk: the process can create and rename files, but its writes fail, with
// EFBIG instead of a disk's ENOSPC. It sets RLIMIT_FSIZE, which applies to root too and needs no
// separate file system. It returns an error if the process has no state directory.
func (p *Process) SetFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.State == "" {
		return errors.New("cannot simulate a full disk: the process has no state directory")
	}
	if p.full == full {
		return nil
	}
	p.full = full
	if !p.isRunning() {
		return nil
	}
	return p.limit(full)
}

// limit sets or lifts the file size limit of all processes of the group. The caller holds mu.
func (p *Process) limit(full bool) error {
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &own); err == nil {
		limit = own
	}
	if full {
		limit.Cur = 0 // the hard limit stays, so that lifting it needs no privileges
	}
	var joined error
	for _, pid := range p.group() {
		if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			joined = errors.Join(joined, fmt.Errorf("setting the file size limit of process %d: %w", pid, err))
		}
	}
	return joined
}

// SetReadOnly makes the state directory read-only by its mode, or restores its mode. This applies to
// root too, as a process with a state directory runs without CAP_DAC_OVERRIDE.
func (p *Process) SetReadOnly(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.State == "" {
		return errors.New("cannot make the state directory read-only: the process has none")
	}
	if on == p.readOnly {
		return nil
	}
	if on {
		info, err := os.Stat(p.State)
		if err != nil {
			return fmt.Errorf("making the state directory read-only: %w", err)
		}
		p.mode = info.Mode().Perm()
		if err := os.Chmod(p.State, p.mode&^0o222); err != nil {
			return err
		}
	} else if err := os.Chmod(p.State, p.mode); err != nil {
		return err
	}
	p.readOnly = on
	return nil
}

// startWithoutDACOverride starts a command without CAP_DAC_OVERRIDE, so that file modes apply to root too. It
// drops the capability from the bounding set of one thread, starts the command there and lets the
// thread exit.
func startWithoutDACOverride(cmd *exec.Cmd) error {
	if os.Geteuid() != 0 {
		return cmd.Start()
	}
	failed := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread exits with the goroutine
		if err := unix.Prctl(unix.PR_CAPBSET_DROP, unix.CAP_DAC_OVERRIDE, 0, 0, 0); err != nil {
			failed <- fmt.Errorf("dropping CAP_DAC_OVERRIDE, which needs CAP_SETPCAP: %w", err)
			return
		}
		failed <- cmd.Start()
	}()
	return <-failed
}

// groupOf returns the ids of the running processes of a group, without zombies.
func groupOf(pgid int) (pids []int) {
	if unix.Kill(-pgid, 0) == unix.ESRCH { // the common case, in which /proc need not be read
		return nil
	}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if !isRunningInGroup(string(raw), pgid) {
			continue
		}
		if pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path))); err == nil {
			pids = append(pids, pid)
		}
	}
	return pids
}

// isRunningInGroup reports whether a line of /proc/PID/stat describes a running process of a group.
func isRunningInGroup(stat string, pgid int) bool {
	// The form is "pid (name) state ppid pgrp ..."; the name may contain any character.
	nameEnd := strings.LastIndexByte(stat, ')')
	if nameEnd < 0 {
		return false
	}
	fields := strings.Fields(stat[nameEnd+1:])
	if len(fields) < 3 {
		return false
	}
	state := fields[0]
	isZombie := state == "Z" || state == "X"
	return !isZombie && fields[2] == strconv.Itoa(pgid)
}
