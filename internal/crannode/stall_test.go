package crannode

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// stalledShard is the shard whose partitions hang, and whose owner is looked at.
const stalledShard = 0

// maxStandstill is how long a job may have nothing running while its targets have room.
const maxStandstill = 3 * time.Second

// partition is one process's connection to a partition of the store. What is sent while it hangs, or
// under way when it begins to, gets no answer, also not later.
type partition struct {
	cranstore.Topic
	mu    sync.Mutex
	hung  bool
	delay time.Duration
}

func (p *partition) set(hung bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung, p.delay = hung, delay
}

// answer waits until a call is answered, or returns the error of its context.
func (p *partition) answer(ctx context.Context) error {
	p.mu.Lock()
	hung, delay := p.hung, p.delay
	p.mu.Unlock()
	if hung {
		<-ctx.Done()
	}
	cranpause.Sleep(ctx, delay)
	return ctx.Err()
}

func (p *partition) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	if err := p.answer(ctx); err != nil {
		return 0, err
	}
	return p.Topic.Append(ctx, records, o)
}

func (p *partition) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	batch, err := p.Topic.Read(ctx, from, o)
	if late := p.answer(ctx); late != nil {
		return cranstore.Batch{}, late
	}
	return batch, err
}

func (p *partition) End(ctx context.Context, from uint64) (uint64, error) {
	batch, err := p.Read(ctx, from, cranstore.ReadOptions{})
	return batch.End, err
}

func (p *partition) Newest(ctx context.Context, after string, received func(int)) (cranstore.Page, error) {
	if err := p.answer(ctx); err != nil {
		return cranstore.Page{}, err
	}
	return p.Topic.Newest(ctx, after, received)
}

// stallFleet is a testFleet whose connections to the partitions of the shards can hang.
type stallFleet struct {
	*testFleet
	progress, submissions map[*fleetNode][]*partition
	// submitted is the number of the newest job.
	submitted int
}

func newStallFleet(t *testing.T, nodes int) *stallFleet {
	f := &stallFleet{testFleet: newTestFleet(t, 0), progress: map[*fleetNode][]*partition{}, submissions: map[*fleetNode][]*partition{}}
	var mu sync.Mutex
	f.wrap = func(n *fleetNode, number int, topics ShardTopics) ShardTopics {
		mu.Lock()
		defer mu.Unlock()
		if f.progress[n] == nil {
			f.progress[n], f.submissions[n] = make([]*partition, fleetShards), make([]*partition, fleetShards)
		}
		if f.progress[n][number] == nil {
			f.progress[n][number], f.submissions[n][number] = &partition{Topic: topics.Progress}, &partition{Topic: topics.Submissions}
		}
		return ShardTopics{Progress: f.progress[n][number], Submissions: f.submissions[n][number]}
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}})
		f.start(f.nodes[i])
	}
	if nodes > 0 {
		time.Sleep(5 * time.Second)
		require.Equal(t, allOwned, f.owners())
	}
	return f
}

// owner returns the entry instance that schedules the shard, and another one.
func (f *stallFleet) owner() (owner, other *fleetNode) {
	for _, n := range f.nodes {
		owns := false
		n.node.postAndWait(f.t.Context(), func() { owns = n.node.shards[stalledShard].scheduling() })
		if owns {
			owner = n
		} else {
			other = n
		}
	}
	return owner, other
}

// epoch returns the epoch of the shard's owner as an entry instance knows it.
func (f *stallFleet) epoch(n *fleetNode) uint64 {
	epoch := uint64(0)
	n.node.postAndWait(f.t.Context(), func() { epoch = n.node.shards[stalledShard].claim().Epoch })
	return epoch
}

// submit submits the next job of the shard and returns its id.
func (f *stallFleet) submit(n *fleetNode) string {
	for {
		f.submitted++
		job, found := fleetJob(f.submitted), false
		n.node.postAndWait(f.t.Context(), func() { found = n.node.shardOf(job.ID).number == stalledShard })
		if found {
			require.NoError(f.t, n.node.Submit(f.t.Context(), job))
			return job.ID
		}
	}
}

