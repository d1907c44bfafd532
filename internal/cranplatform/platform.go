package cranplatform

import "context"

// Record is one appended entry of a stream.
type Record struct {
	// Offset counts from zero without gaps along a stream.
	Offset uint64 `json:"offset"`
	// TimeMs is the platform's clock at the append, in milliseconds since
	// the epoch; it never decreases along a stream.
	TimeMs int64 `json:"timeMs"`
	// Data is the record's content, opaque to the platform.
	Data []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	// Records starts at the offset asked for, without gaps; it may be empty.
	Records []Record `json:"records"`
	// Oldest is the lowest offset still kept.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next"`
	// TimeMs is the platform's clock when it answered.
	TimeMs int64 `json:"timeMs"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds the payloads in order and without interleaving, and
	// returns the offset of the first. An error says nothing about whether
	// the append took effect.
	Append(ctx context.Context, stream string, payloads [][]byte) (first uint64, err error)
	// Read returns records from an offset on, at most max of them. It waits
	// up to waitMs milliseconds for the first. A read below the oldest kept
	// offset fails with cranfault.RecordsExpired.
	Read(ctx context.Context, stream string, from uint64, max int, waitMs int) (Batch, error)
}

// Phase is the platform's view of an instance.
type Phase string

// Phases of an instance in the platform's list.
const (
	PhaseLive    Phase = "live"
	PhaseLeaving Phase = "leaving"
	PhaseGone    Phase = "gone"
)

// Instance is one line of the platform's list.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Domain     string `json:"domain"`
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	Phase      Phase  `json:"phase"`
	// Boots counts completed boots; a reboot raises it by one.
	Boots       int `json:"boots"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Role is "target" or "entry".
	Role string `json:"role"`
}

// ActionKind names what an action does.
type ActionKind string

// Kinds of action.
const (
	ActionReboot   ActionKind = "reboot"
	ActionReassign ActionKind = "reassign"
)

// Action asks the platform to change one instance.
type Action struct {
	// ID makes the action idempotent: the platform performs one id once.
	ID       string     `json:"id"`
	Kind     ActionKind `json:"kind"`
	Instance string     `json:"instance"`
	// Pool is the destination of a reassignment.
	Pool string `json:"pool,omitempty"`
}

// ActionStatus is the platform's word on an action.
type ActionStatus struct {
	Known bool `json:"known"`
	Done  bool `json:"done"`
}

// Fleet is the platform's list of instances and its actions on them.
type Fleet interface {
	// Instances returns the list, which lags behind the truth.
	Instances(ctx context.Context) ([]Instance, error)
	// Act starts an action. An error says nothing about whether it took
	// effect; repeating the same action is harmless.
	Act(ctx context.Context, action Action) error
	// ActionStatus returns the outcome of an action.
	ActionStatus(ctx context.Context, id string) (ActionStatus, error)
}
