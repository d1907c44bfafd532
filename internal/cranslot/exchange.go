package cranslot

import (
	"maps"
	"slices"
)

// maxSlotIndex bounds the slot number that a peer may name.
const maxSlotIndex = 1 << 12

// handle applies a message. One from a member that this view doesn't have is
// ignored, like a lost one.
func (t *table) handle(from string, m Message) {
	if from == t.self || !t.view.has(from) {
		return
	}
	for _, sp := range m.wire.Spares {
		t.hint(from, sp.Group, sp.Slots)
	}
	for _, r := range m.wire.Returns {
		t.handleReturn(from, r)
	}
	for _, q := range m.wire.Queries {
		if q.Index >= 0 && q.Index < maxSlotIndex {
			t.handleQuery(from, q)
		}
	}
	for _, a := range m.wire.Answers {
		t.handleAnswer(from, a)
	}
	for _, l := range m.wire.Loans {
		t.handleLoan(from, l)
	}
	for _, a := range m.wire.Asks {
		t.handleAsk(from, a)
	}
}

// find returns the instance if it has the slot here, and nil otherwise.
func (t *table) find(instance string, index int) *instanceState {
	in, ok := t.instances[instance]
	if !ok || index < 0 || index >= len(in.slots) {
		return nil
	}
	return in
}

// known returns the instance with the slot, made if this view doesn't have
// it: what is promised about a slot must outlast a view that is behind.
func (t *table) known(instance string, index int) *instanceState {
	in, ok := t.instances[instance]
	if !ok {
		in = &instanceState{id: instance}
		t.instances[instance] = in
	}
	for len(in.slots) <= index {
		in.slots = append(in.slots, slotState{})
	}
	return in
}

// draft is a message that is being put together.
type draft struct {
	wireMessage
	// groups are those of which the message tells the spare slots.
	groups []string
}

// mention lets the message tell the spare slots of a group.
func (d *draft) mention(group string) {
	if !slices.Contains(d.groups, group) {
		d.groups = append(d.groups, group)
	}
}

// to returns the message that is being put together for a peer.
func (t *table) to(peer string) *draft {
	d, ok := t.outbox[peer]
	if !ok {
		d = &draft{}
		t.outbox[peer] = d
	}
	return d
}

// takeOutgoing returns the messages to send, in the order of the peers.
func (t *table) takeOutgoing() []OutgoingMessage {
	if len(t.outbox) == 0 {
		return nil
	}
	out := make([]OutgoingMessage, 0, len(t.outbox))
	for _, peer := range slices.Sorted(maps.Keys(t.outbox)) {
		d := t.outbox[peer]
		for _, name := range d.groups {
			d.Spares = append(d.Spares, wireSpare{Group: name, Slots: t.group(name).spare()})
		}
		out = append(out, OutgoingMessage{To: peer, Message: Message{wire: d.wireMessage}})
	}
	clear(t.outbox)
	return out
}
