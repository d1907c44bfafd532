package crannode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// producer is the producer name of the scheduler's appends.
	producer = "scheduler"
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
	// minCPUCores is the processor capacity, in cores, below which a process leaves the
	// scheduling to others if it can. The scheduler needs 0.3 of a core for 350 targets.
	minCPUCores = 0.3
	// lowCPUDelay is how much later a process with less than minCPUCores claims. It
	// gives the others time for two attempts.
	lowCPUDelay = time.Second
	// lateTickThreshold is the time between two scheduler ticks above which a tick
	// counts as late. After maxLateTicks late ticks the owner hands the scheduling over
	// and does not claim again for lateOwnerPause.
	lateTickThreshold = 250 * time.Millisecond
	maxLateTicks      = 8
	lateOwnerPause    = 10 * time.Second
	// claimRetryPause is the pause after a failed claim.
	claimRetryPause = 400 * time.Millisecond
	// maxReadGap is the longest time between two reads of the scheduler's topic. After
	// a longer gap, in which renewals may have gone unnoticed, the time that the owner
	// has not renewed its claim is measured from the next read.
	maxReadGap = 2 * time.Second
	// appendInterval is the minimum time between two appends of an owner.
	appendInterval = 25 * time.Millisecond
	// appendTimeout bounds one attempt of an append.
	appendTimeout = 1500 * time.Millisecond
	// maxAppendBytes bounds the records of one append. On a link of 10 Mbit/s they take
	// 0.2 s; the store's own limit for a call is several times as high.
	maxAppendBytes = 256 << 10
	// appendRetryPause is the pause after a failed attempt.
	appendRetryPause = 80 * time.Millisecond
	// instancesInterval is how often an owner reads the list of instances.
	instancesInterval = 500 * time.Millisecond
	// instancesTimeout bounds the read of the whole list, and instancePageAttempts how
	// often one page is requested.
	instancesTimeout     = 20 * time.Second
	instancePageAttempts = 3
	// callTimeout bounds a call to a target or to the platform.
	callTimeout = 900 * time.Millisecond
	// trimTimeout bounds the append that replaces the submission of an ended job by a
	// smaller record. It queues behind the appends of callers.
	trimTimeout = 5 * time.Second
	// handoverTimeout bounds the handover of the scheduling when the process stops.
	handoverTimeout = 1500 * time.Millisecond
)

// control is the state that only the control goroutine accesses, except where noted. It
// claims the scheduling and drives the scheduler while this process is the owner.
type control struct {
	node   *Node
	runCtx context.Context
	// claimReadAt is when the newest claim record was read, progressReadAt when the
	// scheduler's topic was last read, and ownerRecordAt when the newest record
	// written by an owner was read.
	claimReadAt, progressReadAt, ownerRecordAt time.Duration
	// previousClaim is the last claim of the epoch before the current one.
	previousClaim cranjob.Claim
	// readThrough is the time up to which all stored records are certain to have been
	// read.
	readThrough time.Duration
	// readLatency is how long the store took to answer the newest read without records.
	readLatency time.Duration
	// orderReadAt is when the newest order for each instance was read.
	orderReadAt map[string]time.Duration
	// readingSince is the time of the first read after the newest gap longer than
	// maxReadGap.
	readingSince time.Duration
	// eligibleSince is when this process first could have claimed; 0 before.
	eligibleSince time.Duration
	// claimSentAt is when this process sent its newest claim.
	claimSentAt time.Duration
	// claiming is true while a claim is being appended. The next claim is sent no
	// earlier than nextClaimAt.
	claiming    bool
	nextClaimAt time.Duration
	// fencedEpoch is the highest epoch that the store has reported when it refused a
	// claim as outdated. The next claim uses a higher one.
	fencedEpoch uint64
	// claimedEpoch is the epoch of this process's newest claim.
	claimedEpoch uint64
	// pendingTakeover is the takeover in progress; nil if there is none.
	pendingTakeover *takeover
	owner           *ownership
	configWatch     configWatch
	config          *cransched.Config
	waves           []cransched.WaveOrder
	targets         map[string]cransched.TargetInfo
	// targetsKnown is true once the list of targets has been read.
	targetsKnown bool
	// handoverRequested is closed to make the control goroutine hand the scheduling
	// over, handoverDone once it has done so. Other goroutines use both.
	handoverRequested, handoverDone chan struct{}
	requestOnce                     sync.Once
	doneOnce                        sync.Once
}

// ownership is the state of a process that owns the scheduling.
type ownership struct {
	scheduler *cransched.Scheduler
	epoch     uint64
	// sequence is the sequence number of the newest append.
	sequence uint64
	// renewals is how often the claim has been renewed, claimedAt when the newest claim
	// or renewal was made.
	renewals  uint64
	claimedAt time.Duration
	// confirmedAt is when the newest confirmed append was sent.
	confirmedAt      atomic.Int64
	appending        bool
	nextAppendAt     time.Duration
	nextInstancesAt  time.Duration
	listingInstances bool
	// tickedAt is when the scheduler last ran a full tick; lateTicks counts the ticks
	// that came later than lateTickThreshold.
	tickedAt  time.Duration
	lateTicks int
	// appendLatency is how long the newest append took.
	appendLatency time.Duration
	ctx           context.Context
	cancel        context.CancelFunc
}

func newControl(n *Node) *control {
	return &control{
		node: n, targets: map[string]cransched.TargetInfo{}, orderReadAt: map[string]time.Duration{},
		handoverRequested: make(chan struct{}), handoverDone: make(chan struct{}),
	}
}

