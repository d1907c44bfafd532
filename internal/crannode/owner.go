package crannode

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// step runs the work that is due and returns the longest time to wait before the next call.
// The effects are performed before the append to the digest, so that it has the states of all
// jobs before the offset that it confirms.
func (o *ownership) step(now cransched.Clock) time.Duration {
	wait := maxStepInterval
	if o.scheduler == nil {
		o.startIfLoaded(now)
	} else {
		o.scheduler.Advance(now)
		o.readQuota()
		o.boundStarts(now.Steady)
		o.scheduler.SetStoreLatency(max(o.progress.recentLatency(now.Steady), o.progress.age(now.Steady)))
		wait = o.tick(now)
		o.appendProgress(now.Steady)
		o.performEffects()
		o.reportQuota(now.Steady)
		o.reportProgress(now.Steady)
	}
	o.appendDigest(now.Steady)
	return wait
}

// tick runs the scheduler if minTickInterval has passed, and returns the time until the next
// tick.
func (o *ownership) tick(now cransched.Clock) time.Duration {
	if since := now.Steady - o.tickedAt; since < minTickInterval {
		return minTickInterval - since
	}
	if !o.releasing() {
		o.observeTick(now.Steady)
		o.tickedAt = now.Steady
		o.scheduler.Tick()
		took := o.shard.node.now().Steady - now.Steady
		o.longestTick = max(o.longestTick, took)
		o.shard.node.metrics.SchedulerTicked(took)
	}
	return maxStepInterval
}

// observeTick counts the ticks that are late. Late ticks far apart are no sign of a process that is too slow.
func (o *ownership) observeTick(now time.Duration) {
	if now-o.lateTickAt > lateTickMemory {
		o.lateTicks = 0
	}
	if o.tickedAt != 0 && now-o.tickedAt > lateTickThreshold {
		o.lateTicks++
		o.lateTickAt = now
	}
}

// releasing reports whether the owner is to hand the shard over, because the process stops.
func (o *ownership) releasing() bool { return o.shard.node.stopping.Load() }

// appendProgress stores the scheduler's decisions.
func (o *ownership) appendProgress(now time.Duration) {
	releasing := o.releasing()
	if o.progress.busy || !releasing && now < o.progress.nextAt || o.flushed {
		return
	}
	o.flushed = releasing
	records, decided := o.scheduler.NextBatch()
	if decided && len(records) == 0 {
		// The store counts no append without records.
		o.scheduler.ConfirmBatch()
		decided = false
	}
	fallback := o.fallbackRecords(now)
	appended := slices.Concat(records, fallback)
	if len(appended) == 0 {
		return
	}
	extends := len(fallback) > 0 && o.fallback.stored
	o.progress.write(o, appended, func(sent time.Duration, err error) {
		o.progressAppended(records, decided, err)
		if extends && err == nil {
			o.extendedAt.Store(int64(sent))
		}
	})
}

// progressAppended handles the result of storing the records of a batch, if one was decided. The replica
// keeps them, since the owner doesn't read them back.
func (o *ownership) progressAppended(records []cranstore.Record, decided bool, err error) {
	if err != nil {
		o.shard.stopScheduling("an append was refused: " + err.Error())
		return
	}
	for _, r := range records {
		if err := o.replica.Store(r.Key, r.Value); err != nil {
			o.shard.node.skipMalformed("progress", r, err)
		}
	}
	if decided {
		o.scheduler.Advance(o.shard.node.now())
		o.scheduler.ConfirmBatch()
	}
}

