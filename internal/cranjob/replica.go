package cranjob

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
)

// TrackedJob holds the records of one job.
type TrackedJob struct {
	job       *Job
	progress  *Progress
	crashes   Crashes
	cancelled bool
}

// Job returns the submission, or nil if it has not been read yet. The records of
// a job may be read in any order.
func (e *TrackedJob) Job() *Job { return e.job }

// Progress returns the newest progress record, or nil if there is none.
func (e *TrackedJob) Progress() *Progress { return e.progress }

// Crashes returns the crash counts of the job's tasks. The caller must not change them.
func (e *TrackedJob) Crashes() Crashes { return e.crashes }

// Cancelled reports whether a caller has cancelled the job.
func (e *TrackedJob) Cancelled() bool { return e.cancelled }

// State returns the state that is reported to callers. A final state takes
// precedence over a cancellation.
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

// ChangeKind is the kind of change that a record caused.
type ChangeKind uint8

// Kinds of change.
const (
	// NoChange is the kind of a repeated record, or of one that readers need not
	// react to.
	NoChange ChangeKind = iota
	JobAdded
	JobCancelled
	ProgressChanged
	// JobDropped is the kind of an empty submission, which removes the job.
	JobDropped
	ClaimChanged
	OrderChanged
)

// Change describes the effect of one record.
type Change struct {
	Kind ChangeKind
	// ID is the id of the job or the instance that changed.
	ID string
}

// Replica is an owner's copy of the state of a shard, built by applying the records of the
// store. It is not safe for concurrent use.
type Replica struct {
	jobs   map[string]*TrackedJob
	orders map[string]InstanceOrder
	claim  Claim
	// durations maps a queue to the statistics of its tasks.
	durations map[string]Durations
	// runTimes maps a queue to the distributions of run times of its tasks.
	runTimes map[string]*cranpredict.Record
	// offsets maps a key to the offset of the newest record applied under it. It
	// lets Apply ignore records that a reader gets twice, once in a page of the
	// newest record of each key and once in the log.
	offsets map[string]uint64
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{jobs: map[string]*TrackedJob{}, orders: map[string]InstanceOrder{}, durations: map[string]Durations{}, runTimes: map[string]*cranpredict.Record{}, offsets: map[string]uint64{}}
}

// Claim returns the claim that the newest owner stored before it loaded the shard.
func (r *Replica) Claim() Claim { return r.claim }

// Orders returns the orders for instances, by instance. The caller must not
// change them.
func (r *Replica) Orders() map[string]InstanceOrder { return r.orders }

// Durations returns the statistics of task durations, by queue. The caller must
// not change them.
func (r *Replica) Durations() map[string]Durations { return r.durations }

// RunTimes returns the distributions of run times, by queue. The caller must not change them.
func (r *Replica) RunTimes() map[string]*cranpredict.Record { return r.runTimes }

// Jobs returns all jobs by id, including those of which the submission has not
// been read yet. The caller must not change them.
func (r *Replica) Jobs() map[string]*TrackedJob { return r.jobs }

// Lookup returns the job with an id, and whether its submission has been read.
func (r *Replica) Lookup(id string) (*TrackedJob, bool) {
	e, found := r.jobs[id]
	return e, found && e.job != nil
}

// Pending returns the number of accepted jobs of a queue of which no task has
// started.
func (r *Replica) Pending(queue string) int {
	n := 0
	for _, e := range r.jobs {
		if e.job != nil && e.job.Queue == queue && e.State() == Queued {
			n++
		}
	}
	return n
}

// End records a final state of a job that its progress record doesn't have. It changes
// nothing if the job is unknown or has a final state.
func (r *Replica) End(id string, state State, unixMs int64) {
	e := r.jobs[id]
	if e == nil || e.progress != nil && e.progress.State.Final() {
		return
	}
	ended := &Progress{State: state, EndedMs: unixMs}
	if e.progress != nil {
		for i := range e.progress.Tasks {
			ended.Runs = append(ended.Runs, e.progress.Tasks[i].Run)
		}
	}
	e.progress = ended
}

// Store applies a record that the caller has stored itself and that is newer than all others
// under its key.
func (r *Replica) Store(key string, value []byte) error {
	next := uint64(0)
	if newest, known := r.offsets[key]; known {
		next = newest + 1
	}
	_, err := r.Apply(key, value, next)
	return err
}

// Apply applies the record at an offset. It ignores a record that is not newer than
// the last one under its key, and a claim of an earlier epoch than the current one.
// It returns an error for a record that can't be decoded; such a record changes
// nothing.
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
	if key == KeyFallback {
		// The progress of the jobs has the ends, too.
		return Change{}, nil
	}
	if len(key) < 2 {
		return Change{}, cranfault.New(cranfault.Malformed, "find the other process that writes to the topic",
			"the key %q is too short for a kind and an id", key)
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
		if !progress.State.Valid() {
			return Change{}, cranfault.New(cranfault.Malformed, "find the other process that writes to the topic",
				"the progress of job %q has the unknown state %d", id, progress.State)
		}
		r.entry(id).progress = progress
		return Change{Kind: ProgressChanged, ID: id}, nil
	case keyCrashes:
		if len(value) == 0 {
			r.entry(id).crashes = nil
			return Change{}, nil
		}
		crashes, err := decode[Crashes](id, value)
		if err != nil {
			return Change{}, err
		}
		r.entry(id).crashes = *crashes
		return Change{}, nil
	case keyDurations:
		durations, err := decode[Durations](id, value)
		if err != nil {
			return Change{}, err
		}
		if !durations.valid() {
			return Change{}, malformed(id, "the sums are not those of any observations")
		}
		r.durations[id] = *durations
		return Change{}, nil
	case keyRunTimes:
		record, err := cranpredict.Decode(value)
		if err != nil {
			return Change{}, err
		}
		r.runTimes[id] = record
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
	return Change{}, cranfault.New(cranfault.Malformed, "find the other process that writes to the topic",
		"unknown kind of record %q", kind)
}

// applySubmission applies the first submission of an id and ignores later ones,
// since two entry instances may store the same submission at the same time. An
// empty value removes the job.
func (r *Replica) applySubmission(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		delete(r.jobs, id)
		return Change{Kind: JobDropped, ID: id}, nil
	}
	if _, found := r.Lookup(id); found {
		return Change{}, nil
	}
	job, err := DecodeSubmission(SubmissionKey(id), value)
	if err != nil {
		return Change{}, err
	}
	r.entry(id).job = job
	return Change{Kind: JobAdded, ID: id}, nil
}

// entry returns the job with an id, and adds one without records if it is unknown.
func (r *Replica) entry(id string) *TrackedJob {
	e, found := r.jobs[id]
	if !found {
		e = &TrackedJob{}
		r.jobs[id] = e
	}
	return e
}
