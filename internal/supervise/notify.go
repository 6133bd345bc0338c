// Package supervise has the daemon's side of a service manager's protocols: systemd's notifications (sd_notify(3)), its
// watchdog, and socket activation (sd_listen_fds(3)). It also has the pid file, whose lock keeps a second daemon from
// starting. Package daemon uses it. Without a service manager the notifications do nothing.
//
// The functions are safe for concurrent use; a PIDFile is not.
package supervise

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/coreos/go-systemd/v22/daemon"
)

// Notify sends assignments, such as READY=1, to the service manager in one message. Without one (NOTIFY_SOCKET) it
// does nothing.
func Notify(assignments ...string) error {
	if _, err := daemon.SdNotify(false, strings.Join(assignments, "\n")); err != nil {
		return fmt.Errorf("notifying the supervisor: %w", err)
	}
	return nil
}

// NotifyReady notifies that the daemon serves, also at the end of a reload.
func NotifyReady(status string) error { return Notify(daemon.SdNotifyReady, "STATUS="+status) }

// NotifyReloading notifies that a reload has started, with the monotonic time that systemd requires.
func NotifyReloading() error {
	return Notify(daemon.SdNotifyReloading, daemon.SdNotifyMonotonicUsec())
}

// NotifyMainPID notifies which process is the daemon from now on. The process that is the daemon until then calls it.
func NotifyMainPID(pid int) error { return Notify(fmt.Sprint("MAINPID=", pid)) }

// NotifyStopping notifies that the daemon drains.
func NotifyStopping() error { return Notify(daemon.SdNotifyStopping) }

// notificationsPerTimeout is how often the watchdog is notified in the time after which it would kill the daemon
// (WATCHDOG_USEC), so that one notification may be late.
const notificationsPerTimeout = 2

// RunWatchdog notifies the service manager's watchdog until ctx ends. It calls isAlive before each notification, with a
// context that ends when the next one is due, and leaves out those for which isAlive returns false. Without a watchdog
// it returns at once.
func RunWatchdog(ctx context.Context, isAlive func(context.Context) bool) error {
	timeout, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		return fmt.Errorf("reading the watchdog's time: %w", err)
	}
	if timeout <= 0 {
		return nil
	}
	interval := timeout / notificationsPerTimeout
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := notifyIfAlive(ctx, interval, isAlive); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func notifyIfAlive(ctx context.Context, timeout time.Duration, isAlive func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !isAlive(ctx) {
		return nil
	}
	return Notify(daemon.SdNotifyWatchdog)
}
