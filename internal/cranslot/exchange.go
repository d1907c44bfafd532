package cranslot

import (
	"maps"
	"slices"
)

// maxSlotIndex limits the slot index that a peer's query may have, since the
// query creates the slots up to it.
const maxSlotIndex = 1 << 12

// handleMessage applies a message. It ignores messages of senders that aren't
// members in the current view, as if they had been lost.
func (t *table) handleMessage(from string, m Message) {
	if from == t.self || !t.view.isMember(from) {
		return
	}
	for _, sp := range m.wire.Spares {
		t.setHint(from, sp.Group, sp.Slots)
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

// findInstance returns the instance, or nil if it is unknown or doesn't have
// the slot.
func (t *table) findInstance(instance string, index int) *instanceState {
	in, ok := t.instances[instance]
	if !ok || index < 0 || index >= len(in.slots) {
		return nil
	}
	return in
}

// findOrAddInstance returns the instance with the slot, and creates both if the
// view doesn't have them. A promise about a slot must be recorded even if the
// view is behind that of the peer.
func (t *table) findOrAddInstance(instance string, index int) *instanceState {
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

// draft is a message under construction.
type draft struct {
	wireMessage
	// groups holds the groups whose spare slots the message reports.
	groups []string
}

// includeSpare makes the message report the spare slots of a group.
func (d *draft) includeSpare(group string) {
	if !slices.Contains(d.groups, group) {
		d.groups = append(d.groups, group)
	}
}

// draftTo returns the message under construction for a peer.
func (t *table) draftTo(peer string) *draft {
	d, ok := t.outbox[peer]
	if !ok {
		d = &draft{}
		t.outbox[peer] = d
	}
	return d
}

// takeOutgoing returns the messages to send, ordered by peer.
func (t *table) takeOutgoing() []OutgoingMessage {
	if len(t.outbox) == 0 {
		return nil
	}
	out := make([]OutgoingMessage, 0, len(t.outbox))
	for _, peer := range slices.Sorted(maps.Keys(t.outbox)) {
		d := t.outbox[peer]
		for _, name := range d.groups {
			d.Spares = append(d.Spares, wireSpare{Group: name, Slots: t.group(name).spareSlots()})
		}
		out = append(out, OutgoingMessage{To: peer, Message: Message{wire: d.wireMessage}})
	}
	clear(t.outbox)
	return out
}
