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

// claimRead takes in the newest claim. A process owns the scheduling once it
// has read its own claim, so that the book holds all that was stored before it,
// and every submission that an earlier owner may have known.
func (c *control) claimRead(now cransched.Clock) {
	claim := c.node.book.Claim()
	c.claimAt = now.Steady
	mine := claim.Incarnation == c.node.incarnation && claim.Epoch == c.attempt && !claim.Vacated
	if c.owner != nil && claim.Epoch > c.owner.epoch {
		c.abdicate("another entry instance has claimed")
	}
	if claim.Beat == 0 {
		c.node.log.Emit(cranevent.SchedulerChanged, cranevent.Member(claim.Node), cranevent.Epoch(claim.Epoch))
	}
	if c.taking != nil && claim.Epoch > c.taking.claim.Epoch {
		c.taking = nil
	}
	if mine && c.owner == nil && !c.node.stopping.Load() && claim.Beat == 0 {
		c.beginTakeover(claim, now)
	}
}

// considerClaim claims the scheduling when nobody has it.
func (c *control) considerClaim(now time.Duration) {
	n := c.node
	if c.claiming || c.taking != nil || n.stopping.Load() || !n.loaded() || c.config == nil || !c.targetsKnown ||
		now < c.claimNext || now-c.readAt > readGap {
		return
	}
	if c.ableFrom == 0 {
		c.ableFrom = now
	}
	claim := n.book.Claim()
	// A process short of processor time reads late: what counts is up to when
	// it knows that no claim was stored.
	silence := c.knownAt - max(c.claimAt, c.watchedFrom, c.ableFrom)
	latency := max(c.latency, time.Duration(claim.AppendMs)*time.Millisecond)
	patience := claimSilence + claimLatencies*latency + c.spread()
	switch {
	case c.isPredecessor(claim):
		// That process has ended: it was this one's.
		silence, patience = 0, 0
	case claim.Epoch == 0 || claim.Vacated:
		silence, patience = now-max(c.claimAt, c.ableFrom), c.spread()
	}
	if silence < patience {
		return
	}
	c.claiming = true
	c.claimSent = now
	// Claims of one epoch carry the same sequence number, so the store takes
	// the first of them alone.
	c.attempt = max(claim.Epoch, c.floor) + 1
	record := cranstore.Record{Key: cranjob.KeyClaim, Value: cranjob.Encode(cranjob.Claim{
		Epoch: c.attempt, Node: n.name, Incarnation: n.incarnation,
	})}
	o := cranstore.AppendOptions{Producer: producer, Epoch: c.attempt}
	n.log.Emit(cranevent.SchedulerClaiming, cranevent.Epoch(c.attempt), cranevent.Elapsed(silence))
	go func() {
		ctx, cancel := context.WithTimeout(c.work, appendTimeout)
		defer cancel()
		_, err := n.progress.topic.Append(ctx, []cranstore.Record{record}, o)
		n.post(c.work, func() { c.claimAnswered(err) })
	}()
}

// isPredecessor reports whether a claim is of an earlier process of this entry
// instance, which runs one at a time.
func (c *control) isPredecessor(claim cranjob.Claim) bool {
	return claim.Node == c.node.name && claim.Incarnation != c.node.incarnation
}

// spread is this process's share of claimSpread. A process with little
// processor time comes after the others.
func (c *control) spread() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.node.incarnation))
	spread := time.Duration(h.Sum32()) % claimSpread
	if c.node.processor > 0 && c.node.processor < smallProcessor {
		spread += smallDelay
	}
	return spread
}

// claimAnswered takes in what became of a claim. A claim that was stored is
// read from the book.
func (c *control) claimAnswered(err error) {
	c.claiming = false
	c.claimNext = c.node.now().Steady + claimRetry
	var fenced *cranstore.FencedError
	if errors.As(err, &fenced) {
		c.floor = max(c.floor, fenced.Epoch)
	}
	if err != nil {
		c.node.log.Emit(cranevent.SchedulerRefused, cranevent.Epoch(c.attempt), cranevent.Err(err))
	}
}

// takeover is a claim that is in force, and whose owner does not yet know all
// submissions.
type takeover struct {
	claim  cranjob.Claim
	former cransched.Predecessor
	// end is where the submissions ended after the claim; known once the store
	// has told.
	end   uint64
	known bool
	// asking is true while the store is asked for the end, again from askNext on.
	asking  bool
	askNext time.Duration
}

// beginTakeover notes what is known of the former owner.
func (c *control) beginTakeover(claim cranjob.Claim, now cransched.Clock) {
	// The earlier owner acts for a bounded time after an append that it knows
	// to be stored, and whatever it stored has been read here since.
	former := cransched.Predecessor{StoppedBy: c.ownerAt + cransched.OwnershipTimeout, LastOrderAt: maps.Clone(c.orderAt)}
	if c.former.Vacated || c.isPredecessor(c.former) {
		former.StoppedBy = now.Steady
	}
	if c.isPredecessor(c.former) {
		// The platform takes both processes for one holder.
		former.LastOrderAt = nil
	}
	c.taking = &takeover{claim: claim, former: former}
}

// continueTakeover takes over once the book holds the submissions.
func (c *control) continueTakeover(now cransched.Clock) {
	t := c.taking
	switch {
	case t == nil:
	case c.node.stopping.Load():
		c.taking = nil
	case t.known:
		c.node.mu.Lock()
		defer c.node.mu.Unlock()
		if c.node.submissions.next >= t.end {
			c.taking = nil
			c.takeOver(t, now)
		}
	case !t.asking && now.Steady >= t.askNext:
		t.asking = true
		go func() {
			end, err := c.node.end(c.work)
			c.node.post(c.work, func() {
				t.asking, t.known, t.end = false, err == nil, end
				t.askNext = c.node.now().Steady + claimRetry
				if err != nil {
					c.node.log.Emit(cranevent.LogUnavailable, cranevent.Stream(c.node.submissions.name), cranevent.Err(err))
				}
			})
		}()
	}
}

// takeOver begins to schedule. The caller holds the node's lock.
func (c *control) takeOver(t *takeover, now cransched.Clock) {
	n, claim := c.node, t.claim
	s := cransched.New(claim.Epoch, n.timing, c.config, n.book, now, t.former)
	o := &ownership{scheduler: s, epoch: claim.Epoch, claimed: now.Steady}
	o.confirmedAt.Store(int64(c.claimSent))
	o.ctx, o.cancel = context.WithCancel(c.work)
	c.owner = o
	n.owning.Store(true)
	s.SetTargets(c.targetList())
	s.SetWaves(c.waves)
	n.metrics.TookOver()
	n.log.Emit(cranevent.SchedulerTaken, cranevent.Epoch(claim.Epoch), cranevent.Offset(n.progress.next), cranevent.Count(s.JobCount()))
}

// abdicate gives up the scheduling without a word to the store.
func (c *control) abdicate(reason string) {
	if c.owner == nil {
		return
	}
	c.owner.cancel()
	c.node.log.Emit(cranevent.SchedulerLost, cranevent.Epoch(c.owner.epoch), cranevent.Cause(reason))
	c.owner = nil
	c.node.owning.Store(false)
	c.claimNext = c.node.now().Steady + claimRetry
}
