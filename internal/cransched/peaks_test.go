package cransched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// peakCosts is what a time with peaks has cost and earned.
type peakCosts struct {
	instanceSeconds, moves, worked float64
	jobs, completed, punctual      int
}

// newPeaks returns a simulation with four pools, of which each has a queue, and a standby pool.
func newPeaks(t *testing.T, seed uint64, targets int, change func(*Scheduler)) *simulation {
	sim := newSimulation(t, seed, targets)
	sim.failureRate = 0
	delete(sim.config.Pools, "p")
	for i := range 4 {
		name := fmt.Sprint("p", i)
		sim.config.Pools[name] = &Pool{Name: name}
		sim.config.Queues[name] = &Queue{Name: name, Pool: name, Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
	}
	for n := range targets {
		id := fmt.Sprint("t", n)
		sim.instances["m"+id].pool = fmt.Sprint("p", n%4)
		sim.startProcess(id, "m"+id)
	}
	sim.takeOver(sim.now - time.Hour)
	change(sim.owner)
	sim.runFor(4 * time.Second)
	return sim
}

// inTurn returns the rate of jobs of a queue that has a peak of 4 s every 18 s.
func inTurn(queue int, at time.Duration) float64 {
	if (at+18*time.Second-time.Duration(queue)*4500*time.Millisecond)%(18*time.Second) < 4*time.Second {
		return 12
	}
	return 0.15
}

// play submits jobs at the given rates, and returns what the time from countFrom on costs and earns.
func (sim *simulation) play(duration, countFrom time.Duration, rate func(queue int, at time.Duration) float64) peakCosts {
	var c peakCosts
	const slot = 100 * time.Millisecond
	counted, movesBefore, begin := map[string]bool{}, 0, sim.now
	// The arrivals must not depend on what the scheduler does.
	random := rand.New(rand.NewPCG(sim.random.Uint64(), 1))
	for at := time.Duration(0); at < duration+6*time.Second; at += slot {
		if at == countFrom {
			movesBefore = sim.logged[LogMoveOrdered]
		}
		for queue := range 4 {
			r := rate(queue, at) * slot.Seconds()
			for t := random.ExpFloat64(); t < r && at < duration; t += random.ExpFloat64() {
				j := newBatchJob(fmt.Sprintf("j%d", len(sim.jobs)), 4)
				j.Queue = fmt.Sprint("p", queue)
				sim.submit(j)
				counted[j.ID] = at >= countFrom
			}
		}
		for _, i := range sim.instances {
			if at >= countFrom && at < duration && i.pool != "off" {
				c.instanceSeconds += slot.Seconds()
			}
		}
		sim.runFor(begin + at + slot - sim.now)
	}
	c.moves = float64(sim.logged[LogMoveOrdered] - movesBefore)
	for id, j := range sim.jobs {
		if !counted[id] {
			continue
		}
		c.jobs++
		longest := 0.0
		for i := range j.Steps {
			step := 0.0
			for index := range j.Steps[i].Count {
				d := sim.durations[cranjob.TaskName{Job: id, Step: i, Index: index}].Seconds()
				c.worked += d * float64(j.Steps[i].Demand.CPU) / 4000
				step = max(step, d)
			}
			longest += step
		}
		if e, _ := sim.stored.Lookup(id); e.Progress() != nil && e.State() == cranjob.Completed {
			c.completed++
			q := sim.config.Queues[j.Queue]
			if float64(e.Progress().EndedMs-j.ReceivedMs) <= 1000*q.Stretch*longest+float64(q.LatencyTarget.Milliseconds()) {
				c.punctual++
			}
		}
	}
	return c
}

// withoutCalendar lets an owner learn no period.
func withoutCalendar(s *Scheduler) { s.calendar = nil }

// TestRecurringPeaksMeetTheirInstances plays peaks of four pools in turn. From the second period on, the jobs
// must complete in time, as they don't without the calendar, and the instances in pools must stay within a
// multiple of what the work alone would have needed with hindsight.
func TestRecurringPeaksMeetTheirInstances(t *testing.T) {
	for seed := range uint64(3) {
		play := func(change func(*Scheduler)) peakCosts {
			return newPeaks(t, seed, 40, change).play(80*time.Second, 38*time.Second, inTurn)
		}
		learned, without := play(func(*Scheduler) {}), play(withoutCalendar)
		t.Logf("learned %+v, without %+v", learned, without)
		require.Equal(t, learned.jobs, learned.completed)
		require.Greater(t, float64(learned.punctual), 0.95*float64(learned.jobs))
		require.Less(t, float64(without.punctual), 0.95*float64(without.jobs))
		require.Less(t, learned.instanceSeconds, 3.2*learned.worked)
	}
}

// TestRackLostInPeak takes a quarter of the instances away for good in the middle of a peak. All jobs must
// complete, and the next peaks must still find their instances.
func TestRackLostInPeak(t *testing.T) {
	sim := newPeaks(t, 1, 48, func(*Scheduler) {})
	sim.schedule(38*time.Second, func() {
		for n := range 12 {
			id := fmt.Sprint("mt", n)
			delete(sim.targets, sim.instances[id].target)
			delete(sim.instances, id)
		}
	})
	c := sim.play(90*time.Second, 50*time.Second, inTurn)
	t.Logf("%+v", c)
	for id, state := range sim.states() {
		require.Equal(t, cranjob.Completed, state, id)
	}
	require.Greater(t, float64(c.punctual), 0.9*float64(c.jobs))
}

// TestSuccessorKeepsCalendar replaces the owner between two peaks. The successor must expect the next ones
// from the stored jobs.
func TestSuccessorKeepsCalendar(t *testing.T) {
	sim := newPeaks(t, 1, 40, func(*Scheduler) {})
	sim.play(31*time.Second, 0, inTurn)
	before, regular := sim.owner.calendar.Outlook("p2", sim.now)
	require.True(t, regular)
	sim.takeOver(sim.now + OwnershipTimeout)
	after, regular := sim.owner.calendar.Outlook("p2", sim.now)
	require.True(t, regular)
	require.InDelta(t, before.NextPeak.Seconds(), after.NextPeak.Seconds(), 0.8)
	require.InDelta(t, before.Height.CPU, after.Height.CPU, before.Height.CPU/4)
}

// TestRandomSurgesCostNoMoreThanWithoutCalendar plays surges that come at random times. Instances must not
// be moved for peaks that never come.
func TestRandomSurgesCostNoMoreThanWithoutCalendar(t *testing.T) {
	var costs [2]float64
	for seed := range uint64(3) {
		surges := make([]time.Duration, 4)
		random := rand.New(rand.NewPCG(seed+2, 3))
		rate := func(queue int, at time.Duration) float64 {
			if at >= surges[queue]+4*time.Second && random.IntN(140) == 0 {
				surges[queue] = at
			}
			if at >= 4*time.Second && at < surges[queue]+4*time.Second {
				return 12
			}
			return 0.15
		}
		for i, change := range []func(*Scheduler){func(*Scheduler) {}, withoutCalendar} {
			clear(surges)
			random = rand.New(rand.NewPCG(seed+2, 3))
			c := newPeaks(t, seed+2, 40, change).play(80*time.Second, 20*time.Second, rate)
			t.Logf("seed %d, %d: %+v", seed, i, c)
			costs[i] += (c.instanceSeconds + 0.6*c.moves) / c.worked
		}
	}
	require.Less(t, costs[0], 1.005*costs[1])
}

// TestPeakIsReportedOnce guards against an event in each of the ten plans per second while a peak is near.
func TestPeakIsReportedOnce(t *testing.T) {
	s := newPeaks(t, 1, 4, withoutCalendar).owner
	s.Effects()
	near, far := cranpool.Outlook{NextPeak: time.Second}, cranpool.Outlook{NextPeak: 10 * time.Second}
	for _, o := range []*cranpool.Outlook{&near, &near, &far, nil, &near} {
		s.reportPeaks([]cranpool.Pool{{Name: "p1", Outlook: o}}, []cranpool.Balance{{Pool: "p1", Prepared: 3}})
	}
	want := PeakExpected{Pool: "p1", Instances: 3, Next: time.Second}
	require.Equal(t, []Effect{want, want}, s.Effects())
}
