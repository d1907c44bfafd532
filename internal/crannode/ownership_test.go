package crannode

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// answerLostTopic stores appends, but loses the answers to the first ones.
type answerLostTopic struct {
	*cranmemory.Topic
	lost int
}

func (t *answerLostTopic) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	offset, err := t.Topic.Append(ctx, records, o)
	if t.lost == 0 {
		return offset, err
	}
	t.lost--
	<-ctx.Done()
	return 0, ctx.Err()
}

// layoutRecord returns the record of a layout with one shard.
func layoutRecord() cranstore.Record {
	return cranstore.Record{Key: crandigest.KeyLayout, Value: cranshard.New(1, 1, nil).Encode()}
}

// claimRecord returns the claim of the first process of an entry instance.
func claimRecord(epoch uint64, node string, released bool) cranstore.Record {
	return crandigest.ClaimRecord(0, cranjob.Claim{Epoch: epoch, Node: node, Incarnation: node + "-1", Released: released})
}

// TestRepeatedAppendConfirmsOnlyItsFirstAttempt guards against an owner that counts its newest
// record from a repeat, which adds none. The latency is that of one attempt.
func TestRepeatedAppendConfirmsOnlyItsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() cransched.Clock { return cransched.Clock{Steady: time.Hour + time.Since(start)} }
		n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{}, WithClock(clock))
		storedAt := n.now().Steady
		r := crandigest.Renewal{Epoch: 1, Number: 1}.Record(0)
		sent, err := n.appendUntilAnswered(t.Context(), &answerLostTopic{Topic: cranmemory.New(), lost: 1}, []cranstore.Record{r},
			cranstore.AppendOptions{Producer: "scheduler/0", Epoch: 1, Sequence: 1})
		require.NoError(t, err)
		require.LessOrEqual(t, sent.first, storedAt, "the owner counts its record as %v newer than it is", sent.first-storedAt)
		require.Equal(t, n.now().Steady, sent.last)
	})
}

// TestOwnerStopsByTimeThatSuccessorCountsOn guards against an owner that acts longer than its
// successor counts on, because the answer to its last append before it is cut off was lost.
func TestOwnerStopsByTimeThatSuccessorCountsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() cransched.Clock { return cransched.Clock{Steady: time.Hour + time.Since(start)} }
		topics := memoryTopics()
		topics.Digest = &answerLostTopic{Topic: cranmemory.New(), lost: 1}
		ctx, cancel := context.WithCancel(t.Context())
		newNode := func(name string) (*Node, *shard) {
			n := New(name, name+"-1", topics, Directory{Targets: cranmemory.New()}, noInstances{}, WithClock(clock))
			n.control.runCtx = ctx
			n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layoutRecord()}})
			return n, n.shards[0]
		}
		a, owner := newNode("a")
		b, successor := newNode("b")
		owner.claimedEpoch, owner.claimSentAt = 1, clock().Steady
		a.control.applyDigest(cranstore.Update{Records: []cranstore.Record{claimRecord(1, "a", false)}})
		b.control.applyDigest(cranstore.Update{Records: []cranstore.Record{claimRecord(1, "a", false)}})
		o := owner.owner
		require.NotNil(t, o)
		renewal := o.renewal(clock().Steady).Record(0)
		o.digest.write(o, []cranstore.Record{renewal}, func(sent time.Duration, err error) { o.digestAppended(sent, err, false) })
		time.Sleep(10 * time.Millisecond)
		b.control.applyDigest(cranstore.Update{Records: []cranstore.Record{renewal}})
		time.Sleep(2 * time.Second)
		a.control.runQueuedEvents()
		successor.claimedEpoch, successor.claimSentAt = 2, clock().Steady
		b.control.applyDigest(cranstore.Update{Records: []cranstore.Record{claimRecord(2, "b", false)}})
		require.NotNil(t, successor.owner)
		ownerStops := time.Duration(o.confirmedAt.Load()) + cransched.OwnershipTimeout
		stoppedBy := successor.owner.predecessor.StoppedBy
		cancel()
		a.control.group.Wait()
		b.control.group.Wait()
		require.LessOrEqual(t, ownerStops, stoppedBy, "the owner sends orders %v longer than its successor counts on", ownerStops-stoppedBy)
	})
}

