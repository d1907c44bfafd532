package cranslot

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// oneSlot returns a view with one instance of one slot.
func oneSlot(epoch uint64, owner Owner, firstEpoch uint64, members ...string) View {
	return NewView(epoch, members, []InstanceView{
		{ID: "t", Group: "web", Open: true, Owners: []Owner{owner}, FirstEpoch: firstEpoch},
	})
}

// borrow makes member b ask member a for its slot and returns the message with
// the loan without delivering it. Requests still wait at b.
func borrow(t *testing.T, owner, borrower *Broker) Message {
	t.Helper()
	borrower.SetWaiting("web", 1)
	asked := false
	for i := 0; i < 50 && !asked; i++ {
		borrower.Tick(time.Unix(1, 0).Add(time.Duration(i) * DefaultInterval))
		for _, o := range borrower.TakeOutgoing() {
			if o.To == "a" {
				owner.Handle("b", o.Message)
				asked = true
			}
		}
	}
	return takeMessage(t, owner, "b")
}

// takeMessage takes the outgoing messages and returns the one for a peer.
func takeMessage(t *testing.T, b *Broker, peer string) Message {
	t.Helper()
	for _, o := range b.TakeOutgoing() {
		if o.To == peer {
			return o.Message
		}
	}
	t.Fatalf("no outgoing message for member %s", peer)
	return Message{}
}

// tryAcquire tries to acquire a slot and keeps it.
func tryAcquire(b *Broker) bool {
	_, ok := b.TryAcquire("web", nil)
	return ok
}

func TestLateLoanOfAnOlderEpochIsRefused(t *testing.T) {
	before := oneSlot(5, Owner{"a", 5}, 5, "a", "b", "c")
	after := oneSlot(6, Owner{"c", 6}, 5, "a", "b", "c")
	a, b, c := NewBroker("a"), NewBroker("b"), NewBroker("c")
	for _, x := range []*Broker{a, b, c} {
		x.SetView(before)
	}
	loan := borrow(t, a, b)
	c.SetView(after)
	queries := c.TakeOutgoing()
	require.Len(t, queries, 2)
	a.Handle("c", queries[0].Message)
	b.Handle("c", queries[1].Message)
	c.Handle("a", takeMessage(t, a, "c"))
	require.False(t, tryAcquire(c))
	c.Handle("b", takeMessage(t, b, "c"))
	require.True(t, tryAcquire(c))
	b.Handle("a", loan)
	require.False(t, tryAcquire(b))
}

func TestMinEpochIsKeptForAnUnknownInstance(t *testing.T) {
	b, c := NewBroker("b"), NewBroker("c")
	members := []string{"a", "b", "c"}
	b.SetView(NewView(3, members, nil))
	c.SetView(oneSlot(6, Owner{"c", 6}, 0, members...))
	b.Handle("c", takeMessage(t, c, "b"))
	b.SetView(NewView(4, members, nil))
	b.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	b.Handle("a", Message{wire: wireMessage{Loans: []wireLoan{{Instance: "t", Epoch: 5, ID: 1}}}})
	require.False(t, tryAcquire(b))
}

func TestAnswerToAnOlderQueryIsIgnored(t *testing.T) {
	members := []string{"a", "b"}
	a, b := NewBroker("a"), NewBroker("b")
	a.SetView(oneSlot(5, Owner{"a", 5}, 0, members...))
	b.SetView(oneSlot(5, Owner{"a", 5}, 0, members...))
	b.Handle("a", takeMessage(t, a, "b"))
	answer := takeMessage(t, b, "a")
	a.Handle("b", answer)
	b.Handle("a", borrow(t, a, b))
	require.True(t, tryAcquire(b))
	a.SetView(oneSlot(6, Owner{"a", 6}, 0, members...))
	a.Handle("b", answer)
	require.False(t, tryAcquire(a))
}

