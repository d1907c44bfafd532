package crannode

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
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
	claimLatencies = 4
	// claimSpread keeps entry instances from claiming all at once.
	claimSpread = 300 * time.Millisecond
	// smallProcessor is the share of a core below which a process leaves the
	// scheduling to others: at 350 targets it takes 0.3 of a core.
	smallProcessor = 0.3
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
	// vacateTimeout bounds the handing over of the scheduling at a stop.
	vacateTimeout = 1500 * time.Millisecond
)

// control is what the control goroutine alone touches.
type control struct {
	node *Node
	work context.Context
	// lost is true while the store doesn't answer.
	lost bool
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
	ableFrom  time.Duration
	claiming  bool
	claimNext time.Duration
	// floor is an epoch that was seen; the next claim lies above it.
	floor uint64
	// attempt is the epoch of this process's newest claim.
	attempt uint64
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
	// ticked is when the scheduler looked at everything last.
	ticked time.Duration
	ctx    context.Context
	cancel context.CancelFunc
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
		c.considerClaim(now.Steady)
		return tickEvery
	}
	o := c.owner
	o.scheduler.Advance(now)
	wait := tickEvery
	if since := now.Steady - o.ticked; since < tickPause {
		wait = tickPause - since
	} else if !c.node.stopping.Load() {
		o.ticked = now.Steady
		o.scheduler.Tick()
		c.askInstances(now.Steady)
	}
	c.append(now.Steady)
	c.perform(o)
	return wait
}

// read takes in what a read of the book brought.
func (c *control) read(u cranstore.Update) {
	n := c.node
	if (u.Err != nil) != c.lost {
		c.lost = u.Err != nil
		n.dependency("jobs", u.Err)
	}
	if u.Err != nil {
		return
	}
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
	for _, r := range u.Records {
		before := n.book.Claim()
		change, err := n.book.Apply(r.Key, r.Value, r.Offset)
		if err != nil {
			n.log.Emit(cranevent.MalformedRecord, cranevent.Stream("jobs"), cranevent.Offset(r.Offset), cranevent.Err(err))
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
		if c.owner != nil {
			c.owner.scheduler.Advance(now)
			c.feed(change)
		}
	}
	n.book.SetNext(u.Next)
	n.loaded = true
	close(n.advanced)
	n.advanced = make(chan struct{})
	n.mu.Unlock()
	n.contactAt.Store(int64(u.Sent))
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

// claimRead takes in the newest claim. A process owns the scheduling from the
// moment at which it reads its own claim: the book holds everything before it.
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
	if mine && c.owner == nil && !c.node.stopping.Load() && claim.Beat == 0 {
		c.takeOver(claim, now)
	}
}

// considerClaim claims the scheduling when nobody has it.
func (c *control) considerClaim(now time.Duration) {
	n := c.node
	if c.claiming || n.stopping.Load() || !n.loaded || c.config == nil || !c.targetsKnown ||
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
	patience := claimSilence + claimLatencies*c.latency + c.spread()
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
		_, err := n.topic.Append(ctx, []cranstore.Record{record}, o)
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
		spread += claimSpread
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

func (c *control) takeOver(claim cranjob.Claim, now cransched.Clock) {
	n := c.node
	// The earlier owner acts for a bounded time after an append that it knows
	// to be stored, and whatever it stored has been read here since.
	former := cransched.Former{Until: c.ownerAt + cransched.OwnershipBound, OrderAt: maps.Clone(c.orderAt)}
	if c.former.Vacated || c.isPredecessor(c.former) {
		former.Until = now.Steady
	}
	if c.isPredecessor(c.former) {
		// The platform takes both processes for one holder.
		former.OrderAt = nil
	}
	s := cransched.New(claim.Epoch, n.timing, c.config, n.book, now, former)
	o := &ownership{scheduler: s, epoch: claim.Epoch, claimed: now.Steady}
	o.confirmedAt.Store(int64(now.Steady))
	o.ctx, o.cancel = context.WithCancel(c.work)
	c.owner = o
	n.owning.Store(true)
	s.SetTargets(c.targetList())
	s.SetWaves(c.waves, nil)
	n.metrics.TookOver()
	n.log.Emit(cranevent.SchedulerTaken, cranevent.Epoch(claim.Epoch), cranevent.Offset(n.book.Next()), cranevent.Count(s.Jobs()))
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

// leave asks the control goroutine to hand the scheduling over.
func (c *control) leave() { c.leaveOnce.Do(func() { close(c.leaving) }) }

// vacate tells the other entry instances that the scheduling is free.
func (c *control) vacate() {
	if c.owner == nil {
		close(c.vacated)
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
		c.owner.scheduler.SetWaves(c.waves, nil)
	}
}

func (c *control) targetList() []cransched.TargetInfo {
	list := make([]cransched.TargetInfo, 0, len(c.targets))
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		list = append(list, c.targets[id])
	}
	return list
}
