package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// rehome gives every slot a member as its home.
func (c *change) rehome() {
	c.reroute()
	members := sortedKeys(c.members)
	for _, in := range c.sortedInstances() {
		in.homes = rebalance(in, members, c.in.Offset+1)
	}
}

// rebalance returns the homes of an instance's slots. Each member ends with
// the share that rendezvous hashing deals it, and no more slots change their
// home than that takes: a changed slot rests until every member has answered
// for it.
func rebalance(in *instance, members []string, epoch uint64) []cranslot.Home {
	if len(members) == 0 {
		return nil
	}
	missing := map[string]int{}
	for _, entry := range cranslot.AssignHomes(in.id, in.slots, members) {
		missing[entry]++
	}
	homes := make([]cranslot.Home, in.slots)
	for i := range homes {
		if i < len(in.homes) && missing[in.homes[i].Entry] > 0 {
			homes[i] = in.homes[i]
			missing[in.homes[i].Entry]--
		}
	}
	for i := range homes {
		if homes[i].Entry == "" {
			homes[i] = cranslot.Home{Entry: takeMissing(missing, members), Epoch: epoch}
		}
	}
	return homes
}

// takeMissing returns the first member that is owed a slot.
func takeMissing(missing map[string]int, members []string) string {
	for _, m := range members {
		if missing[m] > 0 {
			missing[m]--
			return m
		}
	}
	return ""
}
