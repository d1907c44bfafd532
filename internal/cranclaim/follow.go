package cranclaim

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Timeout and backoff of the search for the start of a stream, and the interval
// at which deferred records are submitted again.
const (
	startBackoffBase      = 50 * time.Millisecond
	startBackoffCap       = 2 * time.Second
	startTimeout          = 2 * time.Second
	deferredRetryInterval = 100 * time.Millisecond
)

// run reads the stream from its oldest record on until the claimer is closed.
// It starts over if records expire before they are read.
func (c *Claimer) run(ctx context.Context) {
	defer close(c.done)
	deferredDone := make(chan struct{})
	go func() {
		defer close(deferredDone)
		c.runDeferred(ctx)
	}()
	pauses := cranlog.NewBackoff(startBackoffBase, startBackoffCap, c.settings.random)
	failures := 0
	for ctx.Err() == nil {
		start, err := c.findStreamStart(ctx)
		if err != nil {
			failures++
			_ = pauses.Wait(ctx, failures)
			continue
		}
		failures = 0
		c.tail(ctx, start)
	}
	<-deferredDone
}

// streamStart describes where the claimer starts to read a stream.
type streamStart struct {
	// oldest is the offset of the oldest record that the log keeps.
	oldest uint64
	// end is the offset up to which the claimer must read before it claims.
	end uint64
	// unreadUntilMs is the timestamp up to which records may have expired.
	unreadUntilMs int64
}

// findStreamStart asks the log where the stream begins. The timestamps of
// expired records are at most that of the oldest record kept, or the time of
// the answer if the log keeps none.
func (c *Claimer) findStreamStart(ctx context.Context) (streamStart, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	b, err := cranlog.ReadBounds(ctx, c.log, c.stream)
	if err != nil {
		return streamStart{}, err
	}
	start := streamStart{oldest: b.Oldest(), end: b.Next(), unreadUntilMs: b.TimeMs()}
	if start.oldest == 0 || start.oldest == start.end {
		return start, nil
	}
	batch, err := c.log.Read(ctx, c.stream, start.oldest, 1, 0)
	if err != nil {
		return streamStart{}, err
	}
	if len(batch.Records) > 0 {
		start.unreadUntilMs = batch.Records[0].TimeMs
	}
	return start, nil
}

// tail builds the index from the oldest record kept and updates it until the
// claimer is closed or the next record has expired.
func (c *Claimer) tail(ctx context.Context, start streamStart) {
	c.mu.Lock()
	c.index = c.newIndex(start)
	c.initialEnd = start.end
	c.writer.ObserveSkip(start.oldest)
	c.releasePending()
	c.tailer = cranlog.NewTailer(c.log, c.stream, start.oldest, c.apply, c.settings.logOptions...)
	tailer := c.tailer
	c.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-tailer.Done():
	}
	_ = tailer.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tailer = nil
}

// newIndex returns an empty index. It is a partial one if the oldest records of
// the stream may have expired.
func (c *Claimer) newIndex(start streamStart) *Index {
	if start.oldest == 0 {
		return NewIndex(c.settings.window, c.settings.maxAppendDelay)
	}
	return NewPartialIndex(c.settings.window, c.settings.maxAppendDelay, start.unreadUntilMs)
}

// releasePending abandons the pending claims, whose records may have expired
// unread, and releases them in case they were granted.
func (c *Claimer) releasePending() {
	for number, a := range c.pending {
		delete(c.pending, number)
		c.submitOrDefer(record{Kind: kindRelease, Key: a.key, Attempt: number})
		if !a.abandoned {
			a.decision <- Decision{verdict: VerdictUncertain, key: a.key, attempt: number}
		}
	}
}

// apply applies the next record of the stream to the index.
func (c *Claimer) apply(entry cranlog.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.index.Apply(entry)
	if entry.Writer() == c.writer.Incarnation() {
		c.resolvePending(d)
	}
	c.writer.Observe(entry)
}

// resolvePending passes the decision on one of this claimer's claims to the
// waiting caller. It releases a grant that no caller waits for, and a claim
// that may have been granted.
func (c *Claimer) resolvePending(d Decision) {
	a, waiting := c.pending[d.attempt]
	if !waiting || d.verdict == VerdictIgnored {
		return
	}
	delete(c.pending, d.attempt)
	unused := a.abandoned && d.verdict == VerdictGranted
	if unused || d.verdict == VerdictUncertain {
		c.submitOrDefer(record{Kind: kindRelease, Key: d.key, Attempt: d.attempt})
	}
	a.decision <- d
}

// platformMs returns the latest platform time known from a record or an answer
// of the log.
func (c *Claimer) platformMs() int64 {
	nowMs := c.index.NowMs()
	if c.tailer != nil {
		nowMs = max(nowMs, c.tailer.Position().PlatformMs())
	}
	return nowMs
}

// submit encodes a record and passes it to the writer.
func (c *Claimer) submit(r record) error {
	body, err := cranlog.EncodeBody(r)
	if err != nil {
		return err
	}
	_, err = c.writer.Submit(context.Background(), body)
	return err
}

// submitOrDefer submits a record, or leaves it to runDeferred if the writer's
// queue is full. The caller holds mu.
func (c *Claimer) submitOrDefer(r record) {
	if len(c.deferred) == 0 && c.submit(r) == nil {
		return
	}
	c.deferred = append(c.deferred, r)
	select {
	case c.deferredAdded <- struct{}{}:
	default:
	}
}

// runDeferred submits the deferred records when the writer's queue has room.
func (c *Claimer) runDeferred(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.deferredAdded:
		}
		for !c.submitDeferred() && ctx.Err() == nil {
			_ = c.pauseDeferred(ctx)
		}
	}
}

// submitDeferred submits as many deferred records as the writer's queue has
// room for, and reports whether none is left.
func (c *Claimer) submitDeferred() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.deferred) > 0 {
		if c.submit(c.deferred[0]) != nil {
			return false
		}
		c.deferred = c.deferred[1:]
	}
	return true
}

// pauseDeferred waits for the interval between attempts to submit deferred
// records.
func (c *Claimer) pauseDeferred(ctx context.Context) error {
	return cranlog.NewBackoff(deferredRetryInterval, deferredRetryInterval,
		c.settings.random).Wait(ctx, 1)
}
