package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lockflow/internal/config"
	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

// Change is one change of a fleet with all that it takes to carry it out, and to take it back: it is what a
// journal begins with, so that another coordinator can go on.
type Change struct {
	FormatVersion int               `json:"form"`
	StartedAt     time.Time         `json:"begun"`
	Kind          desiredstate.Kind `json:"kind"` // KindSettings or KindProgram
	Plan          rollout.Plan      `json:"plan"`
	Sockets       []string          `json:"sockets"`            // of the plan's members, in its order
	Texts         map[string]string `json:"texts,omitempty"`    // settings by hash
	Programs      map[string]string `json:"programs,omitempty"` // paths by the hash of what they hold
}

// formatVersion is that of Change. Another one is not read: what it means is not known.
const formatVersion = 1

// restartSuffix marks, in Member.Gens, a process that began after the change did and runs the same program.
const restartSuffix = " anew"

// Placed is a member with where it stands and what it is to run.
type Placed struct {
	Member
	Region, Zone string
	// Texts are its settings at each generation after the one that it runs; nil is what its own file holds.
	Texts [][]byte
}

// WithSettings places members that all are to run one text; nil is what each one's own file holds.
func WithSettings(members []Member, text []byte) []Placed {
	all := make([]Placed, len(members))
	for i, m := range members {
		all[i] = Placed{Member: m, Texts: [][]byte{text}}
	}
	return all
}

// ErrUnchanged is a change of settings after which every member runs what it runs.
var ErrUnchanged = errors.New("every member runs these settings already")

// requireReady asks all members, who have to be as wanted.
func requireReady(ctx context.Context, members []Placed, serving bool) ([]manage.Status, error) {
	plain := make([]Member, len(members))
	for i, m := range members {
		plain[i] = m.Member
	}
	forgets := false
	all := make([]manage.Status, len(members))
	for i, a := range PollStatus(ctx, plain) {
		switch {
		case a.Status == nil:
			return nil, fmt.Errorf("member %s does not answer, nothing was changed: %s", a.Member, a.Error)
		case serving && !a.Status.IsReady(), !a.Status.IsAsDesired():
			return nil, fmt.Errorf("member %s is %s, nothing was changed", a.Member, a.Status.State)
		}
		all[i] = *a.Status
		forgets = forgets || a.Status.IsVolatile
	}
	if forgets {
		slog.Warn("rollout: members without a state directory forget who orders them when they crash")
	}
	return all, nil
}

// NewSettingsChange makes a change of settings. known are texts of earlier changes, by hash: what a member runs may be
// in no file any more.
func NewSettingsChange(ctx context.Context, members []Placed, p rollout.Plan, known map[string]string) (*Change, error) {
	now, err := requireReady(ctx, members, false)
	if err != nil {
		return nil, err
	}
	c := &Change{FormatVersion: formatVersion, StartedAt: time.Now(), Kind: desiredstate.KindSettings, Plan: p, Texts: make(map[string]string)}
	files := make(map[string]string)
	for i, s := range now {
		raw, err := os.ReadFile(s.ConfigPath)
		if err != nil {
			return nil, fmt.Errorf("member %s: reading its configuration: %w", members[i].Name, err)
		}
		files[desiredstate.Hash(raw)] = string(raw)
		for k, t := range members[i].Texts {
			if t == nil {
				members[i].Texts[k] = raw
			}
		}
	}
	if p.RegionOrder == nil {
		if err := addIntermediateSettings(now, members, files); err != nil {
			return nil, err
		}
	}
	// What runs at the start may be of a change that was cut: it is taken back to what the others run.
	old := mostCommonSettings(now, members)
	same := true
	for i, s := range now {
		m := rollout.Member{Name: members[i].Name, Region: members[i].Region, Zone: members[i].Zone}
		from := s.ConfigHash
		if slices.ContainsFunc(members[i].Texts, func(t []byte) bool { return desiredstate.Hash(t) == from }) && old[members[i].Region] != "" {
			from = old[members[i].Region]
		}
		m.Versions = append(m.Versions, from)
		if text, ok := files[from]; ok {
			c.Texts[from] = text
		} else if text, ok := known[from]; ok {
			c.Texts[from] = text
		}
		for _, t := range members[i].Texts {
			h := desiredstate.Hash(t)
			c.Texts[h] = string(t)
			m.Versions = append(m.Versions, h)
		}
		same = same && s.ConfigHash == m.Versions[len(m.Versions)-1]
		c.Plan.Members = append(c.Plan.Members, m)
		c.Sockets = append(c.Sockets, members[i].Client.Path)
	}
	if same {
		return nil, ErrUnchanged
	}
	return c, c.validate()
}

