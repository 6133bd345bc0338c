package rollout

import "time"

// Event is something that happened.
type Event interface{ isEvent() }

// MemberStatus is what a member said of itself, or that it said nothing. It is owed for every member, again and
// again.
type MemberStatus struct {
	Member         int
	PolledAt       time.Duration // when it was asked: an answer from before a change says nothing of it
	IsServing      bool          // it serves
	Version        string        // compared with Member.Gens
	Epoch          uint64        // the newest that it has granted
	Owner          string
	RunningCommand string  // id of an order that is under way
	LossToken      string  // a token, where it no longer knows what it has granted
	Load           float64 // share of its room that is in use; below 0 is unknown
}

// Reply is how an order or a claim ended.
type Reply int

// The answers.
const (
	ReplyUnknown     Reply = iota // nobody knows: it may have been done, or be done later
	ReplyOK                       // done, or granted
	ReplyFailed                   // the member says that it did not do it
	ReplyStale                    // the member has granted a newer epoch, or this one to another owner
	ReplyUngranted                // the member has granted less: it has lost its memory
	ReplyUnsupported              // a member that does not know of claims and orders
)

// ClaimReplied answers a Claim.
type ClaimReplied struct {
	Member      int
	Epoch       uint64 // that was claimed
	Reply       Reply
	NewestEpoch uint64 // with Stale: what the member has granted; 0 is unknown
}

// CommandReplied answers an Order.
type CommandReplied struct {
	Member int
	ID     string
	Epoch  uint64 // that it was given under
	Reply  Reply
	Err    error // with Failed
}

// Verdict is a judge's verdict.
type Verdict int

// The verdicts.
const (
	VerdictWait Verdict = iota
	VerdictPass
	VerdictWorse
	VerdictNoEvidence
)

// StageJudged is what the judge says of the stage that is watched.
type StageJudged struct {
	Verdict Verdict
	Reason  string
}

// Tick tells the time.
type Tick struct{}

// Stop has it go no further: what is under way ends, and nothing is taken back.
type Stop struct{ Cause string }

// WriteFailed tells that a Write failed: nothing that followed it was done.
type WriteFailed struct{ Err error }

func (MemberStatus) isEvent()   {}
func (ClaimReplied) isEvent()   {}
func (CommandReplied) isEvent() {}
func (StageJudged) isEvent()    {}
func (Tick) isEvent()           {}
func (Stop) isEvent()           {}
func (WriteFailed) isEvent()    {}

// Action is something to be done. What follows a Write in the list is done once that is safe on disk, and
// not at all where it could not be.
type Action interface{ isAction() }

// Write keeps a decision.
type Write struct{ Entry Entry }

// Claim asks a member to grant an epoch; a Claimed is owed.
type Claim struct {
	Member    int
	Epoch     uint64
	Owner     string
	LossToken string // of a member that has lost what it granted: its token, seen before Epoch was chosen
}

// Command orders a member; an Ordered is owed.
type Command struct {
	Member     int
	ID         string
	Epoch      uint64
	Owner      string
	Generation int  // that it is to run
	IsRestart  bool // it starts again with what it runs: a control
}

// Watch has the judge begin: the members are still as they were before the stage.
type Watch struct{ Phase, Stage int }

// End is the last action.
type End struct {
	Result Result
	Reason string
}

func (Write) isAction()   {}
func (Claim) isAction()   {}
func (Command) isAction() {}
func (Watch) isAction()   {}
func (End) isAction()     {}

// Result is how a change ended.
type Result string

// The results.
const (
	ResultDone       Result = "done"
	ResultRolledBack Result = "taken back"
	ResultRefused    Result = "refused" // nothing was changed by this coordinator
	ResultStuck      Result = "stuck"   // not wholly taken back
	ResultStopped    Result = "stopped" // by the owner; to be resumed
	ResultSuperseded Result = "replaced by a newer coordinator"
)

// IsFinal tells whether the change itself is over, and not only its coordinator.
func (r Result) IsFinal() bool {
	return r == ResultDone || r == ResultRolledBack || r == ResultRefused || r == ResultStuck
}

// What an Entry tells.
const (
	EntryEpoch         = "epoch"
	EntryOwned         = "owned"
	EntryStage         = "stage"   // begins
	EntryOrder         = "order"   // is given
	EntryOutcome       = "outcome" // of an order
	EntryBake          = "bake"    // all of the stage have changed
	EntryVerdict       = "verdict"
	EntryRollback      = "taking back"
	EntryRollbackPhase = "sweep" // taking back goes on to Gen
	EntryAbandoned     = "left"  // a member that could not be taken back
	EntryEnd           = "end"
)

const outcomeDone, outcomeFailed = "done", "failed"

// Entry is one decision, as it is kept.
type Entry struct {
	Kind       string   `json:"kind"`
	Epoch      uint64   `json:"epoch,omitempty"`
	Owner      string   `json:"owner,omitempty"`
	Phase      int      `json:"phase,omitempty"` // from 1
	Stage      int      `json:"stage,omitempty"` // from 1, within its phase
	Members    []string `json:"members,omitempty"`
	Controls   []string `json:"control,omitempty"`
	Member     string   `json:"member,omitempty"`
	ID         string   `json:"id,omitempty"`
	Generation int      `json:"gen,omitempty"`
	IsRestart  bool     `json:"restart,omitempty"`
	Outcome    string   `json:"outcome,omitempty"`
	Reason     string   `json:"why,omitempty"`
}
