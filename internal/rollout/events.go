package rollout

import "time"

// Event is something that has happened. The caller feeds every event to Rollout.Handle.
type Event interface{ isEvent() }

// MemberStatus is what a member answered to a poll, or that it did not answer. The caller polls every member again
// and again.
type MemberStatus struct {
	Member         int           // index in Plan.Members
	PolledAt       time.Duration // when the poll was sent: a status from before a reply says nothing of what follows it
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
	ReplyUnknown     Reply = iota // none came: it may have been done, or be done later
	ReplyOK                       // done, or granted
	ReplyFailed                   // the member says that it has not done it
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

// Verdict is what a judge says of a stage.
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

// Tick says that time has passed.
type Tick struct{}

// Stop stops the coordinator: running commands end, nothing else is begun, and nothing is rolled back.
type Stop struct{ Cause string }

// WriteFailed says that a Write failed, so that no action after it was done.
type WriteFailed struct{ Err error }

func (MemberStatus) isEvent()   {}
func (ClaimReplied) isEvent()   {}
func (CommandReplied) isEvent() {}
func (StageJudged) isEvent()    {}
func (Tick) isEvent()           {}
func (Stop) isEvent()           {}
func (WriteFailed) isEvent()    {}
