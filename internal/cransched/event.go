package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// Clock is the time at which an event is handled.
type Clock struct {
	// Steady is a monotonic clock that also advances while the process is suspended.
	Steady time.Duration
	// UnixMs is the wall clock time in Unix milliseconds.
	UnixMs int64
}

// TargetInfo is the entry that a target writes about itself into the store.
type TargetInfo struct {
	ID, Pool, Address string
	// Instance is the id of the machine on which the target runs.
	Instance string
	// Labels holds the target's kind and, last, its rack.
	Labels   []string
	Capacity cranjob.Resources
	Draining bool
	// ProcessStartMs is the start time of the target's process in Unix milliseconds. A
	// later value under the same id means that the target has restarted.
	ProcessStartMs int64
}

// RunReport describes a run that is present on a target.
type RunReport struct {
	Task       cranjob.TaskName
	Run        int
	Checkpoint string
	// Percent is the progress of a task. A long-running task is available at 100.
	Percent int
	// Gauge is the tail latency in milliseconds for serving tasks, which are those of steps
	// with a MaxTailLatencyMs, and the CPU usage in thousandths of a core for all others.
	Gauge int
}

// RunOutcome is the way in which a run ended.
type RunOutcome string

// Outcomes of runs.
const (
	OutcomeDone         RunOutcome = "done"
	OutcomeFailed       RunOutcome = "failed"
	OutcomeStopped      RunOutcome = "stopped"
	OutcomeLeaseExpired RunOutcome = "lapsed"
	// OutcomeGangEnded means that another member of the gang ended.
	OutcomeGangEnded RunOutcome = "broken"
	// OutcomeGangIncomplete means that other members of the gang did not start.
	OutcomeGangIncomplete RunOutcome = "alone"
)

// EndReport describes a run that has ended. A target reports it until it is acknowledged.
type EndReport struct {
	// Number counts the ends on one process of a target, starting at 1.
	Number     int64
	Task       cranjob.TaskName
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// CallStatus is the result of a call to a target or to the platform.
type CallStatus uint8

// Results of calls.
const (
	// StatusUnanswered means that the call may have taken effect or may still do so.
	StatusUnanswered CallStatus = iota
	StatusOK
	// StatusFenced means that the receiver has seen a higher fencing token.
	StatusFenced
	// StatusStaleRun means that the run to start was stopped or has ended.
	StatusStaleRun
	// StatusDeadlinePassed means that the lease deadline of the start has passed.
	StatusDeadlinePassed
	// StatusNoCapacity means that the run doesn't fit on the target.
	StatusNoCapacity
	// StatusInvalidTicket means that the start carries no valid ticket.
	StatusInvalidTicket
	// StatusRefused means that the call had no effect for another reason.
	StatusRefused
	// StatusInvalid means that the receiver doesn't allow what the call asks for.
	StatusInvalid
	// StatusOtherTarget means that the address now belongs to another target.
	StatusOtherTarget
	// StatusNotSent means that the call was not sent, as no connection could be opened.
	StatusNotSent
	// StatusWithheld means that the call was not sent, since the owner's copy of the submissions or targets is too old.
	StatusWithheld
	// StatusInstanceBusy means that the instance is not up and takes no order.
	StatusInstanceBusy
)

// Response holds what every response of a target carries.
type Response struct {
	Status CallStatus
	// ClockMs is the target's steady clock; 0 if the response doesn't carry it.
	ClockMs int64
	// ProcessStartMs is the start time of the target's process; 0 if the response doesn't
	// carry it.
	ProcessStartMs int64
	// SentAt is when the call was sent, on this process's steady clock.
	SentAt time.Duration
}

// HeartbeatResponse is the response to a [Heartbeat].
type HeartbeatResponse struct {
	Response
	Running  []RunReport
	Finished []EndReport
	// MoreEnds is set if the target may have more ends to report than Finished lists. They follow once
	// the listed ones are acknowledged.
	MoreEnds bool
}

// InstanceInfo is an entry of the platform's list of instances.
type InstanceInfo struct {
	Instance, Pool string
	// Up is set while the platform reports the instance as up, also in a standby pool.
	// Maintenance is set while it reports the instance as under maintenance.
	Up, Maintenance bool
	// Target is the id of the target that runs on the instance; empty if there is none.
	Target   string
	Capacity cranjob.Resources
}

// WaveOrder is an operator's request to maintain a set of instances.
type WaveOrder struct {
	Wave      int
	Instances []string
	Duration  time.Duration
	// SeenAt is when the request was read, on the steady clock.
	SeenAt time.Duration
	// MaxParallel is the maximum number of instances that may be down for the wave at the
	// same time.
	MaxParallel int
	// Begun and Done are what an owner of the shard has published of the wave; see [WaveStatus].
	Begun, Done bool
}
