package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranquota"
)

// cappedShards simulates the owners of shards that share the cap of a tenant.
type cappedShards struct {
	t       *testing.T
	sims    []*simulation
	ledgers []*cranquota.Ledger
	stored  []cranquota.Record
	cap     cranjob.Resources
	// peak is the most processor time that the tenant had in use.
	peak int
}

const (
	cappedTenant = "t"
	// exchangeTime is how long it takes to append a record and to read it.
	exchangeTime = 300 * time.Millisecond
)

func newCappedShards(t *testing.T, seed uint64, cpu int) *cappedShards {
	c := &cappedShards{t: t, cap: cranjob.Resources{CPU: cpu}, ledgers: make([]*cranquota.Ledger, 2), stored: make([]cranquota.Record, 2)}
	for shard := range c.ledgers {
		sim := newSimulation(t, seed+uint64(shard), 5)
		sim.failureRate, sim.noResponseRate, sim.lossRate, sim.delayRate = 0.05, 0.03, 0.03, 0.02
		sim.longPolls = true
		sim.newQuota = func() Quota {
			c.ledgers[shard] = cranquota.New(shard, len(c.ledgers), c.stored[shard])
			c.ledgers[shard].SetCaps(1, map[string]cranjob.Resources{cappedTenant: c.cap})
			for other, r := range c.stored {
				c.ledgers[shard].SetRecord(other, r)
			}
			return c.ledgers[shard]
		}
		c.sims = append(c.sims, sim)
		sim.takeOver(sim.now - time.Hour)
	}
	return c
}

// runFor runs all shards side by side, exchanges their records, and checks the cap after every step.
func (c *cappedShards) runFor(d time.Duration) {
	for end := c.sims[0].now + d; c.sims[0].now < end; {
		used := 0
		for shard, sim := range c.sims {
			sim.runFor(10 * time.Millisecond)
			if r, changed := c.ledgers[shard].NextRecord(sim.now); changed {
				epoch := sim.epoch
				sim.schedule(exchangeTime, func() {
					if epoch != sim.epoch {
						return
					}
					c.stored[shard] = cranquota.Merge(c.stored[shard], r)
					for _, l := range c.ledgers {
						l.SetRecord(shard, c.stored[shard])
					}
				})
			}
			used += sim.usedBy(cappedTenant)
		}
		require.LessOrEqual(c.t, used, c.cap.CPU+1, "%v", c.sims[0].now)
		c.peak = max(c.peak, used)
	}
}

// usedBy returns the processor time of a tenant's runs on all targets.
func (sim *simulation) usedBy(tenant string) int {
	used := 0
	for _, tgt := range sim.targets {
		for name, r := range tgt.runs {
			if j := sim.jobs[name.Job]; j != nil && j.Tenant == tenant && r.endsAt > sim.now && !tgt.leaseExpired(sim.now) {
				used += j.Steps[name.Step].Demand.CPU
			}
		}
	}
	return used
}

func newCappedJob(id string, tasks, cpu int, gang bool) *cranjob.Job {
	return &cranjob.Job{ID: id, Spec: id, Tenant: cappedTenant, Steps: []cranjob.Step{
		{Count: tasks, Demand: cranjob.Resources{CPU: cpu, Memory: 100}, EstimateMs: 900, Gang: gang},
	}}
}

// TestTwoOwnersKeepCapFarBelowDemand guards against starts beyond a cap while owners change and calls are lost, against a
// share that is stranded, and against gangs that never start.
func TestTwoOwnersKeepCapFarBelowDemand(t *testing.T) {
	for seed := range uint64(3) {
		c := newCappedShards(t, 10*seed+1, 7000)
		// A simulated target doesn't end the members of a gang of which one has not started.
		gangs := seed == 0
		for _, sim := range c.sims {
			if gangs {
				sim.lossRate, sim.delayRate = 0, 0
			}
		}
		jobs := 0
		submit := func(shard, tasks, cpu int, gang bool) {
			jobs++
			c.sims[shard].submit(newCappedJob(fmt.Sprintf("j%d", jobs), tasks, cpu, gang))
		}
		for i := range 12 {
			submit(i%2, 5, 1000, false)
		}
		c.runFor(4 * time.Second)
		require.Equal(t, 7000, c.peak, "the whole cap should be in use")
		for i := range 30 {
			submit(i%2, 1+i%5, 1000, false)
			if gangs && i%10 == 3 {
				submit(i/10%2, 3, 2000, true)
			}
			c.runFor(200 * time.Millisecond)
			if i%8 == 7 {
				sim := c.sims[i/8%2]
				sim.takeOver(sim.now + time.Second)
			}
		}
		c.runFor(60 * time.Second)
		for _, sim := range c.sims {
			for id, state := range sim.states() {
				require.True(t, state.Final(), "%s is %v", id, state)
			}
		}
	}
}

