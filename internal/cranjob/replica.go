package cranjob

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// TrackedJob is what is known of one job.
type TrackedJob struct {
	job       *Job
	progress  *Progress
	cancelled bool
}

// Job returns the submission; nil if only its progress is known yet.
func (e *TrackedJob) Job() *Job { return e.job }

// Progress returns the newest progress; nil before the first.
func (e *TrackedJob) Progress() *Progress { return e.progress }

// Cancelled reports whether a caller has cancelled the job.
func (e *TrackedJob) Cancelled() bool { return e.cancelled }

// State returns what callers are told.
func (e *TrackedJob) State() State {
	if e.progress != nil && e.progress.State.Final() {
		return e.progress.State
	}
	if e.cancelled {
		return Cancelled
	}
	if e.progress != nil {
		return e.progress.State
	}
	return Queued
}

// ChangeKind says what a record changed.
type ChangeKind uint8

// Kinds of change.
const (
	// NoChange marks a repeat or a record of no interest.
	NoChange ChangeKind = iota
	JobAdded
	JobCancelled
	ProgressChanged
	JobDropped
	ClaimChanged
	OrderChanged
)

// Change tells what a record changed, and of what.
type Change struct {
	Kind ChangeKind
	// ID is the job or the instance.
	ID string
}

// Replica is what the records say. It isn't safe for concurrent use.
type Replica struct {
	jobs   map[string]*TrackedJob
	orders map[string]InstanceOrder
	claim  Claim
	// durations are by queue.
	durations map[string]Durations
	// offsets holds the offset of the newest record applied of each key, so
	// that pages of newest records and the log may overlap.
	offsets map[string]uint64
}

// NewReplica returns an empty book.
func NewReplica() *Replica {
	return &Replica{jobs: map[string]*TrackedJob{}, orders: map[string]InstanceOrder{}, durations: map[string]Durations{}, offsets: map[string]uint64{}}
}

// Claim returns the newest claim of a scheduler.
func (r *Replica) Claim() Claim { return r.claim }

// Orders returns the orders for instances. The caller must not change them.
func (r *Replica) Orders() map[string]InstanceOrder { return r.orders }

// Durations returns what was learned of each queue. The caller must not change
// it.
func (r *Replica) Durations() map[string]Durations { return r.durations }

// Jobs returns all jobs. The caller must not change them.
func (r *Replica) Jobs() map[string]*TrackedJob { return r.jobs }

// Lookup returns a job that has been accepted.
func (r *Replica) Lookup(id string) (*TrackedJob, bool) {
	e, found := r.jobs[id]
	return e, found && e.job != nil
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (r *Replica) Pending(queue string) int {
	n := 0
	for _, e := range r.jobs {
		if e.job != nil && e.job.Queue == queue && e.State() == Queued {
			n++
		}
	}
	return n
}

// Apply applies the record at an offset. The error tells of a record that
// can't be decoded, which changes nothing.
func (r *Replica) Apply(key string, value []byte, offset uint64) (Change, error) {
	if newest, known := r.offsets[key]; known && offset <= newest {
		return Change{}, nil
	}
	r.offsets[key] = offset
	if key == KeyClaim {
		claim, err := decode[Claim](key, value)
		if err != nil || claim.Epoch < r.claim.Epoch {
			return Change{}, err
		}
		r.claim = *claim
		return Change{Kind: ClaimChanged, ID: claim.Node}, nil
	}
	if len(key) < 2 {
		return Change{}, cranfault.New(cranfault.Malformed, "find out who else writes to the topic",
			"there is no kind of record under the key %q", key)
	}
	return r.applyKind(key[0], key[1:], value)
}

func (r *Replica) applyKind(kind byte, id string, value []byte) (Change, error) {
	switch kind {
	case keySubmission:
		return r.applySubmission(id, value)
	case keyCancellation:
		if len(value) == 0 || r.entry(id).cancelled {
			return Change{}, nil
		}
		r.entry(id).cancelled = true
		return Change{Kind: JobCancelled, ID: id}, nil
	case keyProgress:
		if len(value) == 0 {
			return Change{}, nil
		}
		progress, err := decode[Progress](id, value)
		if err != nil {
			return Change{}, err
		}
		r.entry(id).progress = progress
		return Change{Kind: ProgressChanged, ID: id}, nil
	case keyDurations:
		durations, err := decode[Durations](id, value)
		if err != nil {
			return Change{}, err
		}
		r.durations[id] = *durations
		return Change{}, nil
	case keyOrder:
		if len(value) == 0 {
			delete(r.orders, id)
			return Change{Kind: OrderChanged, ID: id}, nil
		}
		order, err := decode[InstanceOrder](id, value)
		if err != nil {
			return Change{}, err
		}
		r.orders[id] = *order
		return Change{Kind: OrderChanged, ID: id}, nil
	}
	return Change{}, cranfault.New(cranfault.Malformed, "find out who else writes to the topic",
		"there is no kind of record %q", kind)
}

// applySubmission keeps the first submission of an id: a repeat that another
// entry instance stored at the same time changes nothing.
func (r *Replica) applySubmission(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		delete(r.jobs, id)
		return Change{Kind: JobDropped, ID: id}, nil
	}
	e := r.entry(id)
	if e.job != nil {
		return Change{}, nil
	}
	job, err := decode[Job](id, value)
	if err != nil {
		return Change{}, err
	}
	e.job = job
	return Change{Kind: JobAdded, ID: id}, nil
}

func (r *Replica) entry(id string) *TrackedJob {
	e, found := r.jobs[id]
	if !found {
		e = &TrackedJob{}
		r.jobs[id] = e
	}
	return e
}
