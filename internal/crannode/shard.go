package crannode

import (
	"strconv"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// shard is what this process knows about a shard and does for it. Only the control goroutine
// accesses the fields, apart from renewedAt and from number, topics and stripes, which never
// change.
type shard struct {
	node   *Node
	number int
	// name is the number as text.
	name   string
	topics ShardTopics
	// stripes are the partitions of the submissions, at least one.
	stripes []*stripe
	// claimReadAt is when a record was last read that shows the owner to be alive, and
	// ownerRecordAt when a record of the owner was last read.
	claimReadAt, ownerRecordAt time.Duration
	// previousClaim is the last claim of the epoch before the current one.
	previousClaim cranjob.Claim
	// earlierStopBy is the time by which all owners before the current one have stopped sending
	// orders.
	earlierStopBy time.Duration
	// eligibleSince is when this process first could have claimed; 0 before.
	eligibleSince time.Duration
	// claimSentAt is when this process first sent its newest claim, which has claimedEpoch.
	claimSentAt  time.Duration
	claimedEpoch uint64
	// claiming is true while a claim is being appended. The next claim is sent no
	// earlier than nextClaimAt.
	claiming    bool
	nextClaimAt time.Duration
	// fencedEpoch is the highest epoch that the store has reported when it refused an append
	// as outdated. The next claim uses a higher one.
	fencedEpoch uint64
	// relief is what this process knows about taking the shard over from a stalled or undersized owner.
	relief relief
	// renewedAt is when a renewal or segment was last read soon after it was stored. The node's
	// lock guards it.
	renewedAt time.Duration
	// fallback holds the ends that the owner couldn't publish to the digest.
	fallback fallbackReader
	// owner is this process's ownership; nil if it isn't the owner.
	owner *ownership
}

// newShard returns a shard whose claims have been read up to now.
func (n *Node) newShard(number int, now time.Duration) *shard {
	s := &shard{node: n, number: number, name: strconv.Itoa(number), topics: n.topics.Shard(number), claimReadAt: now, ownerRecordAt: now}
	s.stripes = n.newStripes(s)
	return s
}

// maxLeaseEnd exceeds every lease. It bounds the figures of a malformed record, which would
// overflow otherwise and count as a lease that has ended.
const maxLeaseEnd = time.Hour

// leasesEndAt returns the targets to which the owner with the given epoch grants no lease, and
// when their leases have ended. The record was written before it was read, so the times are
// upper bounds.
func (s *shard) leasesEndAt(epoch uint64) map[string]time.Duration {
	leases, readAt := s.node.digest.Leases(s.number)
	if epoch == 0 || leases.Epoch != epoch {
		return nil
	}
	endAt := make(map[string]time.Duration, len(leases.Targets))
	for _, t := range leases.Targets {
		endsInMs := min(max(t.EndsInMs, 0), maxLeaseEnd.Milliseconds())
		endAt[t.ID] = readAt + time.Duration(endsInMs)*time.Millisecond
	}
	return endAt
}

// predecessorOf returns the claim of the epoch before that of a claim, and whether it is known. A
// load may leave it out.
func (s *shard) predecessorOf(claim cranjob.Claim) (cranjob.Claim, bool) {
	return s.previousClaim, s.previousClaim.Epoch+1 == claim.Epoch
}

// ownersStopBy returns the time by which all owners before a claim that is read now have stopped
// sending orders. That the predecessor has stopped doesn't say that those before it have.
func (s *shard) ownersStopBy(claim cranjob.Claim, now time.Duration) time.Duration {
	// An owner acts only for a bounded time after an append that it knows to be stored, and every
	// record that it stored has been read by now.
	stopBy := s.ownerRecordAt + cransched.OwnershipTimeout
	switch predecessor, known := s.predecessorOf(claim); {
	case !known:
		stopBy = now + cransched.OwnershipTimeout
	case predecessor.Released || s.isFromEarlierProcess(predecessor):
		stopBy = now
	}
	return max(stopBy, s.earlierStopBy)
}

// digestProducer is the producer name of the shard's owner in the digest.
func (s *shard) digestProducer() string { return producer + "/" + s.name }

// claim returns the newest claim.
func (s *shard) claim() cranjob.Claim { return s.node.digest.Claim(s.number) }

// scheduling reports whether this process schedules the shard.
func (s *shard) scheduling() bool { return s.owner != nil && s.owner.scheduler != nil }
