package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// newAdvisedSimulation returns a simulation with an advice service and a queue that needs it.
func newAdvisedSimulation(t *testing.T, a *simAdviser, targets int) *simulation {
	sim := newSimulation(t, 1, targets)
	sim.failureRate, sim.longPolls, sim.platformDown, sim.adviser = 0, true, true, a
	q := sim.config.Queues["q"]
	q.RequiresTicket, q.TicketValidity, q.TicketTime, q.TicketTimePerTarget = true, a.valid, a.decide, a.each
	sim.takeOver(sim.now - time.Hour)
	return sim
}

// submitBurst submits jobs of one small task at a rate per second.
func (sim *simulation) submitBurst(jobs, perSecond int) {
	for i := range jobs {
		sim.submit(newWideJob(fmt.Sprintf("j%03d", i), 1, 300))
		sim.runFor(time.Second / time.Duration(perSecond))
	}
}

// startedJobs returns the number of jobs with a start.
func (sim *simulation) startedJobs() int {
	jobs := map[string]bool{}
	for _, s := range sim.starts {
		jobs[s.Task.Job] = true
	}
	return len(jobs)
}

// TestBurstOfJobsWithTickets guards against jobs that never start because the owner asks for all of their tickets at
// once, and gives each request up before the advice service gets to it (LOST). The service needs its time for each job,
// plus what jobs take that start at the end.
func TestBurstOfJobsWithTickets(t *testing.T) {
	for _, c := range []struct {
		decide, each, valid time.Duration
		jobs, perSecond     int
	}{
		{100 * time.Millisecond, 3 * time.Millisecond, 3 * time.Second, 120, 30},
		{3 * time.Millisecond, 200 * time.Microsecond, 3 * time.Second, 800, 400},
		{20 * time.Millisecond, time.Millisecond, 3 * time.Second, 400, 200},
		{400 * time.Millisecond, 20 * time.Millisecond, 3 * time.Second, 60, 100},
		{900 * time.Millisecond, 50 * time.Millisecond, 3 * time.Second, 30, 100},
		{1500 * time.Millisecond, 50 * time.Millisecond, 5 * time.Second, 30, 100},
		{4 * time.Second, 100 * time.Millisecond, 10 * time.Second, 12, 100},
	} {
		t.Run(fmt.Sprint(c.decide, c.jobs), func(t *testing.T) {
			sim := newAdvisedSimulation(t, newSimAdviser(c.decide, c.each, c.valid), 6)
			sim.submitBurst(c.jobs, c.perSecond)
			perCall := c.decide + 6*c.each
			sim.runFor(time.Duration(c.jobs)*perCall*5/4 + 2*time.Second)
			require.Equal(t, c.jobs, sim.startedJobs(), "%+v", sim.adviser.counts())
			sim.runFor(2 * time.Second)
			for id, state := range sim.states() {
				require.Equal(t, cranjob.Completed, state, id)
			}
		})
	}
}

// TestFailingRequestsForTicketsHoldUpNoOthers guards against jobs that wait for good behind jobs of higher rank whose
// requests are refused each time (LOST).
func TestFailingRequestsForTicketsHoldUpNoOthers(t *testing.T) {
	a := newSimAdviser(100*time.Millisecond, 3*time.Millisecond, 3*time.Second)
	a.refusesStep = func(name StepName) bool { return name.Job < "j010" }
	sim := newAdvisedSimulation(t, a, 6)
	sim.submitBurst(60, 30)
	sim.runFor(20 * time.Second)
	require.Equal(t, 50, sim.startedJobs(), "%+v", a.counts())
	a.refusesStep = func(StepName) bool { return false }
	sim.runFor(12 * time.Second)
	require.Equal(t, 60, sim.startedJobs(), "%+v", a.counts())
}

// TestOutageOfAdviceService guards against calls in large number to a service that doesn't answer, and against jobs that
// don't start soon after it is back (LOST).
func TestOutageOfAdviceService(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			const outage, perCall = 12 * time.Second, 118 * time.Millisecond
			a := newSimAdviser(100*time.Millisecond, 3*time.Millisecond, 3*time.Second)
			sim := newAdvisedSimulation(t, a, 6)
			back := sim.now + outage
			if silent {
				a.silentUntil = back
			}
			a.refusesStep = func(StepName) bool { return sim.now < back }
			sim.submitBurst(60, 30)
			sim.runFor(back - sim.now)
			require.Zero(t, sim.startedJobs())
			// One pair of calls each half second, and a few before it is known that the service is away.
			require.LessOrEqual(t, len(sim.ticketRequests), 4+2*int(outage/ticketRetryInterval))
			sim.runFor(60*perCall*5/4 + 8*time.Second)
			require.Equal(t, 60, sim.startedJobs(), "%+v", a.counts())
		})
	}
}

// counts returns the counts of calls for messages of tests.
func (a *simAdviser) counts() string {
	return fmt.Sprintf("answered %d, refused %d, abandoned %d", a.answered, a.refused, a.abandoned)
}

// TestLongRequestForTicketsIsNotOvertaken guards against a step that is never asked about because short requests of
// other queues always take the slots that it needs (LOST).
func TestLongRequestForTicketsIsNotOvertaken(t *testing.T) {
	p := newTicketPacer()
	short := &Queue{Name: "short", TicketTime: 10 * time.Millisecond, TicketValidity: 3 * time.Second}
	long := &Queue{Name: "long", TicketTime: time.Second, TicketValidity: 3 * time.Second}
	require.Equal(t, TicketSlots, long.ticketSlots(1))
	first, second, other := StepName{Job: "first"}, StepName{Job: "second"}, StepName{Job: "other"}
	_, begun := p.begin(short, first, []string{"t"})
	require.True(t, begun)
	_, begun = p.begin(long, second, []string{"t"})
	require.False(t, begun)
	require.False(t, p.mayRequest(other, 0))
	p.answered(first, 0)
	p.waiting = false
	require.True(t, p.mayRequest(second, 0))
	_, begun = p.begin(long, second, []string{"t"})
	require.True(t, begun)
	require.Equal(t, TicketSlots, p.inUse)
	p.failed(second, 0)
	require.Zero(t, p.inUse)
}
