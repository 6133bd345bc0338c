package fleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/rollout"
)

// NewSettingsChange returns a change of the members' settings. plan has no members yet; they are added to it. known has
// the settings of earlier changes by hash, for members whose settings are no longer in any file. It replaces nil Texts
// of members by the content of their files, and returns ErrUnchanged if there is nothing to do.
func NewSettingsChange(ctx context.Context, members []PlacedMember, plan rollout.Plan, known map[string]string) (*Change, error) {
	statuses, err := requireReady(ctx, members, false)
	if err != nil {
		return nil, err
	}
	files, err := readSettings(members, statuses)
	if err != nil {
		return nil, err
	}
	if plan.RegionOrder == nil {
		if err := addIntermediateSettings(statuses, members, files); err != nil {
			return nil, err
		}
	}
	c := &Change{
		FormatVersion: formatVersion,
		StartedAt:     time.Now(),
		Kind:          desiredstate.KindSettings,
		Plan:          plan,
		Texts:         make(map[string]string),
	}
	// A member that already runs the new settings, because of an interrupted change, is rolled back to what the others run.
	oldSettings := prevailingSettings(statuses, members)
	isUnchanged := true
	for i, status := range statuses {
		old := status.ConfigHash
		if region := members[i].Region; members[i].hasText(old) && oldSettings[region] != "" {
			old = oldSettings[region]
		}
		c.addText(old, files, known)
		versions := []string{old}
		for _, text := range members[i].Texts {
			hash := desiredstate.Hash(text)
			c.Texts[hash] = string(text)
			versions = append(versions, hash)
		}
		isUnchanged = isUnchanged && status.ConfigHash == versions[len(versions)-1]
		c.addMember(&members[i], versions)
	}
	if isUnchanged {
		return nil, ErrUnchanged
	}
	return c, c.validate()
}

// addText adds the settings with the given hash to c.Texts, if one of the two sources has them.
func (c *Change) addText(hash string, files, known map[string]string) {
	if text, ok := files[hash]; ok {
		c.Texts[hash] = text
	} else if text, ok := known[hash]; ok {
		c.Texts[hash] = text
	}
}

// addMember adds a member to the plan.
func (c *Change) addMember(m *PlacedMember, versions []string) {
	c.Plan.Members = append(c.Plan.Members, rollout.Member{Name: m.Name, Region: m.Region, Zone: m.Zone, Versions: versions})
	c.Sockets = append(c.Sockets, m.Client.Path)
}

// hasText reports whether one of the member's new settings has the given hash.
func (m *PlacedMember) hasText(hash string) bool {
	return slices.ContainsFunc(m.Texts, func(text []byte) bool { return desiredstate.Hash(text) == hash })
}

// readSettings returns the settings in the members' files by hash, and replaces nil Texts by the content of the
// member's file.
func readSettings(members []PlacedMember, statuses []manage.Status) (map[string]string, error) {
	files := make(map[string]string)
	for i, status := range statuses {
		raw, err := os.ReadFile(status.ConfigPath)
		if err != nil {
			return nil, fmt.Errorf("member %s: reading its configuration: %w", members[i].Name, err)
		}
		files[desiredstate.Hash(raw)] = string(raw)
		for k, text := range members[i].Texts {
			if text == nil {
				members[i].Texts[k] = raw
			}
		}
	}
	return files, nil
}

// settingsPair has the hashes of a member's old and new settings.
type settingsPair struct{ old, new string }

// addIntermediateSettings inserts a generation of intermediate settings, if the old and new settings of any member may
// not be in force at the same time. Members that need none keep their old settings in that generation.
func addIntermediateSettings(statuses []manage.Status, members []PlacedMember, files map[string]string) error {
	intermediates := make(map[settingsPair][]byte)
	isAnyNeeded := false
	for i, status := range statuses {
		text, isFile := files[status.ConfigHash]
		pair := settingsPair{status.ConfigHash, desiredstate.Hash(members[i].Texts[0])}
		if _, isKnown := intermediates[pair]; isKnown || !isFile || pair.old == pair.new {
			continue
		}
		intermediate, err := IntermediateSettings([]byte(text), members[i].Texts[0])
		if err != nil {
			return fmt.Errorf("member %s: %w", members[i].Name, err)
		}
		intermediates[pair] = intermediate
		isAnyNeeded = isAnyNeeded || intermediate != nil
	}
	if !isAnyNeeded {
		return nil
	}
	for i, status := range statuses {
		intermediate := intermediates[settingsPair{status.ConfigHash, desiredstate.Hash(members[i].Texts[0])}]
		if intermediate == nil {
			intermediate = []byte(files[status.ConfigHash])
			if len(intermediate) == 0 {
				return fmt.Errorf("member %s runs settings %.12s, which are no longer in any file", members[i].Name, status.ConfigHash)
			}
		}
		members[i].Texts = [][]byte{intermediate, members[i].Texts[0]}
	}
	return nil
}

// prevailingSettings returns, by region, the hash of the settings that most members run. It leaves out members that
// already run the new ones.
func prevailingSettings(statuses []manage.Status, members []PlacedMember) map[string]string {
	type settings struct{ region, hash string }
	counts := make(map[settings]int)
	prevailing := make(map[string]string)
	for i, status := range statuses {
		if members[i].hasText(status.ConfigHash) {
			continue
		}
		region := members[i].Region
		current := settings{region, status.ConfigHash}
		counts[current]++
		best := prevailing[region]
		if best == "" || counts[current] > counts[settings{region, best}] {
			prevailing[region] = status.ConfigHash
		}
	}
	return prevailing
}
