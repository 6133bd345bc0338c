package rollout

// Action is an action for the caller to execute. Actions after a Write are done once its entry is on the disk, and not at
// all where it could not be written.
type Action interface{ isAction() }

// Write appends a decision to the rollout log.
type Write struct{ Entry Entry }

// Claim requests an epoch of a member. A ClaimReplied must follow.
type Claim struct {
	Member    int // index in Plan.Members
	Epoch     uint64
	Owner     string
	LossToken string // of a member that has lost its state; read before Epoch was chosen
}

// Command commands a member to run a generation. A CommandReplied must follow. The same Command may be sent again: the
// member runs it once.
type Command struct {
	Member     int
	ID         string
	Epoch      uint64
	Owner      string
	Generation int  // to run
	IsRestart  bool // restart with what it runs, as a control
}

// Watch starts the judge for a stage, numbered from 1: the members are still as they were before it.
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

// Result is how a coordinator, or its rollout, ended.
type Result string

// The results.
const (
	ResultDone       Result = "done"
	ResultRolledBack Result = "taken back"
	ResultRefused    Result = "refused"                         // nothing was changed by this coordinator
	ResultStuck      Result = "stuck"                           // not completely rolled back
	ResultStopped    Result = "stopped"                         // by the operator, or by a log that can't be written; resumable
	ResultSuperseded Result = "replaced by a newer coordinator" // which decides now
)

// IsFinal reports whether the rollout is over, and not only its coordinator.
func (r Result) IsFinal() bool {
	switch r {
	case ResultDone, ResultRolledBack, ResultRefused, ResultStuck:
		return true
	case ResultStopped, ResultSuperseded:
	}
	return false
}
