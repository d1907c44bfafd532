package crannode

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// claimInterval is how often an owner renews its claim.
	claimInterval = 400 * time.Millisecond
	// claimTimeout and claimLatencyFactor define how long an owner may go without
	// renewing its claim before another entry instance claims: more than three
	// renewals, plus claimLatencyFactor times the store's latency, so that a slow store
	// does not look like a lost owner.
	claimTimeout       = 1500 * time.Millisecond
	claimLatencyFactor = 8
	// maxClaimJitter bounds the delay that differs between entry instances, so that
	// they do not all claim at once.
	maxClaimJitter = 300 * time.Millisecond
	// ownedDelay is how much later a process claims for each shard that it owns, so that the
	// shards spread over the entry instances.
	ownedDelay = 450 * time.Millisecond
	// maxCapacityDelay is how much later a process without any capacity would claim. One that
	// has half of what a shard takes claims half as much later.
	maxCapacityDelay = 2 * time.Second
	// claimRetryPause is the pause after a failed claim.
	claimRetryPause = 400 * time.Millisecond
	// maxReadGap is the longest time between two reads of the digest. After a longer gap, in
	// which renewals may have gone unnoticed, the time that an owner has not renewed its claim
	// is measured from the next read.
	maxReadGap = 2 * time.Second
)

// observeClaim handles a claim that was read from the digest. A process becomes the owner
// only after it has read its own claim back.
func (s *shard) observeClaim(before cranjob.Claim, now cransched.Clock) {
	n, claim := s.node, s.claim()
	if before.Epoch != claim.Epoch {
		s.previousClaim = before
		if claim.Epoch > 1 {
			s.earlierStopBy = s.ownersStopBy(claim, now.Steady)
		}
	}
	s.claimReadAt = now.Steady
	if s.owner != nil && claim.Epoch > s.owner.epoch {
		if s.owner.stalled {
			s.relief.notBefore = now.Steady + reliefPause
		}
		s.stopScheduling("another entry instance has claimed")
	}
	if before.Epoch != claim.Epoch {
		n.log.Emit(cranevent.SchedulerChanged, cranevent.Shard(s.name), cranevent.Member(claim.Node), cranevent.Epoch(claim.Epoch))
	}
	isOwn := claim.Incarnation == n.incarnation && claim.Epoch == s.claimedEpoch && !claim.Released
	if isOwn && s.owner == nil && !n.stopping.Load() {
		s.beginOwnership(claim, now)
	}
}

// claimIfUnowned appends a claim when no entry instance owns the shard.
func (s *shard) claimIfUnowned(now time.Duration) {
	n, c := s.node, s.node.control
	if s.claiming || n.stopping.Load() || c.loadingDigest || c.config == nil || now < s.nextClaimAt || now-c.digestReadAt > maxReadGap {
		return
	}
	if s.eligibleSince == 0 {
		s.eligibleSince = now
	}
	claim := s.claim()
	// A process that is short of processor time reads late. The time without a claim
	// therefore counts only up to readThrough, before which no claim can be unread.
	unrenewedFor := c.readThrough - max(s.claimReadAt, c.readingSince, s.eligibleSince)
	// No attempt of an append takes longer than appendTimeout; a malformed record may say so.
	appendMs := min(max(claim.AppendMs, 0), appendTimeout.Milliseconds())
	latency := max(c.readLatency, time.Duration(appendMs)*time.Millisecond)
	timeout := claimTimeout + claimLatencyFactor*latency + s.claimDelay()
	switch {
	case s.isFromEarlierProcess(claim):
		// An entry instance runs one process at a time, so the earlier one has ended.
		unrenewedFor, timeout = 0, 0
	case claim.Epoch == 0 || claim.Released:
		unrenewedFor, timeout = now-max(s.claimReadAt, s.eligibleSince), s.claimDelay()
	}
	if unrenewedFor < timeout {
		if !s.relieves(claim, now) {
			return
		}
		n.log.Emit(cranevent.OwnerRelieved, cranevent.Shard(s.name), cranevent.Epoch(claim.Epoch), cranevent.Member(claim.Node),
			cranevent.Cause(reliefCause(claim)))
	}
	s.sendClaim(max(claim.Epoch, s.fencedEpoch)+1, now, unrenewedFor)
}