// appendDigest publishes the states of jobs and renews or releases the claim.
func (o *ownership) appendDigest(now time.Duration) {
	releasing := o.releasing()
	renewing := now-o.renewedAt >= claimInterval
	stalled := o.observeStall(now)
	stallChanged := stalled != o.stallStored
	if o.digest.busy || releasing && (o.progress.busy || o.scheduler != nil && !o.flushed) || !releasing && now < o.digest.nextAt {
		return
	}
	// The record says what is given away, so it must be appended.
	quota := o.quotaRecords(now)
	if !releasing && !renewing && !stallChanged && len(o.states) == 0 && len(o.waveRecords) == 0 && len(quota) == 0 && !o.silentTargetsChanged() && !o.entitlements.due(now) {
		return
	}
	s := o.shard
	records := crandigest.Segments(s.number, o.epoch, o.digest.sequence+1, o.states)
	records = append(append(records, o.waveRecords...), quota...)
	o.publishing, o.states, o.waveRecords = o.states, nil, nil
	clear(o.stateIndex)
	leases := o.silentTargetsChanged()
	if leases {
		records = append(records, o.leases().Record(s.number))
	}
	if o.entitlements.due(now) {
		records = append(records, o.entitlements.record(s.number, now))
	}
	if renewing || releasing {
		records = append(records, s.node.digest.Merge(s.number, o.epoch, o.digest.sequence+1)...)
		renewal := o.renewal(now)
		records = append(records, renewal.Record(s.number))
		records = append(records, o.stripesRecord(renewal)...)
		records = append(records, o.figures(now)...)
	}
	if releasing || stallChanged {
		claim := s.claim()
		claim.Stalled, claim.Released = stalled, releasing
		records = append(records, crandigest.ClaimRecord(s.number, claim))
		o.stallStored = stalled
	}
	o.digest.write(o, records, func(sent time.Duration, err error) {
		if leases && err == nil {
			o.scheduler.Advance(s.node.now())
			o.scheduler.ConfirmSilentTargets()
		}
		o.digestAppended(sent, err, releasing)
	})
}

// silentTargetsChanged reports whether the targets that don't respond are to be published.
func (o *ownership) silentTargetsChanged() bool {
	return o.scheduler != nil && o.scheduler.SilentTargetsChanged()
}

// leases returns the record of the targets to which no lease is granted.
func (o *ownership) leases() crandigest.Leases {
	l := crandigest.Leases{Epoch: o.epoch}
	for _, t := range o.scheduler.NextSilentTargets() {
		l.Targets = append(l.Targets, crandigest.SilentTarget{ID: t.ID, EndsInMs: t.EndsIn.Milliseconds() + 1})
	}
	return l
}

// renewal returns the next renewal of the claim.
func (o *ownership) renewal(now time.Duration) crandigest.Renewal {
	o.renewals++
	o.renewedAt = now
	r := crandigest.Renewal{
		Epoch: o.epoch, Number: o.renewals, Through: o.through,
		AppendMs: max(o.digest.latency, o.progress.latency).Milliseconds(),
	}
	if o.scheduler == nil {
		// The jobs that this owner has loaded are not in the digest yet.
		r.Through = o.shard.node.digest.Through(o.shard.number, 0)
	}
	return r
}

// digestAppended handles the result of an append to the digest. The ownership ends if the
// append was refused or has released the claim.
func (o *ownership) digestAppended(sent time.Duration, err error, released bool) {
	s := o.shard
	switch {
	case err != nil:
		s.stopScheduling("an append was refused: " + err.Error())
	case released:
		// In the log, "vacated" means that this process has released its claim.
		s.stopScheduling("vacated")
	default:
		o.confirmedAt.Store(int64(sent))
		o.publishing, o.fallback.count = nil, 0
	}
}

// performEffects carries out the effects that the scheduler has requested.
func (o *ownership) performEffects() {
	for _, effect := range o.scheduler.Effects() {
		switch e := effect.(type) {
		case cransched.JobChanged:
			o.publish(crandigest.JobState{ID: e.Job, Queue: e.Queue, State: e.State})
		case cransched.WaveStatus:
			o.waveRecords = append(o.waveRecords, crandigest.WaveProgress{Begun: e.Begun, Done: e.Done}.Record(e.Wave, o.shard.number))
		case cransched.PoolStatus:
			o.shard.node.logPoolStatus(o.shard.name, e)
		case cransched.RunTimesJudged:
			o.shard.node.judgeRunTimes(o.shard.name, e)
		case cransched.PeakExpected:
			o.shard.node.logPeakExpected(o.shard.name, e)
		case cransched.LogEntry:
			o.shard.node.logDecision(e, o.readAge())
		default:
			o.sendEffect(effect)
		}
	}
}