func TestHolderAnswersTheNewOwnerWhenItsRequestEnds(t *testing.T) {
	members := []string{"a", "b"}
	a, b := NewBroker("a"), NewBroker("b")
	a.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	s, ok := a.TryAcquire("web", nil)
	require.True(t, ok)
	b.SetView(oneSlot(6, Owner{"b", 6}, 5, members...))
	a.Handle("b", takeMessage(t, b, "a"))
	b.Handle("a", takeMessage(t, a, "b"))
	require.False(t, tryAcquire(b))
	a.Release(s)
	require.False(t, tryAcquire(a))
	b.Handle("a", takeMessage(t, a, "b"))
	require.True(t, tryAcquire(b))
}

func TestOnlyTheBorrowerReturnsALoan(t *testing.T) {
	members := []string{"a", "b", "c"}
	a, b := NewBroker("a"), NewBroker("b")
	a.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	b.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	borrow(t, a, b)
	back := Message{wire: wireMessage{Returns: []wireLoan{{Instance: "t", Epoch: 5, ID: 1}}}}
	a.Handle("c", back)
	require.False(t, tryAcquire(a))
	a.Handle("b", back)
	require.True(t, tryAcquire(a))
}

func TestRemovedMemberCannotUseItsSlots(t *testing.T) {
	a, b := NewBroker("a"), NewBroker("b")
	members := []string{"a", "b"}
	a.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	b.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	b.Handle("a", borrow(t, a, b))
	b.SetView(oneSlot(6, Owner{"a", 5}, 5, "a"))
	require.False(t, tryAcquire(b))
	a.SetView(oneSlot(6, Owner{"a", 5}, 5, "a"))
	require.True(t, tryAcquire(a))
}

func TestSlotsOfAvoidedInstancesAreLentLater(t *testing.T) {
	members := []string{"a", "b"}
	a, b := NewBroker("a"), NewBroker("b")
	a.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	b.SetView(oneSlot(5, Owner{"a", 5}, 5, members...))
	_, ok := a.TryAcquire("web", func(string) bool { return true })
	require.False(t, ok)
	b.SetWaiting("web", 1)
	start := time.Unix(1, 0)
	for i := 0; !tryAcquire(b); i++ {
		require.Less(t, i, 2*int(avoidedResetSteps))
		now := start.Add(time.Duration(i) * DefaultInterval)
		a.Tick(now)
		b.Tick(now)
		deliverAll(a, b)
		if i < int(avoidedResetSteps)-1 {
			require.False(t, tryAcquire(b))
		}
	}
}

// deliverAll delivers the messages between members a and b until none is left.
func deliverAll(a, b *Broker) {
	for {
		fromA, fromB := a.TakeOutgoing(), b.TakeOutgoing()
		if len(fromA)+len(fromB) == 0 {
			return
		}
		for _, o := range fromA {
			b.Handle("a", o.Message)
		}
		for _, o := range fromB {
			a.Handle("b", o.Message)
		}
	}
}

func TestConcurrentUseKeepsTheLimit(t *testing.T) {
	members := []string{"a", "b"}
	brokers := []*Broker{NewBroker("a"), NewBroker("b", WithSeed(2))}
	var inProgress atomic.Int64
	var group sync.WaitGroup
	for _, x := range brokers {
		x.SetView(viewOf(members, 1, 4))
		for range 4 {
			group.Go(func() {
				for range 500 {
					x.SetWaiting("web", 3)
					if s, ok := x.TryAcquire("web", nil); ok {
						assert.LessOrEqual(t, inProgress.Add(1), int64(4))
						inProgress.Add(-1)
						x.Release(s)
					}
				}
			})
		}
	}
	for i := range 500 {
		for _, x := range brokers {
			x.Tick(time.Unix(1, 0).Add(time.Duration(i) * DefaultInterval))
		}
		deliverAll(brokers[0], brokers[1])
	}
	group.Wait()
}

func TestUnknownFirstEpochRequiresRecovery(t *testing.T) {
	a := NewBroker("a")
	a.SetView(oneSlot(0, Owner{"a", 0}, 0, "a", "b"))
	require.False(t, tryAcquire(a))
	require.Len(t, a.TakeOutgoing(), 1)
}
