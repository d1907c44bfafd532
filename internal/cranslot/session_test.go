package cranslot

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// session is a scripted exchange between brokers that is recorded line by line.
type session struct {
	t       *testing.T
	log     strings.Builder
	names   []string
	brokers map[string]*Broker
	now     time.Time
	// lossyPair is the sender and the receiver whose messages are lost.
	lossyPair string
}

func newSession(t *testing.T, names ...string) *session {
	s := &session{t: t, names: names, brokers: make(map[string]*Broker), now: time.Unix(100, 0)}
	for i, n := range names {
		s.brokers[n] = NewBroker(n, WithSeed(uint64(i+1)), WithSlotFreedNotify(func(group string) {
			s.logf("%s: a slot of %s is free", n, group)
		}))
	}
	return s
}

func (s *session) logf(format string, args ...any) {
	fmt.Fprintf(&s.log, format+"\n", args...)
}

// view applies a view at the named members.
func (s *session) view(v View, names ...string) {
	s.logf("view %d to %v: members %v, owners %v", v.Epoch(), names, v.Members(), v.Instances()[0].Owners)
	for _, n := range names {
		s.brokers[n].SetView(v)
	}
	s.deliverAll()
}

func (s *session) acquire(name string) Slot {
	slot, ok := s.brokers[name].TryAcquire("web", nil)
	s.logf("%s: acquire %v %s/%d", name, ok, slot.Instance(), slot.Index())
	return slot
}

func (s *session) release(name string, slot Slot) {
	s.logf("%s: release %s/%d", name, slot.Instance(), slot.Index())
	s.brokers[name].Release(slot)
	s.deliverAll()
}

func (s *session) waiting(name string, n int) {
	s.logf("%s: %d waiting", name, n)
	s.brokers[name].SetWaiting("web", n)
	s.deliverAll()
}

// advance advances all members by some steps.
func (s *session) advance(steps int) {
	s.logf("%d steps", steps)
	for range steps {
		s.now = s.now.Add(DefaultInterval)
		for _, n := range s.names {
			s.brokers[n].Tick(s.now)
			s.deliverAll()
		}
	}
}

// deliverAll delivers messages until none is left.
func (s *session) deliverAll() {
	for again := true; again; {
		again = false
		for _, n := range s.names {
			for _, o := range s.brokers[n].TakeOutgoing() {
				again = true
				s.deliver(n, o)
			}
		}
	}
}

func (s *session) deliver(from string, o OutgoingMessage) {
	data, err := json.Marshal(o.Message)
	require.NoError(s.t, err)
	if s.lossyPair == from+o.To {
		s.logf("%s -> %s lost %s", from, o.To, data)
		return
	}
	s.logf("%s -> %s %s", from, o.To, data)
	if b, ok := s.brokers[o.To]; ok {
		b.Handle(from, o.Message)
	}
}

// TestSession compares the transcript of a session with a golden file: a loan,
// a return that is lost and sent again in answer to the repeated loan, and a
// reassignment of the slots of a removed member while a borrower uses one.
func TestSession(t *testing.T) {
	s := newSession(t, "a", "b", "c")
	owners := []Owner{{"a", 1}, {"a", 1}, {"b", 1}}
	view := func(epoch uint64, members ...string) View {
		iv := InstanceView{ID: "t1", Group: "web", Open: true, FirstEpoch: 1, Owners: ReassignOwners("t1", owners, members, epoch)}
		return NewView(epoch, members, []InstanceView{iv})
	}
	s.view(view(1, "a", "b", "c"), "a", "b", "c")
	slotOfB := s.acquire("b")
	s.waiting("b", 2)
	s.advance(2)
	borrowed := s.acquire("b")
	s.waiting("b", 0)
	s.lossyPair = "ba"
	s.release("b", borrowed)
	s.lossyPair = ""
	s.advance(int(initialRetrySteps))
	s.waiting("c", 2)
	s.advance(1)
	slotOfC := s.acquire("c")
	s.waiting("c", 0)
	s.logf("a is removed; c has not applied that view yet")
	s.names = []string{"b", "c"}
	s.view(view(2, "b", "c"), "b")
	s.release("c", slotOfC)
	s.view(view(2, "b", "c"), "c")
	s.advance(1)
	s.release("b", slotOfB)
	s.acquire("b")
	s.acquire("b")
	s.acquire("c")
	goldie.New(t).Assert(t, "session", []byte(s.log.String()))
}
