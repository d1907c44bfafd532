package crannode

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// stripe is one of the partitions into which the submissions of a shard are divided. The store processes
// the appends to a partition one after the other, each of them up to a tenth of a second while it is slow,
// and every entry instance appends to it.
type stripe struct {
	number int
	topic  cranstore.Topic
	// batcher appends the records of callers.
	batcher *cranstore.Batcher
}

// newStripes returns the stripes of a shard by the layout.
func (n *Node) newStripes(s *shard) []*stripe {
	count := 1
	layout := n.digest.Layout()
	if layout != nil {
		count = layout.Stripes()
	}
	stripes := make([]*stripe, count)
	for i := range stripes {
		p := &stripe{number: i, topic: s.topics.Submissions}
		if i > 0 {
			p.topic = n.topics.Stripe(s.number, i, layout.Count())
		}
		p.batcher = cranstore.NewBatcher(observedTopic{p.topic, n}, n.metrics.Retried, cranstore.WithWithdrawal(maxUnanswered),
			cranstore.WithReadBack(func(ctx context.Context) []cranstore.Record { return n.readBack(ctx, s, p) }))
		stripes[i] = p
	}
	return stripes
}

// stripeOf returns the stripe in which the records of a job are stored.
func (s *shard) stripeOf(id string) *stripe {
	if len(s.stripes) == 1 {
		return s.stripes[0]
	}
	return s.stripes[s.node.digest.Layout().StripeOfJob(id)]
}

// through returns for each stripe the offset up to which all jobs are in the digest.
func (s *shard) through() []uint64 {
	through := make([]uint64, len(s.stripes))
	for i := range through {
		through[i] = s.node.digest.Through(s.number, i)
	}
	return through
}

// stripeReader is how far an owner has read a stripe. The fields are those of an ownership for one stripe.
type stripeReader struct {
	through                     uint64
	readAt, answeredAt, latency time.Duration
	loaded                      bool
}

// observeRead records a read of a stripe, and what follows for all of them: they are as current as the one
// that was read the longest ago.
func (o *ownership) observeRead(number int, u cranstore.Update) {
	r := &o.stripeReaders[number]
	r.through, r.loaded = u.Next, true
	if at, current := u.CurrentAt(); current {
		waited := min(o.shard.node.submissionsReadWait(), u.Transfer.Elapsed)
		r.readAt, r.answeredAt, r.latency = at, u.Sent+waited, u.Transfer.Elapsed-waited
		if o.scheduler == nil {
			// How long a load takes depends on what is stored, and says nothing about the reads that follow.
			r.latency = 0
		}
	}
	first := o.stripeReaders[0]
	o.through, o.submissionsReadAt, o.submissionsAnsweredAt = first.through, first.readAt, first.answeredAt
	o.submissionsLatency, o.submissionsLoaded = first.latency, first.loaded
	for _, other := range o.stripeReaders[1:] {
		o.submissionsReadAt = min(o.submissionsReadAt, other.readAt)
		o.submissionsAnsweredAt = min(o.submissionsAnsweredAt, other.answeredAt)
		o.submissionsLatency = max(o.submissionsLatency, other.latency)
		o.submissionsLoaded = o.submissionsLoaded && other.loaded
	}
}

// stripesRecord returns the record of how far this owner has published the submissions, to be stored with
// a renewal; none if they are in one partition, as the renewal says it then.
func (o *ownership) stripesRecord(r crandigest.Renewal) []cranstore.Record {
	if len(o.stripeReaders) == 1 {
		return nil
	}
	through := o.shard.through()
	if o.scheduler != nil {
		for i := range o.stripeReaders {
			through[i] = o.stripeReaders[i].through
		}
	}
	return []cranstore.Record{crandigest.Stripes{Epoch: r.Epoch, Number: r.Number, Through: through}.Record(o.shard.number)}
}

// probeStripes reads each stripe from an offset on, to find out whether the store answers.
func (s *shard) probeStripes(ctx context.Context, from []uint64) error {
	for i, p := range s.stripes {
		_, err := p.topic.Read(ctx, from[i], cranstore.ReadOptions{MaxBytes: 1})
		if err != nil && !errors.Is(err, cranstore.ErrExpired) {
			return err
		}
	}
	return nil
}
