package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// reassignSlots gives every slot a member as its home.
func (c *applyContext) reassignSlots() {
	c.invalidateViews()
	members := sortedKeys(c.members)
	for _, in := range c.sortedInstances() {
		in.slotOwners = rebalanceSlots(in, members, c.in.Offset+1)
	}
}

// rebalanceSlots returns the homes of an instance's slots. Each member ends with
// the share that rendezvous hashing deals it, and no more slots change their
// home than that takes: a changed slot rests until every member has answered
// for it.
func rebalanceSlots(in *instance, members []string, epoch uint64) []cranslot.Home {
	if len(members) == 0 {
		return nil
	}
	missing := map[string]int{}
	for _, entry := range cranslot.AssignHomes(in.id, in.slots, members) {
		missing[entry]++
	}
	homes := make([]cranslot.Home, in.slots)
	for i := range homes {
		if i < len(in.slotOwners) && missing[in.slotOwners[i].Entry] > 0 {
			homes[i] = in.slotOwners[i]
			missing[in.slotOwners[i].Entry]--
		}
	}
	for i := range homes {
		if homes[i].Entry == "" {
			homes[i] = cranslot.Home{Entry: takeUnfilled(missing, members), Epoch: epoch}
		}
	}
	return homes
}

// takeUnfilled returns the first member that is owed a slot.
func takeUnfilled(missing map[string]int, members []string) string {
	for _, m := range members {
		if missing[m] > 0 {
			missing[m]--
			return m
		}
	}
	return ""
}