// begun reports whether a task of a job runs or has been acknowledged as done.
func (f *stallFleet) begun(job string) bool {
	if f.targets.runningTasks(job) > 0 {
		return true
	}
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	for task := range f.targets.done {
		if task.Job == job {
			return true
		}
	}
	return false
}

// longestWait submits jobs of the shard for some time, and returns how long one of them has waited until
// it began.
func (f *stallFleet) longestWait(n *fleetNode, during time.Duration) time.Duration {
	const interval, patience = 50 * time.Millisecond, 20 * time.Second
	waiting, longest := map[string]time.Time{}, time.Duration(0)
	for start := time.Now(); time.Since(start) < during || len(waiting) > 0 && time.Since(start) < during+patience; time.Sleep(interval) {
		if time.Since(start) < during {
			waiting[f.submit(n)] = time.Now()
		}
		for id, since := range waiting {
			longest = max(longest, time.Since(since))
			if f.begun(id) {
				delete(waiting, id)
			}
		}
	}
	return longest
}

// TestShardOfOwnerThatDoesNotGetOnIsTakenOver guards against jobs that stand still since the owner of their shard
// renews its claim, but gets no answers to its reads of the submissions or to its appends to the progress, or late
// ones, while others do.
func TestShardOfOwnerThatDoesNotGetOnIsTakenOver(t *testing.T) {
	const slow = 1300 * time.Millisecond
	for name, fail := range map[string]func(submissions, progress *partition){
		"reads":   func(submissions, _ *partition) { submissions.set(true, 0) },
		"appends": func(_, progress *partition) { progress.set(true, 0) },
		"slow": func(submissions, progress *partition) {
			submissions.set(false, slow)
			progress.set(false, slow)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, fleetShards+2)
				defer f.close()
				owner, other := f.owner()
				fail(f.submissions[owner][stalledShard], f.progress[owner][stalledShard])
				wait := f.longestWait(other, 8*time.Second)
				require.LessOrEqual(t, wait, maxStandstill)
				successor, _ := f.owner()
				require.NotEqual(t, owner.name, successor.name)
			})
		})
	}
}

// silence makes the partitions of the shard silent for every process for some time. It returns by how much the epoch of
// the owner has risen meanwhile.
func (f *stallFleet) silence(d time.Duration, both bool) uint64 {
	set := func(hung bool) {
		for _, n := range f.nodes {
			f.submissions[n][stalledShard].set(hung, 0)
			f.progress[n][stalledShard].set(hung && both, 0)
		}
	}
	_, other := f.owner()
	set(true)
	before := f.epoch(other)
	time.Sleep(d)
	after := f.epoch(other)
	set(false)
	return after - before
}

// silences are the lengths of the outages that the tests play.
var silences = []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 7 * time.Second, 9 * time.Second, 12 * time.Second, 15 * time.Second}

// TestOwnerGetsOnOnceSilentPartitionsAreBack guards against jobs that stand still long after the partitions of their
// shard were silent for every process, and against claims by processes that can't load it, or that the owner
// doesn't need any more.
func TestOwnerGetsOnOnceSilentPartitionsAreBack(t *testing.T) {
	for _, d := range silences {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, 3)
				defer f.close()
				_, other := f.owner()
				before := f.epoch(other)
				require.Zero(t, f.silence(d, true))
				wait := f.longestWait(other, 100*time.Millisecond)
				require.LessOrEqual(t, wait, 2*time.Second)
				time.Sleep(2 * settleTime)
				// No probe can tell an outage that is over when the owner stalls from one of the owner alone.
				if d > stallBound {
					require.Equal(t, before, f.epoch(other))
				}
			})
		})
	}
}

