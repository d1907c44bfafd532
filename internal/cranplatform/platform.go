package cranplatform

import "context"

// Record is one appended entry of a stream.
type Record struct {
	// Offset counts from zero without gaps along a stream.
	Offset uint64 `json:"offset"`
	// TimeMs is the platform's time at the append, in Unix milliseconds. It
	// never decreases along a stream.
	TimeMs int64 `json:"timeMs"`
	// Data is the record's content, opaque to the platform.
	Data []byte `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	// Records holds consecutive records from the requested offset on. It may be
	// empty.
	Records []Record `json:"records"`
	// Oldest is the lowest offset that the log still keeps.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next"`
	// TimeMs is the platform's time at the response, in Unix milliseconds.
	TimeMs int64 `json:"timeMs"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends the payloads as consecutive records and returns the offset
	// of the first. If it returns an error, the append may still have taken
	// effect.
	Append(ctx context.Context, stream string, payloads [][]byte) (first uint64, err error)
	// Read returns at most max records from an offset on. If there are none, it
	// waits up to waitMs milliseconds for the first. A read below the oldest
	// offset that the log keeps fails with cranfault.RecordsExpired.
	Read(ctx context.Context, stream string, from uint64, max int, waitMs int) (Batch, error)
}

// Phase is the phase of an instance in the platform's list.
type Phase string

// Phases of an instance: it runs, the platform is removing it, or it no longer
// exists.
const (
	PhaseLive    Phase = "live"
	PhaseLeaving Phase = "leaving"
	PhaseGone    Phase = "gone"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain     string `json:"domain"`
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	Phase      Phase  `json:"phase"`
	// Boots is the number of completed boots; a reboot increases it by one.
	Boots int `json:"boots"`
	// Slots is the maximum number of requests that a target runs at the same time.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections that a target accepts.
	Connections int `json:"connections"`
	// Role is "target" or "entry".
	Role string `json:"role"`
}

// ActionKind is the kind of an action.
type ActionKind string

// Kinds of action.
const (
	ActionReboot   ActionKind = "reboot"
	ActionReassign ActionKind = "reassign"
)

// Action asks the platform to change one instance.
type Action struct {
	// ID makes the action idempotent: the platform performs the actions with the
	// same id only once.
	ID       string     `json:"id"`
	Kind     ActionKind `json:"kind"`
	Instance string     `json:"instance"`
	// Pool is the destination of a reassignment.
	Pool string `json:"pool,omitempty"`
}

// ActionStatus is the status of an action.
type ActionStatus struct {
	// Known is set if the platform has started the action.
	Known bool `json:"known"`
	// Done is set if the platform has completed the action.
	Done bool `json:"done"`
}

// Fleet is the platform's list of instances and its actions on them.
type Fleet interface {
	// Instances returns the list, which lags behind the actual state of the
	// instances.
	Instances(ctx context.Context) ([]Instance, error)
	// Act starts an action. If it returns an error, the action may still have
	// been started. The same action may be sent again.
	Act(ctx context.Context, action Action) error
	// ActionStatus returns the status of the action with an id.
	ActionStatus(ctx context.Context, id string) (ActionStatus, error)
}