// addIntermediateSettings gives members a generation more where the settings of both ends may not stand side by side.
func addIntermediateSettings(now []manage.Status, members []Placed, files map[string]string) error {
	type pair struct{ old, new string }
	mids := make(map[pair][]byte)
	some := false
	for i, s := range now {
		text, ok := files[s.ConfigHash]
		p := pair{s.ConfigHash, desiredstate.Hash(members[i].Texts[0])}
		if _, known := mids[p]; known || !ok || p.old == p.new {
			continue
		}
		mid, err := IntermediateSettings([]byte(text), members[i].Texts[0])
		if err != nil {
			return fmt.Errorf("member %s: %w", members[i].Name, err)
		}
		mids[p] = mid
		some = some || mid != nil
	}
	if !some {
		return nil
	}
	for i, s := range now {
		mid := mids[pair{s.ConfigHash, desiredstate.Hash(members[i].Texts[0])}]
		if mid == nil { // it waits for the others
			if mid = []byte(files[s.ConfigHash]); files[s.ConfigHash] == "" {
				return fmt.Errorf("member %s runs settings %.12s, which are in no file any more", members[i].Name, s.ConfigHash)
			}
		}
		members[i].Texts = [][]byte{mid, members[i].Texts[0]}
	}
	return nil
}

// mostCommonSettings is what most members of each region run that is not what they are to run.
func mostCommonSettings(now []manage.Status, members []Placed) map[string]string {
	count := make(map[[2]string]int)
	best := make(map[string]string)
	for i, s := range now {
		r := members[i].Region
		if slices.ContainsFunc(members[i].Texts, func(t []byte) bool { return desiredstate.Hash(t) == s.ConfigHash }) {
			continue
		}
		count[[2]string{r, s.ConfigHash}]++
		if b := best[r]; b == "" || count[[2]string{r, s.ConfigHash}] > count[[2]string{r, b}] {
			best[r] = s.ConfigHash
		}
	}
	return best
}

// MembersWithoutOldSettings are members whose settings of the start are in no file: they can't be taken back.
func (c *Change) MembersWithoutOldSettings() (names []string) {
	for _, m := range c.Plan.Members {
		if _, ok := c.Texts[m.Versions[0]]; !ok && c.Kind == desiredstate.KindSettings {
			names = append(names, m.Name)
		}
	}
	return names
}

// NewProgramChange makes a change of the program; path "" is the file that each member runs. Programs that are no
// longer in the file that they were started from are kept in dir, so that they can be taken back to.
func NewProgramChange(ctx context.Context, members []Placed, p rollout.Plan, path, dir string) (*Change, error) {
	now, err := requireReady(ctx, members, true)
	if err != nil {
		return nil, err
	}
	c := &Change{FormatVersion: formatVersion, StartedAt: time.Now(), Kind: desiredstate.KindProgram, Plan: p, Programs: make(map[string]string)}
	files := make(map[string]string) // hashes by path
	hash := func(path string) (string, error) {
		if h, ok := files[path]; ok {
			return h, nil
		}
		h, err := hashFile(path)
		files[path] = h
		return h, err
	}
	same := true
	for i, s := range now {
		name := members[i].Name
		running, err := hashFile(executablePath(s.PID))
		if err != nil {
			return nil, fmt.Errorf("member %s: what it runs: %w", name, err)
		}
		if h, err := hash(s.Program); err == nil && h == running {
			c.Programs[running] = s.Program
		} else if _, ok := c.Programs[running]; !ok {
			if c.Programs[running], err = saveProgram(executablePath(s.PID), dir, running); err != nil {
				return nil, fmt.Errorf("member %s: keeping the program that it runs: %w", name, err)
			}
		}
		to := path
		if to == "" {
			to = s.Program
		}
		next, err := hash(to)
		if err != nil {
			return nil, fmt.Errorf("the new program: %w", err)
		}
		if c.Programs[next] == "" || next != running {
			c.Programs[next] = to
		}
		same = same && next == running
		c.Plan.Members = append(c.Plan.Members, rollout.Member{Name: name, Region: members[i].Region, Zone: members[i].Zone, Versions: []string{running, next}})
		c.Sockets = append(c.Sockets, members[i].Client.Path)
	}
	c.Plan.HasControls = true
	if same {
		c.Plan.IsRestart, c.Plan.HasControls = true, false
		for i := range c.Plan.Members {
			c.Plan.Members[i].Versions[1] += restartSuffix
		}
	}
	return c, c.validate()
}

