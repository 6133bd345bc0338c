// Package supervise speaks with who starts the daemon: systemd's notify protocol
// (sd_notify(3)), its watchdog, sockets that it passes on (sd_listen_fds(3)), and a file with
// the process id that keeps a second daemon out.
package supervise

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/coreos/go-systemd/v22/daemon"
)

// Notify tells the supervisor some lines; without one (NOTIFY_SOCKET) it does nothing.
func Notify(lines ...string) error {
	if _, err := daemon.SdNotify(false, strings.Join(lines, "\n")); err != nil {
		return fmt.Errorf("notifying the supervisor: %w", err)
	}
	return nil
}

// NotifyReady tells that the daemon serves, also again after Reloading.
func NotifyReady(status string) error { return Notify(daemon.SdNotifyReady, "STATUS="+status) }

// NotifyReloading tells that a reload has begun, and when by the monotonic clock.
func NotifyReloading() error {
	return Notify(daemon.SdNotifyReloading, daemon.SdNotifyMonotonicUsec())
}

// NotifyMainPID tells which process is the daemon from now on. Only the one that is it may say so.
func NotifyMainPID(pid int) error { return Notify(fmt.Sprint("MAINPID=", pid)) }

// NotifyStopping tells that the daemon is on its way to its end.
func NotifyStopping() error { return Notify(daemon.SdNotifyStopping) }

// RunWatchdog tells the supervisor that the daemon lives, twice in the time after which it would
// be taken for dead (WATCHDOG_USEC), as long as alive says so, until ctx ends. Without a
// watchdog it returns at once.
func RunWatchdog(ctx context.Context, alive func(context.Context) bool) error {
	within, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		return fmt.Errorf("reading the watchdog's time: %w", err)
	}
	if within <= 0 {
		return nil
	}
	t := time.NewTicker(within / 2)
	defer t.Stop()
	for {
		one, cancel := context.WithTimeout(ctx, within/2)
		ok := alive(one)
		cancel()
		if ok {
			if err := Notify(daemon.SdNotifyWatchdog); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// InheritedListeners gives the listeners that the supervisor passed on (LISTEN_FDS, LISTEN_FDNAMES), by
// name. Two of one name are an error.
func InheritedListeners() (map[string]net.Listener, error) {
	byName, err := activation.ListenersWithNames()
	if err != nil {
		return nil, fmt.Errorf("taking over listeners: %w", err)
	}
	all := make(map[string]net.Listener)
	for name, ls := range byName {
		for _, l := range ls {
			if l == nil || all[name] != nil {
				return nil, fmt.Errorf("taking over listeners: %q is given twice or is no stream socket", name)
			}
			all[name] = l
		}
	}
	return all, nil
}

// PIDFile is a file with the process id, locked as long as the daemon lives.
type PIDFile struct {
	file *os.File
	path string
}

// CreatePIDFile makes a file with this process's id. Where another process holds the file it says
// which.
func CreatePIDFile(path string) (*PIDFile, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("writing the process id: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		raw := make([]byte, 32)
		n, _ := f.Read(raw)
		_ = f.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: another daemon runs: process %s", path, strings.TrimSpace(string(raw[:n])))
		}
		return nil, fmt.Errorf("locking %s: %w", path, err)
	}
	p := &PIDFile{file: f, path: path}
	if err := p.RecordProcessID(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return p, nil
}

// AdoptPIDFile is the file at path of the process whose place this one takes, with its lock; it
// names that one until Claim.
func AdoptPIDFile(f *os.File, path string) *PIDFile { return &PIDFile{file: f, path: path} }

// RecordProcessID writes this process's id; a nil file has none.
func (p *PIDFile) RecordProcessID() error {
	if p == nil {
		return nil
	}
	err := p.file.Truncate(0)
	if err == nil {
		_, err = p.file.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	if err != nil {
		return fmt.Errorf("writing the process id: %w", err)
	}
	return nil
}

// File is the locked file, nil for none. The lock lasts as long as any process has it open.
func (p *PIDFile) File() *os.File {
	if p == nil {
		return nil
	}
	return p.file
}

// Release lets go of the file, which is another process's now.
func (p *PIDFile) Release() error {
	if p == nil {
		return nil
	}
	return p.file.Close()
}

// Close removes the file and its lock; a nil one is none.
func (p *PIDFile) Close() error {
	if p == nil {
		return nil
	}
	// Removed before it is unlocked: whoever waits for the lock then makes a file of its own.
	err := os.Remove(p.path)
	return errors.Join(err, p.file.Close())
}
