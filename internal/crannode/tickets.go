package crannode

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// requestTickets asks the advice service for tickets. The service handles the calls of a process one after the other, so
// the owners of all shards in this process share cransched.TicketSlots. The time for the answer, and the validity of
// the tickets, count from when the request is sent.
func (o *ownership) requestTickets(e cransched.RequestTickets) {
	n, slots := o.shard.node, int64(e.Slots)
	o.callAsync(noTimeout, func(ctx context.Context) func() {
		if n.ticketSlots.Acquire(ctx, slots) != nil {
			// The ownership has ended.
			return func() {}
		}
		defer n.ticketSlots.Release(slots)
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		sent := n.now().Steady
		tickets, validFor, err := n.orders.RequestTickets(ctx, e)
		n.metrics.Ordered("tickets", ticketOutcome(err).String(), n.now().Steady-sent)
		return func() {
			if err != nil {
				n.log.Emit(cranevent.LogUnavailable, cranevent.Stream("advice"), cranevent.Err(err))
				o.scheduler.HandleTicketsUnavailable(e)
				return
			}
			o.scheduler.HandleTickets(e, tickets, validFor, sent)
		}
	})
}

// ticketOutcome returns the status of a request for tickets that ended with an error, or nil.
func ticketOutcome(err error) cransched.CallStatus {
	switch {
	case err == nil:
		return cransched.StatusOK
	case cranstore.IsRefused(err):
		return cransched.StatusRefused
	}
	return cransched.StatusUnanswered
}
