package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// TargetRef identifies the target that a call is meant for and gives its address.
type TargetRef struct {
	// ID is the target's id. A call that reaches a target with another id has no effect.
	ID string
	// Address is the target's host and port.
	Address string
}

// Effect is an action that the scheduler asks its caller to perform.
type Effect interface{ effect() }

// Heartbeat renews the lease of all runs on a target and asks for a report of its runs.
type Heartbeat struct {
	Target TargetRef
	// DeadlineMs is the end of the lease on the target's clock; 0 doesn't renew it.
	DeadlineMs int64
	// Token is the fencing token. The target rejects orders with a lower one.
	Token uint64
	// AcknowledgedEnd acknowledges the ends of runs up to this [EndReport.Number]: they are
	// stored, and the target need not report them again.
	AcknowledgedEnd int64
	// Wait is how long the target may delay its response until a run ends.
	Wait time.Duration
}

// StartRun starts a run on a target.
type StartRun struct {
	Target TargetRef
	Task   cranjob.TaskName
	Run    int
	Spec   string
	// DeadlineMs is the end of the lease on the target's clock; 0 if the clock isn't known
	// yet.
	DeadlineMs int64
	Token      uint64
	// Checkpoint is the checkpoint from which the run resumes; empty to begin anew.
	Checkpoint string
	// Ticket is the text of the target's ticket for the step; empty if the queue requires
	// none.
	Ticket string
	// SendBy is the latest time at which the start may be sent, on this process's steady clock.
	SendBy time.Duration
}

// StopRun stops a run. The target also rejects a start of the run that arrives later.
type StopRun struct {
	Target TargetRef
	Task   cranjob.TaskName
	Run    int
	Token  uint64
}

// Throttle sets the percentage of its CPU demand that a run may use.
type Throttle struct {
	Target  TargetRef
	Task    cranjob.TaskName
	Run     int
	Percent int
	Token   uint64
}

// RequestTickets asks the advice service which of the targets may run a step.
type RequestTickets struct {
	Queue   string
	Step    StepName
	Targets []string
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// Slots is how many of the TicketSlots of the process the request takes while it is under way.
	Slots int
}

// StepName identifies a step of one occurrence of a job.
type StepName struct {
	Job              string
	Occurrence, Step int
}

// Maintain starts the maintenance of an instance.
type Maintain struct {
	Instance string
	Wave     int
	Token    uint64
}

// MoveInstance moves an instance to another pool.
type MoveInstance struct {
	Instance string
	Pool     string
	Token    uint64
}

// WaveStatus reports how far a maintenance wave has come on the instances of the scheduler.
type WaveStatus struct {
	Wave int
	// Begun is set once the maintenance of all instances has begun, Done once none of them is
	// down any more.
	Begun, Done bool
}

// JobChanged publishes the state of a job. It may precede the batch that stores the decision.
type JobChanged struct {
	Job, Queue string
	State      cranjob.State
}

// LogEntry is an entry for the log: an event or a decision and what caused it.
type LogEntry struct {
	Kind LogKind
	Job  string
	Task string
	// Run is the number of a run. It is the number of the wave for entries about waves,
	// and the new share in percent for LogThrottleChanged.
	Run int
	// Target is the id of a target, or of an instance for LogMaintenanceOrdered and
	// LogMoveOrdered.
	Target string
	// Reason is the cause. It is the new pool for LogMoveOrdered, and the id of the
	// instance for LogTargetCordoned.
	Reason string
	// State is the final state of a job, set for LogJobEnded.
	State cranjob.State
	// AgeMs is the age of the information on which the decision is based.
	AgeMs int64
	// Timing is set for LogJobEnded if the job was placed by this owner and has no times.
	Timing *JobTiming
}

// JobTiming is the timing of a job whose tasks come once, in milliseconds from its receipt.
type JobTiming struct {
	// FirstStartMs is when the first task was placed, and SlackMs the slack of its stage then.
	FirstStartMs, SlackMs int64
	// EndMs is when the job has ended, and ObjectiveMs its soft deadline.
	EndMs, ObjectiveMs int64
}

// PoolStatus reports what a pool has, what it needs and what waits in it.
type PoolStatus struct {
	Pool string
	// Members counts the instances whose target takes tasks or soon will, Empty those of them on which
	// nothing runs, and Arriving those on their way to the pool.
	Members, Empty, Arriving int
	// Punctual is how many instances the work needs that can still complete in time, Needed how many all
	// work needs.
	Punctual, Needed int
	// Waiting and WaitingLate count the tasks that could run, Waiting those that can complete in time.
	Waiting, WaitingLate int
	// LimitedRounds counts the rounds of placement since the last report that ended at the limit on the
	// starts under way.
	LimitedRounds int
}

// RunTimesJudged reports how well run times were predicted since the last report.
type RunTimesJudged struct{ cranpredict.Calibration }

// TrimSubmission replaces the submission of a finished job with a copy without the
// specification. It is stored apart from the batches and may be lost.
type TrimSubmission struct {
	Job    string
	Record cranstore.Record
}

// LogKind is the kind of a log entry.
type LogKind uint8

// Kinds of log entries.
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
	// LogEntryRefuted means that the target's own responses contradict an entry under its id.
	LogEntryRefuted
	// LogTargetSuperseded means that the target has seen the token of a later owner.
	LogTargetSuperseded
	LogJobEnded
	LogTargetCordoned
	// LogTargetRetiring means that a target takes no further tasks, as another pool lacks its instance.
	// Reason is the pool to which it belongs.
	LogTargetRetiring
	LogMaintenanceOrdered
	LogWaveChanged
	LogMoveOrdered
	LogThrottleChanged
	// LogRunReleased means that the resources of a run were freed without a report of its
	// end, because it has ended with certainty or will never start.
	LogRunReleased
	// LogEndSuperseded means that a run has succeeded whose task was started again when its lease had expired.
	LogEndSuperseded
	// LogEndsUnlisted means that a target has more ends to report than one report lists. Run is the number of
	// its runs of which the report says nothing.
	LogEndsUnlisted
	// LogTargetCrashed means that a target has ended and wasn't expected to. Run is the number of
	// runs that were lost.
	LogTargetCrashed
	// LogTaskSuspected means that a task may have crashed a target; Run is how many have crashed
	// under it.
	LogTaskSuspected
	// LogTaskGivenUp means that a task is not started again, because targets crash under it.
	LogTaskGivenUp
	// LogFirstStart carries a measurement: AgeMs is the time from the receipt of a job to
	// the placement of its first task.
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
func (JobChanged) effect()     {}
func (PoolStatus) effect()     {}
func (RunTimesJudged) effect() {}
func (TrimSubmission) effect() {}
func (LogEntry) effect()       {}
