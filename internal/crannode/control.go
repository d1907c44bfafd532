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
	// producer names the scheduler's appends.
	producer = "scheduler"
	// claimEvery is how often an owner renews its claim.
	claimEvery = 400 * time.Millisecond
	// claimSilence is how long an owner's claim may stay away before another
	// entry instance claims: more than three renewals, and claimLatencies
	// answers of a store that is slow.
	claimSilence   = 1500 * time.Millisecond
	claimLatencies = 8
	// claimSpread keeps entry instances from claiming all at once.
	claimSpread = 300 * time.Millisecond
	// smallProcessor is the share of a core below which a process leaves the
	// scheduling to others: at 350 targets it takes 0.3 of a core.
	smallProcessor = 0.3
	// smallDelay is how much later such a process claims: the others have had
	// the time for two tries.
	smallDelay = time.Second
	// lagBound is the time between two looks of an owner at its work from which
	// on it is late; after lagLimit of them it leaves the scheduling to others
	// for lagPause.
	lagBound = 250 * time.Millisecond
	lagLimit = 8
	lagPause = 10 * time.Second
	// claimRetry is the pause after a claim that failed.
	claimRetry = 400 * time.Millisecond
	// readGap is the longest time between two reads of the book that still
	// count as watching the owner.
	readGap = 2 * time.Second
	// batchPause is the least time between two appends of an owner.
	batchPause = 25 * time.Millisecond
	// appendTimeout bounds one try of an append.
	appendTimeout = 1500 * time.Millisecond
	// appendPause is the pause after a try that failed.
	appendPause = 80 * time.Millisecond
	// instancesEvery is how often an owner reads the list of instances.
	instancesEvery = 500 * time.Millisecond
	// callTimeout bounds a call to a target or to the platform.
	callTimeout = 900 * time.Millisecond
	// trimTimeout bounds how long a smaller record of an ended job waits for its
	// append, behind those of callers.
	trimTimeout = 5 * time.Second
	// vacateTimeout bounds the handing over of the scheduling at a stop.
	vacateTimeout = 1500 * time.Millisecond
)

// control is what the control goroutine alone touches.
type control struct {
	node *Node
	work context.Context
	// claimAt is when a new claim was read, readAt when the book was, and
	// ownerAt when a record of the owner was.
	claimAt, readAt, ownerAt time.Duration
	// former is the claim before the newest one of another epoch.
	former cranjob.Claim
	// knownAt is the time up to which all records were read for certain.
	knownAt time.Duration
	// latency is how long the store takes to answer a read, lately.
	latency time.Duration
	// orderAt is when the newest order for each instance was read.
	orderAt map[string]time.Duration
	// watchedFrom is since when the book was read without a gap.
	watchedFrom time.Duration
	// ableFrom is since when this process could claim; 0 before.
	ableFrom time.Duration
	// claimSent is when this process\'s newest claim was sent.
	claimSent time.Duration
	claiming  bool
	claimNext time.Duration
	// floor is an epoch that was seen; the next claim lies above it.
	floor uint64
	// attempt is the epoch of this process's newest claim.
	attempt uint64
	// taking is a takeover under way; nil if there is none.
	taking  *takeover
	owner   *ownership
	config  *cransched.Config
	waves   []cransched.WaveOrder
	targets map[string]cransched.TargetInfo
	// targetsKnown is true once the list of targets was read.
	targetsKnown bool
	// leaving is closed when the scheduling is to be handed over, vacated once
	// that is done.
	leaving, vacated chan struct{}
	leaveOnce        sync.Once
	vacatedOnce      sync.Once
}

// ownership is what an owner holds beside its scheduler.
type ownership struct {
	scheduler *cransched.Scheduler
	epoch     uint64
	// sequence is the number of the newest append.
	sequence uint64
	beat     uint64
	claimed  time.Duration
	// confirmedAt is when the newest confirmed append was sent.
	confirmedAt atomic.Int64
	appending   bool
	appendNext  time.Duration
	instancesAt time.Duration
	asking      bool
	// ticked is when the scheduler looked at everything last, lags how often
	// that was late.
	ticked time.Duration
	lags   int
	// appendTook is how long the newest append took.
	appendTook time.Duration
	ctx        context.Context
	cancel     context.CancelFunc
}

func newControl(n *Node) *control {
	return &control{
		node: n, targets: map[string]cransched.TargetInfo{}, orderAt: map[string]time.Duration{},
		leaving: make(chan struct{}), vacated: make(chan struct{}),
	}
}