func executablePath(pid int) string { return fmt.Sprintf("/proc/%d/exe", pid) }

func hashFile(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close() //nolint:errcheck // only read
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// saveProgram copies a program whose file is another one by now.
func saveProgram(from, dir, hash string) (string, error) {
	to := filepath.Join(dir, "program-"+hash[:16])
	if h, err := hashFile(to); err == nil && h == hash {
		return filepath.Abs(to)
	}
	in, err := os.Open(from)
	if err != nil {
		return "", err
	}
	defer in.Close() //nolint:errcheck // only read
	out, err := os.CreateTemp(dir, "program")
	if err != nil {
		return "", err
	}
	defer os.Remove(out.Name()) //nolint:errcheck // not there any more where all went well
	_, err = io.Copy(out, in)
	if err = errors.Join(err, out.Chmod(0o700), out.Sync(), out.Close()); err != nil {
		return "", err
	}
	if err := os.Rename(out.Name(), to); err != nil {
		return "", err
	}
	return filepath.Abs(to)
}

// validate tells what in a change can't be carried out, also of one that was read.
func (c *Change) validate() error {
	switch {
	case c.FormatVersion != formatVersion:
		return fmt.Errorf("the change is of form %d, not %d", c.FormatVersion, formatVersion)
	case c.Kind != desiredstate.KindSettings && c.Kind != desiredstate.KindProgram:
		return fmt.Errorf("the change is of no known kind, %q", c.Kind)
	case len(c.Sockets) != len(c.Plan.Members):
		return fmt.Errorf("the change has %d members and %d sockets", len(c.Plan.Members), len(c.Sockets))
	}
	for h, text := range c.Texts {
		if desiredstate.Hash([]byte(text)) != h {
			return fmt.Errorf("the settings %.12s of the change are not what they were", h)
		}
	}
	return c.Plan.Validate()
}

// CheckSettings tells what in settings can't be used, before any member hears of them.
func CheckSettings(name string, text []byte) error {
	_, err := config.Parse(name, text)
	return err
}

// operation is what a member is ordered at a generation.
func (c *Change) operation(i, gen int, restart bool) (manage.Operation, error) {
	id := c.Plan.Members[i].Versions[gen]
	switch {
	case restart:
		return manage.Operation{Kind: desiredstate.KindRestart}, nil
	case c.Kind == desiredstate.KindSettings:
		text, ok := c.Texts[id]
		if !ok {
			return manage.Operation{}, fmt.Errorf("the settings %.12s are in no file any more", id)
		}
		return manage.Operation{Kind: desiredstate.KindSettings, Hash: id, Text: text}, nil
	}
	path, ok := c.Programs[strings.TrimSuffix(id, restartSuffix)]
	if !ok {
		return manage.Operation{}, fmt.Errorf("the program %.12s is in no file any more", id)
	}
	return manage.Operation{Kind: desiredstate.KindProgram, Path: path}, nil
}

// programHashes hashes what processes run, once for each.
type programHashes map[processKey]string

type processKey struct {
	pid   int
	since int64
}

// version is what a member says it runs, as Member.Gens has it.
func (c *Change) version(s *manage.Status, known programHashes) string {
	if c.Kind == desiredstate.KindSettings {
		return s.ConfigHash
	}
	p := processKey{s.PID, s.StartedAt.UnixNano()}
	h, ok := known[p]
	if !ok {
		var err error
		if h, err = hashFile(executablePath(s.PID)); err != nil {
			return "unknown: " + err.Error()
		}
		if len(known) > 4*maxMembers {
			clear(known)
		}
		known[p] = h
	}
	if c.Plan.IsRestart && s.StartedAt.After(c.StartedAt) {
		h += restartSuffix
	}
	return h
}