// TestShardIsLoadedOnceSilentPartitionsAreBack guards against jobs that stand still since the process that was loading
// their shard while its partitions were silent waits for answers that don't come, or has released the shard.
func TestShardIsLoadedOnceSilentPartitionsAreBack(t *testing.T) {
	for _, nodes := range []int{2, 4} {
		for _, both := range []bool{false, true} {
			for _, d := range silences {
				t.Run(fmt.Sprintf("%d processes, both %v, %v", nodes, both, d), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newStallFleet(t, nodes)
						defer f.close()
						owner, other := f.owner()
						owner.kill()
						f.nodes = slices.DeleteFunc(f.nodes, func(n *fleetNode) bool { return n == owner })
						claims := f.silence(d, both)
						wait := f.longestWait(other, 100*time.Millisecond)
						require.LessOrEqual(t, wait, 2*time.Second)
						require.LessOrEqual(t, claims, uint64(1))
					})
				})
			}
		}
	}
}

// TestLostReadMovesNoShard guards against a shard that is taken from an owner of which one read of the submissions got
// no answer, or one read and one append to the progress at the same time.
func TestLostReadMovesNoShard(t *testing.T) {
	for i := range 22 {
		phase, appends := time.Duration(i/2)*replicaReadWait/10, i%2 == 1
		t.Run(fmt.Sprintf("%v, append %v", phase, appends), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, 3)
				defer f.close()
				owner, other := f.owner()
				before := f.epoch(other)
				time.Sleep(phase)
				f.submit(other)
				time.Sleep(20 * time.Millisecond)
				f.submissions[owner][stalledShard].set(true, 0)
				f.progress[owner][stalledShard].set(appends, 0)
				time.Sleep(700 * time.Millisecond)
				f.submissions[owner][stalledShard].set(false, 0)
				f.progress[owner][stalledShard].set(false, 0)
				time.Sleep(5 * time.Second)
				require.Equal(t, before, f.epoch(other))
			})
		})
	}
}

// TestSlowStoreMovesNoShard guards against shards that pass from process to process since the store is slow for all
// of them, which none can do better than another.
func TestSlowStoreMovesNoShard(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, 3)
				defer f.close()
				_, other := f.owner()
				before := f.epoch(other)
				for _, n := range f.nodes {
					f.submissions[n][stalledShard].set(false, delay)
					f.progress[n][stalledShard].set(false, delay)
				}
				time.Sleep(30 * time.Second)
				require.Equal(t, before, f.epoch(other))
			})
		})
	}
}

// TestRelievedOwnerDoesNotTakeOverAtOnce guards against two processes, each of which the other takes for better, that
// take a shard from one another again and again.
func TestRelievedOwnerDoesNotTakeOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, 0)
		defer p.close()
		for _, n := range p.nodes {
			n.postAndWait(t.Context(), func() { n.measureLag = lagOfOwners(n) })
		}
		const length = time.Minute
		time.Sleep(length)
		takeovers := uint64(0)
		p.nodes[0].postAndWait(t.Context(), func() { takeovers = p.nodes[0].digest.Claim(0).Epoch - 1 })
		require.NotZero(t, takeovers)
		require.LessOrEqual(t, takeovers, 2*uint64(length/reliefPause))
	})
}

// TestShardIsServedWhileEveryOwnerLags guards against jobs that stand still between two owners, or for want of one,
// since each process that owns a shard lags and hands it over.
func TestShardIsServedWhileEveryOwnerLags(t *testing.T) {
	for _, nodes := range []int{1, 3, 22} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, nodes)
				defer f.close()
				for _, n := range f.nodes {
					n.node.postAndWait(t.Context(), func() { n.node.measureLag = lagOfOwners(n.node) })
				}
				require.LessOrEqual(t, f.longestWait(f.nodes[0], 40*time.Second), maxStandstill)
			})
		})
	}
}

// lagOfOwners returns a measure of the lag of a process that lags as soon as it owns a shard.
func lagOfOwners(n *Node) func() time.Duration {
	return func() time.Duration {
		if n.control.scheduling() > 0 {
			return 2 * maxLag
		}
		return 0
	}
}
