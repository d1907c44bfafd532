package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// endTimeout bounds one query for the end of the submissions.
	endTimeout = 1200 * time.Millisecond
	// answerReserve is the part of the time until a caller's deadline that is reserved
	// for sending the answer.
	answerReserve = 150 * time.Millisecond
)

// Submit accepts a job and returns once it is stored. It returns nil at once for a job
// that is already known, so a caller may repeat a submission. After a fault of kind Timeout the
// job may still be accepted. After any other fault it is not, and this request cannot
// cause it to be accepted later.
func (n *Node) Submit(ctx context.Context, j *cranjob.Job) error {
	if err := j.Validate(); err != nil {
		return n.refuse(j, err)
	}
	if _, known := n.lookup(j.ID); known {
		return nil
	}
	if !n.canStore() {
		return n.refuse(j, cranfault.New(cranfault.LogUnavailable, "submit the job again to another entry instance",
			"the store doesn't answer this entry instance"))
	}
	start := n.now().Steady
	j.ReceivedMs = n.now().UnixMs
	record := cranstore.Record{Key: cranjob.SubmissionKey(j.ID), Value: cranjob.Encode(*j)}
	offset, err := n.storeRecord(ctx, record)
	if err != nil {
		return n.refuse(j, err)
	}
	latency := n.now().Steady - start
	n.metrics.Accepted(latency)
	n.log.Emit(cranevent.JobAccepted, cranevent.Job(j.ID), cranevent.Queue(j.Queue), cranevent.Offset(offset), cranevent.Elapsed(latency))
	return nil
}

// canStore reports whether the store is likely to accept a record. While the replica is
// still loading, which takes seconds on a slow link, any recent answer of the store
// counts.
func (n *Node) canStore() bool {
	now := n.now().Steady
	if n.submissions.contactAt.Load() == 0 {
		at := n.answeredAt.Load()
		return at != 0 && now-time.Duration(at) <= reachableFor
	}
	return n.submissions.reachable(now)
}

// refuse logs and counts a job that is not accepted, and returns err.
func (n *Node) refuse(j *cranjob.Job, err error) error {
	n.metrics.Refused(cranfault.KindOf(err))
	n.log.Emit(cranevent.JobRefused, cranevent.Job(j.ID), cranevent.Queue(j.Queue),
		cranevent.Reason(cranfault.KindOf(err)), cranevent.Err(err))
	return err
}

// storeRecord appends a record that may be stored twice without harm.
func (n *Node) storeRecord(ctx context.Context, record cranstore.Record) (uint64, error) {
	offset, err := n.batcher.Append(ctx, record)
	switch {
	case err == nil:
		return offset, nil
	case cranstore.IsRefused(err):
		// Nothing was stored, and another entry instance may be able to store the
		// record.
		return 0, cranfault.New(cranfault.LogUnavailable, "try again at another entry instance",
			"the record was not stored: %v", err)
	}
	return 0, cranfault.New(cranfault.Timeout, "ask again; repeating the request is harmless", "%v", err)
}

// Cancel cancels a job and returns once the cancellation is stored. It reports false if
// there is no such job.
func (n *Node) Cancel(ctx context.Context, id string) (bool, error) {
	e, err := n.findJob(ctx, id)
	if err != nil || e == nil {
		return false, err
	}
	if e.cancelled || e.state.Final() {
		return true, nil
	}
	if !n.submissions.reachable(n.now().Steady) {
		return false, cranfault.New(cranfault.LogUnavailable, "cancel the job at another entry instance",
			"the store doesn't answer this entry instance")
	}
	offset, err := n.storeRecord(ctx, cranstore.Record{Key: cranjob.CancellationKey(id), Value: cranjob.CancellationMark})
	if err != nil {
		return false, err
	}
	n.metrics.Cancelled()
	n.log.Emit(cranevent.JobCancelled, cranevent.Job(id), cranevent.Offset(offset))
	return true, nil
}

// State returns the state of a job. It reports false if there is no such job.
func (n *Node) State(ctx context.Context, id string) (cranjob.State, bool, error) {
	e, err := n.findJob(ctx, id)
	if err != nil || e == nil {
		return 0, false, err
	}
	return e.state, true, nil
}

// Pending returns the number of accepted jobs in a queue of which no task has started.
func (n *Node) Pending(queue string) (int, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if now := n.now().Steady; !n.submissions.current(now) || !n.progress.current(now) {
		return 0, cranfault.New(cranfault.NotReady, "ask another entry instance", "this entry instance has not read all jobs")
	}
	return n.replica.Pending(queue), nil
}

// jobStatus is a copy of the state of a job in the replica.
type jobStatus struct {
	state     cranjob.State
	cancelled bool
}

func (n *Node) lookup(id string) (*jobStatus, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	e, found := n.replica.Lookup(id)
	if !found {
		return nil, false
	}
	return &jobStatus{state: e.State(), cancelled: e.Cancelled()}, true
}

// findJob returns the status of a job; nil if there is no such job. Before it reports
// that a job does not exist, it waits until the replica holds everything that was
// stored when the call was made.
func (n *Node) findJob(ctx context.Context, id string) (*jobStatus, error) {
	if e, found := n.lookup(id); found {
		return e, nil
	}
	end, err := n.submissionsEnd(ctx)
	if err != nil {
		return nil, err
	}
	for {
		n.mu.RLock()
		next, advanced := n.submissions.next, n.advanced
		n.mu.RUnlock()
		if e, found := n.lookup(id); found {
			return e, nil
		}
		if next >= end {
			n.log.Emit(cranevent.JobUnknown, cranevent.Job(id), cranevent.Offset(next))
			return nil, nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return nil, cranfault.New(cranfault.Timeout, "ask again", "the newest records were not read in time")
		}
	}
}

// submissionsEnd asks the store for the end of the submissions topic.
func (n *Node) submissionsEnd(ctx context.Context) (uint64, error) {
	n.mu.RLock()
	next, loaded := n.submissions.next, n.submissions.loaded
	n.mu.RUnlock()
	if !loaded {
		return 0, cranfault.New(cranfault.NotReady, "ask another entry instance", "this entry instance is still loading the jobs")
	}
	limited, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	end, err := n.submissions.topic.End(limited, next)
	if err != nil {
		return 0, cranfault.New(cranfault.LogUnavailable, "ask another entry instance",
			"the store didn't report the end of the submissions: %v", err)
	}
	return end, nil
}

// WithCallerDeadline returns a context that ends early enough for the answer to reach a
// caller who waits for the given time.
func WithCallerDeadline(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(wait-answerReserve, answerReserve))
}
