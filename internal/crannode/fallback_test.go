package crannode

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// cutDigest sets whether all entry instances are cut off from the digest alone.
func (f *testFleet) cutDigest(on bool) {
	for _, n := range f.nodes {
		n.digestFault.set(on, 0)
	}
}

// fallbackStored reports whether the progress of the shard of a job has a fallback record.
func (f *testFleet) fallbackStored(job string) bool {
	page, err := f.shards[f.nodes[0].node.shardOf(job).number].Progress.Newest(f.t.Context(), cranjob.FallbackPageStart, nil)
	require.NoError(f.t, err)
	return len(page.Records) > 0
}

// TestJobsGoOnWhileDigestIsAway guards against jobs that stand still, or of which callers learn late that they have
// ended, while the partition of the digest is away and those of the shards answer.
func TestJobsGoOnWhileDigestIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		defer f.close()
		time.Sleep(5 * time.Second)
		chain, short := f.submitChain(1), fleetJob(2)
		require.NoError(t, f.nodes[0].node.Submit(t.Context(), short))
		time.Sleep(150 * time.Millisecond)
		f.cutDigest(true)
		time.Sleep(2 * time.Second)
		states := func(id string, want cranjob.State) {
			for _, n := range f.nodes {
				state, found, err := n.node.State(t.Context(), id)
				require.NoError(t, err)
				require.True(t, found)
				require.Equal(t, want, state, n.name)
			}
		}
		states(short.ID, cranjob.Completed)
		state, _, err := f.nodes[0].node.State(t.Context(), chain.ID)
		require.NoError(t, err)
		require.False(t, state.Final())
		// The chain takes at least 18 s, most of them without the digest.
		time.Sleep(23 * time.Second)
		states(chain.ID, cranjob.Completed)
		// No entry instance takes an answer back while the digest doesn't have the end yet.
		owner := f.ownerOf(chain)
		for _, n := range f.nodes {
			n.digestFault.set(n == owner, 0)
		}
		for range 20 {
			states(chain.ID, cranjob.Completed)
			time.Sleep(20 * time.Millisecond)
		}
		f.cutDigest(false)
		time.Sleep(5 * time.Second)
		states(short.ID, cranjob.Completed)
		states(chain.ID, cranjob.Completed)
		require.Equal(t, allOwned, f.owners())
		require.False(t, f.fallbackStored(chain.ID), "the record would delay the next takeover")
	})
}

// TestSuccessorAwaitsOwnerThatHoldsByFallback guards against a successor that counts on its predecessor having stopped
// while that still sends orders, because it has held the shard by its progress.
func TestSuccessorAwaitsOwnerThatHoldsByFallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		defer f.close()
		time.Sleep(5 * time.Second)
		job := f.submitLasting(1)
		time.Sleep(time.Second)
		owner := f.ownerOf(job)
		require.NotNil(t, owner)
		owner.digestFault.set(true, 0)
		var successor *ownership
		for successor == nil {
			time.Sleep(5 * time.Millisecond)
			for _, n := range f.nodes {
				if n == owner {
					continue
				}
				n.node.postAndWait(t.Context(), func() {
					if o := n.node.shardOf(job.ID).owner; o != nil && o.progressLoaded {
						successor = o
					}
				})
			}
		}
		// The old owner doesn't learn that its appends would be refused.
		owner.fault.set(true, 0)
		time.Sleep(5 * time.Second)
		f.targets.mu.Lock()
		lastOrder := f.targets.orderedAt[owner.node.incarnation]
		f.targets.mu.Unlock()
		require.LessOrEqual(t, lastOrder, successor.predecessor.StoppedBy)
		require.Equal(t, job.Steps[0].Count, f.targets.runningTasks(job.ID))
	})
}

// TestFallbackOfEarlierOwnerIsKeptUntilItHasStopped guards against a third owner that sends orders beside the first, because
// the second has replaced the record of the first and released its claim soon after.
func TestFallbackOfEarlierOwnerIsKeptUntilItHasStopped(t *testing.T) {
	now := time.Hour
	n := newLoneNode(t, "a-1", &now)
	n.shards = []*shard{n.newShard(0, now)}
	o := &ownership{shard: n.shards[0], epoch: 9, digest: &fencedWriter{busy: true, begunAt: now - time.Second}, scheduler: &cransched.Scheduler{}}
	earlier := cranjob.Encode(cranjob.Fallback{Epoch: 8})
	o.observeFallback([]cranstore.Record{{Key: cranjob.KeyFallback, Value: earlier}}, now)
	require.Empty(t, o.fallbackRecords(o.predecessor.StoppedBy-1))
	require.Len(t, o.fallbackRecords(o.predecessor.StoppedBy), 1)
}

// TestMalformedFallbackIsAwaited guards against a new owner that takes a record which it can't read for none.
func TestMalformedFallbackIsAwaited(t *testing.T) {
	for _, value := range [][]byte{{0xff}, cranjob.Encode(cranjob.Fallback{Epoch: 8, Ended: []cranjob.EndedJob{{ID: "a", State: cranjob.Running}}})} {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		n.shards = []*shard{n.newShard(0, now)}
		o := &ownership{shard: n.shards[0], epoch: 9}
		o.observeFallback([]cranstore.Record{{Key: cranjob.KeyFallback, Value: value}}, now)
		require.Greater(t, o.predecessor.StoppedBy, now)
		require.True(t, o.fallback.stored)
	}
}

// TestTakeoversWhileDigestIsAway cuts processes off from the digest, pauses, kills and restarts them, while targets fall
// silent and respond. The fake targets check each order and each start, so it guards against owners that act beyond
// the time for which they hold a shard and against tasks that run twice. In the end every task runs.
func TestTakeoversWhileDigestIsAway(t *testing.T) {
	// With seed 248 tasks run twice if a successor doesn't heed the record.
	seeds := []uint64{248, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19}
	if testing.Short() {
		seeds = seeds[:5]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 4)
				defer f.close()
				time.Sleep(3 * time.Second)
				f.runDigestFaults(rand.New(rand.NewPCG(seed, 7)))
			})
		})
	}
}

// runDigestFaults runs a random sequence of faults of the digest and of processes, and checks the result.
func (f *testFleet) runDigestFaults(random *rand.Rand) {
	jobs := make([]*cranjob.Job, 8)
	for number := range jobs {
		jobs[number] = f.submitLasting(number)
	}
	for number := range 12 {
		f.submitChain(100 + number)
	}
	ids := slices.Sorted(maps.Keys(f.targets.targets))
	for range 60 {
		n := f.nodes[random.IntN(len(f.nodes))]
		switch random.IntN(10) {
		case 0:
			n.kill()
			f.start(n)
		case 1:
			n.pause(f.t, 3*time.Second)
		case 2, 3, 4:
			n.digestFault.set(true, 0)
		case 5:
			f.cutDigest(true)
		case 6, 7:
			f.cutDigest(false)
		case 8:
			from := random.IntN(len(ids) - 10)
			f.targets.setSilent(ids[from:from+10], true)
		case 9:
			f.targets.setSilent(ids, false)
		}
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	}
	f.cutDigest(false)
	f.targets.setSilent(ids, false)
	time.Sleep(20 * time.Second)
	for _, j := range jobs {
		require.Equal(f.t, j.Steps[0].Count, f.targets.runningTasks(j.ID), j.ID)
	}
}
