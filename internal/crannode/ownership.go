package crannode

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// producer is the producer name of an owner's appends to the progress records.
	producer = "scheduler"
	// progressInterval and digestInterval are the minimum times between two appends of an
	// owner to the progress records and to the digest, which every entry instance reads.
	progressInterval = 25 * time.Millisecond
	digestInterval   = 60 * time.Millisecond
	// loadTimeout is how long a new owner may take to load the shard before it counts as stalled.
	loadTimeout = 8 * time.Second
	// lateTickThreshold is the time between two scheduler ticks above which a tick
	// counts as late. After maxLateTicks late ticks, each at most lateTickMemory after the one
	// before, the owner counts as stalled until lateTickMemory after the last.
	lateTickThreshold = 250 * time.Millisecond
	maxLateTicks      = 8
	lateTickMemory    = 10 * time.Second
	// minTickInterval is the shortest time between two scheduler ticks, so that one tick
	// covers several events.
	minTickInterval = 12 * time.Millisecond
	// orderAgeMargin is taken off the age of a stored order for the difference between the
	// clocks of two processes.
	orderAgeMargin = 6 * time.Second
)

// ownership is the state of a process that owns a shard. It begins when the process has read
// its own claim back, and ends when the claim is lost or released. Only the control goroutine
// accesses it, except where noted.
type ownership struct {
	shard *shard
	epoch uint64
	// renewals is how often the claim has been renewed, renewedAt when it was last, or else when
	// the claim was sent.
	renewals  uint64
	renewedAt time.Duration
	// confirmedAt is when the newest confirmed append to the digest was first sent, extendedAt when that of
	// the newest fallback record was; 0 while the digest answers. The goroutines that send orders read them.
	confirmedAt, extendedAt atomic.Int64
	progress, digest        *fencedWriter
	// trims append the smaller records that replace the submissions of ended jobs, one for each stripe.
	trims []*cranstore.Batcher

	// longestTick is the longest time that a tick has taken since the last report.
	longestTick time.Duration
	// replica holds the jobs of the shard. It is loaded from the topics of the shard, of
	// which progressLoaded and submissionsLoaded say whether they were read.
	replica                           *cranjob.Replica
	progressLoaded, submissionsLoaded bool
	// beganAt is when the ownership began, and scheduledAt when the shard was loaded.
	beganAt, scheduledAt time.Duration
	// predecessor is what this owner knows about the one before, with the leases of silent
	// targets as read at leasesReadAt.
	predecessor  cransched.Predecessor
	leasesReadAt time.Duration
	// scheduler is nil until the shard is loaded.
	scheduler *cransched.Scheduler
	// entitlements is nil until then, too.
	entitlements *entitlements

	// stripeReaders holds how far each stripe of the submissions was read. The fields below follow from them.
	stripeReaders []stripeReader
	// through is the offset up to which the first stripe was passed to the scheduler, and
	// submissionsReadAt the time up to which all stored ones were for certain. In submissionsAnsweredAt
	// the time that the store has waited for the records of the newest complete read counts, too.
	through                                  uint64
	submissionsReadAt, submissionsAnsweredAt time.Duration
	// submissionsLatency is how much longer that read took.
	submissionsLatency time.Duration
	startWatch         startWatch
	quota              ownerQuota
	// states holds the changed states of jobs, and waveRecords the progress with waves, that
	// are to be appended to the digest. stateIndex maps a job to its position in states.
	states      []crandigest.JobState
	stateIndex  map[string]int
	waveRecords []cranstore.Record
	// publishing holds the states in the append to the digest that is under way.
	publishing []crandigest.JobState
	fallback   fallbackWriter
	// tickedAt is when the scheduler last ran a full tick; lateTicks counts the ticks
	// that came later than lateTickThreshold, the last at lateTickAt.
	tickedAt   time.Duration
	lateTicks  int
	lateTickAt time.Duration
	// reportedAt is when the progress of this owner was last logged.
	reportedAt time.Duration
	// lateIntervals is how many more intervals this process lagged too much than not.
	lateIntervals int
	// stalledAt is when this owner last made no progress with the shard; 0 if it always has. stalled says whether it
	// counts as stalled, and stallStored whether the digest was told so.
	stalledAt            time.Duration
	stalled, stallStored bool
	// figuresWriter publishes the load of the shard.
	figuresWriter figuresWriter
	// flushed is set once the last decisions before a release were stored.
	flushed bool
	// loads has a place for each topic that may be loaded at once.
	loads  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// beginOwnership makes this process the owner of the shard. It schedules once the shard is
// loaded.
func (s *shard) beginOwnership(claim cranjob.Claim, now cransched.Clock) {
	n := s.node
	o := &ownership{
		shard: s, epoch: claim.Epoch, renewedAt: s.claimSentAt, beganAt: now.Steady, replica: cranjob.NewReplica(), stateIndex: map[string]int{},
		progress:      &fencedWriter{topic: s.topics.Progress, producer: producer, epoch: claim.Epoch, interval: progressInterval},
		digest:        &fencedWriter{topic: n.topics.Digest, producer: s.digestProducer(), epoch: claim.Epoch, interval: digestInterval},
		stripeReaders: make([]stripeReader, len(s.stripes)), loads: make(chan struct{}, n.loadsAtOnce(len(s.stripes)+1)),
		predecessor: cransched.Predecessor{StoppedBy: s.ownersStopBy(claim, now.Steady), LeasesEndAt: s.leasesEndAt(claim.Epoch - 1)},
	}
	for _, p := range s.stripes {
		o.trims = append(o.trims, cranstore.NewBatcher(p.topic, n.metrics.Retried))
	}
	_, o.leasesReadAt = n.digest.Leases(s.number)
	o.confirmedAt.Store(int64(s.claimSentAt))
	o.ctx, o.cancel = context.WithCancel(n.control.runCtx)
	s.owner = o
	n.control.ownershipChanged()
	n.control.group.Go(func() { o.load(claim) })
}

// load fences the progress records of the shard, loads them, and follows the submissions.
// Loading begins only once all appends of earlier owners are refused, so that no record and no
// submission on which they have acted is missed.
func (o *ownership) load(claim cranjob.Claim) {
	s := o.shard
	n := s.node
	fence := []cranstore.Record{{Key: cranjob.KeyClaim, Value: cranjob.Encode(claim)}}
	_, err := n.appendUntilAnswered(o.ctx, s.topics.Progress, fence, cranstore.AppendOptions{Producer: producer, Epoch: o.epoch})
	fencedAt := n.now().Steady
	if err != nil {
		n.post(n.control.runCtx, func() { o.loadFailed(err) })
		return
	}
	for _, p := range s.stripes {
		n.control.group.Go(func() { n.followSubmissions(o, p) })
	}
	if !o.beginLoad() {
		return
	}
	defer o.endLoad()
	for o.ctx.Err() == nil {
		records, _, err := cranstore.Load(o.ctx, s.topics.Progress)
		if err == nil {
			n.post(n.control.runCtx, func() { o.applyProgress(records, fencedAt) })
			return
		}
		n.log.Emit(cranevent.LogUnavailable, cranevent.Stream("progress"), cranevent.Err(err))
		cranpause.Sleep(o.ctx, appendRetryPause)
	}
}

// loadFailed ends an ownership of which the progress records were fenced by another process.
func (o *ownership) loadFailed(err error) {
	s := o.shard
	if s.owner != o {
		return
	}
	var fenced *cranstore.FencedError
	if errors.As(err, &fenced) {
		s.fencedEpoch = max(s.fencedEpoch, fenced.Epoch)
	}
	s.stopScheduling("the progress records are fenced: " + err.Error())
}

// applyProgress applies the progress records, which were loaded after they were fenced.
func (o *ownership) applyProgress(records []cranstore.Record, fencedAt time.Duration) {
	if o.shard.owner != o {
		return
	}
	o.apply("progress", records)
	o.observeFallback(records, fencedAt)
	o.progressLoaded = true
	if claim := o.replica.Claim(); claim.Epoch != o.epoch || claim.Incarnation != o.shard.node.incarnation {
		// A process of another version has used the epoch.
		o.shard.fencedEpoch = max(o.shard.fencedEpoch, claim.Epoch)
		o.shard.stopScheduling("the progress records have the claim of another process")
	}
}

// apply applies records to the replica and returns the changes.
func (o *ownership) apply(stream string, records []cranstore.Record) []cranjob.Change {
	var changes []cranjob.Change
	for _, r := range records {
		change, err := o.replica.Apply(r.Key, r.Value, r.Offset)
		if err != nil {
			o.shard.node.skipMalformed(stream, r, err)
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

// followSubmissions passes the submissions in a stripe to the shard's owner until the ownership ends.
// The control goroutine applies each update before the next read.
func (n *Node) followSubmissions(o *ownership, p *stripe) {
	if !o.beginLoad() {
		return
	}
	end := sync.OnceFunc(o.endLoad)
	defer end()
	f := n.newFollower(readOptions{topic: p.topic, wait: n.submissionsReadWait(), pause: submissionsPause})
	n.follow(o.ctx, "submissions", f, func(u cranstore.Update) {
		n.postAndWait(o.ctx, func() { o.applySubmissions(p, u) })
		if _, current := u.CurrentAt(); current {
			end()
		}
	})
}

const (
	// loadPageBytes is the size of a page of a load, and loadPageTime how long it may take on the link of the
	// process. The renewals of the claim share the link: with longer pages, others claim the shard while it is loaded,
	// and then nobody ever loads it.
	loadPageBytes = 128 << 10
	loadPageTime  = 500 * time.Millisecond
)

// loadsAtOnce returns how many of the given number of topics may be loaded at once: as many as the link of the
// process carries in loadPageTime.
func (n *Node) loadsAtOnce(topics int) int {
	if n.limits.LinkMbps <= 0 {
		return topics
	}
	bytes := n.limits.LinkMbps * 1e6 / 8 * loadPageTime.Seconds()
	return max(int(min(bytes/loadPageBytes, float64(topics))), 1)
}

// beginLoad waits until another topic may be loaded, and returns false if the ownership ends before.
func (o *ownership) beginLoad() bool {
	select {
	case o.loads <- struct{}{}:
		return true
	case <-o.ctx.Done():
		return false
	}
}

func (o *ownership) endLoad() { <-o.loads }

// applySubmissions applies a read of a stripe of the submissions, and passes the changes to the
// scheduler.
func (o *ownership) applySubmissions(p *stripe, u cranstore.Update) {
	if o.shard.owner != o {
		return
	}
	p.batcher.Observe(u.Records)
	o.logCancellations(u)
	if o.scheduler != nil {
		o.scheduler.Advance(o.shard.node.now())
	}
	for _, change := range o.apply("submissions", u.Records) {
		if o.scheduler != nil {
			o.forwardChange(change)
		}
	}
	o.observeRead(p.number, u)
}

// forwardChange tells the scheduler about a job that was submitted or cancelled.
func (o *ownership) forwardChange(change cranjob.Change) {
	switch change.Kind {
	case cranjob.JobAdded:
		if state, known := o.shard.node.digest.Job(change.ID); known && state.Final() {
			return
		}
		e, _ := o.replica.Lookup(change.ID)
		if p := e.Progress(); p != nil && p.State.Final() {
			return
		}
		o.scheduler.AddJob(e.Job())
	case cranjob.JobCancelled:
		o.scheduler.CancelJob(change.ID)
	}
}

// startIfLoaded starts the scheduler once the shard is loaded.
func (o *ownership) startIfLoaded(now cransched.Clock) {
	c := o.shard.node.control
	if !o.progressLoaded || !o.submissionsLoaded || c.config == nil || !c.targets.known {
		return
	}
	s, n := o.shard, o.shard.node
	for id := range o.replica.Jobs() {
		// The final state of a job may be in the digest and not yet in its progress.
		if state, known := n.digest.Job(id); known && state.Final() {
			o.replica.End(id, state, now.UnixMs)
		}
	}
	o.predecessor.LastOrderAt = o.lastOrders(now)
	predecessor, known := s.predecessorOf(s.claim())
	o.predecessor.SameInstance = known && s.isFromEarlierProcess(predecessor)
	for _, id := range slices.Sorted(maps.Keys(o.predecessor.LeasesEndAt)) {
		n.log.Emit(cranevent.LeaseEndInherited, cranevent.Shard(s.name), cranevent.Epoch(o.epoch), cranevent.Target(id),
			cranevent.Age(now.Steady-o.leasesReadAt), cranevent.Remaining(o.predecessor.LeasesEndAt[id]-now.Steady))
	}
	o.scheduledAt = now.Steady
	o.entitlements = s.newEntitlements()
	o.scheduler = cransched.New(o.epoch, n.schedulerTiming(), c.config, o.replica, now, o.predecessor,
		cransched.WithFairness(o.entitlements.ledger))
	o.entitlements.ledger.Resume(n.digest.Usage(s.number))
	o.entitlements.observe(n, now)
	o.entitlements.report.begin(o.entitlements.ledger)
	for id, e := range o.replica.Jobs() {
		if e.Job() != nil {
			o.publish(crandigest.JobState{ID: id, Queue: e.Job().Queue, State: e.State()})
		}
	}
	o.beginQuota(c.config)
	o.scheduler.SetTargets(c.targets.list(s.number))
	o.scheduler.SetWaves(c.waveOrders(s.number))
	n.metrics.TookOver()
	c.ownershipChanged()
	n.log.Emit(cranevent.SchedulerAcquired, cranevent.Shard(s.name), cranevent.Epoch(o.epoch), cranevent.Offset(o.through),
		cranevent.Count(o.scheduler.JobCount()), cranevent.Elapsed(now.Steady-o.beganAt))
}

// schedulerTiming returns the time limits of the scheduler of one shard.
func (n *Node) schedulerTiming() cransched.Timing {
	timing := n.timing
	timing.OrdersPerSecond /= float64(len(n.shards))
	// Other entry instances show the end of a job once they have read it in the digest.
	timing.DeliveryTime = digestInterval + digestPause
	return timing
}

// lastOrders returns the times, on this process's clock, after which no earlier owner has
// decided on an order for an instance.
func (o *ownership) lastOrders(now cransched.Clock) map[string]time.Duration {
	at := map[string]time.Duration{}
	for instance, order := range o.replica.Orders() {
		age := time.Duration(now.UnixMs-order.DecidedMs)*time.Millisecond - orderAgeMargin
		at[instance] = now.Steady - max(age, 0)
	}
	return at
}

// publish adds the state of a job to the next append to the digest, unless the digest has
// it.
func (o *ownership) publish(j crandigest.JobState) {
	if state, known := o.shard.node.digest.Job(j.ID); known && (state >= j.State || state.Final()) {
		return
	}
	if i, pending := o.stateIndex[j.ID]; pending {
		o.states[i] = j
		return
	}
	o.stateIndex[j.ID] = len(o.states)
	o.states = append(o.states, j)
}

// stopScheduling ends this process's ownership without appending anything.
func (s *shard) stopScheduling(reason string) {
	o, n := s.owner, s.node
	if o == nil {
		return
	}
	o.cancel()
	for _, b := range o.trims {
		n.control.group.Go(b.Close)
	}
	n.log.Emit(cranevent.SchedulerLost, cranevent.Shard(s.name), cranevent.Epoch(o.epoch), cranevent.Cause(reason))
	s.owner = nil
	n.metrics.OwnerEnded(s.name)
	o.endEntitlements()
	s.nextClaimAt = n.now().Steady + claimRetryPause
	n.control.ownershipChanged()
}
