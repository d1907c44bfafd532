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
	// answerReserve is the part of the time until a caller's deadline that is reserved
	// for sending the answer.
	answerReserve = 150 * time.Millisecond
	// maxDigestAge bounds the age of the reported number of pending jobs: 2 s as defined by
	// the platform's protocol, plus the wait of the read.
	maxDigestAge = 2*time.Second + replicaReadWait
	// maxPublishedAge is how long the owner of a shard may not have written to the digest
	// until its submissions are read to find the pending jobs.
	maxPublishedAge = 2 * time.Second
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
	if !n.storeAnswers() {
		return n.refuse(j, cranfault.New(cranfault.LogUnavailable, "submit the job again to another entry instance",
			"the store doesn't answer this entry instance"))
	}
	s := n.shardOf(j.ID)
	if s == nil {
		return n.refuse(j, cranfault.New(cranfault.NotReady, "submit the job again to another entry instance", "the shards are not known here yet"))
	}
	if err := n.admit(j, s); err != nil {
		return n.refuse(j, err)
	}
	start := n.now().Steady
	j.ReceivedMs = n.now().UnixMs
	record := cranstore.Record{Key: cranjob.SubmissionKey(j.ID), Value: cranjob.Encode(*j)}
	offset, err := s.storeRecord(ctx, j.ID, record)
	if err != nil {
		return n.refuse(j, err)
	}
	n.remember(j.ID, localJob{queue: j.Queue})
	latency := n.now().Steady - start
	n.metrics.Accepted(latency)
	n.log.Emit(cranevent.JobAccepted, cranevent.Job(j.ID), cranevent.Queue(j.Queue), cranevent.Tenant(j.Tenant), cranevent.Offset(offset), cranevent.Elapsed(latency))
	return nil
}

// refuse logs and counts a job that is not accepted, and returns err.
func (n *Node) refuse(j *cranjob.Job, err error) error {
	n.metrics.Refused(cranfault.KindOf(err))
	n.log.Emit(cranevent.JobRefused, cranevent.Job(j.ID), cranevent.Queue(j.Queue), cranevent.Tenant(j.Tenant),
		cranevent.Reason(cranfault.KindOf(err)), cranevent.Err(err))
	return err
}

// storeRecord appends a record of a job that may be stored twice without harm.
func (s *shard) storeRecord(ctx context.Context, id string, record cranstore.Record) (uint64, error) {
	offset, err := s.stripeOf(id).batcher.Append(ctx, record)
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
	s := n.shardOf(id)
	if s == nil || !n.storeAnswers() {
		return false, cranfault.New(cranfault.LogUnavailable, "cancel the job at another entry instance",
			"the store doesn't answer this entry instance")
	}
	offset, err := s.storeRecord(ctx, id, cranstore.Record{Key: cranjob.CancellationKey(id), Value: cranjob.CancellationMark})
	if err != nil {
		return false, err
	}
	n.remember(id, localJob{cancelled: true})
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
	if !e.state.Final() {
		if state, ended := n.fallbackState(ctx, id); ended {
			return state, true, nil
		}
	}
	return e.state, true, nil
}

// Pending returns the number of accepted jobs in a queue of which no task has started.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	count, unpublished, err := n.publishedPending(queue)
	if err != nil {
		return 0, err
	}
	for _, s := range unpublished {
		jobs, err := n.tailJobs(ctx, s)
		if err != nil {
			return 0, err
		}
		for _, j := range jobs {
			if _, known := n.lookup(j.ID); !known && j.Queue == queue {
				count++
			}
		}
	}
	return count, nil
}

// publishedPending returns the number of pending jobs that are known here, and the shards of
// which the owner hasn't published any lately.
func (n *Node) publishedPending(queue string) (int, []*shard, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.now().Steady
	if n.shards == nil || !n.digestComplete || now-n.digestCurrentAt > maxDigestAge {
		return 0, nil, cranfault.New(cranfault.NotReady, "ask another entry instance", "this entry instance has not read all jobs")
	}
	var unpublished []*shard
	for _, s := range n.shards {
		if s.renewedAt == 0 || now-s.renewedAt > maxPublishedAge {
			unpublished = append(unpublished, s)
		}
	}
	count := n.digest.Pending(queue)
	for id, j := range n.stored {
		if _, known := n.digest.Job(id); !known && j.queue == queue && !j.cancelled {
			count++
		}
	}
	return count, unpublished, nil
}

// WithCallerDeadline returns a context that ends early enough for the answer to reach a
// caller who waits for the given time.
func WithCallerDeadline(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, max(wait-answerReserve, answerReserve))
}
