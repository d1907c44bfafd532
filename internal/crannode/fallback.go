package crannode

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// The digest is one partition of the store. While it is away and the partition of a shard's progress isn't, the owner
// stores its fallback record there. It holds the shard by it, since a successor fences the progress before it loads
// it, and every entry instance reads from it which jobs have ended.

const (
	// fallbackStream is the name of the fallback records in metrics.
	fallbackStream = "fallback"
	// fallbackAfter is how long an append to the digest must be unanswered until the owner stores a fallback
	// record. While the store is slow, an append takes up to half a second.
	fallbackAfter = 600 * time.Millisecond
	// fallbackInterval is the least time between two fallback records.
	fallbackInterval = 100 * time.Millisecond
	// maxFallbackEnds bounds the jobs of a record, which then has at most 20 KiB. The newest are kept.
	maxFallbackEnds = 1000
	// maxFallbackAge is how long an entry instance answers from a record that it has read.
	maxFallbackAge = 200 * time.Millisecond
	// fallbackReadTimeout bounds a read of the record. A caller who asks for a job waits for it.
	fallbackReadTimeout = 300 * time.Millisecond
	// fallbackRetryPause is how long no record of the shard is requested after a read that has failed.
	fallbackRetryPause = time.Second
)

// fallbackWriter is what an owner has stored in its fallback record.
type fallbackWriter struct {
	// stored is true while the topic has a fallback record, of this owner or of an earlier one.
	stored bool
	// count is the number of ends in the newest record since the digest has answered.
	count int
	// sentAt is when this owner decided on the newest record; 0 if that is of an earlier owner.
	sentAt time.Duration
}

// fallbackRecords returns the fallback record, if the digest doesn't answer and a record is due, or its deletion, once the
// digest has answered again.
func (o *ownership) fallbackRecords(now time.Duration) []cranstore.Record {
	w := &o.fallback
	switch {
	case o.releasing() || o.scheduler == nil:
	case w.stored && w.sentAt == 0 && now < o.predecessor.StoppedBy:
		// The record of an earlier owner tells the next one to wait for that, also if this one ends before.
	case o.digest.age(now) >= fallbackAfter:
		return o.nextFallback(now)
	case w.stored && o.confirmedAt.Load() > o.extendedAt.Load() && now >= o.predecessor.StoppedBy:
		// From here on the digest alone confirms the ownership, so a successor that finds no record is right to
		// count from the digest.
		o.extendedAt.Store(0)
		*w = fallbackWriter{}
		return []cranstore.Record{{Key: cranjob.KeyFallback}}
	}
	return nil
}

// nextFallback returns the next fallback record, if jobs have ended since the newest one or the claim is to be renewed.
func (o *ownership) nextFallback(now time.Duration) []cranstore.Record {
	w := &o.fallback
	ended := o.unpublishedEnds()
	if due := len(ended) > w.count && now-w.sentAt >= fallbackInterval || now-w.sentAt >= claimInterval; !due {
		return nil
	}
	if o.extendedAt.Load() == 0 {
		o.shard.node.log.Emit(cranevent.FallbackStored, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch),
			cranevent.Count(len(ended)), cranevent.Age(o.digest.age(now)))
	}
	*w = fallbackWriter{stored: true, count: len(ended), sentAt: now}
	f := cranjob.Fallback{Epoch: o.epoch, Ended: ended[max(len(ended)-maxFallbackEnds, 0):]}
	return []cranstore.Record{{Key: cranjob.KeyFallback, Value: cranjob.Encode(f)}}
}

// unpublishedEnds returns the final states that are stored with the progress and not in the digest.
func (o *ownership) unpublishedEnds() []cranjob.EndedJob {
	var ended []cranjob.EndedJob
	for _, states := range [][]crandigest.JobState{o.publishing, o.states} {
		for _, j := range states {
			if j.State.Final() {
				ended = append(ended, cranjob.EndedJob{ID: j.ID, State: j.State})
			}
		}
	}
	return ended
}

// heldAt returns the time at which this process last held the shard for certain. Successors expect it to send orders to
// targets for OwnershipTimeout from then on, and no longer.
func (o *ownership) heldAt() time.Duration {
	return time.Duration(max(o.confirmedAt.Load(), o.extendedAt.Load()))
}

// observeFallback takes into account that earlier owners may have held the shard by a fallback record until the progress
// was fenced, which happened before fencedAt.
func (o *ownership) observeFallback(records []cranstore.Record, fencedAt time.Duration) {
	s := o.shard
	for _, r := range records {
		if r.Key != cranjob.KeyFallback || len(r.Value) == 0 {
			continue
		}
		o.fallback.stored = true
		f, err := cranjob.DecodeFallback(r.Value)
		if err != nil {
			s.node.skipMalformed("progress", r, err)
		}
		predecessor, known := s.predecessorOf(s.claim())
		if ended := predecessor.Released || s.isFromEarlierProcess(predecessor); err == nil && known && ended && f.Epoch == predecessor.Epoch {
			continue
		}
		o.predecessor.StoppedBy = max(o.predecessor.StoppedBy, fencedAt+cransched.OwnershipTimeout)
	}
}

// fallbackReader holds the ends in the newest fallback record of a shard that this process has read. It is safe for
// concurrent use.
type fallbackReader struct {
	reads singleflight.Group
	mu    sync.Mutex
	// states holds the final states by job. No read begins before currentUntil.
	states       map[string]cranjob.State
	currentUntil time.Duration
}

// fallbackState returns the final state of a job that the owner of its shard has stored but couldn't publish, and
// whether there is one. It reads the record only while the digest doesn't answer.
func (n *Node) fallbackState(ctx context.Context, id string) (cranjob.State, bool) {
	s := n.shardOf(id)
	if s == nil {
		return 0, false
	}
	r := &s.fallback
	if state, ended, current := r.lookup(id, n.now().Steady); current || !n.digestUnavailable.Load() {
		return state, ended
	}
	_, _, _ = r.reads.Do(s.name, func() (any, error) {
		// The result is for all who ask meanwhile, so it must not end with the first of them.
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), fallbackReadTimeout)
		defer cancel()
		f, err := s.readFallback(limited)
		n.metrics.ReadTopic(fallbackStream, err != nil, 0, 0, 0)
		r.store(f, err, n.now().Steady)
		return nil, nil
	})
	state, ended, _ := r.lookup(id, n.now().Steady)
	return state, ended
}

// readFallback reads the fallback record of the shard; it is zero if there is none.
func (s *shard) readFallback(ctx context.Context) (cranjob.Fallback, error) {
	page, err := s.topics.Progress.Newest(ctx, cranjob.FallbackPageStart, nil)
	if err != nil {
		return cranjob.Fallback{}, err
	}
	for _, r := range page.Records {
		if r.Key == cranjob.KeyFallback && len(r.Value) > 0 {
			return cranjob.DecodeFallback(r.Value)
		}
	}
	return cranjob.Fallback{}, nil
}

// lookup returns the final state of a job, whether there is one, and whether no read is needed.
func (r *fallbackReader) lookup(id string, now time.Duration) (state cranjob.State, ended, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ended = r.states[id]
	// A final state never changes.
	return state, ended, ended || now < r.currentUntil
}

// store keeps the result of a read. After one that has failed, what was read before still holds.
func (r *fallbackReader) store(f cranjob.Fallback, err error, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.currentUntil = now + fallbackRetryPause
		return
	}
	r.currentUntil = now + maxFallbackAge
	r.states = make(map[string]cranjob.State, len(f.Ended))
	for _, e := range f.Ended {
		r.states[e.ID] = e.State
	}
}
