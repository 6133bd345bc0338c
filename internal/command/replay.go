package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"lockflow/control"
	"lockflow/internal/record"
)

// maxPrecedingSteps is how many steps up to a difference are printed, including the one that differs.
const maxPrecedingSteps = 8

// replayCommand returns the command "replay".
func replayCommand() command {
	return command{
		name:    "replay",
		group:   groupTrials,
		summary: "plays recordings of decisions again and verifies that they come out the same",
		args:    "FILE... [--steps] [--id ID] [--json]",
		examples: []string{
			"lockflow replay /var/lib/lockflow/record/rosters-*.lfrec",
			"lockflow replay --steps --id 4f rosters-00001.lfrec    # what became of one request",
		},
		setup: func(set flags) func(context.Context, *Env, []string) error {
			printsSteps := set.Bool("steps", false, "prints each event with the actions that answer it")
			requestID := set.String("id", "", "prints the events and actions of the request `ID` only")
			asJSON := set.Bool("json", false, "prints a JSON object a file")
			return func(ctx context.Context, e *Env, args []string) error {
				if len(args) == 0 {
					return usageError("replay takes at least one file of a recording")
				}
				p := &replayer{env: e, printsSteps: *printsSteps || *requestID != "", requestID: *requestID, json: *asJSON}
				return p.replayAll(ctx, args)
			}
		},
	}
}

// replayer replays recordings and prints the results.
type replayer struct {
	env            *Env
	printsSteps    bool   // print each step
	requestID      string // print only the steps of this request; "" is all
	json           bool
	hasDifferences bool // the actions of some step differed from the recorded ones
}

// replayResult is the result of one file.
type replayResult struct {
	File    string    `json:"file"`
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	Lost    int64     `json:"lost"`
	Events  int       `json:"events"`
	Digest  uint64    `json:"digest"`
	Same    bool      `json:"same"`
}

// errDiffers ends a replay at the first step whose actions differ from the recorded ones.
var errDiffers = errors.New("actions differ from the recorded ones")

// replayAll replays recordings one after the other and prints the result of each. It fails if one differs.
func (p *replayer) replayAll(ctx context.Context, paths []string) error {
	w := tabwriter.NewWriter(p.env.Out, 0, 0, 2, ' ', 0)
	if !p.printsSteps && !p.json {
		fmt.Fprintln(w, "service\tbegins\tevents\tactions' digest\tlost before\tsame\t")
	}
	for _, path := range paths {
		r, err := p.replayFile(ctx, path)
		if err != nil {
			return err
		}
		if p.json {
			if err := json.NewEncoder(p.env.Out).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%016x\t%d\t%v\t\n", r.Service, r.At.Format(time.RFC3339), r.Events, r.Digest, r.Lost, r.Same)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if p.hasDifferences {
		return errReported
	}
	return nil
}

// replayFile replays one recording up to its end or its first difference.
func (p *replayer) replayFile(ctx context.Context, path string) (replayResult, error) {
	f, err := os.Open(path)
	if err != nil {
		return replayResult{}, fmt.Errorf("opening a recording to replay: %w", err)
	}
	defer f.Close() //nolint:errcheck // only read
	r, err := record.Open(f)
	if err != nil {
		return replayResult{}, fmt.Errorf("replaying %s: %w", path, err)
	}
	result := replayResult{File: path, Same: true}
	section := r.Section()
	result.Service = section.Service
	result.At = section.StartedAt
	result.Lost = section.LostEvents
	var preceding []string
	result.Events, result.Digest, err = r.Replay(func(s record.Step) error {
		if p.printsSteps && (p.requestID == "" || concernsRequest(s, p.requestID)) {
			fmt.Fprintln(p.env.Out, formatStep(s))
		}
		if len(preceding) == maxPrecedingSteps {
			preceding = preceding[1:]
		}
		preceding = append(preceding, formatStep(s))
		if !s.IsAsRecorded {
			return errDiffers
		}
		return ctx.Err()
	})
	if errors.Is(err, errDiffers) {
		p.hasDifferences = true
		result.Same = false
		err = nil
		fmt.Fprintf(p.env.Err, "%s: event %d comes out otherwise than it was recorded; what led there:\n", path, result.Events)
		for _, l := range preceding {
			fmt.Fprintln(p.env.Err, l)
		}
	}
	if err != nil {
		err = fmt.Errorf("replaying %s: %w", path, err)
	}
	return result, err
}

// formatStep formats an event and its actions.
func formatStep(s record.Step) string {
	at := time.Unix(0, int64(s.Now)).UTC().Format("15:04:05.000000")
	text := fmt.Sprintf("%s  %T %+v", at, s.Event, s.Event)
	for _, a := range s.Actions {
		text += fmt.Sprintf("\n                   -> %T %+v", a, a)
	}
	return text
}

// concernsRequest reports whether a step's event or one of its actions is about the request with an id.
func concernsRequest(s record.Step, id string) bool {
	switch e := s.Event.(type) {
	case control.Request:
		return e.ID == id
	case control.AttemptResult:
		return e.ID == id
	case control.ResponseStarted:
		return e.ID == id
	case control.ClientGone:
		return e.ID == id
	}
	for _, a := range s.Actions {
		switch a := a.(type) {
		case control.Send:
			if a.ID == id {
				return true
			}
		case control.Reject:
			if a.ID == id {
				return true
			}
		case control.Fail:
			if a.ID == id {
				return true
			}
		}
	}
	return false
}
