package cransched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// submitUncertain submits a job of two steps of four tasks. Its estimates are off by a standard deviation of the
// logarithm of 0.9, jobs differ from the median of their image by 0.5, and tasks of a step by 0.15. It returns the
// time by which the job should be complete.
func (sim *simulation) submitUncertain(random *rand.Rand, id string) int64 {
	j := newBatchJob(id, 4)
	image := random.IntN(3)
	log := math.Log([]float64{300, 800, 2000}[image]) + 0.5*random.NormFloat64()
	path := time.Duration(0)
	for i := range j.Steps {
		j.Steps[i].EstimateMs, j.Steps[i].Image = int64(math.Exp(log+0.9*random.NormFloat64())), fmt.Sprint(image)
		longest := time.Duration(0)
		for index := range j.Steps[i].Count {
			d := time.Duration(math.Exp(log+0.15*random.NormFloat64()) * float64(time.Millisecond))
			sim.runTimes[cranjob.TaskName{Job: id, Step: i, Index: index}] = d
			longest = max(longest, d)
		}
		path += longest
	}
	sim.submit(j)
	q := sim.config.Queues["q"]
	return sim.unix() + (time.Duration(q.Stretch*float64(path)) + q.LatencyTarget).Milliseconds()
}

// playPeaks plays peaks of 4 s in which about twice as much arrives as the pool can do, every 12 s, and returns how
// many jobs are complete by their deadline.
func playPeaks(t *testing.T, seed uint64, regressionOnly bool) (punctual int) {
	sim := newSimulation(t, seed, 12)
	sim.failureRate, sim.regressionOnly, sim.runTimes = 0, regressionOnly, map[cranjob.TaskName]time.Duration{}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	random := rand.New(rand.NewPCG(seed, 2))
	deadlines := map[string]int64{}
	for peak := range 5 {
		for i := range 40 {
			id := fmt.Sprintf("j%d-%d", peak, i)
			deadlines[id] = sim.submitUncertain(random, id)
			sim.runFor(100 * time.Millisecond)
		}
		sim.runFor(8 * time.Second)
	}
	sim.runFor(60 * time.Second)
	for id, deadline := range deadlines {
		e, _ := sim.stored.Lookup(id)
		require.Equal(t, cranjob.Completed, e.State(), id)
		if e.Progress().EndedMs <= deadline {
			punctual++
		}
	}
	return punctual
}

// TestOrderWithUncertainEstimates guards against an order of jobs that is worse than with one regression line.
func TestOrderWithUncertainEstimates(t *testing.T) {
	with, without := 0, 0
	for seed := range uint64(6) {
		a, b := playPeaks(t, seed, false), playPeaks(t, seed, true)
		t.Logf("seed %d: %d of 200 jobs in time, %d with the regression", seed, a, b)
		with, without = with+a, without+b
	}
	t.Logf("%d of 1200 jobs in time, %d with the regression", with, without)
	require.Greater(t, with, without)
}

func runTimeModel(regressionOnly bool) RunTimeModel {
	if regressionOnly {
		return Regression
	}
	return Distributions
}

// TestRunTimeModelFollowsTenants guards against distributions in a deployment that hasn't asked for them.
func TestRunTimeModelFollowsTenants(t *testing.T) {
	directory, err := crantenant.New(nil)
	require.NoError(t, err)
	timing := simTiming
	timing.RunTimes = DistributionsForTenants
	for _, tenants := range []*crantenant.Directory{nil, directory} {
		s := New(1, timing, &Config{Tenants: tenants}, cranjob.NewReplica(), Clock{Steady: time.Hour, UnixMs: 1000}, Predecessor{})
		require.Equal(t, tenants != nil, s.runTimes != nil)
	}
}

