package cranshard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLayoutDividesPoolsAndRacks checks that every shard has about the same part of each
// pool and of each rack, of which ids are consecutive.
func TestLayoutDividesPoolsAndRacks(t *testing.T) {
	const shards, racks, perRack = 7, 10, 20
	pools := map[string][]string{}
	for i := range racks * perRack {
		for _, pool := range []string{"a", "b"} {
			pools[pool] = append(pools[pool], fmt.Sprintf("%s-%03d", pool, i))
		}
	}
	l := New(shards, 0, pools)
	for _, pool := range []string{"a", "b"} {
		byShard, byRack := [shards]int{}, [racks][shards]int{}
		for i, id := range pools[pool] {
			byShard[l.OfInstance(id)]++
			byRack[i/perRack][l.OfInstance(id)]++
		}
		for shard, n := range byShard {
			require.InDelta(t, racks*perRack/shards, n, 1)
			for rack := range racks {
				require.InDelta(t, perRack/shards, byRack[rack][shard], 1)
			}
		}
	}
}

// TestLayoutDividesJobs checks that jobs with similar ids are divided evenly.
func TestLayoutDividesJobs(t *testing.T) {
	const shards, jobs = 11, 11000
	l := New(shards, jobs, nil)
	byShard := [shards]int{}
	for i := range jobs {
		byShard[l.OfJob(fmt.Sprintf("%016x", i))]++
	}
	for _, n := range byShard {
		require.InDelta(t, jobs/shards, n, jobs/shards/5)
	}
}

// TestDecodedLayoutIsEqual checks that all processes agree: a layout that was stored and
// read assigns everything as before.
func TestDecodedLayoutIsEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOf(rapid.StringN(1, 12, -1)).Draw(t, "instances")
		l := New(rapid.IntRange(1, 20).Draw(t, "shards"), len(ids), map[string][]string{"p": ids})
		read, err := Decode(l.Encode())
		require.NoError(t, err)
		require.Equal(t, l.TargetsPerShard(), read.TargetsPerShard())
		for _, id := range append(ids, "unknown") {
			require.Equal(t, l.OfInstance(id), read.OfInstance(id))
			require.Equal(t, l.OfJob(id), read.OfJob(id))
		}
	})
}

// TestMalformedLayout checks that a layout of another writer is refused.
func TestMalformedLayout(t *testing.T) {
	for _, text := range [][]byte{nil, {1}, (&Layout{}).Encode(), New(maxShards+1, 0, nil).Encode()} {
		_, err := Decode(text)
		require.Error(t, err)
	}
}

// TestCount checks the number of shards for the fleets of the users.
func TestCount(t *testing.T) {
	small := Limits{Cores: 0.4, LinkMbps: 1000}
	require.Equal(t, 1, Count(49, small, 12))
	require.Equal(t, 1, Count(0, Limits{}, 12))
	require.Equal(t, 5, Count(1100, Limits{Cores: 0.8, LinkMbps: 200}, 24))
	require.Equal(t, 3, Count(130, Limits{Cores: 0.12, LinkMbps: 2}, 24))
	require.Equal(t, 12, Count(7898, small, 12))
}
