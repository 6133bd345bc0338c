package desiredstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// memberModel is a member whose process can crash between any two steps. Apart from the member's state it records what
// the member has granted and run, against which the test checks that state.
type memberModel struct {
	t               *rapid.T
	file            *File
	state           State
	settingsInFile  string // content of the configuration file; may differ from settingsInForce during a command
	settingsInForce string
	ownerByEpoch    map[uint64]string // kept over crashes
	newestEpoch     uint64
	completionCount map[string]int  // how often a command took effect, by epoch and id
	outcomes        map[string]Code // codes of ended commands by epoch and id
}

func (m *memberModel) save(state State) {
	if err := m.file.Save(state); err != nil {
		m.t.Fatal(err)
	}
	m.state = state
}

// crash ends the process and starts another from the saved state and the settings in the file.
func (m *memberModel) crash() {
	state, err := m.file.Load()
	if err != nil {
		m.t.Fatal(err)
	}
	m.settingsInForce = m.settingsInFile
	m.save(state.Recover(Observed{Hash: Hash([]byte(m.settingsInForce)), Program: "/old"}))
	if m.state.Running != nil {
		m.t.Fatalf("command still running after a restart: %+v", *m.state.Running)
	}
}

func (m *memberModel) claim(c Claim) {
	state, err := m.state.Grant(c)
	earlierOwner := m.ownerByEpoch[c.Epoch]
	if err != nil {
		if !errors.Is(err, &RejectedError{Code: CodeStale}) || c.Epoch > m.newestEpoch || m.state.Epoch != m.newestEpoch {
			m.t.Fatalf("claim %+v rejected at newest epoch %d: %v", c, m.newestEpoch, err)
		}
		return
	}
	if c.Epoch < m.newestEpoch || earlierOwner != "" && earlierOwner != c.Owner {
		m.t.Fatalf("claim %+v granted; epoch %d has the owner %q, the newest epoch is %d", c, c.Epoch, earlierOwner, m.newestEpoch)
	}
	m.save(state)
	m.ownerByEpoch[c.Epoch], m.newestEpoch = c.Owner, c.Epoch
}

// send sends a command. The process crashes before step crashAt; if it doesn't crash, the command ends with failure,
// where nil is success.
func (m *memberModel) send(command Command, crashAt int, failure error) {
	key := fmt.Sprint(command.Epoch, command.ID)
	before := m.state
	state, step, outcome, err := m.state.Accept(command)
	switch {
	case err != nil:
		if !reflect.DeepEqual(state, before) {
			m.t.Fatalf("rejected command has changed the state: %v", err)
		}
		if errors.Is(err, &RejectedError{Code: CodeStale}) == (command.Epoch == m.newestEpoch && command.Owner == m.ownerByEpoch[command.Epoch]) {
			m.t.Fatalf("command %+v at newest epoch %d of owner %q: wrong rejection: %v", command, m.newestEpoch, m.ownerByEpoch[m.newestEpoch], err)
		}
		return
	case command.Epoch != m.newestEpoch || command.Owner != m.ownerByEpoch[command.Epoch]:
		m.t.Fatalf("command %+v accepted, although %q owns the newest epoch %d", command, m.ownerByEpoch[m.newestEpoch], m.newestEpoch)
	case step == StepAnswer:
		if earlier, ok := m.outcomes[key]; ok && earlier != outcome.Code {
			m.t.Fatalf("command %s ended with code %s, but the answer has code %s", key, earlier, outcome.Code)
		}
		return
	case step != StepStart:
		m.t.Fatal("Accept returned StepWait while no command was running")
	case m.outcomes[key] != "":
		m.t.Fatalf("command %s has ended with code %s and runs a second time", key, m.outcomes[key])
	}
	steps := []func(){func() { m.save(state) }, func() {
		if failure == nil {
			m.settingsInFile = command.Operation.Text
		}
	}, func() {
		if failure == nil {
			m.settingsInForce = command.Operation.Text
			if m.completionCount[key]++; m.completionCount[key] > 1 {
				m.t.Fatalf("command %s took effect twice", key)
			}
		}
	}, func() { m.save(m.state.Finish(failure)) }}
	for i, perform := range steps {
		if i == crashAt {
			m.crash()
			if last := m.state.LastOutcome(); i > 1 && failure == nil && (last.ID != command.ID || last.Code != CodeOK) {
				m.t.Fatalf("settings of the command are in force, but its outcome is %+v", last)
			}
			return
		}
		perform()
	}
	m.outcomes[key] = m.state.LastOutcome().Code
	if failure != nil && m.state.Target != before.Target {
		m.t.Fatalf("after a failed command: target %+v, want %+v", m.state.Target, before.Target)
	}
	if failure == nil && m.state.Target.Hash != Hash([]byte(m.settingsInForce)) {
		m.t.Fatal("target has other settings than those in force")
	}
}

