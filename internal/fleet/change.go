package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

// formatVersion is the version of Change's stored format. Other versions are rejected.
const formatVersion = 1

// restartSuffix is appended to the program hash in rollout.Member.Versions for a process that was started after the
// change began, so that a restart with the same program counts as a new version.
const restartSuffix = " anew"

// Change is one change of a fleet's settings or program, with all data needed to run it and to roll it back. It is the
// first record of its rollout log, from which any coordinator can resume it.
type Change struct {
	FormatVersion int               `json:"form"`
	StartedAt     time.Time         `json:"begun"`
	Kind          desiredstate.Kind `json:"kind"` // KindSettings or KindProgram
	Plan          rollout.Plan      `json:"plan"`
	Sockets       []string          `json:"sockets"`            // control sockets, in the order of Plan.Members
	Texts         map[string]string `json:"texts,omitempty"`    // settings by hash of their text
	Programs      map[string]string `json:"programs,omitempty"` // paths of executables by hash of their content
}

// PlacedMember is a member with its region and zone, and the settings that it is to run.
type PlacedMember struct {
	Member
	Region string
	Zone   string
	// Texts are the member's settings at each generation after the current one. Nil stands for the content of the
	// member's own configuration file.
	Texts [][]byte
}

// WithSettings returns the members as one region in which all are to run the same settings. A nil text stands for the
// content of each member's own configuration file.
func WithSettings(members []Member, text []byte) []PlacedMember {
	all := make([]PlacedMember, len(members))
	for i, m := range members {
		all[i] = PlacedMember{Member: m, Texts: [][]byte{text}}
	}
	return all
}

// CheckSettings returns an error for invalid settings, so that they are rejected before any member receives them. name
// identifies the settings in the error.
func CheckSettings(name string, text []byte) error {
	_, err := config.Parse(name, text)
	return err
}

// requireReady polls all members and returns their statuses. It fails if a member does not answer or is not in its
// desired state, or, with mustServe, if a member is not ready.
func requireReady(ctx context.Context, members []PlacedMember, mustServe bool) ([]manage.Status, error) {
	polled := make([]Member, len(members))
	for i, m := range members {
		polled[i] = m.Member
	}
	isAnyVolatile := false
	all := make([]manage.Status, len(members))
	for i, reply := range PollStatus(ctx, polled) {
		switch {
		case reply.Status == nil:
			return nil, fmt.Errorf("member %s does not answer, nothing was changed: %s", reply.Member, reply.Error)
		case mustServe && !reply.Status.IsReady(), !reply.Status.IsAsDesired():
			return nil, fmt.Errorf("member %s is %s, nothing was changed", reply.Member, reply.Status.State)
		}
		all[i] = *reply.Status
		isAnyVolatile = isAnyVolatile || reply.Status.IsVolatile
	}
	if isAnyVolatile {
		slog.Warn("rollout: members without a state directory lose the granted epoch in a crash")
	}
	return all, nil
}

// validate returns an error for a change that can't be run.
func (c *Change) validate() error {
	switch {
	case c.FormatVersion != formatVersion:
		return fmt.Errorf("the change has format version %d, want %d", c.FormatVersion, formatVersion)
	case c.Kind != desiredstate.KindSettings && c.Kind != desiredstate.KindProgram:
		return fmt.Errorf("the change has the unknown kind %q", c.Kind)
	case len(c.Sockets) != len(c.Plan.Members):
		return fmt.Errorf("the change has %d members but %d control sockets", len(c.Plan.Members), len(c.Sockets))
	}
	for hash, text := range c.Texts {
		if desiredstate.Hash([]byte(text)) != hash {
			return fmt.Errorf("the settings %.12s of the change do not match their hash", hash)
		}
	}
	return c.Plan.Validate()
}

// MembersWithoutOldSettings returns the names of the members that can't be rolled back, because no file has the
// settings that they ran before the change.
func (c *Change) MembersWithoutOldSettings() (names []string) {
	if c.Kind != desiredstate.KindSettings {
		return nil
	}
	for _, m := range c.Plan.Members {
		if _, ok := c.Texts[m.Versions[0]]; !ok {
			names = append(names, m.Name)
		}
	}
	return names
}

// operation returns the operation that brings a member to a generation, or restarts it.
func (c *Change) operation(i, generation int, isRestart bool) (manage.Operation, error) {
	version := c.Plan.Members[i].Versions[generation]
	switch {
	case isRestart:
		return manage.Operation{Kind: desiredstate.KindRestart}, nil
	case c.Kind == desiredstate.KindSettings:
		text, ok := c.Texts[version]
		if !ok {
			return manage.Operation{}, fmt.Errorf("the settings %.12s are in no file any more", version)
		}
		return manage.Operation{Kind: desiredstate.KindSettings, Hash: version, Text: text}, nil
	}
	path, ok := c.Programs[strings.TrimSuffix(version, restartSuffix)]
	if !ok {
		return manage.Operation{}, fmt.Errorf("the program %.12s is in no file any more", version)
	}
	return manage.Operation{Kind: desiredstate.KindProgram, Path: path}, nil
}

// programHashes caches the hash of the program that each process runs.
type programHashes map[processKey]string

// processKey identifies a process. The start time distinguishes it from a later process with the same id.
type processKey struct {
	pid       int
	startedAt int64 // Unix time in ns
}

// version returns what a member runs, in the same form as rollout.Member.Versions.
func (c *Change) version(status *manage.Status, known programHashes) string {
	if c.Kind == desiredstate.KindSettings {
		return status.ConfigHash
	}
	key := processKey{status.PID, status.StartedAt.UnixNano()}
	hash, ok := known[key]
	if !ok {
		var err error
		hash, err = hashFile(executablePath(status.PID))
		if err != nil {
			return "unknown: " + err.Error()
		}
		if len(known) > 4*maxMembers {
			clear(known)
		}
		known[key] = hash
	}
	if c.Plan.IsRestart && status.StartedAt.After(c.StartedAt) {
		hash += restartSuffix
	}
	return hash
}

// ErrUnchanged means that every member already runs the new settings.
var ErrUnchanged = errors.New("every member runs these settings already")
