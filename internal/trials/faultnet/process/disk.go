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

// SetFull has no file of the process grow, as on a disk that is full: files can be made and
// renamed, and a write fails (EFBIG where a disk would say ENOSPC). It goes by RLIMIT_FSIZE, which
// holds for root too and needs no file system of its own.
func (p *Process) SetFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.State == "" {
		return errors.New("a process without a state directory can't find it full")
	}
	if p.full == full {
		return nil
	}
	p.full = full
	if !p.runs() {
		return nil
	}
	return p.limit(full)
}

func (p *Process) limit(full bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &own); err == nil {
		l = own
	}
	if full {
		l.Cur = 0 // the hard limit stays: it can be lifted again without privileges
	}
	var all error
	for _, pid := range p.group() {
		if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			all = errors.Join(all, fmt.Errorf("bounding the files of process %d: %w", pid, err))
		}
	}
	return all
}

// SetReadOnly has its state directory be read and not written, by its mode. That holds for a
// process of root too, which is started without CAP_DAC_OVERRIDE.
func (p *Process) SetReadOnly(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.State == "" {
		return errors.New("a process without a state directory can't find it read-only")
	}
	if on == p.readOnly {
		return nil
	}
	if on {
		info, err := os.Stat(p.State)
		if err != nil {
			return fmt.Errorf("a state directory that is read-only: %w", err)
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

// startBounded starts a command without the capability by which root writes where the mode of a
// directory forbids it. The capability is taken from the bounding set of one thread, from which the
// command comes; that thread then ends.
func startBounded(cmd *exec.Cmd) error {
	if os.Geteuid() != 0 {
		return cmd.Start()
	}
	failed := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // and never unlocked: the runtime ends the thread with the goroutine
		if err := unix.Prctl(unix.PR_CAPBSET_DROP, unix.CAP_DAC_OVERRIDE, 0, 0, 0); err != nil {
			failed <- fmt.Errorf("a process of root that heeds modes needs CAP_SETPCAP here: %w", err)
			return
		}
		failed <- cmd.Start()
	}()
	return <-failed
}

// groupOf lists the processes of a group that live: those that have ended and were not waited for
// are left out.
func groupOf(pgid int) (all []int) {
	if unix.Kill(-pgid, 0) == unix.ESRCH { // mostly so, and then there is nothing to look through
		return nil
	}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		// pid (name) state ppid pgrp ...; the name may have anything in it
		at := strings.LastIndexByte(string(raw), ')')
		f := strings.Fields(string(raw[at+1:]))
		if at < 0 || len(f) < 3 || f[2] != strconv.Itoa(pgid) || f[0] == "Z" || f[0] == "X" {
			continue
		}
		if pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path))); err == nil {
			all = append(all, pid)
		}
	}
	return all
}