// For any sequence of claims, commands and crashes, an epoch has one owner, epochs never decrease, only commands of the
// epoch's owner are accepted, and a command that has ended does not run a second time.
func TestStateHoldsOverCrashesAndCoordinators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &memberModel{t: t, ownerByEpoch: map[uint64]string{}, completionCount: map[string]int{}, outcomes: map[string]Code{}}
		var err error
		if m.file, err = Open("", nil); err != nil {
			t.Fatal(err)
		}
		defer m.file.Close()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			c := Claim{Epoch: rapid.Uint64Range(1, 6).Draw(t, "epoch"), Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m.claim(c)
			case 1:
				m.crash()
			default:
				text := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "text")
				var failure error
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					failure = errors.New("refused")
				}
				m.send(Command{c.Epoch, c.Owner, text + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id")), Operation{Kind: KindSettings, Hash: Hash([]byte(text)), Text: text}},
					rapid.IntRange(0, 6).Draw(t, "die"), failure)
			}
		}
	})
}

func TestAcceptAndFinishCommand(t *testing.T) {
	command := func(epoch uint64, owner, id string, operation Operation) Command {
		return Command{epoch, owner, id, operation}
	}
	state, _ := State{}.Grant(Claim{Epoch: 7, Owner: "a"})
	accepted, step, _, err := state.Accept(command(7, "a", "1", Operation{Kind: KindProgram, Path: "/new"}))
	if err != nil || step != StepStart || accepted.Target.Program != "/new" || accepted.Program != "" {
		t.Fatalf("accepted state %+v, step %v, error %v", accepted, step, err)
	}
	for name, tc := range map[string]struct {
		command Command
		code    Code
	}{
		"another command while one is running": {command(7, "a", "2", Operation{Kind: KindDrain}), CodeBusy},
		"same id, another operation":           {command(7, "a", "1", Operation{Kind: KindDrain}), CodeInvalid},
		"older epoch":                          {command(6, "a", "1", Operation{Kind: KindDrain}), CodeStale},
		"newer epoch without a claim":          {command(8, "a", "1", Operation{Kind: KindDrain}), CodeStale},
		"another owner":                        {command(7, "b", "1", Operation{Kind: KindDrain}), CodeStale},
		"missing id":                           {command(7, "a", "", Operation{Kind: KindDrain}), CodeInvalid},
		"unknown kind":                         {command(7, "a", "1", Operation{Kind: "dance"}), CodeInvalid},
		"hash of another text":                 {command(7, "a", "1", Operation{Kind: KindSettings, Hash: Hash(nil), Text: "x"}), CodeInvalid},
		"text too long":                        {command(7, "a", "1", Operation{Kind: KindSettings, Text: strings.Repeat("x", MaxSettingsBytes+1)}), CodeInvalid},
		"relative path":                        {command(7, "a", "1", Operation{Kind: KindProgram, Path: "new"}), CodeInvalid},
		"field of another kind":                {command(7, "a", "1", Operation{Kind: KindDrain, Path: "/new"}), CodeInvalid},
	} {
		if after, _, _, err := accepted.Accept(tc.command); !errors.Is(err, &RejectedError{Code: tc.code}) || !reflect.DeepEqual(after, accepted) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, step, _, err := accepted.Accept(command(7, "a", "1", Operation{Kind: KindProgram, Path: "/new"})); step != StepWait || err != nil {
		t.Errorf("repeated while running: step %v, error %v", step, err)
	}
	if finished := accepted.Finish(nil); finished.Program != "/new" || finished.LastOutcome() != (Outcome{"1", CodeOK, ""}) {
		t.Errorf("state after success: %+v", finished)
	}
	if finished := accepted.Finish(errors.New("no")); finished.Program != "" || finished.Target != (Target{}) || finished.LastOutcome() != (Outcome{"1", CodeFailed, "no"}) {
		t.Errorf("state after failure: %+v", finished)
	}
	for path, done := range map[string]bool{"/new": true, "/old": false} {
		if recovered := accepted.Recover(Observed{Program: path}); recovered.Running != nil || (len(recovered.Ended) == 1) != done || recovered.Target.Program != "/new" || (recovered.Program == "/new") != done {
			t.Errorf("recovered with program %s: %+v", path, recovered)
		}
	}
	if recovered := accepted.SetDrained(true).Finish(errors.New("no")); !recovered.Target.Drained {
		t.Error("failed command reverted the operator's drain")
	}
	// A coordinator that resumes under another epoch may repeat the last command. Earlier commands of other epochs with the
	// same id don't count.
	state = accepted.Finish(nil)
	if state, err = state.Grant(Claim{Epoch: 8, Owner: "b"}); err != nil {
		t.Fatal(err)
	}
	if _, step, done, err := state.Accept(command(8, "b", "1", Operation{Kind: KindProgram, Path: "/new"})); step != StepAnswer || done.Code != CodeOK || err != nil {
		t.Errorf("last command repeated under another epoch: step %v, outcome %v, error %v", step, done, err)
	}
	for i := range 2 * maxOutcomes {
		state, _, _, _ = state.Accept(command(8, "b", fmt.Sprint("n", i), Operation{Kind: KindRestart}))
		state = state.Finish(nil)
		if _, step, _, _ := state.Accept(command(8, "b", "1", Operation{Kind: KindProgram, Path: "/new"})); step != StepStart {
			t.Fatalf("id of an older epoch after %d further commands: step %v", i+1, step)
		}
	}
	if len(state.Ended) != maxOutcomes {
		t.Errorf("%d outcomes remembered", len(state.Ended))
	}
}

// A member that has lost its state accepts only a claim with its loss token, and no commands before that.
func TestLostStateRequiresLossToken(t *testing.T) {
	state := State{LossToken: "token"}
	for _, c := range []Claim{{7, "a", ""}, {9, "a", "another"}} {
		if _, err := state.Grant(c); !errors.Is(err, &RejectedError{Code: CodeLost}) {
			t.Errorf("claim %+v: %v", c, err)
		}
	}
	if _, _, _, err := state.Accept(Command{7, "a", "1", Operation{Kind: KindServe}}); !errors.Is(err, &RejectedError{Code: CodeLost}) {
		t.Error(err)
	}
	if state, err := state.Grant(Claim{9, "b", "token"}); err != nil || state.LossToken != "" || state.Epoch != 9 {
		t.Errorf("claim with the loss token: state %+v, error %v", state, err)
	}
}

func FuzzAccept(f *testing.F) {
	f.Add([]byte(`{"epoch":7,"owner":"a","id":"1","want":{"kind":"program","path":"/x"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var command Command
		if json.Unmarshal(raw, &command) != nil {
			return
		}
		state := State{Epoch: 7, Owner: "a"}
		next, step, _, err := state.Accept(command)
		if err != nil && !reflect.DeepEqual(next, state) || err == nil && (step != StepStart || command.Epoch != 7 || command.Validate() != nil) {
			t.Errorf("command %+v: next state %+v, error %v", command, next, err)
		}
		if err == nil {
			if raw, err := Encode(next.Finish(nil)); err != nil {
				t.Error(err)
			} else if _, err := Decode(raw); err != nil {
				t.Error(err)
			}
		}
	})
}
