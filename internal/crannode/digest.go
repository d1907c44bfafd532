package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// digestPause is the pause between two reads of the digest, in which records collect so that
// one read returns several.
const digestPause = 200 * time.Millisecond

// applyDigest applies a read of the digest.
func (c *control) applyDigest(u cranstore.Update) {
	n := c.node
	now := n.now()
	if u.Sent-c.digestReadAt > maxReadGap || c.digestReadAt == 0 {
		c.readingSince = now.Steady
	}
	if u.Sent-c.digestReadAt > maxQuietGap {
		c.awayUntil = now.Steady
	}
	c.digestReadAt = now.Steady
	// A read returns everything stored before it was answered. A read without records
	// was answered at the end of its wait.
	c.readThrough = u.Sent + u.Waited
	if len(u.Records) == 0 && !u.Reset {
		c.readLatency = max(now.Steady-c.readThrough, 0)
	}
	n.mu.Lock()
	if u.Reset {
		n.digest.Reload()
	}
	wavesChanged := false
	// A load returns the newest record of each key in the order of the keys. What a claim follows
	// from is known only once all of them are applied.
	loaded := u.Reset || u.Partial || c.loadingDigest
	c.loadingDigest = loaded
	for _, r := range u.Records {
		wavesChanged = c.applyDigestRecord(r) || wavesChanged
	}
	if c.loadingDigest && !u.Partial {
		c.loadingDigest = false
		c.observeLoadedClaims(now)
	}
	n.finishRead(u, loaded)
	n.mu.Unlock()
	if wavesChanged {
		c.updateWaves()
	}
	for _, s := range n.shards {
		for _, p := range s.stripes {
			p.batcher.Settle(n.isInDigest)
		}
	}
	for _, s := range n.shards {
		if s.scheduling() {
			s.owner.entitlements.observe(n, now)
		}
	}
	n.metrics.DigestJobs(n.digest.Len())
}

// applyDigestRecord applies one record, and reports whether the progress of a wave has
// changed. The caller holds the node's lock.
func (c *control) applyDigestRecord(r cranstore.Record) bool {
	n := c.node
	now := n.now()
	change, err := n.digest.Apply(r.Key, r.Value, now.Steady)
	if err != nil {
		n.skipMalformed(digestStream, r, err)
		return false
	}
	switch change.Kind {
	case crandigest.LayoutChanged:
		for number := range n.digest.Layout().Count() {
			n.shards = append(n.shards, n.newShard(number, now.Steady))
		}
		n.log.Emit(cranevent.LayoutInForce, cranevent.Count(len(n.shards)), cranevent.Offset(r.Offset))
	case crandigest.Claimed:
		switch {
		case c.loadingDigest:
			c.loadedClaims = append(c.loadedClaims, change)
		case change.Shard < len(n.shards):
			s := n.shards[change.Shard]
			s.observeClaim(change.Before, now)
			s.ownerRecordAt = now.Steady
		}
	case crandigest.Renewed:
		if change.Shard < len(n.shards) {
			n.shards[change.Shard].observeRenewal(change, now.Steady)
		}
	case crandigest.LoadPublished:
		if change.Shard < len(n.shards) {
			n.shards[change.Shard].observeRenewal(change, now.Steady)
			n.shards[change.Shard].readFigures(now.Steady)
		}
	case crandigest.WaveChanged:
		if change.Shard < len(n.shards) {
			// An append that holds nothing else confirms the ownership too.
			n.shards[change.Shard].ownerRecordAt = now.Steady
		}
		return n.shards != nil
	}
	return false
}

// observeRenewal handles a record that an owner has written. A load repeats records, also those of
// a lost owner, so only a renewal that is newer than the one known shows that the owner has written
// lately. The owner may have published nothing since a record that was read late.
func (s *shard) observeRenewal(change crandigest.Change, now time.Duration) {
	n := s.node
	s.ownerRecordAt = now
	if !n.control.loadingDigest || change.Newer {
		s.claimReadAt = now
	}
	if !n.control.loadingDigest && n.digestComplete && now-n.digestCurrentAt <= maxDigestAge {
		s.renewedAt = now
	}
}

// observeLoadedClaims handles the claims that a load of the digest has returned. The records of
// the owners before them may be as recent as the load.
func (c *control) observeLoadedClaims(now cransched.Clock) {
	for _, change := range c.loadedClaims {
		if change.Shard >= len(c.node.shards) {
			continue
		}
		s := c.node.shards[change.Shard]
		s.ownerRecordAt = now.Steady
		s.observeClaim(change.Before, now)
	}
	c.loadedClaims = nil
}

// finishRead records how far the digest has been read, loaded being true for a page of a load, and
// wakes the goroutines that wait for that. The caller holds the node's lock.
func (n *Node) finishRead(u cranstore.Update, loaded bool) {
	n.digestContactAt.Store(int64(u.Sent))
	// Pages are no snapshot: a load may miss a segment that was merged meanwhile, until the
	// records that follow are read.
	n.digestComplete = !loaded && (n.digestComplete || u.Next >= u.End)
	if n.digestComplete && u.Next >= u.End {
		n.digestCurrentAt = u.Sent
	}
	for id := range n.stored {
		if state, known := n.digest.Job(id); known && (!n.stored[id].cancelled || state.Final()) {
			delete(n.stored, id)
		}
	}
	close(n.advanced)
	n.advanced = make(chan struct{})
}
