package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/state"
)

// applySettings replaces the configuration file by the text of a command and reloads it. inForce is the configuration
// before. After an error the file has its old content; isRolledBack reports that it was replaced and then restored.
func (d *daemon) applySettings(inForce config.Config, operation desiredstate.Operation) (isRolledBack bool, err error) {
	text := []byte(operation.Text)
	next, err := d.opts.ParseConfig(text)
	if err != nil {
		return false, err
	}
	for _, c := range config.Compare(inForce, next).Restarts() {
		return false, fmt.Errorf("%s: %s can't become %s without a restart", c.What, c.From, c.To)
	}
	old, err := os.ReadFile(d.opts.ConfigPath)
	if err != nil {
		return false, fmt.Errorf("reading the old settings: %w", err)
	}
	if err := d.member.store.SaveOldSettings(old); err != nil {
		return false, err
	}
	if err := desiredstate.ReplaceFile(d.opts.ConfigPath, text); err != nil {
		return false, fmt.Errorf("replacing the settings: %w", err)
	}
	if inForce.Hash == operation.Hash {
		return false, nil // the file differed, but these settings are in force already
	}
	answer := make(chan error, 1)
	err = d.postAndWait(context.Background(), reloadRequest{"order", answer}, answer)
	if err == nil || errors.Is(err, errEnded) {
		return false, err
	}
	if rollbackErr := desiredstate.ReplaceFile(d.opts.ConfigPath, old); rollbackErr != nil {
		return false, fmt.Errorf("%w; the old settings can't be put back: %w", err, rollbackErr)
	}
	return true, err
}

// rollBackSettings restores the configuration file that an interrupted command replaced, because the daemon can't start
// with the new one. hash is the hash of the new file, or empty if the file could not be read. It returns whether the file
// has changed, so that the daemon may try to start with the restored one.
func rollBackSettings(m *member, opts Options, hash string, cause error) bool {
	running := m.desiredState.Running
	if running == nil || running.Kind != desiredstate.KindSettings {
		return false
	}
	if hash != "" && running.Hash != hash {
		return false
	}
	old, err := m.store.OldSettings()
	if err == nil && desiredstate.Hash(old) == running.Hash {
		return false // the command did not change the settings
	}
	if err == nil {
		err = desiredstate.ReplaceFile(opts.ConfigPath, old)
	}
	if err != nil {
		slog.Error("settings rollback failed", "id", running.ID, "err", err)
		return false
	}
	slog.Error("settings rolled back, daemon could not start with the settings of a command", "id", running.ID, "err", cause)
	m.record(m.desiredState.Finish(fmt.Errorf("the daemon was interrupted, and could not start with it: %w", cause)))
	m.store.RemoveOldSettings()
	return true
}

// rollBackUnreadableSettings calls rollBackSettings for a configuration file that can't be read, so that the state
// directory is known from the options only.
func rollBackUnreadableSettings(opts Options, cause error) bool {
	if opts.StateDirectory == "" {
		return false
	}
	store, err := state.Open(opts.StateDirectory, nil)
	if err != nil {
		return false
	}
	defer store.Close() //nolint:errcheck // closes only the lock file, and the lock ends with it
	m, err := openMember(opts.StateDirectory, nil, &degradedConditions{})
	if err != nil {
		return false
	}
	defer m.store.Close()
	return rollBackSettings(m, opts, "", cause)
}
