package cranjob

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// State is what callers are told of a job.
type State uint8

// States of a job. Queued and Running are not final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the word of the job service's own interface.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }

// Status is where a task stands.
type Status uint8

// Statuses of a task.
const (
	// Waiting tasks are not at any target.
	Waiting Status = iota
	// Placed tasks may run at their target.
	Placed
	// Done tasks have succeeded.
	Done
)

// Task is the progress of one task.
type Task struct {
	_      struct{} `cbor:",toarray"`
	Status Status
	// Run is the number of the newest run; 0 before the first.
	Run int
	// Failed holds the numbers of the runs that ended in failure, the newest
	// last: an end may be listed again to a new owner. It is cut to MaxFailed.
	Failed []int
	// Target is where the newest run was placed, while Placed.
	Target string
	// Checkpoint is what the next run resumes from; empty for none.
	Checkpoint string
}

// MaxFailed bounds the failures remembered of a task that is started again
// without limit.
const MaxFailed = 12

// Progress is what the scheduler stores of a job. Its newest record replaces
// the older ones.
type Progress struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Tasks are in order of occurrence, step and index; dropped in a final state.
	Tasks []Task
	// Runs has the number of each task's newest run, in a final state.
	Runs []int
	// EndedMs is when a final state was reached, in Unix milliseconds.
	EndedMs int64
}

// Claim is the record of the process that schedules. The newest one names the
// scheduler in force.
type Claim struct {
	// Epoch fences the appends of earlier schedulers and their orders.
	Epoch uint64 `cbor:"1,keyasint"`
	// Node is the entry instance, Incarnation the life of its process.
	Node        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Renewal counts the claims of one epoch, so that a repeat is no sign of life.
	Renewal uint64 `cbor:"4,keyasint"`
	// AppendMs is how long the owner's newest append took, in milliseconds: its
	// claims come later while the store is slow.
	AppendMs int64 `cbor:"6,keyasint,omitempty"`
	// Released means that the scheduler has stopped and another may follow at once.
	Released bool `cbor:"5,keyasint,omitempty"`
}

// InstanceOrder is the record of the newest orders for an instance. It is
// stored before an order is sent.
type InstanceOrder struct {
	// Wave is the newest maintenance wave that ordered the instance down, and
	// Confirmed whether the platform has confirmed that.
	Wave  int  `cbor:"1,keyasint,omitempty"`
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Pool is the destination of the newest move, and Moving whether no other
	// order came after it.
	Pool   string `cbor:"2,keyasint,omitempty"`
	Moving bool   `cbor:"5,keyasint,omitempty"`
	// SentMs is when the newest order was decided, in Unix milliseconds.
	SentMs int64 `cbor:"3,keyasint,omitempty"`
}

// Durations is what was learned of a queue's tasks: sums over the logarithms
// of estimates (X) and durations (Y), both in milliseconds.
type Durations struct {
	_                           struct{} `cbor:",toarray"`
	N, SumX, SumY, SumXX, SumXY float64
}

// Kinds of key; the rest of a key is an id.
const (
	keySubmission   = 'j'
	keyCancellation = 'x'
	keyProgress     = 'p'
	keyOrder        = 'm'
	keyDurations    = 'd'
	// KeyClaim is the whole key of the scheduler's claim.
	KeyClaim = "scheduler"
)

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) string { return string(keySubmission) + id }

// CancellationKey returns the key of a job's cancellation.
func CancellationKey(id string) string { return string(keyCancellation) + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return string(keyProgress) + id }

// OrderKey returns the key of the order for an instance.
func OrderKey(instance string) string { return string(keyOrder) + instance }

// DurationsKey returns the key of what was learned of a queue.
func DurationsKey(queue string) string { return string(keyDurations) + queue }

// CancellationMark is the value of a cancellation.
var CancellationMark = []byte{1}

// Encode returns the stored form of a record's value.
func Encode[T any](v T) []byte {
	text, err := cbor.Marshal(v)
	if err != nil {
		// The types of this package hold nothing that CBOR can't encode.
		panic(err)
	}
	return text
}

// decode returns a record's value.
func decode[T any](key string, text []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(text, v); err != nil {
		return nil, cranfault.New(cranfault.Malformed, "find out who else writes to the topic",
			"the record under %q can't be decoded: %v", key, err)
	}
	return v, nil
}
