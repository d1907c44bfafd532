package crannode

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// observeClaim handles the newest claim read from the log. A process becomes the owner
// only after it has read its own claim back, because its replica then holds every record
// that earlier owners stored. Earlier owners may also have acted on submissions, which are
// in another topic; the takeover waits for these separately.
func (c *control) observeClaim(now cransched.Clock) {
	claim := c.node.replica.Claim()
	c.claimReadAt = now.Steady
	isOwn := claim.Incarnation == c.node.incarnation && claim.Epoch == c.claimedEpoch && !claim.Released
	if c.owner != nil && claim.Epoch > c.owner.epoch {
		c.stopScheduling("another entry instance has claimed")
	}
	if claim.Renewal == 0 {
		c.node.log.Emit(cranevent.SchedulerChanged, cranevent.Member(claim.Node), cranevent.Epoch(claim.Epoch))
	}
	if c.pendingTakeover != nil && claim.Epoch > c.pendingTakeover.claim.Epoch {
		c.pendingTakeover = nil
	}
	if isOwn && c.owner == nil && !c.node.stopping.Load() && claim.Renewal == 0 {
		c.beginTakeover(claim, now)
	}
}

// claimIfUnowned appends a claim when no entry instance owns the scheduling.
func (c *control) claimIfUnowned(now time.Duration) {
	n := c.node
	if c.claiming || c.pendingTakeover != nil || n.stopping.Load() || !n.loaded() || c.config == nil || !c.targetsKnown ||
		now < c.nextClaimAt || now-c.progressReadAt > maxReadGap {
		return
	}
	if c.eligibleSince == 0 {
		c.eligibleSince = now
	}
	claim := n.replica.Claim()
	// A process that is short of processor time reads late. The time without a claim
	// therefore counts only up to readThrough, before which no claim can be unread.
	unrenewedFor := c.readThrough - max(c.claimReadAt, c.readingSince, c.eligibleSince)
	latency := max(c.readLatency, time.Duration(claim.AppendMs)*time.Millisecond)
	timeout := claimTimeout + claimLatencyFactor*latency + c.claimJitter()
	switch {
	case c.isFromEarlierProcess(claim):
		// An entry instance runs one process at a time, so the earlier one has ended.
		unrenewedFor, timeout = 0, 0
	case claim.Epoch == 0 || claim.Released:
		unrenewedFor, timeout = now-max(c.claimReadAt, c.eligibleSince), c.claimJitter()
	}
	if unrenewedFor < timeout {
		return
	}
	c.claiming = true
	c.claimSentAt = now
	// All claims of one epoch carry the same sequence number, so the store accepts only
	// the first of them.
	c.claimedEpoch = max(claim.Epoch, c.fencedEpoch) + 1
	record := cranstore.Record{Key: cranjob.KeyClaim, Value: cranjob.Encode(cranjob.Claim{
		Epoch: c.claimedEpoch, Node: n.name, Incarnation: n.incarnation,
	})}
	o := cranstore.AppendOptions{Producer: producer, Epoch: c.claimedEpoch}
	n.log.Emit(cranevent.SchedulerClaiming, cranevent.Epoch(c.claimedEpoch), cranevent.Elapsed(unrenewedFor))
	go func() {
		ctx, cancel := context.WithTimeout(c.runCtx, appendTimeout)
		defer cancel()
		_, err := n.progress.topic.Append(ctx, []cranstore.Record{record}, o)
		n.post(c.runCtx, func() { c.claimCompleted(err) })
	}()
}

// isFromEarlierProcess reports whether a claim was made by an earlier process of this
// entry instance. An entry instance runs one process at a time.
func (c *control) isFromEarlierProcess(claim cranjob.Claim) bool {
	return claim.Node == c.node.name && claim.Incarnation != c.node.incarnation
}

// claimJitter returns a delay below maxClaimJitter, derived from the incarnation. It is
// longer by lowCPUDelay for a process with less than minCPUCores, so that other entry
// instances claim first.
func (c *control) claimJitter() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.node.incarnation))
	jitter := time.Duration(h.Sum32()) % maxClaimJitter
	if c.node.cpuCores > 0 && c.node.cpuCores < minCPUCores {
		jitter += lowCPUDelay
	}
	return jitter
}