// TestRepeatedClaimConfirmsOnlyItsFirstAttempt guards against an owner that counts its claim from
// a repeat. All claims of an epoch are one append.
func TestRepeatedClaimConfirmsOnlyItsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		s := n.newShard(0, now)
		n.shards = []*shard{s}
		s.sendClaim(9, now, 0)
		synctest.Wait()
		now += 1900 * time.Millisecond
		s.sendClaim(9, now, 0)
		synctest.Wait()
		s.beginOwnership(cranjob.Claim{Epoch: 9, Node: "a", Incarnation: "a-1"}, n.now())
		require.LessOrEqual(t, time.Duration(s.owner.confirmedAt.Load()), time.Hour)
		require.GreaterOrEqual(t, now-s.owner.renewedAt, claimInterval, "the renewal isn't due at once")
	})
}

// TestOwnerBeforeReleasedOneIsAwaited guards against an owner that forgets the one before its
// predecessor, which has lost the store and may act longer than the predecessor, which released
// its claim soon or has restarted.
func TestOwnerBeforeReleasedOneIsAwaited(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Hour
			n := newLoneNode(t, "a-2", &now)
			apply := func(records ...cranstore.Record) { n.control.applyDigest(cranstore.Update{Records: records}) }
			apply(layoutRecord(), claimRecord(8, "b", false), crandigest.Renewal{Epoch: 8, Number: 1}.Record(0))
			now += 10 * time.Second
			apply(crandigest.Renewal{Epoch: 8, Number: 2}.Record(0))
			earlierStops := now + cransched.OwnershipTimeout
			now += 1700 * time.Millisecond
			if restarted {
				apply(claimRecord(9, "a", false))
			} else {
				apply(claimRecord(9, "c", false))
				now += 100 * time.Millisecond
				apply(claimRecord(9, "c", true))
			}
			now += 100 * time.Millisecond
			require.Equal(t, earlierStops, takeOverAt(t, n, 10).StoppedBy)
		})
	}
}

// takeOverAt makes a process that a test controls own its shard with an epoch.
func takeOverAt(t *testing.T, n *Node, epoch uint64) cransched.Predecessor {
	s := n.shards[0]
	s.claimedEpoch, s.claimSentAt = epoch, n.now().Steady
	claim := cranjob.Claim{Epoch: epoch, Node: n.name, Incarnation: n.incarnation}
	n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{crandigest.ClaimRecord(0, claim)}})
	require.NotNil(t, s.owner)
	return s.owner.predecessor
}

// TestHandoverIsFastWhenNoOtherOwnerActs guards against a wait for owners that have stopped: the
// predecessor has released its claim, and the one before was lost long before.
func TestHandoverIsFastWhenNoOtherOwnerActs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		apply := func(records ...cranstore.Record) { n.control.applyDigest(cranstore.Update{Records: records}) }
		apply(layoutRecord(), claimRecord(8, "b", false))
		now += 2 * time.Second
		apply(claimRecord(9, "c", false))
		now += cransched.OwnershipTimeout
		apply(claimRecord(9, "c", true))
		require.Equal(t, now, takeOverAt(t, n, 10).StoppedBy)
	})
}

// TestNewProcessAwaitsOwnersThatItDoesNotKnow guards against a process that takes the newest claim
// of its first load for all that there was: the owner before may still act.
func TestNewProcessAwaitsOwnersThatItDoesNotKnow(t *testing.T) {
	// A load returns the claim before the layout.
	for _, records := range [][]cranstore.Record{
		{layoutRecord(), claimRecord(9, "a", false)}, {claimRecord(9, "a", false), layoutRecord()},
	} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Hour
			n := newLoneNode(t, "a-2", &now)
			n.control.applyDigest(cranstore.Update{Reset: true, Records: records})
			loadedAt := now
			now += 300 * time.Millisecond
			require.Equal(t, loadedAt+cransched.OwnershipTimeout, takeOverAt(t, n, 10).StoppedBy)
		})
	}
}

