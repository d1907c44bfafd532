package crannode

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// kill ends the process of an entry instance without a release of its shards.
func (n *fleetNode) kill() {
	n.fault.set(true, 0)
	n.fault = &fault{}
	n.digestFault = &fault{parent: n.fault, cut: n.digestFault.isCut()}
	n.stop()
}

// TestRestartedOwnerAwaitsLeasesOfSilentTargets guards against runs that start again while the
// leases last under which they run on a silent target; the fake targets check each start.
func TestRestartedOwnerAwaitsLeasesOfSilentTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		defer f.close()
		time.Sleep(3 * time.Second)
		job := f.submitLasting(1)
		time.Sleep(2 * time.Second)
		hosts := f.targets.hostsOf(job.ID)
		require.NotEmpty(t, hosts)
		f.targets.setSilent(hosts, true)
		time.Sleep(2500 * time.Millisecond)
		f.nodes[0].kill()
		f.group.Wait()
		f.start(f.nodes[0])
		time.Sleep(8 * time.Second)
		restarted := f.targets.hostsOf(job.ID)
		require.NotEmpty(t, restarted)
		for _, id := range restarted {
			require.NotContains(t, hosts, id)
		}
	})
}

// TestTakeoversWithSilentTargets kills and restarts processes, drops the history of the store, and
// silences targets, while jobs with lasting tasks run. The fake targets check each start. In the
// end every task runs.
func TestTakeoversWithSilentTargets(t *testing.T) {
	seeds := uint64(20)
	if testing.Short() {
		seeds = 4
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 3)
				defer f.close()
				time.Sleep(3 * time.Second)
				f.runTakeovers(rand.New(rand.NewPCG(seed, 0)))
			})
		})
	}
}

// runTakeovers runs a random sequence of takeovers and silences, and checks the result.
func (f *testFleet) runTakeovers(random *rand.Rand) {
	jobs := make([]*cranjob.Job, 8)
	for number := range jobs {
		jobs[number] = f.submitLasting(number)
	}
	ids := slices.Sorted(maps.Keys(f.targets.targets))
	for range 60 {
		n := f.nodes[random.IntN(len(f.nodes))]
		switch random.IntN(8) {
		case 0:
			n.kill()
			f.start(n)
		case 1:
			n.stop()
			f.start(n)
		case 2:
			for _, topic := range f.stored {
				topic.ExpireAll()
			}
		case 3, 4, 5:
			from := random.IntN(len(ids) - 10)
			f.targets.setSilent(ids[from:from+10], true)
		case 6:
			f.targets.setSilent(ids, false)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	f.targets.setSilent(ids, false)
	time.Sleep(15 * time.Second)
	for _, j := range jobs {
		require.Equal(f.t, j.Steps[0].Count, f.targets.runningTasks(j.ID), j.ID)
	}
}

// TestLeasesOfPredecessor guards against ends of leases that a process takes from an owner
// other than its predecessor: an owner in between may have granted leases again. A malformed
// figure must not overflow to an end in the past.
func TestLeasesOfPredecessor(t *testing.T) {
	n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{})
	s := n.newShard(0, 0)
	require.Nil(t, s.leasesEndAt(0))
	r := crandigest.Leases{Epoch: 4, Targets: []crandigest.SilentTarget{{ID: "x", EndsInMs: 3000}, {ID: "y", EndsInMs: -5}, {ID: "z", EndsInMs: math.MaxInt64}}}.Record(0)
	_, err := n.digest.Apply(r.Key, r.Value, time.Hour)
	require.NoError(t, err)
	require.Equal(t, map[string]time.Duration{"x": time.Hour + 3*time.Second, "y": time.Hour, "z": time.Hour + maxLeaseEnd}, s.leasesEndAt(4))
	require.Nil(t, s.leasesEndAt(5))
}

// newLoneNode returns a node of which the test calls the control functions itself.
func newLoneNode(t *testing.T, incarnation string, now *time.Duration) *Node {
	clock := func() cransched.Clock { return cransched.Clock{Steady: *now} }
	n := New("a", incarnation, memoryTopics(), Directory{Targets: cranmemory.New()}, noInstances{}, WithClock(clock))
	ctx, cancel := context.WithCancel(t.Context())
	n.control.runCtx = ctx
	t.Cleanup(func() {
		cancel()
		n.control.group.Wait()
	})
	return n
}

// TestOwnershipBeginsOnceDigestIsLoaded guards against a new owner that acts on records from
// before a load of the digest, because its claim comes first in the load.
func TestOwnershipBeginsOnceDigestIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		claim := func(epoch uint64, node string) cranstore.Record {
			return crandigest.ClaimRecord(0, cranjob.Claim{Epoch: epoch, Node: node, Incarnation: node + "-1"})
		}
		layout := cranstore.Record{Key: crandigest.KeyLayout, Value: cranshard.New(1, 1, nil).Encode()}
		silent := crandigest.Leases{Epoch: 8, Targets: []crandigest.SilentTarget{{ID: "x", EndsInMs: 1000}}}
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layout, claim(8, "b"), silent.Record(0)}})
		s := n.shards[0]
		s.claimedEpoch = 9
		now += 10 * time.Second
		n.control.applyDigest(cranstore.Update{Reset: true, Partial: true, Records: []cranstore.Record{claim(9, "a")}})
		require.Nil(t, s.owner)
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{crandigest.Leases{Epoch: 8}.Record(0)}})
		require.NotNil(t, s.owner)
		require.Empty(t, s.owner.predecessor.LeasesEndAt)
		require.Equal(t, now+cransched.OwnershipTimeout, s.owner.predecessor.StoppedBy)
	})
}

// TestUnknownPredecessorIsAwaited guards against an owner that takes the newest claim that it
// has read for that of its predecessor, when a load has left out a claim in between.
func TestUnknownPredecessorIsAwaited(t *testing.T) {
	for _, skipped := range []uint64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Hour
			n := newLoneNode(t, "a-2", &now)
			s := n.newShard(0, now)
			n.shards = []*shard{s}
			s.previousClaim = cranjob.Claim{Epoch: 8, Node: "a", Incarnation: "a-1", Released: true}
			leases := crandigest.Leases{Epoch: 8, Targets: []crandigest.SilentTarget{{ID: "x", EndsInMs: 1000}}}.Record(0)
			_, err := n.digest.Apply(leases.Key, leases.Value, now)
			require.NoError(t, err)
			s.beginOwnership(cranjob.Claim{Epoch: 9 + skipped, Node: "a", Incarnation: "a-2"}, n.now())
			predecessor := s.owner.predecessor
			if skipped == 0 {
				require.Equal(t, now, predecessor.StoppedBy)
				require.NotEmpty(t, predecessor.LeasesEndAt)
				return
			}
			require.Equal(t, now+cransched.OwnershipTimeout, predecessor.StoppedBy)
			require.Empty(t, predecessor.LeasesEndAt)
		})
	}
}
