package crannode

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

const (
	// maxStepInterval is the longest time between two steps of the control goroutine.
	maxStepInterval = 25 * time.Millisecond
	// handoverTimeout bounds the handover of the shards when the process stops.
	handoverTimeout = 1500 * time.Millisecond
)

// control is the state that only the control goroutine accesses, except where noted. It
// claims shards and drives the schedulers of those that this process owns.
type control struct {
	node   *Node
	runCtx context.Context
	// group counts the goroutines that ownerships have started.
	group sync.WaitGroup
	// digestReadAt is when the digest was last read, and readThrough the time up to which all
	// of its stored records are certain to have been read.
	digestReadAt, readThrough time.Duration
	// lag is the lag of the process when it was last measured, at lagMeasuredAt.
	lag, lagMeasuredAt time.Duration
	// readLatency is how long the store took to answer the newest read without records.
	readLatency time.Duration
	// readingSince is the time of the first read after the newest gap longer than
	// maxReadGap.
	readingSince time.Duration
	// awayUntil is the time of the first read after the newest gap longer than maxQuietGap, in which the
	// store may not have answered this process.
	awayUntil time.Duration
	// loadingDigest is true while pages of the newest records of the digest are still to be read.
	// loadedClaims are the claims in those that were read.
	loadingDigest bool
	loadedClaims  []crandigest.Change
	layout        layoutDecision
	configWatch   configWatch
	config        *cransched.Config
	// configReadAt is the time up to which all stored configurations were read and are in force.
	configReadAt time.Duration
	waves        []*waveState
	targets      targetList
	instances    instanceReader
	// handoverRequested is closed to make the control goroutine hand the shards over,
	// handoverDone once it has done so. Other goroutines use both.
	handoverRequested, handoverDone chan struct{}
	requestOnce                     sync.Once
	doneOnce                        sync.Once
}

func newControl(n *Node) *control {
	return &control{
		node: n, targets: newTargetList(n),
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
			for _, s := range c.node.shards {
				s.stopScheduling("the process stops")
			}
			return
		case <-requested:
			requested = nil
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
// call.
func (c *control) step() time.Duration {
	now := c.node.now()
	c.configWatch.check(c.node, now.Steady)
	c.decideLayout(now.Steady)
	c.measureLag(now.Steady)
	wait := maxStepInterval
	for _, s := range c.node.shards {
		if s.owner == nil {
			s.claimIfUnowned(now.Steady)
			continue
		}
		wait = min(wait, s.owner.step(now))
	}
	if c.scheduling() > 0 {
		c.refreshInstances(now.Steady)
		c.reportWaves(now.Steady)
	}
	if c.node.stopping.Load() && c.ownerships() == 0 {
		c.doneOnce.Do(func() { close(c.handoverDone) })
	}
	return wait
}

// ownerships returns how many shards this process owns or is about to own.
func (c *control) ownerships() int {
	count := 0
	for _, s := range c.node.shards {
		if s.owner != nil || s.claiming || s.claimedEpoch > s.claim().Epoch {
			count++
		}
	}
	return count
}

// scheduling returns how many shards this process schedules.
func (c *control) scheduling() int {
	count := 0
	for _, s := range c.node.shards {
		if s.scheduling() {
			count++
		}
	}
	return count
}

// ownershipChanged follows the targets while this process owns a shard.
func (c *control) ownershipChanged() {
	owned := 0
	for _, s := range c.node.shards {
		if s.owner != nil {
			owned++
		}
	}
	c.targets.setFollowing(owned > 0)
	c.node.owned.Store(int32(c.scheduling())) //nolint:gosec // There are at most a few hundred shards.
	c.node.metrics.OwnedShards(c.scheduling())
}

// requestHandover asks the control goroutine to hand the shards over. It is safe
// for concurrent use.
func (c *control) requestHandover() { c.requestOnce.Do(func() { close(c.handoverRequested) }) }

// awaitHandover waits until the shards have been handed over, for at most
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
	for _, s := range c.node.shards {
		if s.scheduling() {
			s.owner.scheduler.SetConfig(config)
			s.owner.setCaps(config)
		}
	}
}
