package crannode

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// stallBound is the time above which the owner has stalled if a new task waits that long: a job may have nothing
	// running for 3 s, and a takeover takes one. A read without an answer takes 1.7 s, which alone moves no shard.
	stallBound = 2 * time.Second
	// stallMemory is how long an owner counts as stalled after it was.
	stallMemory = time.Second
	// probeTimeout is the time in which the store must answer a process that could take over from a stalled owner.
	// probeInterval is the pause between two attempts.
	probeTimeout  = 400 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	// settleTime is how long an owner may count as stalled after the store was away for all: a read without an answer
	// takes 1.7 s, the pause after it 0.4 s, and the record that the stall is over 0.3 s until others read it.
	settleTime = stallMemory + 2500*time.Millisecond
	// maxQuietGap is the gap between two reads of the digest above which the store counts as having been away.
	// Without trouble the gap is digestPause.
	maxQuietGap = 500 * time.Millisecond
	// reliefPause is how long a process from which another has taken over, since it had stalled, doesn't do the same.
	reliefPause = 10 * time.Second
)

// relief is what a process knows about taking a shard over from an owner that has stalled or is undersized.
type relief struct {
	// possibleSince is the time since which the store has answered all probes; 0 after one that failed.
	possibleSince time.Duration
	probing       bool
	nextProbeAt   time.Duration
	// failedAt is when the store last didn't answer a probe.
	failedAt time.Duration
	// notBefore is when this process may take over next.
	notBefore time.Duration
}

// observeStall reports whether this owner has stalled: it reads or appends too late, has too little processor time,
// or can't load the shard. It keeps the shard all the same until another process, which can do better, takes over.
func (o *ownership) observeStall(now time.Duration) bool {
	late := o.waitAge(now) > stallBound || o.shard.node.control.targets.outdated(now)
	if o.scheduler == nil {
		// How long a load takes depends on what is stored.
		late = now-o.beganAt > loadTimeout
	}
	if late || o.lateTicks >= maxLateTicks || o.lateIntervals >= maxLateIntervals {
		o.stalledAt = now
	}
	stalled := o.stalledAt != 0 && now-o.stalledAt < stallMemory
	if stalled != o.stalled {
		o.stalled = stalled
		o.logStall(now)
	}
	return stalled
}

// waitAge estimates how long a new task waits: as long as the read or the append under way takes already, which run at
// the same time, or for half of a read, the next read and an append that are as slow as the newest.
func (o *ownership) waitAge(now time.Duration) time.Duration {
	appendAge := o.progress.age(now)
	readAge := now - max(o.submissionsAnsweredAt, o.scheduledAt)
	return max(readAge, appendAge, o.submissionsLatency*3/2+max(o.progress.recentLatency(now), appendAge))
}

// logStall logs that this owner has stalled, or that it makes progress again.
func (o *ownership) logStall(now time.Duration) {
	n, event := o.shard.node, cranevent.OwnerRecovered
	if o.stalled {
		event = cranevent.OwnerStalled
	}
	n.log.Emit(event, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch), cranevent.ReadAge(now-max(o.submissionsReadAt, o.beganAt)),
		cranevent.AppendAge(o.progress.age(now)), cranevent.Elapsed(n.control.lag))
}

// reliefCause returns why another process may take over from the owner with a claim.
func reliefCause(claim cranjob.Claim) string {
	if claim.Stalled {
		return "stalled"
	}
	return "undersized"
}

// mayRelieve reports whether this process does better than the owner with a claim, if the store answers it.
func (s *shard) mayRelieve(claim cranjob.Claim, now time.Duration) bool {
	n := s.node
	better := claim.Stalled || claim.Undersized && n.hasCapacityFor(n.control.ownerships()+1)
	return better && now >= s.relief.notBefore && n.control.lag <= n.lagLimit()
}

// relieves reports whether this process is to take the shard over from an owner that has stalled or is undersized: the
// store has answered it for as long as claimDelay, and for settleTime longer if it was away for this process, too.
func (s *shard) relieves(claim cranjob.Claim, now time.Duration) bool {
	n, r := s.node, &s.relief
	if !s.mayRelieve(claim, now) {
		r.possibleSince = 0
		return false
	}
	if !r.probing && now >= r.nextProbeAt {
		r.probing = true
		from := s.through()
		n.control.group.Go(func() {
			err := s.probe(n.control.runCtx, from)
			n.post(n.control.runCtx, func() { s.probeCompleted(err) })
		})
	}
	// The delays spread the shards over the processes only if they begin together.
	since := max(r.possibleSince, max(r.failedAt, n.control.awayUntil)+settleTime)
	return !r.probing && r.possibleSince != 0 && now-since >= s.claimDelay()
}

// probe reads the submissions from offsets on and the targets, and appends nothing to the progress, which queues
// like any append.
func (s *shard) probe(ctx context.Context, from []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := s.probeStripes(ctx, from); err != nil {
		return err
	}
	_, err := s.node.directory.Targets.Read(ctx, 0, cranstore.ReadOptions{MaxBytes: 1})
	if err != nil && !errors.Is(err, cranstore.ErrExpired) {
		return err
	}
	_, err = s.topics.Progress.Append(ctx, nil, cranstore.AppendOptions{})
	return err
}

// probeCompleted handles the result of a probe.
func (s *shard) probeCompleted(err error) {
	now, r := s.node.now().Steady, &s.relief
	r.probing, r.nextProbeAt = false, now+probeInterval
	switch {
	case err != nil:
		r.possibleSince = 0
		r.failedAt = now
	case r.possibleSince == 0:
		r.possibleSince = now
	}
}
