package cranjob

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// State is the state of a job as reported to callers.
type State uint8

// States of a job. Queued and Running are not final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the name of the state in the job service's own interface.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Valid reports whether the state is one of the above. A record of another writer may have any
// other number.
func (s State) Valid() bool { return s <= Cancelled }

// Final reports whether the state is final, that is, never changes again.
func (s State) Final() bool { return s >= Completed }

// Status is the scheduling status of a task.
type Status uint8

// Statuses of a task.
const (
	// Waiting means that the task is not placed on a target.
	Waiting Status = iota
	// Placed means that the task is placed on a target and may be running there.
	Placed
	// Done means that the task has succeeded.
	Done
)

// Task is the progress of one task.
type Task struct {
	_      struct{} `cbor:",toarray"`
	Status Status
	// Run is the number of the newest run; 0 if there was none.
	Run int
	// Failed holds the numbers of the runs that failed, the newest last. The numbers
	// prevent a failure from being counted twice, since a target may report the end
	// of a run again to a new scheduler. For a task that is restarted without limit,
	// only the last MaxFailed are kept.
	Failed []int
	// Target is the target on which the newest run was placed, while the status is
	// Placed.
	Target string
	// Checkpoint is the checkpoint from which the next run resumes; empty for none.
	Checkpoint string
}

// MaxFailed is the maximum number of failed runs that are stored for a task that is
// restarted without limit.
const MaxFailed = 12

// Progress is the progress of a job, as stored by the scheduler. The newest record
// replaces the older ones.
type Progress struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Tasks holds the tasks in the order of occurrence, step and index. It is empty
	// in a final state.
	Tasks []Task
	// Runs holds the number of each task's newest run. It is set in a final state
	// only.
	Runs []int
	// EndedMs is the time at which a final state was reached, in Unix milliseconds.
	EndedMs int64
}

// CrashCount counts the targets that have crashed under a task.
type CrashCount struct {
	_ struct{} `cbor:",toarray"`
	// Early counts those that crashed right after the task's start. It is 0 again once the task
	// has outlived that time.
	Early int
	// Total counts all of them. It is 0 again once a long-running task has been at work for some
	// time.
	Total int
	// Instance and ProcessStartMs name the target on which the newest run was placed while the
	// task was suspected, so that a successor can tell whether that target has crashed since.
	Instance       string
	ProcessStartMs int64
}

// Crashes holds the counts of a job's tasks by their position in [Progress.Tasks], without those
// that are zero. It has a record of its own, since processes of earlier versions can't read a
// [Task] with further fields.
type Crashes map[int]CrashCount

// Claim is the record by which a process claims a shard. The process of the newest claim is
// the owner of the shard.
type Claim struct {
	// Epoch is the fencing token: appends and orders of earlier schedulers are
	// refused.
	Epoch uint64 `cbor:"1,keyasint"`
	// Node is the id of the entry instance. Incarnation identifies its process and
	// changes when the process restarts.
	Node        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Renewal counts the renewals of a claim. It is 0 in the claim that begins the
	// epoch; only that one makes a process the scheduler.
	Renewal uint64 `cbor:"4,keyasint"`
	// AppendMs is the duration of the scheduler's newest append in milliseconds.
	// Other processes wait longer for the next claim while the store is slow.
	AppendMs int64 `cbor:"6,keyasint,omitempty"`
	// Released is set if the scheduler has stopped and another process may take over
	// at once.
	Released bool `cbor:"5,keyasint,omitempty"`
	// Stalled is set while the scheduler makes no progress with the shard. Any other process that
	// can do better may take over.
	Stalled bool `cbor:"7,keyasint,omitempty"`
	// Undersized is set if the scheduler's instance has less capacity than its shards take. A
	// process with enough of it may take over.
	Undersized bool `cbor:"8,keyasint,omitempty"`
}

// Durations holds the sums for a linear regression of the logarithms of a queue's
// task durations (Y) on those of their estimates (X), both in milliseconds.
type Durations struct {
	_                           struct{} `cbor:",toarray"`
	N, SumX, SumY, SumXX, SumXY float64
}

// valid reports whether the sums are those of any observations.
func (d *Durations) valid() bool {
	for _, v := range []float64{d.N, d.SumX, d.SumY, d.SumXX, d.SumXY} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return d.N >= 0 && d.SumXX >= 0
}

// Prefixes of keys, one for each kind of record; the rest of a key is an id.
const (
	keySubmission   = 'j'
	keyCancellation = 'x'
	keyProgress     = 'p'
	keyOrder        = 'm'
	keyDurations    = 'd'
	keyCrashes      = 'k'
	keyRunTimes     = 't'
	// KeyClaim is the whole key of the scheduler's claim.
	KeyClaim = "scheduler"
)

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) string { return string(keySubmission) + id }

// CancellationKey returns the key of a job's cancellation.
func CancellationKey(id string) string { return string(keyCancellation) + id }

// ParseSubmissionKey returns the id of the job in the key of a submission or of a cancellation,
// and reports which of them it is and whether it is one of them.
func ParseSubmissionKey(key string) (id string, cancellation, ok bool) {
	if len(key) < 2 || key[0] != keySubmission && key[0] != keyCancellation {
		return "", false, false
	}
	return key[1:], key[0] == keyCancellation, true
}

// DecodeSubmission decodes the value of a submission. It returns an error for a job that no
// entry instance would accept.
func DecodeSubmission(key string, value []byte) (*Job, error) {
	j, err := decode[Job](key, value)
	if err != nil {
		return nil, err
	}
	if err := j.Validate(); err != nil {
		return nil, malformed(key, err)
	}
	if key != SubmissionKey(j.ID) {
		return nil, malformed(key, fmt.Sprintf("the job has the id %q", j.ID))
	}
	return j, nil
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return string(keyProgress) + id }

// OrderKey returns the key of the orders for an instance.
func OrderKey(instance string) string { return string(keyOrder) + instance }

// DurationsKey returns the key of the task durations of a queue.
func DurationsKey(queue string) string { return string(keyDurations) + queue }

// RunTimesKey returns the key of the distributions of run times of a queue.
func RunTimesKey(queue string) string { return string(keyRunTimes) + queue }

// CrashesKey returns the key of a job's crash counts.
func CrashesKey(id string) string { return string(keyCrashes) + id }

// CancellationMark is the value of a cancellation record. It is not empty, since an
// empty value deletes the record.
var CancellationMark = []byte{1}

// Encode returns the CBOR form in which a record's value is stored.
func Encode[T any](v T) []byte {
	text, err := cbor.Marshal(v)
	if err != nil {
		// Every type of this package can be encoded as CBOR.
		panic(err)
	}
	return text
}

// decode decodes a record's value. The key is only used in the error.
func decode[T any](key string, text []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(text, v); err != nil {
		return nil, malformed(key, err)
	}
	return v, nil
}

func malformed(key string, reason any) error {
	return cranfault.New(cranfault.Malformed, "find the other process that writes to the topic",
		"decode the record under %q: %v", key, reason)
}
