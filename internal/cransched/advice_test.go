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
	w := newSimulation(t, 1, 3)
	w.config.Queues["q"].RequiresTicket = true
	w.config.Queues["q"].TicketValidity = 10 * time.Second
	w.takeOver(w.now - time.Hour)
	w.submit(newBatchJob("j", 2))
	w.runFor(time.Second)
	require.Len(t, w.ticketRequests, 1)
	require.Empty(t, w.starts)
	w.owner.Advance(w.clock())
	w.owner.HandleTickets(w.ticketRequests[0], []Ticket{{Target: "t2", Text: "good"}}, 0, w.now)
	w.runFor(500 * time.Millisecond)
	require.Len(t, w.starts, 2)
	for _, s := range w.starts {
		require.Equal(t, "t2", s.Target.ID)
		require.Equal(t, "good", s.Ticket)
	}
	require.Len(t, w.ticketRequests, 1)
}