// run is the control goroutine.
func (c *control) run(work context.Context) {
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	leaving := c.leaving
	for {
		select {
		case <-work.Done():
			c.abdicate("the process stops")
			return
		case <-leaving:
			leaving = nil
			c.vacate()
		case event := <-c.node.events:
			event()
			c.drain()
		case <-timer.C:
		}
		timer.Reset(c.step())
	}
}

// drain takes the events that wait, so that one step serves them all.
func (c *control) drain() {
	for {
		select {
		case event := <-c.node.events:
			event()
		default:
			return
		}
	}
}

// step does what is due and returns when it is to be called again at the
// latest. What events change is looked at together, a few milliseconds later.
func (c *control) step() time.Duration {
	now := c.node.now()
	if c.owner == nil {
		c.continueTakeover(now)
		c.considerClaim(now.Steady)
		return tickEvery
	}
	o := c.owner
	o.scheduler.Advance(now)
	wait := tickEvery
	if since := now.Steady - o.ticked; since < tickPause {
		wait = tickPause - since
	} else if !c.node.stopping.Load() {
		if o.ticked != 0 && now.Steady-o.ticked > lagBound {
			o.lags++
		}
		o.ticked = now.Steady
		o.scheduler.Tick()
		c.askInstances(now.Steady)
	}
	c.append(now.Steady)
	c.perform(o)
	return wait
}

// readProgress takes in what a read of the scheduler's records brought.
func (c *control) readProgress(u cranstore.Update) {
	n := c.node
	now := n.now()
	if u.Sent-c.readAt > readGap || c.readAt == 0 {
		c.watchedFrom = now.Steady
	}
	c.readAt = now.Steady
	// A read tells of all that was stored before it was answered; without
	// records that was at the end of its wait.
	c.knownAt = u.Sent
	if len(u.Records) == 0 && !u.Reset {
		c.latency = max(now.Steady-u.Sent-bookWait, 0)
		c.knownAt += bookWait
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range u.Records {
		before := n.book.Claim()
		change, applied := n.apply(n.progress, r)
		if !applied {
			continue
		}
		if change.Kind == cranjob.ClaimChanged {
			if before.Epoch != n.book.Claim().Epoch {
				c.former = before
			}
			c.claimRead(now)
		}
		if change.Kind == cranjob.OrderChanged {
			c.orderAt[change.ID] = now.Steady
		}
		if change.Kind == cranjob.ClaimChanged || change.Kind == cranjob.ProgressChanged {
			c.ownerAt = now.Steady
		}
	}
	n.advance(n.progress, u)
}

// readSubmissions takes in what a read of the callers' records brought.
func (c *control) readSubmissions(u cranstore.Update) {
	n := c.node
	n.batcher.Observe(u.Records)
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.owner != nil {
		c.owner.scheduler.Advance(n.now())
	}
	for _, r := range u.Records {
		if change, applied := n.apply(n.submissions, r); applied && c.owner != nil {
			c.feed(change)
		}
	}
	n.advance(n.submissions, u)
}

// feed tells the scheduler of a change by another process.
func (c *control) feed(change cranjob.Change) {
	switch change.Kind {
	case cranjob.JobAdded:
		e, _ := c.node.book.Lookup(change.ID)
		if p := e.Progress(); p != nil && p.State.Final() {
			return
		}
		c.owner.scheduler.AddJob(e.Job())
	case cranjob.JobCancelled:
		c.owner.scheduler.CancelJob(change.ID)
	}
}

// leave asks the control goroutine to hand the scheduling over.
func (c *control) leave() { c.leaveOnce.Do(func() { close(c.leaving) }) }

// isLeaving reports whether the owner hands the scheduling over: the process
// stops, or it has too little processor time.
func (c *control) isLeaving(o *ownership) bool {
	return c.node.stopping.Load() || o.lags >= lagLimit
}

// vacate tells the other entry instances that the scheduling is free.
func (c *control) vacate() {
	if c.owner == nil {
		c.vacatedOnce.Do(func() { close(c.vacated) })
		return
	}
	c.owner.appendNext = 0
}

// awaitVacated waits until the scheduling was handed over.
func (c *control) awaitVacated() {
	timer := time.NewTimer(vacateTimeout)
	defer timer.Stop()
	select {
	case <-c.vacated:
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
	if c.readAt == 0 {
		// The wave began before this process did.
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
