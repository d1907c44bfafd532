package cranslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AssignOwners returns the home of each slot of a new instance. It ranks the
// members by rendezvous hashing and deals the slots out in that order, so
// that every member gets its share of every instance, give or take one slot.
// Without members it returns nil.
func AssignOwners(instance string, slots int, members []string) []string {
	if len(members) == 0 || slots <= 0 {
		return nil
	}
	ranked := rank(instance, members)
	homes := make([]string, slots)
	for i := range homes {
		homes[i] = ranked[i%len(ranked)]
	}
	return homes
}

// AssignOwnersBalanced is AssignOwners for a member set that already has homes on
// other instances: held tells how many slots a member has. Each slot goes to
// the member with the fewest slots of the instance, and among those to the
// one with the fewest in all, so that shares stay even over a fleet.
func AssignOwnersBalanced(instance string, slots int, members []string, held func(member string) int) []string {
	if len(members) == 0 || slots <= 0 {
		return nil
	}
	ranked := rank(instance, members)
	count := make(map[string]int, len(ranked))
	homes := make([]string, slots)
	for i := range homes {
		homes[i] = slices.MinFunc(ranked, func(a, b string) int {
			if c := cmp.Compare(count[a], count[b]); c != 0 {
				return c
			}
			return cmp.Compare(held(a), held(b))
		})
		count[homes[i]]++
	}
	return homes
}

// ReassignOwners returns the homes after a change of members: the slots of members
// that are gone go, with the new epoch, to the members with the fewest slots
// of the instance; all other slots stay where they are. It doesn't change
// homes. Without members it returns homes without entries.
func ReassignOwners(instance string, homes []Owner, members []string, epoch uint64) []Owner {
	next := slices.Clone(homes)
	ranked := rank(instance, members)
	count := make(map[string]int, len(ranked))
	for _, h := range next {
		count[h.Entry]++
	}
	for i, h := range next {
		if slices.Contains(ranked, h.Entry) {
			continue
		}
		next[i] = Owner{Entry: fewest(ranked, count), Epoch: epoch}
		count[next[i].Entry]++
	}
	return next
}

// fewest returns the first of the ranked members with the lowest count.
func fewest(ranked []string, count map[string]int) string {
	if len(ranked) == 0 {
		return ""
	}
	return slices.MinFunc(ranked, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}

// rank orders the members by their rendezvous weight for the instance.
func rank(instance string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(weight(instance, b), weight(instance, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Compact(ranked)
}

// weight is the rendezvous weight of a member for an instance.
func weight(instance, member string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + member)
}
