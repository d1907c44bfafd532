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

// session is a scripted exchange between brokers, written down line by line.
type session struct {
	t       *testing.T
	log     strings.Builder
	names   []string
	brokers map[string]*Broker
	now     time.Time
	// lose is the pair of members between which messages are lost.
	lose string
}

func newSession(t *testing.T, names ...string) *session {
	s := &session{t: t, names: names, brokers: make(map[string]*Broker), now: time.Unix(100, 0)}
	for i, n := range names {
		s.brokers[n] = NewBroker(n, WithSeed(uint64(i+1)), WithSlotFreedNotify(func(group string) {
			s.say("%s: a slot of %s is free", n, group)
		}))
	}
	return s
}

func (s *session) say(format string, args ...any) {
	fmt.Fprintf(&s.log, format+"\n", args...)
}

// view gives every named member a view.
func (s *session) view(v View, names ...string) {
	s.say("view %d to %v: members %v, homes %v", v.Epoch(), names, v.Members(), v.Instances()[0].Owners)
	for _, n := range names {
		s.brokers[n].SetView(v)
	}
	s.exchange()
}

func (s *session) acquire(name string) Slot {
	slot, ok := s.brokers[name].TryAcquire("web", nil)
	s.say("%s: acquire %v %s/%d", name, ok, slot.Instance(), slot.Index())
	return slot
}

func (s *session) release(name string, slot Slot) {
	s.say("%s: release %s/%d", name, slot.Instance(), slot.Index())
	s.brokers[name].Release(slot)
	s.exchange()
}

func (s *session) waiting(name string, n int) {
	s.say("%s: %d waiting", name, n)
	s.brokers[name].SetWaiting("web", n)
	s.exchange()
}

// pass lets steps pass at all members.
func (s *session) pass(steps int) {
	s.say("%d steps", steps)
	for range steps {
		s.now = s.now.Add(DefaultInterval)
		for _, n := range s.names {
			s.brokers[n].Tick(s.now)
			s.exchange()
		}
	}
}

// exchange delivers messages until none is left.
func (s *session) exchange() {
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
	if s.lose == from+o.To {
		s.say("%s -> %s lost %s", from, o.To, data)
		return
	}
	s.say("%s -> %s %s", from, o.To, data)
	if b, ok := s.brokers[o.To]; ok {
		b.Handle(from, o.Message)
	}
}

func TestSession(t *testing.T) {
	s := newSession(t, "a", "b", "c")
	homes := []Owner{{"a", 1}, {"a", 1}, {"b", 1}}
	view := func(epoch uint64, members ...string) View {
		iv := InstanceView{ID: "t1", Group: "web", Open: true, FirstEpoch: 1, Owners: ReassignOwners("t1", homes, members, epoch)}
		return NewView(epoch, members, []InstanceView{iv})
	}
	s.view(view(1, "a", "b", "c"), "a", "b", "c")
	ofB := s.acquire("b")
	s.waiting("b", 2)
	s.pass(2)
	borrowed := s.acquire("b")
	s.waiting("b", 0)
	s.lose = "ba"
	s.release("b", borrowed)
	s.lose = ""
	s.pass(int(firstRepeatSteps))
	s.waiting("c", 2)
	s.pass(1)
	ofC := s.acquire("c")
	s.waiting("c", 0)
	s.say("a is written off; c has not seen it yet")
	s.names = []string{"b", "c"}
	s.view(view(2, "b", "c"), "b")
	s.release("c", ofC)
	s.view(view(2, "b", "c"), "c")
	s.pass(1)
	s.release("b", ofB)
	s.acquire("b")
	s.acquire("b")
	s.acquire("c")
	goldie.New(t).Assert(t, "session", []byte(s.log.String()))
}
