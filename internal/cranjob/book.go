package cranjob

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Entry is what is known of one job.
type Entry struct {
	job       *Job
	progress  *Progress
	cancelled bool
}

// Job returns the submission; nil if only its progress is known yet.
func (e *Entry) Job() *Job { return e.job }

// Progress returns the newest progress; nil before the first.
func (e *Entry) Progress() *Progress { return e.progress }

// Cancelled reports whether a caller has cancelled the job.
func (e *Entry) Cancelled() bool { return e.cancelled }

// State returns what callers are told.
func (e *Entry) State() State {
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

// Book is what the records say. It isn't safe for concurrent use.
type Book struct {
	jobs   map[string]*Entry
	orders map[string]InstanceOrder
	claim  Claim
	// durations are by queue.
	durations map[string]Durations
	// offsets holds the offset of the newest record applied of each key, so
	// that pages of newest records and the log may overlap.
	offsets map[string]uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{jobs: map[string]*Entry{}, orders: map[string]InstanceOrder{}, durations: map[string]Durations{}, offsets: map[string]uint64{}}
}

// Claim returns the newest claim of a scheduler.
func (b *Book) Claim() Claim { return b.claim }

// Orders returns the orders for instances. The caller must not change them.
func (b *Book) Orders() map[string]InstanceOrder { return b.orders }

// Durations returns what was learned of each queue. The caller must not change
// it.
func (b *Book) Durations() map[string]Durations { return b.durations }

// Jobs returns all jobs. The caller must not change them.
func (b *Book) Jobs() map[string]*Entry { return b.jobs }

// Lookup returns a job that has been accepted.
func (b *Book) Lookup(id string) (*Entry, bool) {
	e, found := b.jobs[id]
	return e, found && e.job != nil
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (b *Book) Pending(queue string) int {
	n := 0
	for _, e := range b.jobs {
		if e.job != nil && e.job.Queue == queue && e.State() == Queued {
			n++
		}
	}
	return n
}

// Apply applies the record at an offset. The error tells of a record that
// can't be decoded, which changes nothing.
func (b *Book) Apply(key string, value []byte, offset uint64) (Change, error) {
	if newest, known := b.offsets[key]; known && offset <= newest {
		return Change{}, nil
	}
	b.offsets[key] = offset
	if key == KeyClaim {
		claim, err := decode[Claim](key, value)
		if err != nil || claim.Epoch < b.claim.Epoch {
			return Change{}, err
		}
		b.claim = *claim
		return Change{Kind: ClaimChanged, ID: claim.Node}, nil
	}
	if len(key) < 2 {
		return Change{}, cranfault.New(cranfault.Malformed, "find out who else writes to the topic",
			"there is no kind of record under the key %q", key)
	}
	return b.applyKind(key[0], key[1:], value)
}

func (b *Book) applyKind(kind byte, id string, value []byte) (Change, error) {
	switch kind {
	case keySubmission:
		return b.applySubmission(id, value)
	case keyCancellation:
		if len(value) == 0 || b.entry(id).cancelled {
			return Change{}, nil
		}
		b.entry(id).cancelled = true
		return Change{Kind: JobCancelled, ID: id}, nil
	case keyProgress:
		if len(value) == 0 {
			return Change{}, nil
		}
		progress, err := decode[Progress](id, value)
		if err != nil {
			return Change{}, err
		}
		b.entry(id).progress = progress
		return Change{Kind: ProgressChanged, ID: id}, nil
	case keyDurations:
		durations, err := decode[Durations](id, value)
		if err != nil {
			return Change{}, err
		}
		b.durations[id] = *durations
		return Change{}, nil
	case keyOrder:
		if len(value) == 0 {
			delete(b.orders, id)
			return Change{Kind: OrderChanged, ID: id}, nil
		}
		order, err := decode[InstanceOrder](id, value)
		if err != nil {
			return Change{}, err
		}
		b.orders[id] = *order
		return Change{Kind: OrderChanged, ID: id}, nil
	}
	return Change{}, cranfault.New(cranfault.Malformed, "find out who else writes to the topic",
		"there is no kind of record %q", kind)
}

// applySubmission keeps the first submission of an id: a repeat that another
// entry instance stored at the same time changes nothing.
func (b *Book) applySubmission(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		delete(b.jobs, id)
		return Change{Kind: JobDropped, ID: id}, nil
	}
	e := b.entry(id)
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

func (b *Book) entry(id string) *Entry {
	e, found := b.jobs[id]
	if !found {
		e = &Entry{}
		b.jobs[id] = e
	}
	return e
}