// sendClaim appends a claim with an epoch. All claims of one epoch carry the same sequence
// number, so the store accepts only the first of them.
func (s *shard) sendClaim(epoch uint64, now, unrenewedFor time.Duration) {
	n := s.node
	undersized := !n.hasCapacityFor(n.control.ownerships() + 1)
	s.claiming = true
	if epoch != s.claimedEpoch {
		s.claimSentAt, s.claimedEpoch = now, epoch
	}
	record := crandigest.ClaimRecord(s.number, cranjob.Claim{Epoch: epoch, Node: n.name, Incarnation: n.incarnation, Undersized: undersized})
	o := cranstore.AppendOptions{Producer: s.digestProducer(), Epoch: epoch}
	n.log.Emit(cranevent.SchedulerClaiming, cranevent.Shard(s.name), cranevent.Epoch(epoch), cranevent.Elapsed(unrenewedFor))
	go func() {
		ctx, cancel := context.WithTimeout(n.control.runCtx, appendTimeout)
		defer cancel()
		_, err := n.topics.Digest.Append(ctx, []cranstore.Record{record}, o)
		n.post(n.control.runCtx, func() { s.claimCompleted(err) })
	}()
}

// isFromEarlierProcess reports whether a claim was made by an earlier process of this
// entry instance. An entry instance runs one process at a time.
func (s *shard) isFromEarlierProcess(claim cranjob.Claim) bool {
	return claim.Node == s.node.name && claim.Incarnation != s.node.incarnation
}

// claimDelay returns how long this process waits before it claims the shard, so that one that
// has more capacity and owns fewer shards claims first, and never two at once.
func (s *shard) claimDelay() time.Duration {
	return s.node.jitter(s.digestProducer(), maxClaimJitter) + ownedDelay*time.Duration(s.node.control.ownerships()) + s.node.capacityDelay()
}

// jitter returns a delay below a limit that depends on the process and a name.
func (n *Node) jitter(name string, limit time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.incarnation + name))
	return time.Duration(h.Sum32()) % limit
}

// capacityDelay returns how much later this process claims than one with enough capacity for
// a shard.
func (n *Node) capacityDelay() time.Duration {
	if n.digest.Layout() == nil {
		return 0
	}
	need, have := float64(n.digest.Layout().TargetsPerShard()), n.limits.Targets()
	if have >= need {
		return 0
	}
	return time.Duration((1 - have/need) * float64(maxCapacityDelay))
}

// hasCapacityFor reports whether this process can schedule a number of shards. One shard must take no more than the
// process can do in the long run, several together no more than it can do at all.
func (n *Node) hasCapacityFor(shards int) bool {
	if n.digest.Layout() == nil {
		return true
	}
	need, have := float64(n.digest.Layout().TargetsPerShard()), n.limits.Targets()
	return have >= need && cranshard.FullLoad*have >= need*float64(shards)
}

// claimCompleted handles the result of appending a claim. A claim that was stored takes
// effect only when it is read back from the digest.
func (s *shard) claimCompleted(err error) {
	n := s.node
	s.claiming = false
	s.nextClaimAt = n.now().Steady + claimRetryPause
	var fenced *cranstore.FencedError
	if errors.As(err, &fenced) {
		s.fencedEpoch = max(s.fencedEpoch, fenced.Epoch)
	}
	if err != nil {
		n.log.Emit(cranevent.SchedulerRefused, cranevent.Shard(s.name), cranevent.Epoch(s.claimedEpoch), cranevent.Err(err))
		return
	}
	n.digestFollower.Poke()
}
