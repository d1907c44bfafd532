package cranslot

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AssignOwners returns the owner of each slot of a new instance. It ranks the
// members by rendezvous hashing and assigns the slots in that order in turn, so
// that the shares of the members differ by at most one slot for each instance.
// It returns nil without members.
func AssignOwners(instance string, slots int, members []string) []string {
	if len(members) == 0 || slots <= 0 {
		return nil
	}
	ranked := rankMembers(instance, members)
	owners := make([]string, slots)
	for i := range owners {
		owners[i] = ranked[i%len(ranked)]
	}
	return owners
}

// AssignOwnersBalanced is AssignOwners for members that already own slots of
// other instances; owned returns the number of those slots. Each slot is
// assigned to the member with the fewest slots of the instance, and among those
// to the one with the fewest slots in total, so that the shares stay even over
// all instances.
func AssignOwnersBalanced(instance string, slots int, members []string, owned func(member string) int) []string {
	if len(members) == 0 || slots <= 0 {
		return nil
	}
	ranked := rankMembers(instance, members)
	count := make(map[string]int, len(ranked))
	owners := make([]string, slots)
	for i := range owners {
		owners[i] = slices.MinFunc(ranked, func(a, b string) int {
			if c := cmp.Compare(count[a], count[b]); c != 0 {
				return c
			}
			return cmp.Compare(owned(a), owned(b))
		})
		count[owners[i]]++
	}
	return owners
}

// ReassignOwners returns the owners after a change of members. Slots of removed
// members are assigned at the new epoch to the members with the fewest slots of
// the instance; all other slots keep their owners. It doesn't modify the owners
// passed. Without members it returns owners with an empty Entry.
func ReassignOwners(instance string, owners []Owner, members []string, epoch uint64) []Owner {
	next := slices.Clone(owners)
	ranked := rankMembers(instance, members)
	count := make(map[string]int, len(ranked))
	for _, o := range next {
		count[o.Entry]++
	}
	for i, o := range next {
		if slices.Contains(ranked, o.Entry) {
			continue
		}
		next[i] = Owner{Entry: fewestSlots(ranked, count), Epoch: epoch}
		count[next[i].Entry]++
	}
	return next
}

// fewestSlots returns the first of the ranked members with the lowest count.
func fewestSlots(ranked []string, count map[string]int) string {
	if len(ranked) == 0 {
		return ""
	}
	return slices.MinFunc(ranked, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}

// rankMembers sorts the members by descending rendezvous weight for the
// instance.
func rankMembers(instance string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(weight(instance, b), weight(instance, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Compact(ranked)
}

// weight returns the rendezvous weight of a member for an instance.
func weight(instance, member string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + member)
}