// run is the control goroutine. It returns when runCtx ends.
func (c *control) run(runCtx context.Context) {
	timer := time.NewTimer(maxStepInterval)
	defer timer.Stop()
	requested := c.handoverRequested
	for {
		select {
		case <-runCtx.Done():
			c.stopScheduling("the process stops")
			return
		case <-requested:
			requested = nil
			c.handOver()
		case event := <-c.node.events:
			event()
			c.runQueuedEvents()
		case <-timer.C:
		}
		timer.Reset(c.step())
	}
}

// runQueuedEvents runs all events that are already queued, so that one step covers all
// of them.
func (c *control) runQueuedEvents() {
	for {
		select {
		case event := <-c.node.events:
			event()
		default:
			return
		}
	}
}

// step runs the work that is due and returns the longest time to wait before the next
// call. Scheduler ticks are at least minTickInterval apart, so that one tick covers
// several events.
func (c *control) step() time.Duration {
	now := c.node.now()
	c.configWatch.check(c.node, now.Steady)
	if c.owner == nil {
		c.continueTakeover(now)
		c.claimIfUnowned(now.Steady)
		return maxStepInterval
	}
	o := c.owner
	o.scheduler.Advance(now)
	wait := maxStepInterval
	if since := now.Steady - o.tickedAt; since < minTickInterval {
		wait = minTickInterval - since
	} else if !c.node.stopping.Load() {
		if o.tickedAt != 0 && now.Steady-o.tickedAt > lateTickThreshold {
			o.lateTicks++
		}
		o.tickedAt = now.Steady
		o.scheduler.Tick()
		c.refreshInstances(now.Steady)
	}
	c.append(now.Steady)
	c.performEffects(o)
	return wait
}

// applyProgress applies a read of the scheduler's topic to the replica.
func (c *control) applyProgress(u cranstore.Update) {
	n := c.node
	now := n.now()
	if u.Sent-c.progressReadAt > maxReadGap || c.progressReadAt == 0 {
		c.readingSince = now.Steady
	}
	c.progressReadAt = now.Steady
	// A read returns everything stored before it was answered. A read without records
	// was answered at the end of its wait.
	c.readThrough = u.Sent + u.Waited
	if len(u.Records) == 0 && !u.Reset {
		c.readLatency = max(now.Steady-c.readThrough, 0)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range u.Records {
		before := n.replica.Claim()
		change, applied := n.apply(n.progress, r)
		if !applied {
			continue
		}
		if change.Kind == cranjob.ClaimChanged {
			if before.Epoch != n.replica.Claim().Epoch {
				c.previousClaim = before
			}
			c.observeClaim(now)
		}
		if change.Kind == cranjob.OrderChanged {
			c.orderReadAt[change.ID] = now.Steady
		}
		if change.Kind == cranjob.ClaimChanged || change.Kind == cranjob.ProgressChanged {
			c.ownerRecordAt = now.Steady
		}
	}
	n.advance(n.progress, u)
}

// applySubmissions applies a read of the submissions topic to the replica, and passes
// the changes to the scheduler if this process is the owner.
func (c *control) applySubmissions(u cranstore.Update) {
	n := c.node
	n.batcher.Observe(u.Records)
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.owner != nil {
		c.owner.scheduler.Advance(n.now())
	}
	for _, r := range u.Records {
		if change, applied := n.apply(n.submissions, r); applied && c.owner != nil {
			c.forwardChange(change)
		}
	}
	n.advance(n.submissions, u)
}

// forwardChange tells the scheduler about a job that was submitted or cancelled.
func (c *control) forwardChange(change cranjob.Change) {
	switch change.Kind {
	case cranjob.JobAdded:
		e, _ := c.node.replica.Lookup(change.ID)
		if p := e.Progress(); p != nil && p.State.Final() {
			return
		}
		c.owner.scheduler.AddJob(e.Job())
	case cranjob.JobCancelled:
		c.owner.scheduler.CancelJob(change.ID)
	}
}

// requestHandover asks the control goroutine to hand the scheduling over. It is safe
// for concurrent use.
func (c *control) requestHandover() { c.requestOnce.Do(func() { close(c.handoverRequested) }) }

// shouldHandOver reports whether the owner must hand the scheduling over, because the
// process stops or has too little processor time.
func (c *control) shouldHandOver(o *ownership) bool {
	return c.node.stopping.Load() || o.lateTicks >= maxLateTicks
}

// handOver makes the next step append a claim marked as released, so that another entry
// instance claims at once.
func (c *control) handOver() {
	if c.owner == nil {
		c.doneOnce.Do(func() { close(c.handoverDone) })
		return
	}
	c.owner.nextAppendAt = 0
}

// awaitHandover waits until the scheduling has been handed over, for at most
// handoverTimeout.
func (c *control) awaitHandover() {
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	select {
	case <-c.handoverDone:
	case <-timer.C:
	}
}

func (c *control) setConfig(config *cransched.Config) {
	c.config = config
	if c.owner != nil {
		c.owner.scheduler.SetConfig(config)
	}
}

func (c *control) addWave(o cransched.WaveOrder) {
	if slices.ContainsFunc(c.waves, func(w cransched.WaveOrder) bool { return w.Wave == o.Wave }) {
		return
	}
	o.SeenAt = c.node.now().Steady
	if c.progressReadAt == 0 {
		// The wave was ordered before this process started, at an unknown time. Assume
		// that half of its duration has passed.
		o.SeenAt -= o.Duration / 2
	}
	c.waves = append(c.waves, o)
	if c.owner != nil {
		c.owner.scheduler.Advance(c.node.now())
		c.owner.scheduler.SetWaves(c.waves)
	}
}

func (c *control) targetList() []cransched.TargetInfo {
	list := make([]cransched.TargetInfo, 0, len(c.targets))
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		list = append(list, c.targets[id])
	}
	return list
}
