package crannode

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// fakeAdviser is an advice service that handles one call after the other and allows all targets.
type fakeAdviser struct {
	handling, valid time.Duration
	// turn holds a token while a call is handled.
	turn           chan struct{}
	mu             sync.Mutex
	underWay, most int
}

// advisedConnection is the connection of a process to the targets and an advice service.
type advisedConnection struct {
	connection
	adviser *fakeAdviser
}

// RequestTickets answers after the calls before it.
func (c advisedConnection) RequestTickets(ctx context.Context, e cransched.RequestTickets) ([]cransched.Ticket, time.Duration, error) {
	a := c.adviser
	a.count(1)
	defer a.count(-1)
	a.turn <- struct{}{}
	time.Sleep(a.handling)
	<-a.turn
	tickets := make([]cransched.Ticket, 0, len(e.Targets))
	for _, target := range e.Targets {
		tickets = append(tickets, cransched.Ticket{Target: target, Text: "good"})
	}
	return tickets, a.valid, ctx.Err()
}

func (a *fakeAdviser) count(change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.underWay += change
	a.most = max(a.most, a.underWay)
}

// TestOwnerOfManyShardsAsksForTicketsInTurn guards against tickets that have expired when they arrive, since the requests
// of all shards of a process wait for one another in the queue of the advice service (LOST).
func TestOwnerOfManyShardsAsksForTicketsInTurn(t *testing.T) {
	for _, handling := range []time.Duration{400 * time.Millisecond, time.Second} {
		t.Run(handling.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs = 24
				adviser := &fakeAdviser{handling: handling, valid: 3 * time.Second, turn: make(chan struct{}, 1)}
				f := newTestFleet(t, 0)
				defer f.close()
				f.queue.RequiresTicket, f.queue.TicketValidity, f.queue.TicketTime = true, adviser.valid, handling
				f.connect = func(c connection) OrderSender { return advisedConnection{c, adviser} }
				for number := range fleetShards {
					n := &fleetNode{name: fmt.Sprint("n", number), fault: &fault{}}
					f.nodes = append(f.nodes, n)
					f.start(n)
				}
				time.Sleep(3 * time.Second)
				for _, other := range f.nodes[1:] {
					other.fault.set(true, 0)
				}
				time.Sleep(4 * time.Second)
				n := f.nodes[0]
				require.EqualValues(t, fleetShards, n.node.owned.Load())
				for number := range jobs {
					require.NoError(t, n.node.Submit(t.Context(), fleetJob(number)))
				}
				time.Sleep(jobs*handling*5/4 + 3*time.Second)
				for number := range jobs {
					state, _, err := n.node.State(t.Context(), fleetJob(number).ID)
					require.NoError(t, err)
					require.Equal(t, cranjob.Completed, state, "job %d", number)
				}
				require.LessOrEqual(t, adviser.most, 2)
			})
		})
	}
}
