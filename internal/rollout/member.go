package rollout

import "time"

// command is a command that a member has not replied to for certain.
type command struct {
	id          string
	generation  int
	isRestart   bool
	sentAt      time.Duration // first
	awaitsReply bool          // it was sent, and the caller owes a CommandReplied
	retryAt     time.Duration // when it is sent again; counts while awaitsReply is false
	isReplyLost bool          // a reply was lost: the member may run it late
}

// member is what a coordinator knows of one member.
type member struct {
	isPolled         bool // has answered a poll, or failed to, at least once
	isServing        bool
	servingSince     time.Duration // while isServing
	unavailableSince time.Duration // while not isServing
	version          string        // that it reported last
	load             float64       // share of its capacity in use; below 0 is unknown

	lossToken     string // set while it has lost what it granted
	lossReadEpoch uint64 // the coordinator's epoch when lossToken was read
	hasGranted    bool   // the coordinator's epoch
	isClaiming    bool   // a ClaimReplied is owed
	nextClaimAt   time.Duration

	command              *command      // nil is none
	commandCount         int           // commands for the generation that it is to run
	lastReplyAt          time.Duration // a status that was polled before is outdated
	isVersionUnconfirmed bool          // it has run a command or granted an epoch, and no status since shows it without a command
	// mayHaveDuplicates means that a command of this epoch was sent more than once, so that a copy may still arrive.
	mayHaveDuplicates bool
	// mayRunDroppedCommand means that a command was dropped which may run late: version is not certain until another has run.
	mayRunDroppedCommand bool
	isRestartDropped     bool          // a restart was dropped with its epoch; its slot is reserved once the next is owned
	slotReservedUntil    time.Duration // it counts as unavailable until then

	isAbandoned      bool // could not be rolled back
	isPlannedControl bool // is to restart as a control of this stage
	isControl        bool // has restarted as one
}

// isIdle reports whether the member runs no command, and its version is known since the last one.
func (m *member) isIdle() bool { return m.command == nil && !m.isVersionUnconfirmed }

// isReady reports whether a command may be sent to the member.
func (m *member) isReady() bool { return m.isServing && m.hasGranted && m.isIdle() }

// dropCommand forgets a command whose epoch ends. The member may still run it before it grants the next epoch.
func (m *member) dropCommand() {
	if m.command == nil {
		return
	}
	m.mayRunDroppedCommand = m.mayRunDroppedCommand || !m.command.isRestart
	m.isRestartDropped = m.command.isRestart
	m.command = nil
}
