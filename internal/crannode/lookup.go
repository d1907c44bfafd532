package crannode

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// tailTimeout bounds one read of the newest submissions of a shard.
	tailTimeout = 1200 * time.Millisecond
	// tailReadBytes bounds the records of such a read.
	tailReadBytes = 64 << 10
)

// localJob is a job that this process knows to be stored.
type localJob struct {
	queue string
	// cancelled is set once this process has stored the job's cancellation.
	cancelled bool
}

// jobStatus is what is known of a job.
type jobStatus struct {
	state     cranjob.State
	cancelled bool
}

// lookup returns the status of a job from the digest and from what this process has stored.
func (n *Node) lookup(id string) (*jobStatus, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	state, found := n.digest.Job(id)
	local, stored := n.stored[id]
	if !found && !stored {
		return nil, false
	}
	status := &jobStatus{state: state, cancelled: local.cancelled}
	if local.cancelled && !state.Final() {
		status.state = cranjob.Cancelled
	}
	return status, true
}

// remember records that a job, or its cancellation, is stored.
func (n *Node) remember(id string, j localJob) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.digest.Job(id); known && !j.cancelled {
		return
	}
	j.cancelled = j.cancelled || n.stored[id].cancelled
	n.stored[id] = j
}

// isInDigest reports whether the digest shows that a record of the submissions is stored. The
// control goroutine calls it.
func (n *Node) isInDigest(key string) bool {
	id, cancellation, ok := cranjob.ParseSubmissionKey(key)
	if !ok {
		return false
	}
	state, known := n.digest.Job(id)
	return known && (!cancellation || state == cranjob.Cancelled)
}

// shardOf returns the shard of a job; nil while the layout isn't known.
func (n *Node) shardOf(id string) *shard {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.shards == nil {
		return nil
	}
	return n.shards[n.digest.Layout().OfJob(id)]
}

// findJob returns the status of a job; nil if there is no such job. Before it reports that a
// job does not exist, it reads the submissions that the owner of the shard has not published
// yet.
func (n *Node) findJob(ctx context.Context, id string) (*jobStatus, error) {
	if e, found := n.lookup(id); found {
		return e, nil
	}
	s := n.shardOf(id)
	n.mu.RLock()
	complete := n.digestComplete
	n.mu.RUnlock()
	if s == nil || !complete {
		return nil, cranfault.New(cranfault.NotReady, "ask another entry instance", "this entry instance is still loading the jobs")
	}
	found, through, err := n.searchTail(ctx, s, id)
	switch {
	case err != nil:
		return nil, err
	case found:
		n.remember(id, localJob{})
	}
	if e, found := n.lookup(id); found {
		return e, nil
	}
	n.log.Emit(cranevent.JobUnknown, cranevent.Job(id), cranevent.Offset(through))
	return nil, nil
}

// searchTail looks for the submission of a job among those that the digest doesn't have yet.
// It returns the offset up to which it has searched.
func (n *Node) searchTail(ctx context.Context, s *shard, id string) (found bool, through uint64, err error) {
	key := cranjob.SubmissionKey(id)
	through, err = n.scanTail(ctx, s, s.stripeOf(id), func(r cranstore.Record) bool {
		found = r.Key == key && len(r.Value) > 0
		return !found
	})
	return found, through, err
}

// tailJobs returns the jobs of a shard that were submitted after those in the digest.
func (n *Node) tailJobs(ctx context.Context, s *shard) ([]*cranjob.Job, error) {
	var jobs []*cranjob.Job
	for _, p := range s.stripes {
		_, err := n.scanTail(ctx, s, p, func(r cranstore.Record) bool {
			if _, cancellation, ok := cranjob.ParseSubmissionKey(r.Key); ok && !cancellation && len(r.Value) > 0 {
				if j, err := cranjob.DecodeSubmission(r.Key, r.Value); err == nil {
					jobs = append(jobs, j)
				}
			}
			return true
		})
		if err != nil {
			return nil, err
		}
	}
	return jobs, nil
}

// scanTail passes the submissions in a stripe of a shard that the digest may not have to visit, until that
// returns false or no submission is left. It returns the offset of the first unread one.
func (n *Node) scanTail(ctx context.Context, s *shard, p *stripe, visit func(cranstore.Record) bool) (uint64, error) {
	n.mu.RLock()
	from := n.digest.Through(s.number, p.number)
	n.mu.RUnlock()
	for {
		batch, err := n.readTail(ctx, p, from)
		if err != nil {
			return from, cranfault.New(cranfault.LogUnavailable, "ask another entry instance",
				"the store didn't return the newest submissions: %v", err)
		}
		for _, r := range batch.Records {
			if !visit(r) {
				return batch.Next, nil
			}
		}
		if batch.Next >= batch.End {
			return batch.Next, nil
		}
		from = batch.Next
	}
}

// readTail reads submissions in a stripe from an offset on. If those are no longer retained, it
// returns the newest record of each key.
func (n *Node) readTail(ctx context.Context, p *stripe, from uint64) (cranstore.Batch, error) {
	limited, cancel := context.WithTimeout(ctx, tailTimeout)
	defer cancel()
	batch, err := p.topic.Read(limited, from, cranstore.ReadOptions{MaxBytes: tailReadBytes})
	if !errors.Is(err, cranstore.ErrExpired) {
		return batch, err
	}
	records, end, err := cranstore.Load(ctx, p.topic)
	return cranstore.Batch{Records: records, Next: end, End: end}, err
}

// readBack returns the newest submissions in a stripe of a shard, among which are those that are stored
// although the store's response was lost.
func (n *Node) readBack(ctx context.Context, s *shard, p *stripe) []cranstore.Record {
	n.mu.RLock()
	from := n.digest.Through(s.number, p.number)
	n.mu.RUnlock()
	batch, err := n.readTail(ctx, p, from)
	if err != nil {
		return nil
	}
	return batch.Records
}
