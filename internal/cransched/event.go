package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// Clock is the time of an event.
type Clock struct {
	// Steady never jumps, and goes on while the process is suspended.
	Steady time.Duration
	// UnixMs is the time of day.
	UnixMs int64
}

// TargetInfo is what a target says of itself in the store.
type TargetInfo struct {
	ID, Pool, Address string
	// Instance is the machine whose present life the target is.
	Instance string
	// Labels are the target's kind and its rack.
	Labels   []string
	Capacity cranjob.Resources
	Draining bool
	// BornMs is the start of the target's process in Unix milliseconds.
	ProcessStartMs int64
}

// RunReport is a run that a target lists as present.
type RunReport struct {
	Task       cranjob.TaskName
	Run        int
	Checkpoint string
	// Percent is the progress of a task; 100 means that a lasting task works.
	Percent int
	// Gauge is the tail latency in milliseconds of a serving task, and the
	// processor time in thousandths of a core of any other.
	Gauge int
}

// How says in which way a run ended.
type RunOutcome string

// Ways in which a run ends.
const (
	OutcomeDone         RunOutcome = "done"
	OutcomeFailed       RunOutcome = "failed"
	OutcomeStopped      RunOutcome = "stopped"
	OutcomeLeaseExpired RunOutcome = "lapsed"
	// EndBroken means that another member of the gang ended.
	OutcomeGangEnded RunOutcome = "broken"
	// EndAlone means that the other members of the gang didn't come.
	OutcomeGangIncomplete RunOutcome = "alone"
)

// EndReport is an end that a target lists until it is observed.
type EndReport struct {
	// Number counts the ends of one life of a target from 1.
	Number     int64
	Task       cranjob.TaskName
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Verdict says what became of a call to a target or to the platform.
type CallStatus uint8

// Verdicts of a call.
const (
	// VerdictUnanswered calls may have taken effect, or may still do so.
	StatusUnanswered CallStatus = iota
	StatusOK
	// VerdictFenced calls carried a token lower than one that was seen.
	StatusFenced
	// VerdictOld starts name a run that was stopped or has ended.
	StatusStaleRun
	// VerdictLate starts carry a deadline that has passed.
	StatusDeadlinePassed
	// VerdictRoom starts don't fit.
	StatusNoCapacity
	// VerdictTicket starts carry no valid ticket.
	StatusInvalidTicket
	// VerdictRefused calls had no effect, for another reason.
	StatusRefused
	// VerdictInvalid calls ask for what can't be done there.
	StatusInvalid
	// VerdictOtherLife means that the address belongs to another target now.
	StatusOtherTarget
	// VerdictUnreached calls never left: no connection could be opened.
	StatusNotSent
	// VerdictBusy orders meet an instance that is not up.
	StatusInstanceBusy
)

// Answer is what every answer of a target tells.
type Response struct {
	Status CallStatus
	// ClockMs is the target's steady clock; 0 if the answer doesn't tell.
	ClockMs int64
	// BornMs is the start of the target's process; 0 if the answer doesn't tell.
	ProcessStartMs int64
	// SentAt is when the call left, by the steady clock of this process.
	SentAt time.Duration
}

// HoldAnswer is the answer to a [Hold].
type HeartbeatResponse struct {
	Response
	Running  []RunReport
	Finished []EndReport
}

// InstanceInfo is a line of the platform's list of instances.
type InstanceInfo struct {
	Instance, Pool string
	// Up instances serve; Maintenance means that the upkeep is going on.
	Up, Maintenance bool
	// Target is the id of its present life; empty while there is none.
	Target   string
	Capacity cranjob.Resources
}

// WaveOrder asks for the maintenance of instances.
type WaveOrder struct {
	Wave      int
	Instances []string
	Duration  time.Duration
	// SeenAt is when the order was read, by the steady clock.
	SeenAt time.Duration
	// MaxParallel is how many may be down for it at once.
	MaxParallel int
}
