package cranjob

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Bounds of a submission. They keep a single job within one record of the
// store, together with its progress.
const (
	// MaxSpec is the longest specification, in bytes, by the callers' protocol.
	MaxSpec = 4000
	// MaxTasks is the most tasks of one job over all occurrences; a task takes
	// about 30 bytes in a progress record of at most 256 KiB.
	MaxTasks = 6000
	// MaxSteps is the most steps of one job.
	MaxSteps = 256
)

// Resources is room on a target or the demand of a task.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int `cbor:"1,keyasint,omitempty"`
	// Memory is in MB.
	Memory int `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether demand d finds room in r.
func (r Resources) Fits(d Resources) bool {
	return d.CPU <= r.CPU && d.Memory <= r.Memory && d.Accelerators <= r.Accelerators
}

// Step is a set of like tasks of a job.
type Step struct {
	// Count is the number of tasks, at least one.
	Count int `cbor:"1,keyasint"`
	// Demand is what one task takes of a target.
	Demand Resources `cbor:"2,keyasint"`
	// EstimateMs is the caller's rough estimate of one task's duration.
	EstimateMs int64 `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must have succeeded first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing tasks save their progress and can be resumed.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only while all of them are present.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tasks slow down when spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that the target must bear.
	Requires string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run at full speed.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerTarget bounds the tasks of the step on one target; 0 is no bound.
	MaxPerTarget int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may run in several copies; the first end counts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxTailLatencyMs is the bound of a serving task's tail latency; 0 for none.
	MaxTailLatencyMs int64 `cbor:"14,keyasint,omitempty"`
	// BestEffort tasks use the processor time that others leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds the lasting tasks that planned work may take
	// away at a time; 0 is no bound.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reservation returns what a task of the step occupies on a target. Best-effort tasks
// occupy no processor time.
func (s *Step) Reservation() Resources {
	r := s.Demand
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Job is a submission. It never changes once accepted.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	Pool  string `cbor:"3,keyasint"`
	// Spec is passed to targets unchanged.
	Spec  string `cbor:"4,keyasint"`
	Steps []Step `cbor:"5,keyasint"`
	// Times is the number of occurrences; 0 runs the steps once, at once.
	Times int `cbor:"6,keyasint,omitempty"`
	// StartMs is when occurrence 0 is due, in Unix milliseconds.
	StartMs int64 `cbor:"7,keyasint,omitempty"`
	// IntervalMs is the time between occurrences.
	IntervalMs int64 `cbor:"8,keyasint,omitempty"`
	// ReceivedMs is when the first entry instance read it, in Unix milliseconds.
	ReceivedMs int64 `cbor:"9,keyasint"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// TasksPerOccurrence returns the number of tasks of all steps.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Position returns the place of a task in order of occurrence, step and index.
func (j *Job) Position(name TaskName) int {
	at := name.Occurrence * j.TasksPerOccurrence()
	for i := range name.Step {
		at += j.Steps[i].Count
	}
	return at + name.Index
}

// DueMs returns when an occurrence may start, in Unix milliseconds; 0 is now.
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

// Validate reports why the job can't be accepted.
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
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks {
			return refuse("step %d has %d tasks, 1 to %d are allowed", i, s.Count, MaxTasks)
		}
		if s.Demand.CPU < 0 || s.Demand.Memory < 0 || s.Demand.Accelerators < 0 || s.MaxPerTarget < 0 {
			return refuse("step %d has a negative demand", i)
		}
		for _, earlier := range s.After {
			if earlier < 0 || earlier >= i {
				return refuse("step %d waits for step %d, which is no earlier step", i, earlier)
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

// String returns the name as targets know it.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName returns the task of a name as targets know it, and whether there
// can be one.
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

// Compare orders names by job, occurrence, step and index.
func (n TaskName) Compare(other TaskName) int {
	return cmp.Or(
		strings.Compare(n.Job, other.Job), n.Occurrence-other.Occurrence, n.Step-other.Step, n.Index-other.Index,
	)
}
