package rollout

import "time"

// Event is an input of the state machine. The caller passes every event to Rollout.Handle.
type Event interface{ isEvent() }

// MemberStatus is a member's status, or the lack of a reply to a poll. The caller polls every member repeatedly.
type MemberStatus struct {
	Member         int           // index in Plan.Members
	PolledAt       time.Duration // when the poll was sent; a status from before a command's reply is outdated
	IsServing      bool
	Version        string  // what it runs, compared with Member.Versions
	Epoch          uint64  // the newest that it has granted
	Owner          string  // of Epoch
	RunningCommand string  // its id; "" is none
	LossToken      string  // set where the member no longer knows what it has granted
	Load           float64 // share of its capacity in use; below 0 is unknown
}

// Reply is how a claim or a command ended.
type Reply int

// The replies.
const (
	ReplyUnknown     Reply = iota // no reply: the command may have run, or run later
	ReplyOK                       // the command has succeeded, or the epoch is granted
	ReplyFailed                   // the command has failed
	ReplyStale                    // the member has granted a newer epoch, or this one to another owner
	ReplyUngranted                // the member has granted an older epoch only: it has lost its state
	ReplyUnsupported              // the member has no claims and commands
)

// ClaimReplied is the reply to a Claim.
type ClaimReplied struct {
	Member      int
	Epoch       uint64 // that was claimed
	Reply       Reply
	NewestEpoch uint64 // of ReplyStale: what the member has granted; 0 is unknown
}

// CommandReplied is the reply to a Command.
type CommandReplied struct {
	Member int
	ID     string
	Epoch  uint64 // that the command was sent under
	Reply  Reply
	Err    error // of ReplyFailed
}

// Verdict is the judge's decision on a stage.
type Verdict int

// The verdicts.
const (
	VerdictWait       Verdict = iota // not decided yet
	VerdictPass                      // the changed members do not do worse
	VerdictWorse                     // they do
	VerdictNoEvidence                // it can't be decided
)

// String returns the verdict as the rollout log stores it.
func (v Verdict) String() string {
	return [...]string{"wait", "pass", "worse", "no evidence"}[v]
}

// StageJudged is the judge's verdict on the stage that is watched. It counts while Rollout.IsBaking.
type StageJudged struct {
	Verdict Verdict
	Reason  string
}

// Tick reports that time has passed.
type Tick struct{}

// Stop stops the coordinator: running commands end, no other one is sent, and nothing is rolled back.
type Stop struct{ Cause string }

// WriteFailed reports that a Write failed, so that no action after it was executed.
type WriteFailed struct{ Err error }

func (MemberStatus) isEvent()   {}
func (ClaimReplied) isEvent()   {}
func (CommandReplied) isEvent() {}
func (StageJudged) isEvent()    {}
func (Tick) isEvent()           {}
func (Stop) isEvent()           {}
func (WriteFailed) isEvent()    {}
