package crannode

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// maxUnanswered is how long an append may be unanswered until the records that wait behind it are
	// refused, and how long the store must not have answered any call until submissions are refused
	// before they are queued. An append that follows one which takes this long is answered within
	// 2.4 s, and so within the 2.85 s that a caller's deadline of 3 s leaves; a caller who is refused
	// has 1.8 s for another entry instance.
	maxUnanswered = 1200 * time.Millisecond
	// minFailedCalls is the number of calls without an answer in between that must have failed until
	// submissions are refused. A single response may be lost on the way.
	minFailedCalls = 2
)

// storeContact tells whether the store answers the reads and appends of a process. It is safe for
// concurrent use.
type storeContact struct {
	// answeredAt is when the newest answer arrived, and failed counts the calls that have failed since.
	answeredAt atomic.Int64
	failed     atomic.Int32
}

// observe records the outcome of a read or an append. A refusal is an answer, and a call that its
// sender has cancelled says nothing.
func (c *storeContact) observe(err error, now time.Duration) {
	switch {
	case err == nil, cranstore.IsRefused(err):
		c.answeredAt.Store(int64(now))
		c.failed.Store(0)
	case !errors.Is(err, context.Canceled):
		c.failed.Add(1)
	}
}

// lost reports whether the newest calls have all failed, for maxUnanswered at least.
func (c *storeContact) lost(now time.Duration) bool {
	return c.failed.Load() >= minFailedCalls && now-time.Duration(c.answeredAt.Load()) >= maxUnanswered
}

// storeAnswers reports whether the store has answered a read recently, and not failed to answer
// every call since.
func (n *Node) storeAnswers() bool { return n.storeReachable() && !n.contact.lost(n.now().Steady) }

// observedTopic is a topic whose appends tell whether the store answers.
type observedTopic struct {
	cranstore.Topic
	node *Node
}

// Append adds all of the records or none and returns the offset of the first. It counts as failed once
// it has been unanswered for maxUnanswered, since an attempt may take longer than callers wait.
func (t observedTopic) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	overdue := time.AfterFunc(maxUnanswered, func() {
		t.node.contact.observe(cranstore.ErrUnanswered, t.node.now().Steady)
	})
	first, err := t.Topic.Append(ctx, records, o)
	overdue.Stop()
	t.node.contact.observe(err, t.node.now().Steady)
	return first, err
}
