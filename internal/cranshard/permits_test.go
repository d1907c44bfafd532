package cranshard

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPermitsNeverExceedLimit checks the limit of a wave while shards become done one after
// the other and every shard knows only some of that. The last shard must get all permits.
func TestPermitsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 12).Draw(t, "members")
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		done := make([]bool, len(members))
		for _, last := range rapid.Permutation(indices(len(members))).Draw(t, "order") {
			sum, open := 0, 0
			for shard := range members {
				view := slices.Clone(done)
				for i := range view {
					// A shard knows its own state, and that of others some time later.
					view[i] = done[i] && (i == shard || rapid.Bool().Draw(t, "known"))
				}
				sum += Permits(Wave{Limit: limit, Members: members, Done: view}, shard)
				if members[shard] > 0 && !done[shard] {
					open = shard
				}
			}
			require.LessOrEqual(t, sum, limit)
			current := Wave{Limit: limit, Members: members, Done: done}
			if remaining(current) == 1 {
				require.Equal(t, limit, Permits(current, open))
			}
			done[last] = true
		}
	})
}

// remaining returns how many shards have members and are not done.
func remaining(w Wave) int {
	n := 0
	for shard, members := range w.Members {
		if members > 0 && !w.Done[shard] {
			n++
		}
	}
	return n
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestAllPermitsAreUsed checks that no permit is unused while shards have work left.
func TestAllPermitsAreUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 12).Draw(t, "members")
		done := rapid.SliceOfN(rapid.Bool(), len(members), len(members)).Draw(t, "done")
		w := Wave{Limit: rapid.IntRange(1, 20).Draw(t, "limit"), Members: members, Done: done}
		if remaining(w) == 0 {
			return
		}
		sum := 0
		for shard := range members {
			sum += Permits(w, shard)
		}
		require.Equal(t, w.Limit, sum)
	})
}