// TestOwnerThatReportsWaveIsAwaited guards against an owner that acts longer than its successor
// counts on, because its last append held nothing but the progress of a wave.
func TestOwnerThatReportsWaveIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layoutRecord(), claimRecord(8, "b", false)}})
		now += 390 * time.Millisecond
		readAt := now
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{crandigest.WaveProgress{Begun: true}.Record(1, 0)}})
		now += 2 * time.Second
		require.Equal(t, readAt+cransched.OwnershipTimeout, takeOverAt(t, n, 9).StoppedBy)
	})
}

// TestInheritedLeaseIsLoggedWithItsAge guards against an age in event 1307 that isn't that of the
// list from which the ends were computed, because a load has returned the list again.
func TestInheritedLeaseIsLoggedWithItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		var lines bytes.Buffer
		n.log = cranevent.New(&lines, cranevent.WithStrict())
		list := crandigest.Leases{Epoch: 8, Targets: []crandigest.SilentTarget{{ID: "x", EndsInMs: 3000}}}.Record(0)
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layoutRecord(), claimRecord(8, "b", false), list}})
		takeOverAt(t, n, 9)
		synctest.Wait()
		now += time.Second
		n.control.applyDigest(cranstore.Update{Reset: true, Records: []cranstore.Record{list}})
		synctest.Wait()
		now += 200 * time.Millisecond
		synctest.Wait()
		o := n.shards[0].owner
		o.progressLoaded, o.submissionsLoaded = true, true
		n.control.config, n.control.targets.known = &cransched.Config{Version: 1}, true
		o.startIfLoaded(n.now())
		require.Contains(t, lines.String(), `"ageMs":1200`)
		require.Contains(t, lines.String(), `"remainingMs":1800`)
	})
}

// TestOwnerKeepsShard cancels jobs while their tasks run. The owner must acknowledge the ends
// of the runs, for which it has nothing to store, and keep its shard.
func TestOwnerKeepsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		defer f.close()
		time.Sleep(3 * time.Second)
		for number := range 40 {
			require.NoError(t, f.nodes[0].node.Submit(t.Context(), fleetJob(number)))
			time.Sleep(150 * time.Millisecond)
			found, err := f.nodes[0].node.Cancel(t.Context(), fleetJob(number).ID)
			require.NoError(t, err)
			require.True(t, found)
		}
		for number := range fleetShards {
			require.EqualValues(t, 1, f.nodes[0].claimedEpoch(t, number))
		}
	})
}

// claimedEpoch returns the epoch of the newest claim of a shard that the process has read.
func (n *fleetNode) claimedEpoch(t *testing.T, number int) (epoch uint64) {
	n.node.postAndWait(t.Context(), func() { epoch = n.node.digest.Claim(number).Epoch })
	return epoch
}

// TestOwnerLearnsWhatIsPublishedOfWaves guards against an owner that plans a wave again which its predecessors have
// published as done.
func TestOwnerLearnsWhatIsPublishedOfWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layoutRecord(), claimRecord(8, "b", false)}})
		for wave := 1; wave <= 3; wave++ {
			n.control.addWave(cransched.WaveOrder{Wave: wave, Instances: []string{"m"}, MaxParallel: 1})
		}
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{
			crandigest.WaveProgress{Begun: true}.Record(2, 0), crandigest.WaveProgress{Begun: true, Done: true}.Record(3, 0),
		}})
		var begun, done []int
		for _, o := range n.control.waveOrders(0) {
			if o.Begun {
				begun = append(begun, o.Wave)
			}
			if o.Done {
				done = append(done, o.Wave)
			}
		}
		require.Equal(t, []int{2, 3}, begun)
		require.Equal(t, []int{3}, done)
	})
}