// TestCappedTasksAreNoDemand guards against instances and reserved targets for tasks that may not start, and against other
// tenants that wait for them.
func TestCappedTasksAreNoDemand(t *testing.T) {
	c := newCappedShards(t, 1, 2000)
	sim := c.sims[0]
	c.runFor(2 * time.Second)
	for i := range 40 {
		sim.submit(newCappedJob(fmt.Sprintf("capped%d", i), 8, 1000, false))
	}
	long := newLongRunningJob("long", 3)
	long.Tenant = cappedTenant
	sim.submit(long)
	c.runFor(time.Second)
	sim.submit(newBatchJob("free", 10))
	c.runFor(200 * time.Millisecond)
	require.Positive(t, sim.countRunning("free"))
	require.Empty(t, sim.owner.starved)
	d := sim.owner.demands()["p"]
	require.LessOrEqual(t, d.LongRunning.CPU+d.Urgent.CPU+d.Late.CPU, 12000.0)
}

// TestSuccessorCountsRunsOfEndedJobs guards against starts beyond a cap beside runs that a predecessor couldn't stop: their
// job was cancelled, and their target answers neither owner, or the successor, which stops them.
func TestSuccessorCountsRunsOfEndedJobs(t *testing.T) {
	for _, answers := range []bool{false, true} {
		c := newCappedShards(t, 1, 4000)
		sim := c.sims[0]
		sim.failureRate, sim.noResponseRate, sim.lossRate, sim.delayRate = 0, 0, 0, 0
		c.runFor(2 * time.Second)
		job := newCappedJob("cancelled", 4, 1000, false)
		job.Steps[0].EstimateMs = 20_000
		sim.submit(job)
		c.runFor(3 * time.Second)
		require.Equal(t, 4, sim.countRunning("cancelled"))
		for _, owner := range []int{sim.ownerID, sim.ownerID + 1} {
			sim.cutOffUntil[owner] = map[string]time.Duration{}
			for id, tgt := range sim.targets {
				if len(tgt.runs) > 0 && (owner == sim.ownerID || !answers) {
					sim.cutOffUntil[owner][id] = sim.now + time.Minute
				}
			}
		}
		sim.cancel("cancelled")
		c.runFor(100 * time.Millisecond)
		sim.takeOver(sim.now + OwnershipTimeout)
		for i := range 4 {
			sim.submit(newCappedJob(fmt.Sprintf("next%d", i), 1, 1000, false))
		}
		c.runFor(2 * time.Second)
		require.Equal(t, answers, sim.countRunning("cancelled") == 0)
		c.runFor(20 * time.Second)
		require.Equal(t, cranjob.Completed, sim.states()["next3"])
	}
}

// TestStoredStartIsDroppedWhenCapShrinks guards against a start that was decided by a higher cap and is sent once it is stored,
// which may take seconds.
func TestStoredStartIsDroppedWhenCapShrinks(t *testing.T) {
	// A single task above the cap may run alone.
	for capacity, starts := range map[int]int{24_000: 16, 15_000: 10, 1: 1} {
		s := newBenchScheduler(cranjob.NewReplica(), 4)
		l := cranquota.New(0, 1, cranquota.Record{})
		l.SetCaps(1, map[string]cranjob.Resources{cappedTenant: {CPU: 30_000}})
		s.SetQuota(l)
		j := newBenchJob(1)
		j.Tenant = cappedTenant
		s.AddJob(j)
		s.place()
		_, decided := s.NextBatch()
		require.True(t, decided)
		l.SetCaps(2, map[string]cranjob.Resources{cappedTenant: {CPU: capacity}})
		s.place()
		s.Effects()
		s.ConfirmBatch()
		sent := 0
		for _, e := range s.Effects() {
			if _, isStart := e.(StartRun); isStart {
				sent++
			}
		}
		require.Equal(t, starts, sent, "cap %d", capacity)
	}
}
