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
	// endTry bounds one call that asks where the submissions end.
	endTry = 1200 * time.Millisecond
	// answerReserve is kept of a caller's time for the answer to travel.
	answerReserve = 150 * time.Millisecond
)

// Submit accepts a job, and returns once it is stored. A fault of the kind
// Timeout means that it may still be accepted; with any other fault the job
// is not accepted and never will be by this request.
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
	began := n.now().Steady
	j.ReceivedMs = n.now().UnixMs
	record := cranstore.Record{Key: cranjob.SubmissionKey(j.ID), Value: cranjob.Encode(*j)}
	offset, err := n.store(ctx, record)
	if err != nil {
		return n.refuse(j, err)
	}
	took := n.now().Steady - began
	n.metrics.Accepted(took)
	n.log.Emit(cranevent.JobAccepted, cranevent.Job(j.ID), cranevent.Queue(j.Queue), cranevent.Offset(offset), cranevent.Elapsed(took))
	return nil
}

// canStore reports whether a record can probably be stored. While the book is
// still being read, which takes a narrow link seconds, any answer of the store
// tells that.
func (n *Node) canStore() bool {
	now := n.now().Steady
	if n.submissions.contactAt.Load() == 0 {
		at := n.answeredAt.Load()
		return at != 0 && now-time.Duration(at) <= reachableBound
	}
	return n.submissions.reachable(now)
}

// refuse logs why a job was not accepted.
func (n *Node) refuse(j *cranjob.Job, err error) error {
	n.metrics.Refused(cranfault.KindOf(err))
	n.log.Emit(cranevent.JobRefused, cranevent.Job(j.ID), cranevent.Queue(j.Queue),
		cranevent.Reason(cranfault.KindOf(err)), cranevent.Err(err))
	return err
}

// store appends a record that may be stored twice without harm.
func (n *Node) store(ctx context.Context, record cranstore.Record) (uint64, error) {
	offset, err := n.batcher.Append(ctx, record)
	switch {
	case err == nil:
		return offset, nil
	case cranstore.IsRefused(err):
		// Nothing was stored: another entry instance may do better.
		return 0, cranfault.New(cranfault.LogUnavailable, "try again at another entry instance",
			"the record was not stored: %v", err)
	}
	return 0, cranfault.New(cranfault.Timeout, "ask again; repeating the request is harmless", "%v", err)
}

// Cancel cancels a job, and returns once that is stored. It reports false if
// there is no such job.
func (n *Node) Cancel(ctx context.Context, id string) (bool, error) {
	e, err := n.find(ctx, id)
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
	offset, err := n.store(ctx, cranstore.Record{Key: cranjob.CancellationKey(id), Value: cranjob.CancellationMark})
	if err != nil {
		return false, err
	}
	n.metrics.Cancelled()
	n.log.Emit(cranevent.JobCancelled, cranevent.Job(id), cranevent.Offset(offset))
	return true, nil
}

// State returns the state of a job. It reports false if there is no such job.
func (n *Node) State(ctx context.Context, id string) (cranjob.State, bool, error) {
	e, err := n.find(ctx, id)
	if err != nil || e == nil {
		return 0, false, err
	}
	return e.state, true, nil
}

// Pending counts the accepted jobs of a queue of which nothing has started.
func (n *Node) Pending(queue string) (int, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if now := n.now().Steady; !n.submissions.current(now) || !n.progress.current(now) {
		return 0, cranfault.New(cranfault.NotReady, "ask another entry instance", "the jobs aren't known here at the moment")
	}
	return n.book.Pending(queue), nil
}

// known is what is told of a job.
type known struct {
	state     cranjob.State
	cancelled bool
}

func (n *Node) lookup(id string) (*known, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	e, found := n.book.Lookup(id)
	if !found {
		return nil, false
	}
	return &known{state: e.State(), cancelled: e.Cancelled()}, true
}

// find returns what is known of a job; nil if there is none. Before it says
// so it makes sure that the book holds all that the store had acknowledged
// when it was asked.
func (n *Node) find(ctx context.Context, id string) (*known, error) {
	if e, found := n.lookup(id); found {
		return e, nil
	}
	end, err := n.end(ctx)
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

// end asks the store where the records end.
func (n *Node) end(ctx context.Context) (uint64, error) {
	n.mu.RLock()
	next, loaded := n.submissions.next, n.submissions.loaded
	n.mu.RUnlock()
	if !loaded {
		return 0, cranfault.New(cranfault.NotReady, "ask another entry instance", "the jobs aren't known here yet")
	}
	limited, cancel := context.WithTimeout(ctx, endTry)
	defer cancel()
	end, err := n.submissions.topic.End(limited, next)
	if err != nil {
		return 0, cranfault.New(cranfault.LogUnavailable, "ask another entry instance",
			"the store doesn't say whether the job exists: %v", err)
	}
	return end, nil
}

// WithCallerDeadline bounds a caller's request by the time that the caller waits.
func WithCallerDeadline(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(wait-answerReserve, answerReserve))
}
