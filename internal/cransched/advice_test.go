package cransched

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestTicketRequest checks that a queue with tickets starts nothing before the advice
// service responds, that all starts go to the permitted target and carry its ticket, and
// that one request is enough.
func TestTicketRequest(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.config.Queues["q"].RequiresTicket = true
	sim.config.Queues["q"].TicketValidity = 10 * time.Second
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newBatchJob("j", 2))
	sim.runFor(time.Second)
	require.Len(t, sim.ticketRequests, 1)
	require.Empty(t, sim.starts)
	sim.owner.Advance(sim.clock())
	sim.owner.HandleTickets(sim.ticketRequests[0], []Ticket{{Target: "t2", Text: "good"}}, 0, sim.now)
	sim.runFor(500 * time.Millisecond)
	require.Len(t, sim.starts, 2)
	for _, s := range sim.starts {
		require.Equal(t, "t2", s.Target.ID)
		require.Equal(t, "good", s.Ticket)
	}
	require.Len(t, sim.ticketRequests, 1)
}

// adviseOn answers the ticket requests of the owner by a policy.
func (sim *simulation) adviseOn(allowed ...string) {
	for _, e := range sim.ticketRequests {
		var tickets []Ticket
		for _, id := range e.Targets {
			if slices.Contains(allowed, id) {
				tickets = append(tickets, Ticket{Target: id, Text: "good"})
			}
		}
		sim.owner.Advance(sim.clock())
		sim.owner.HandleTickets(e, tickets, 0, sim.now)
	}
	sim.ticketRequests = nil
}

func newTicketSimulation(t *testing.T, targets int) *simulation {
	sim := newSimulation(t, 1, targets)
	sim.failureRate = 0
	sim.config.Queues["q"].RequiresTicket = true
	sim.config.Queues["q"].TicketValidity = 4 * time.Second
	sim.takeOver(sim.now - time.Hour)
	return sim
}

// TestTicketRequestsReachEveryTarget guards against a job that never runs because only the first targets
// of a pool are ever asked about, and its policy allows none of these (LOST).
func TestTicketRequestsReachEveryTarget(t *testing.T) {
	const targets = 3*maxTicketTargets + 7
	for _, allowed := range []string{"t9", "t96", "t51"} {
		sim := newTicketSimulation(t, targets)
		sim.submit(newBatchJob("j", 2))
		for limit := sim.now + 10*time.Second; sim.now < limit; sim.runFor(50 * time.Millisecond) {
			sim.adviseOn(allowed)
		}
		require.Equal(t, cranjob.Completed, sim.states()["j"], allowed)
	}
}

// TestTargetWithTicketButWithoutRoomHoldsUpNoJob guards against tasks that wait for the only target with a
// ticket, which is full for good or takes no tasks, while the policy allows others.
func TestTargetWithTicketButWithoutRoomHoldsUpNoJob(t *testing.T) {
	for _, isCordoned := range []bool{false, true} {
		sim := newTicketSimulation(t, 3)
		sim.config.Queues["q"].TicketValidity = time.Hour
		j := newLongRunningJob("lasting", 6)
		j.Steps[0].MaxUnavailable = 0
		sim.submit(j)
		sim.runFor(time.Second)
		e := sim.ticketRequests[0]
		e.Targets, sim.ticketRequests = []string{"t0"}, nil
		sim.owner.Advance(sim.clock())
		sim.owner.HandleTickets(e, []Ticket{{Target: "t0", Text: "good"}}, 0, sim.now)
		sim.owner.targets["t0"].cordoned = isCordoned
		for range 100 {
			sim.runFor(50 * time.Millisecond)
			sim.adviseOn("t0", "t1", "t2")
		}
		require.Equal(t, 6, sim.countRunning("lasting"), "cordoned %v", isCordoned)
	}
}

// TestUnansweredTicketRequestDeniesNothing guards against targets that are never asked about again because
// a request that named them got no answer.
func TestUnansweredTicketRequestDeniesNothing(t *testing.T) {
	sim := newTicketSimulation(t, 3)
	sim.submit(newBatchJob("j", 2))
	sim.runFor(time.Second)
	sim.owner.HandleTicketsUnavailable(sim.ticketRequests[0])
	sim.ticketRequests = nil
	for range 100 {
		sim.runFor(50 * time.Millisecond)
		sim.adviseOn("t1")
	}
	require.Equal(t, cranjob.Completed, sim.states()["j"])
}
