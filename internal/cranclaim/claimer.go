package cranclaim

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Claimer claims the keys of one shard. It reads the shard's stream and applies
// it to an index.
type Claimer struct {
	log      cranplatform.Log
	stream   string
	settings settings
	writer   *cranlog.Writer
	cancel   context.CancelFunc
	// done is closed when the claimer's goroutines have ended.
	done chan struct{}
	// deferredAdded signals runDeferred that records were added to deferred.
	deferredAdded chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	index  *Index
	tailer *cranlog.Tailer
	// initialEnd is the end of the stream when the tailer was started. No claim
	// is made before the stream has been read up to it.
	initialEnd uint64
	// attempts is the number of claims submitted so far, and the number of the
	// last one.
	attempts uint64
	// pending holds the claims that were not read back yet, by attempt. It
	// includes those whose caller has given up.
	pending map[uint64]*attempt
	// deferred holds the records that did not fit into the writer's queue.
	deferred []record
	closed   bool
}

// attempt is a claim that was not read back yet.
type attempt struct {
	key         Key
	fingerprint uint64
	// start is the time at which the claim was made, before its append.
	start time.Time
	// decision receives the decision; its buffer holds one.
	decision chan Decision
	// abandoned is set when the caller no longer waits for the decision. A
	// grant that arrives later is released.
	abandoned bool
}

// NewClaimer starts the claimer of one stream. The incarnation is that of the
// process; no later process may use it for the stream again. Close releases the
// claimer's resources.
func NewClaimer(log cranplatform.Log, stream, incarnation string, options ...Option) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	configured := newSettings(options)
	c := &Claimer{
		log:           log,
		stream:        stream,
		settings:      configured,
		writer:        cranlog.NewWriter(log, stream, incarnation, configured.logOptions...),
		cancel:        cancel,
		done:          make(chan struct{}),
		deferredAdded: make(chan struct{}, 1),
		pending:       map[uint64]*attempt{},
	}
	go c.run(ctx)
	return c
}

// Claim claims a key and waits until the claim was read back. The fingerprint
// is a hash of the request's content. A returned grant is usable at the time of
// return.
//
// Claim returns a ClaimedError if the key is held, and otherwise a fault of
// kind cranfault.LogUnavailable, NotReady, QueueFull or Cancelled. After such a
// fault the claim is never used: the request was not run, and a late grant of
// the claim is released.
func (c *Claimer) Claim(ctx context.Context, key Key, fingerprint uint64) (*Grant, error) {
	a := &attempt{key: key, fingerprint: fingerprint, start: time.Now(), decision: make(chan Decision, 1)}
	err := c.submitClaim(a)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(c.settings.grantTimeout)
	defer timer.Stop()
	select {
	case d := <-a.decision:
		return c.resolve(a, d)
	case <-ctx.Done():
		return c.abandon(a, c.cancelledRefusal(key))
	case <-timer.C:
		return c.abandon(a, c.timeoutRefusal(key))
	case <-c.done:
		return c.abandon(a, c.closedRefusal())
	}
}

// Release records that the claimer has not run the request and never will, so
// that the key can be claimed again. It returns at once; the record is appended
// as soon as the log accepts it. Release has no effect on a grant that was
// released or reported before.
func (c *Claimer) Release(g *Grant) { c.endGrant(g, kindRelease) }

// ReportRan records that the request ran, for later claims and lookups of the
// key. It returns at once, and the record may be lost if the process ends.
func (c *Claimer) ReportRan(g *Grant) { c.endGrant(g, kindRan) }

// Lookup returns the claim that holds a key, as far as the stream was read.
func (c *Claimer) Lookup(key Key) (Holder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return Holder{}, false
	}
	return c.index.Lookup(key, c.platformMs())
}

// Ready returns nil if claims can be made, and otherwise a fault of kind
// cranfault.NotReady, LogUnavailable or Cancelled with the reason.
func (c *Claimer) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.checkReady()
	return err
}

// Len returns the number of keys held in memory.
func (c *Claimer) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index == nil {
		return 0
	}
	return c.index.Len()
}

// Flush waits until the log holds every record of the claimer, so that no
// release is lost when the process ends. It returns a fault of kind
// cranfault.Timeout if ctx ends before all deferred records were submitted, and
// otherwise the errors of cranlog.Writer.Flush.
func (c *Claimer) Flush(ctx context.Context) error {
	for !c.submitDeferred() {
		err := c.pauseDeferred(ctx)
		if err != nil {
			return cranfault.New(cranfault.Timeout, "allow more time, or accept that the keys stay held",
				"stream %s has records that the log has not accepted", c.stream)
		}
	}
	return c.writer.Flush(ctx)
}

// Close stops the claimer and waits for its goroutines. Records that the log
// has not accepted are lost; keys whose release is lost stay held for the
// window.
func (c *Claimer) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	<-c.done
	return c.writer.Close()
}

// submitClaim checks whether the key can be claimed and submits the claim.
func (c *Claimer) submitClaim(a *attempt) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason, err := c.checkReady()
	if err != nil {
		c.settings.count(reason)
		return err
	}
	nowMs := c.platformMs()
	h, held := c.index.Lookup(a.key, nowMs)
	if held {
		return c.refuseClaimed(a, h)
	}
	if c.index.Len() >= c.settings.maxKeys {
		return c.refuse(c.indexFullRefusal())
	}
	number := c.attempts + 1
	r := record{Kind: kindClaim, Key: a.key, Attempt: number, Fingerprint: a.fingerprint, SentMs: nowMs}
	err = c.submit(r)
	if err != nil {
		c.settings.count(ReasonQueueFull)
		return err
	}
	c.attempts = number
	c.pending[number] = a
	return nil
}

// resolve turns the decision on a claim into the result of Claim. A grant
// that arrives too late to be used is released.
func (c *Claimer) resolve(a *attempt, d Decision) (*Grant, error) {
	switch d.verdict {
	case VerdictGranted:
		g := newGrant(a.key, d.attempt, d.holder.offset, a.start, c.settings.grantTimeout)
		if g.Usable(time.Now()) {
			return g, nil
		}
		c.Release(g)
		return nil, c.refuse(c.timeoutRefusal(a.key))
	case VerdictLost:
		return nil, c.refuseClaimed(a, d.holder)
	}
	return nil, c.refuse(c.undecidedRefusal(a.key, d.verdict))
}

// abandon stops waiting for a claim, unless its decision has arrived.
func (c *Claimer) abandon(a *attempt, r refusal) (*Grant, error) {
	c.mu.Lock()
	a.abandoned = true
	c.mu.Unlock()
	select {
	case d := <-a.decision:
		return c.resolve(a, d)
	default:
		return nil, c.refuse(r)
	}
}

// endGrant ends a grant and submits the record of the kind. It has no effect on
// a grant that has ended before.
func (c *Claimer) endGrant(g *Grant, kind recordKind) {
	if g.ended.Swap(true) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitOrDefer(record{Kind: kind, Key: g.key, Attempt: g.attempt})
}
