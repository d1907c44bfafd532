package cransched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// withTenants configures tenants of equal weight, t0 and so on, and lets all owners count entitlements.
func (sim *simulation) withTenants(count int, weight float64) {
	var entries []crantenant.Entry
	for i := range count {
		entries = append(entries, crantenant.Entry{Tenant: crantenant.Tenant{Name: fmt.Sprintf("t%d", i), Weight: weight}})
	}
	directory, err := crantenant.New(entries)
	require.NoError(sim.t, err)
	sim.config.Tenants = directory
	sim.fairness = func() Fairness { return cranfair.NewLedger(0, 1) }
}

// submitFor submits a job of a tenant.
func (sim *simulation) submitFor(tenant string, j *cranjob.Job) {
	j.Tenant = tenant
	sim.submit(j)
}

// p99Wait returns the 99th percentile of the time from receipt to the first start of the jobs of all tenants but
// one. It fails if one of them has not started.
func (sim *simulation) p99Wait(except string) time.Duration {
	first := map[string]time.Duration{}
	for _, s := range sim.starts {
		if _, started := first[s.Task.Job]; !started {
			first[s.Task.Job] = s.at
		}
	}
	var waits []time.Duration
	for id, j := range sim.jobs {
		if j.Tenant == except || j.Tenant == "" {
			continue
		}
		at, started := first[id]
		require.True(sim.t, started, id)
		waits = append(waits, at-time.Duration(j.ReceivedMs-sim.unix())*time.Millisecond-sim.now)
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// playBurst plays 20 tenants that each send within their weight. If burst is set, one of them sends much more for
// 6 s: fifteen jobs per second, beside five of all tenants together.
func playBurst(t *testing.T, seed uint64, burst, limited bool) *simulation {
	const tenants = 20
	sim := newSimulation(t, seed, 20)
	sim.failureRate, sim.longPolls, sim.dropMoves = 0, true, true
	sim.withTenants(tenants, 0.3)
	if !limited {
		sim.fairness = nil
	}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	const interval = 200 * time.Millisecond
	for i := range 200 {
		sim.submitFor(fmt.Sprintf("t%d", i%tenants), newBatchJob(fmt.Sprintf("j%d", i), 4))
		if burst && i >= 60 && i < 90 {
			for k := range 3 {
				sim.submitFor("t7", newBatchJob(fmt.Sprintf("burst%d.%d", i, k), 4))
			}
		}
		sim.runFor(interval)
	}
	sim.runFor(40 * time.Second)
	return sim
}

// TestBurstOfOneTenantDelaysNoOther guards against a tenant that delays the jobs of others by sending more than it is
// entitled to. Its own jobs must still all complete.
func TestBurstOfOneTenantDelaysNoOther(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			calm := playBurst(t, seed, false, true).p99Wait("t7")
			sim := playBurst(t, seed, true, true)
			surged := sim.p99Wait("t7")
			t.Logf("99th percentile of the others' waits: calm %v, with the burst %v, without entitlements %v",
				calm, surged, playBurst(t, seed, true, false).p99Wait("t7"))
			require.LessOrEqual(t, surged, calm+calm/10)
			for id, state := range sim.states() {
				require.Equal(t, cranjob.Completed, state, id)
			}
		})
	}
}

// TestSuccessorClassifiesJobsAlike guards against jobs that change their class with the owner, also where jobs that
// were within the entitlement have ended.
func TestSuccessorClassifiesJobsAlike(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.failureRate, sim.longPolls, sim.dropMoves = 0, true, true
	sim.withTenants(3, 1)
	sim.takeOver(sim.now - time.Hour)
	for i := range 60 {
		sim.submitFor(fmt.Sprintf("t%d", i%4), newBatchJob(fmt.Sprintf("j%d", i), 2))
		sim.runFor(time.Duration(sim.random.IntN(200)) * time.Millisecond)
	}
	classes := func() map[string]bool {
		beyond := map[string]bool{}
		for id, j := range sim.owner.jobs {
			beyond[id] = j.beyond
		}
		return beyond
	}
	before := classes()
	require.Less(t, len(before), 60)
	require.Contains(t, before, "j59")
	sim.takeOver(sim.now)
	require.Equal(t, before, classes())
	require.NotEmpty(t, sim.owner.BeyondEntitlement())
}

// TestBeyondWorkCountsLikeLateWork guards against pools that grow for work beyond the entitlement as for work that is
// owed.
func TestBeyondWorkCountsLikeLateWork(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.withTenants(1, 0)
	sim.takeOver(sim.now - time.Hour)
	sim.submitFor("t0", newBatchJob("beyond", 4))
	d := sim.owner.demands()["p"]
	require.Zero(t, d.Urgent)
	require.Zero(t, d.Expected)
	require.Positive(t, d.Late.CPU)
	owed := d.Late
	sim.takeOver(sim.now)
	require.Zero(t, sim.owner.demands()["p"].Expected)
	sim.submit(newBatchJob("owed", 4))
	d = sim.owner.demands()["p"]
	require.Equal(t, owed, d.Late)
	require.Greater(t, d.Urgent.CPU, owed.CPU)
}

// waitsForRoom returns a task that waits although it fits on a target; empty if there is none.
func (s *Scheduler) waitsForRoom() string {
	byPool := map[string][]*target{}
	for _, t := range s.sorted {
		if t.schedulable(s.clock.Steady) && !s.hasPendingOrder(t) {
			byPool[t.info.Pool] = append(byPool[t.info.Pool], t)
		}
	}
	for _, j := range s.jobs {
		for _, st := range j.stages {
			if !j.ready(st, s.clock.UnixMs) {
				continue
			}
			for _, t := range st.tasks {
				if s.mayPlace(t) && s.chooseTarget(st, byPool[j.Pool]) != nil {
					return t.name.String()
				}
			}
		}
	}
	return ""
}

// TestNoRoomIsIdleWhileTaskWaits guards against an order, an entitlement or a list of candidates that leaves room idle,
// by random jobs of tenants with random entitlements. In half of the seeds most rounds take the candidates of an earlier
// one. The limit on starts under way, which needs no room, is left out.
func TestNoRoomIsIdleWhileTaskWaits(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			sim.failureRate, sim.longPolls, sim.dropMoves = 0, true, true
			sim.withTenants(4, 2*sim.random.Float64())
			sim.takeOver(sim.now - time.Hour)
			if seed%2 == 1 {
				sim.owner.survey.surveyedAtOnce = 0
			}
			checked, short := 0, 0
			for i := range 400 {
				if i < 200 && sim.random.IntN(3) == 0 {
					j := newBatchJob(fmt.Sprintf("j%d", i), 1+sim.random.IntN(6))
					for k := range j.Steps {
						j.Steps[k].Demand = cranjob.Resources{CPU: 200 + sim.random.IntN(2000), Memory: 200 + sim.random.IntN(4000)}
					}
					sim.submitFor(fmt.Sprintf("t%d", sim.random.IntN(4)), j)
				}
				sim.runFor(50 * time.Millisecond)
				sim.owner.Advance(sim.clock())
				sim.owner.Tick()
				if sim.owner.startsLimited {
					continue
				}
				checked++
				require.Empty(t, sim.owner.waitsForRoom())
				if sim.owner.WaitingTasks() > 0 {
					short++
				}
			}
			require.Greater(t, checked, 100)
			require.Greater(t, short, 20)
		})
	}
}
