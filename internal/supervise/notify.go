// Package supervise implements the daemon's side of systemd's service manager protocols: notifications (sd_notify(3)), the
// watchdog, and socket activation (sd_listen_fds(3)). It also implements the pid file, whose lock prevents a second daemon
// from starting. Package daemon uses it. Without a service manager the notifications do nothing.
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

// NotifyReady notifies the service manager that the daemon serves, at the start and at the end of a reload.
func NotifyReady(status string) error { return Notify(daemon.SdNotifyReady, "STATUS="+status) }

// NotifyReloading notifies the service manager that a reload has started, with the monotonic time that systemd requires.
func NotifyReloading() error {
	return Notify(daemon.SdNotifyReloading, daemon.SdNotifyMonotonicUsec())
}

// NotifyMainPID notifies the service manager that another process is the daemon's main process from now on. The main
// process until then has to call it.
func NotifyMainPID(pid int) error { return Notify(fmt.Sprint("MAINPID=", pid)) }

// NotifyStopping notifies the service manager that the daemon drains.
func NotifyStopping() error { return Notify(daemon.SdNotifyStopping) }

// notificationsPerTimeout is the number of notifications within the watchdog's timeout (WATCHDOG_USEC), after which it
// kills the daemon. With 2, a single late notification does no harm.
const notificationsPerTimeout = 2

// RunWatchdog notifies the service manager's watchdog until ctx ends. Before each notification it calls isAlive with a
// context that ends when the next one is due, and omits the notification if isAlive returns false. Without a watchdog it
// returns immediately.
func RunWatchdog(ctx context.Context, isAlive func(context.Context) bool) error {
	timeout, err := daemon.SdWatchdogEnabled(false)
	if err != nil {
		return fmt.Errorf("reading the watchdog timeout: %w", err)
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
