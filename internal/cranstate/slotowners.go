package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// reassignSlots distributes the slots of every instance among the members after
// the membership changed.
func (c *applyContext) reassignSlots() {
	c.invalidateViews()
	members := sortedKeys(c.members)
	for _, in := range c.sortedInstances() {
		in.slotOwners = rebalanceSlots(in, members, c.in.Offset+1)
	}
}

// rebalanceSlots returns the owners of an instance's slots. Each member gets the
// number of slots that rendezvous hashing assigns to it, and as few slots as
// possible change their owner: a reassigned slot stays unused until every
// member has answered that it does not hold the slot under an older epoch.
func rebalanceSlots(in *instance, members []string, epoch uint64) []cranslot.Owner {
	if len(members) == 0 {
		return nil
	}
	unfilled := map[string]int{}
	for _, entry := range cranslot.AssignOwners(in.id, in.slots, members) {
		unfilled[entry]++
	}
	owners := make([]cranslot.Owner, in.slots)
	for i := range owners {
		if i < len(in.slotOwners) && unfilled[in.slotOwners[i].Entry] > 0 {
			owners[i] = in.slotOwners[i]
			unfilled[in.slotOwners[i].Entry]--
		}
	}
	for i := range owners {
		if owners[i].Entry == "" {
			owners[i] = cranslot.Owner{Entry: takeUnfilled(unfilled, members), Epoch: epoch}
		}
	}
	return owners
}

// takeUnfilled returns the first member that has fewer slots than its share, and
// counts one slot for it.
func takeUnfilled(unfilled map[string]int, members []string) string {
	for _, m := range members {
		if unfilled[m] > 0 {
			unfilled[m]--
			return m
		}
	}
	return ""
}
