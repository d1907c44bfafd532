package cranjob

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Bounds of a submission. They ensure that the submission of a job and its
// progress each fit into one record of the store.
const (
	// MaxSpec is the maximum size of a specification in bytes, as set by the
	// callers' protocol.
	MaxSpec = 4000
	// MaxTasks is the maximum number of tasks of one job over all occurrences. A
	// task takes about 30 bytes in a progress record of at most 256 KiB.
	MaxTasks = 6000
	// MaxSteps is the maximum number of steps of one job.
	MaxSteps = 256
	// MaxResource is the maximum of each quantity in Resources, in its unit. It exceeds
	// every machine, and no sum over the tasks of a shard overflows.
	MaxResource = 1 << 40
)

// Resources is the capacity of a target or the demand of a task.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty"`
	// Memory is in MB.
	Memory int `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// NonNegative returns r with 0 for each negative quantity.
func (r Resources) NonNegative() Resources {
	return Resources{max(r.CPU, 0), max(r.Memory, 0), max(r.Accelerators, 0)}
}

// Fits reports whether the demand d fits into the free capacity r.
func (r Resources) Fits(d Resources) bool {
	return d.CPU <= r.CPU && d.Memory <= r.Memory && d.Accelerators <= r.Accelerators
}

// Valid reports whether each quantity is within 0 and MaxResource.
func (r Resources) Valid() bool {
	return min(r.CPU, r.Memory, r.Accelerators) >= 0 && max(r.CPU, r.Memory, r.Accelerators) <= MaxResource
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks, at least one.
	Count int `cbor:"1,keyasint"`
	// Demand is the resources that one task needs on a target.
	Demand Resources `cbor:"2,keyasint"`
	// EstimateMs is the caller's rough estimate of one task's duration.
	EstimateMs int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indices of earlier steps that must have succeeded before
	// this step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing is set if the tasks save checkpoints, from which a later run
	// resumes.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set if the tasks run more slowly when they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that the target must have; empty for none.
	Requires string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the tasks' data and on which they run at
	// full speed; empty for none.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerTarget is the maximum number of tasks of the step on one target; 0
	// means no limit.
	MaxPerTarget int `cbor:"10,keyasint,omitempty"`
	// Speculative is set if a task may run in several copies at once, of which the
	// first to end determines the result.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image is the name of the program image that the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxTailLatencyMs is the tail latency that the tasks should stay below. It
	// marks tasks that serve requests; 0 for all others.
	MaxTailLatencyMs int64 `cbor:"14,keyasint,omitempty"`
	// BestEffort is set if the tasks use only processor time that other tasks leave
	// idle.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of long-running tasks of the step that
	// planned work may make unavailable at a time; 0 means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reservation returns the resources that a task of the step reserves on a target.
// Best-effort tasks reserve no processor time.
func (s *Step) Reservation() Resources {
	r := s.Demand
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Job is a submitted job. It never changes once accepted.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	// Spec is passed to targets unchanged.
	Spec  string `cbor:"4,keyasint"`
	Steps []Step `cbor:"5,keyasint"`
	// Times is the number of scheduled occurrences; 0 runs the steps once, without
	// a start time.
	Times int `cbor:"6,keyasint,omitempty"`
	// StartMs is the time at which occurrence 0 is due, in Unix milliseconds.
	StartMs int64 `cbor:"7,keyasint,omitempty"`
	// IntervalMs is the time between the due times of consecutive occurrences.
	IntervalMs int64 `cbor:"8,keyasint,omitempty"`
	// ReceivedMs is the time at which the first entry instance received the job, in
	// Unix milliseconds.
	ReceivedMs int64 `cbor:"9,keyasint"`
	// Tenant is the tenant whose key the submission carried; empty for a job of a public queue
	// and for one that was stored before there were tenants.
	Tenant string `cbor:"10,keyasint,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// TasksPerOccurrence returns the number of tasks of all steps in one occurrence.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Position returns the position of a task in the order of occurrence, step and
// index. Progress.Tasks has the same order.
func (j *Job) Position(name TaskName) int {
	at := name.Occurrence * j.TasksPerOccurrence()
	for i := range name.Step {
		at += j.Steps[i].Count
	}
	return at + name.Index
}

// DueMs returns the earliest start of an occurrence, in Unix milliseconds; 0 means
// that it may start at once.
func (j *Job) DueMs(occurrence int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.StartMs + int64(occurrence)*j.IntervalMs
}

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Validate returns an error of the kind cranfault.Invalid if the job can't be
// accepted.
func (j *Job) Validate() error {
	refuse := func(format string, args ...any) error {
		return cranfault.New(cranfault.Invalid, "correct the job and submit it again", format, args...)
	}
	switch {
	case len(j.Spec) > MaxSpec:
		return refuse("the specification has %d bytes, at most %d are allowed", len(j.Spec), MaxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return refuse("the job has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.Times < 0 || j.IntervalMs < 0:
		return refuse("times and interval must not be negative")
	case j.Times > MaxTasks:
		// The product with the number of tasks, checked below, could overflow.
		return refuse("the job has %d occurrences, at most %d are allowed", j.Times, MaxTasks)
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks {
			return refuse("step %d has %d tasks, 1 to %d are allowed", i, s.Count, MaxTasks)
		}
		if !s.Demand.Valid() {
			return refuse("step %d has a demand that is negative or above %d", i, MaxResource)
		}
		if s.MaxPerTarget < 0 || s.MaxUnavailable < 0 {
			return refuse("step %d has a negative limit of tasks", i)
		}
		for _, earlier := range s.After {
			if earlier < 0 || earlier >= i {
				return refuse("step %d waits for step %d, which is not an earlier step", i, earlier)
			}
		}
	}
	if n := j.TasksPerOccurrence() * j.Occurrences(); n > MaxTasks {
		return refuse("the job has %d tasks, at most %d are allowed", n, MaxTasks)
	}
	return nil
}

// TaskName identifies a task of a job.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the form of the name that is sent to targets, such as
// "job.0.2.13" for occurrence 0, step 2 and index 13.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName parses the form that TaskName.String returns, and reports whether
// the text is valid.
func ParseTaskName(text string) (TaskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// Compare returns a negative number if n comes before other, a positive one if it
// comes after, and 0 if they are equal. Names are ordered by job, occurrence, step
// and index.
func (n TaskName) Compare(other TaskName) int {
	return cmp.Or(
		strings.Compare(n.Job, other.Job), n.Occurrence-other.Occurrence, n.Step-other.Step, n.Index-other.Index,
	)
}
