package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Address names one life of a target.
type TargetRef struct {
	// ID is the target's id; a call that reaches another one has no effect.
	ID string
	// Address is its host and port.
	Address string
}

// Effect is something that the scheduler wants done.
type Effect interface{ effect() }

// Hold renews the lease of everything on a target and asks what runs there.
type Heartbeat struct {
	Target TargetRef
	// DeadlineMs is the end of the lease on the target's clock; 0 renews nothing.
	DeadlineMs int64
	// Token fences the orders of earlier owners.
	Token uint64
	// Observed lets the target forget the ends up to this number.
	AcknowledgedEnd int64
	// Wait is how long the target may wait for an end.
	Wait time.Duration
}

// Start orders a run.
type StartRun struct {
	Target     TargetRef
	Task       cranjob.TaskName
	Run        int
	Spec       string
	DeadlineMs int64
	Token      uint64
	Checkpoint string
	Ticket     string
}

// Stop orders the end of a run, whether it has begun or not.
type StopRun struct {
	Target TargetRef
	Task   cranjob.TaskName
	Run    int
	Token  uint64
}

// Pace orders the share of its demand at which a run works, in percent.
type Throttle struct {
	Target  TargetRef
	Task    cranjob.TaskName
	Run     int
	Percent int
	Token   uint64
}

// Advise asks which targets may run a step.
type RequestTickets struct {
	Queue   string
	Step    StepName
	Targets []string
}

// StepName names a step of one occurrence of a job.
type StepName struct {
	Job              string
	Occurrence, Step int
}

// Upkeep orders the maintenance of an instance.
type Maintain struct {
	Instance string
	Wave     int
	Token    uint64
}

// Move orders an instance into another pool.
type MoveInstance struct {
	Instance string
	Pool     string
	Token    uint64
}

// WaveStatus tells the operator how far a wave is.
type WaveStatus struct {
	Wave      int
	Completed bool
}

// Note is a line for the log: a decision with what it rests on.
type LogEntry struct {
	Kind   LogKind
	Job    string
	Task   string
	Run    int
	Target string
	Reason string
	// State is the state of a job that has ended.
	State cranjob.State
	// AgeMs is the age of the information that decided it.
	AgeMs int64
}

// Trim replaces the submission of a job that has ended by a smaller record,
// beside the other submissions. Losing it does no harm.
type TrimSubmission struct{ Record cranstore.Record }

// NoteKind says what was decided.
type LogKind uint8

// Kinds of note.
const (
	LogRunPlaced LogKind = iota
	LogStartUnanswered
	LogStartRefused
	LogRunEnded
	LogRunStopped
	LogUnknownRun
	LogLeaseExpired
	LogTargetRestarted
	LogTargetGone
	LogTargetUnresponsive
	LogTargetRecovered
	LogTargetSuperseded
	LogJobEnded
	LogTargetCordoned
	LogMaintenanceOrdered
	LogWaveChanged
	LogMoveOrdered
	LogThrottleChanged
	LogRunReleased
	LogEndWithheld
	// NoteFirstStart is a measurement: AgeMs after its arrival a job began.
	LogFirstStart
)

func (Heartbeat) effect()      {}
func (StartRun) effect()       {}
func (StopRun) effect()        {}
func (Throttle) effect()       {}
func (RequestTickets) effect() {}
func (Maintain) effect()       {}
func (MoveInstance) effect()   {}
func (WaveStatus) effect()     {}
func (TrimSubmission) effect() {}
func (LogEntry) effect()       {}