// newRunTimesScheduler returns a scheduler with empty targets of four cores.
func newRunTimesScheduler(regressionOnly bool, targets ...string) *Scheduler {
	config := &Config{Version: 1, Queues: map[string]*Queue{"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6}}, Pools: map[string]*Pool{"p": {Name: "p"}}}
	timing := simTiming
	timing.RunTimes = runTimeModel(regressionOnly)
	s := New(1, timing, config, cranjob.NewReplica(), Clock{Steady: time.Hour, UnixMs: 1000}, Predecessor{})
	for _, id := range targets {
		t := newTarget(TargetInfo{ID: id, Pool: "p", Instance: "m" + id, Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}}, s.clock.Steady, 0)
		t.fenced = true
		s.addTarget(t)
	}
	return s
}

func (s *Scheduler) addUncertain(id string) *job {
	s.AddJob(&cranjob.Job{ID: id, Queue: "q", Pool: "p", ReceivedMs: 1000, Steps: []cranjob.Step{
		{Count: 1, Demand: cranjob.Resources{CPU: 2000, Memory: 1000}, EstimateMs: 1000},
	}})
	return s.jobs[id]
}

// TestShortTasksAvoidTargetsDueForMaintenance guards against tasks that hold up the maintenance of a target
// although another one has room, and against targets that stay empty long before their turn or while no other has
// room.
func TestShortTasksAvoidTargetsDueForMaintenance(t *testing.T) {
	s := newRunTimesScheduler(false, "a", "b", "c")
	st := s.addUncertain("j").stages[0]
	due, other := s.targets["a"], s.targets["b"]
	s.expectEvacuations([]*member{{instance: "ma"}, {instance: "mb"}, {instance: "mc"}}, 1, 0)
	require.Zero(t, s.targets["c"].evacuatesAt-s.clock.Steady, "one may be down, and two are evacuated ahead")
	s.expectEvacuations([]*member{{instance: "ma"}, {instance: "x"}, {instance: "y"}, {instance: "mc"}}, 1, 0)
	require.Equal(t, maintenanceTime, s.targets["c"].evacuatesAt-s.clock.Steady)

	// The target due for maintenance is the fullest, which is best otherwise.
	due.leaving = true
	due.add(&run{name: cranjob.TaskName{Job: "x"}, reserved: cranjob.Resources{CPU: 2000, Memory: 1000}})
	targets := []*target{due, other}
	require.Equal(t, other, s.chooseTarget(st, targets))
	due.evacuatesAt = s.clock.Steady + 10*time.Second
	require.Equal(t, due, s.chooseTarget(st, targets))
	due.evacuatesAt = 0
	require.Equal(t, due, s.chooseTarget(st, targets[:1]))

	regression := newRunTimesScheduler(true)
	require.False(t, regression.outlivesTarget(regression.addUncertain("j").stages[0], due))
}

// TestRunsAreObserved guards against runs that are measured twice, not at all, or as ended although they were
// stopped, and against work that a running task has done already.
func TestRunsAreObserved(t *testing.T) {
	s := newRunTimesScheduler(false, "a")
	host := s.targets["a"]
	const n = 40
	for i := range n {
		j := s.addUncertain(fmt.Sprint(i))
		task := j.tasks[0]
		s.startTask(task, host, 1)
		r := task.run
		r.phase, r.startedAt = confirmed, s.clock.Steady
		if i == 0 {
			require.InDelta(t, j.durationMs[0]*2/1000, s.RemainingWork("0"), 0.01)
		}
		s.Advance(Clock{Steady: s.clock.Steady + 4*time.Second, UnixMs: s.clock.UnixMs + 4000})
		host.stateAsOf = s.clock.Steady
		before := s.predictStep(j, 0)
		switch {
		case i == 0:
			require.Greater(t, s.RemainingWork("0"), 1.0)
			require.Less(t, s.RemainingWork("0"), 12.0)
			s.releaseRun(host, r, "test")
			require.NotEqual(t, before, s.predictStep(j, 0))
		case i%2 == 0:
			s.stopRun(host, r, "test")
			stopped := s.predictStep(j, 0)
			require.NotEqual(t, before, stopped)
			s.releaseRun(host, r, "test")
			require.Equal(t, stopped, s.predictStep(j, 0))
		default:
			s.handleRunEnd(host, EndReport{Task: task.name, Run: 1, Outcome: OutcomeDone})
		}
	}
	require.Equal(t, n/2, s.runTimes.TakeCalibration().Runs)
	learned := s.addUncertain("next")
	// Half of the runs took 4 s, the others more than that.
	require.Greater(t, learned.longestMs[0], 4000.0)
	require.Less(t, learned.longestMs[0], 9000.0)
	require.Zero(t, s.RemainingWork("unknown"))
}

// TestSuccessorKeepsRunTimes guards against an owner that begins without what its predecessor, also one of an earlier
// version, has learned.
func TestSuccessorKeepsRunTimes(t *testing.T) {
	for _, regressionOnly := range []bool{false, true} {
		sim := newSimulation(t, 1, 6)
		sim.failureRate, sim.regressionOnly, sim.runTimes = 0, regressionOnly, map[cranjob.TaskName]time.Duration{}
		sim.takeOver(sim.now - time.Hour)
		for i := range 60 {
			j := newBatchJob(fmt.Sprint(i), 2)
			for n := range 4 {
				sim.runTimes[cranjob.TaskName{Job: j.ID, Step: n / 2, Index: n % 2}] = 3 * time.Duration(j.Steps[n/2].EstimateMs) * time.Millisecond
			}
			sim.submit(j)
			sim.runFor(400 * time.Millisecond)
		}
		sim.runFor(20 * time.Second)
		require.Equal(t, regressionOnly, len(sim.stored.RunTimes()) == 0)
		if !regressionOnly {
			clear(sim.stored.Durations())
		}
		sim.regressionOnly = false
		sim.takeOver(sim.now + OwnershipTimeout)
		sim.submit(newBatchJob("next", 1))
		require.InDelta(t, 3*(800+600), sim.owner.jobs["next"].criticalPathMs[0], 900)
	}
}