// claimCompleted handles the result of appending a claim. A claim that was stored takes
// effect only when it is read back from the log.
func (c *control) claimCompleted(err error) {
	c.claiming = false
	c.nextClaimAt = c.node.now().Steady + claimRetryPause
	var fenced *cranstore.FencedError
	if errors.As(err, &fenced) {
		c.fencedEpoch = max(c.fencedEpoch, fenced.Epoch)
	}
	if err != nil {
		c.node.log.Emit(cranevent.SchedulerRefused, cranevent.Epoch(c.claimedEpoch), cranevent.Err(err))
		return
	}
	// The claim takes effect once it is read back.
	c.node.progress.follower.Poke()
}

// takeover is this process's own claim, stored and read back, while the process has not
// yet read all submissions that were stored before the claim.
type takeover struct {
	claim       cranjob.Claim
	predecessor cransched.Predecessor
	// end is the offset at which the submissions ended after the claim was stored. It
	// is valid once endKnown is true.
	end      uint64
	endKnown bool
	// endPending is true while a query for the end is in progress. The next query is
	// sent no earlier than nextEndQueryAt.
	endPending     bool
	nextEndQueryAt time.Duration
}

// beginTakeover records what is known of the previous owner and waits for the
// submissions.
func (c *control) beginTakeover(claim cranjob.Claim, now cransched.Clock) {
	// The previous owner acts only for a bounded time after an append that it knows to
	// be stored, and every record that it stored has been read by now.
	predecessor := cransched.Predecessor{StoppedBy: c.ownerRecordAt + cransched.OwnershipTimeout, LastOrderAt: maps.Clone(c.orderReadAt)}
	if c.previousClaim.Released || c.isFromEarlierProcess(c.previousClaim) {
		predecessor.StoppedBy = now.Steady
	}
	if c.isFromEarlierProcess(c.previousClaim) {
		// The platform treats both processes of an entry instance as one lease holder,
		// so earlier orders need not expire first.
		predecessor.LastOrderAt = nil
	}
	c.pendingTakeover = &takeover{claim: claim, predecessor: predecessor}
}

// continueTakeover starts the scheduling once the replica holds all submissions
// that were stored before the claim.
func (c *control) continueTakeover(now cransched.Clock) {
	t := c.pendingTakeover
	switch {
	case t == nil:
	case c.node.stopping.Load():
		c.pendingTakeover = nil
	case t.endKnown:
		c.node.mu.Lock()
		defer c.node.mu.Unlock()
		if c.node.submissions.next >= t.end {
			c.pendingTakeover = nil
			c.startScheduling(t, now)
		}
	case !t.endPending && now.Steady >= t.nextEndQueryAt:
		t.endPending = true
		go func() {
			end, err := c.node.submissionsEnd(c.runCtx)
			c.node.post(c.runCtx, func() {
				t.endPending, t.endKnown, t.end = false, err == nil, end
				t.nextEndQueryAt = c.node.now().Steady + claimRetryPause
				if err != nil {
					c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream(c.node.submissions.name), cranevent.Err(err))
				}
			})
		}()
	}
}

// startScheduling makes this process the owner. The caller holds the node's lock.
func (c *control) startScheduling(t *takeover, now cransched.Clock) {
	n, claim := c.node, t.claim
	s := cransched.New(claim.Epoch, n.timing, c.config, n.replica, now, t.predecessor)
	o := &ownership{scheduler: s, epoch: claim.Epoch, claimedAt: now.Steady}
	o.confirmedAt.Store(int64(c.claimSentAt))
	o.ctx, o.cancel = context.WithCancel(c.runCtx)
	c.owner = o
	n.owning.Store(true)
	s.SetTargets(c.targetList())
	s.SetWaves(c.waves)
	n.metrics.TookOver()
	n.log.Emit(cranevent.SchedulerAcquired, cranevent.Epoch(claim.Epoch), cranevent.Offset(n.progress.next), cranevent.Count(s.JobCount()))
}

// stopScheduling ends this process's ownership without appending to the log.
func (c *control) stopScheduling(reason string) {
	if c.owner == nil {
		return
	}
	c.owner.cancel()
	c.node.log.Emit(cranevent.SchedulerLost, cranevent.Epoch(c.owner.epoch), cranevent.Cause(reason))
	c.owner = nil
	c.node.owning.Store(false)
	c.nextClaimAt = c.node.now().Steady + claimRetryPause
}
