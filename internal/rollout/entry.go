package rollout

// EntryKind is what an Entry records.
type EntryKind string

// The kinds of entries.
const (
	EntryEpoch         EntryKind = "epoch"       // an epoch is claimed
	EntryOwned         EntryKind = "owned"       // a majority has granted it
	EntryStage         EntryKind = "stage"       // a stage begins
	EntryCommand       EntryKind = "order"       // a command is sent
	EntryOutcome       EntryKind = "outcome"     // a command has ended
	EntryBake          EntryKind = "bake"        // all members of the stage have changed
	EntryVerdict       EntryKind = "verdict"     // the stage has passed or does worse
	EntryRollback      EntryKind = "taking back" // the rollback begins
	EntryRollbackPhase EntryKind = "sweep"       // the rollback goes on to Generation
	EntryAbandoned     EntryKind = "left"        // a member could not be rolled back
	EntryEnd           EntryKind = "end"         // the coordinator has ended; Outcome is its Result
)

// Outcomes of a command in an entry of EntryOutcome.
const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
)

// Entry is one decision, as the rollout log stores it. Which fields are set depends on its kind.
type Entry struct {
	Kind       EntryKind `json:"kind"`
	Epoch      uint64    `json:"epoch,omitempty"`
	Owner      string    `json:"owner,omitempty"`
	Phase      int       `json:"phase,omitempty"`   // from 1
	Stage      int       `json:"stage,omitempty"`   // from 1, within its phase
	Members    []string  `json:"members,omitempty"` // names, of those that the stage changes
	Controls   []string  `json:"control,omitempty"` // names, of those that restart beside them
	Member     string    `json:"member,omitempty"`  // name
	ID         string    `json:"id,omitempty"`      // of a command
	Generation int       `json:"gen,omitempty"`
	IsRestart  bool      `json:"restart,omitempty"`
	Outcome    string    `json:"outcome,omitempty"`
	Reason     string    `json:"why,omitempty"`
}
