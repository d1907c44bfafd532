package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
