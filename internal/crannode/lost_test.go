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
)

// pause keeps the control goroutine from doing anything for a while.
func (n *fleetNode) pause(t *testing.T, d time.Duration) {
	n.node.post(t.Context(), func() { time.Sleep(d) })
}

// ownerOf returns the entry instance that schedules the shard of a job; nil if none does.
func (f *testFleet) ownerOf(job *cranjob.Job) *fleetNode {
	for _, n := range f.nodes {
		owner := false
		n.node.postAndWait(f.t.Context(), func() {
			s := n.node.shardOf(job.ID)
			owner = s != nil && s.scheduling()
		})
		if owner {
			return n
		}
	}
	return nil
}

// loseOwner submits a job, silences its targets, and calls fail with the owner when that is about
// to publish them as silent. They respond for a moment after respondAfter, and the owner is killed
// after killAfter. The fake targets check each start; in the end all tasks run elsewhere.
func (f *testFleet) loseOwner(fail func(*fleetNode), respondAfter, killAfter time.Duration) {
	t := f.t
	time.Sleep(4 * time.Second)
	job := f.submitLasting(1)
	time.Sleep(2 * time.Second)
	hosts := f.targets.hostsOf(job.ID)
	require.NotEmpty(t, hosts)
	owner := f.ownerOf(job)
	require.NotNil(t, owner)
	f.targets.setSilent(hosts, true)
	time.Sleep(1700 * time.Millisecond)
	fail(owner)
	time.Sleep(respondAfter)
	f.targets.setSilent(hosts, false)
	time.Sleep(100 * time.Millisecond)
	f.targets.setSilent(hosts, true)
	time.Sleep(killAfter)
	owner.kill()
	time.Sleep(15 * time.Second)
	require.Equal(t, job.Steps[0].Count, f.targets.runningTasks(job.ID))
	for _, id := range f.targets.hostsOf(job.ID) {
		require.NotContains(t, hosts, id)
	}
}

// TestOwnerDiesAfterLostAnswer guards against runs that start again while the leases last under
// which they run, because the owner goes on as if its list of silent targets weren't stored.
func TestOwnerDiesAfterLostAnswer(t *testing.T) {
	for _, respondAfter := range []time.Duration{200, 500, 1000, 1500} {
		for _, killAfter := range []time.Duration{0, 300, 900, 1600, 2500} {
			t.Run(fmt.Sprint(int(respondAfter), "-", int(killAfter)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 3)
					defer f.close()
					f.loseOwner(func(n *fleetNode) { n.digest.lose(true) }, respondAfter*time.Millisecond, killAfter*time.Millisecond)
				})
			})
		}
	}
}

// TestOwnerIsPausedAroundItsList guards against runs that start again while the leases last under
// which they run, because an owner does nothing for a while before or after it publishes them.
func TestOwnerIsPausedAroundItsList(t *testing.T) {
	for _, pauseAfter := range []time.Duration{0, 80, 150, 250, 600} {
		for _, killAfter := range []time.Duration{0, 1600, 3500} {
			t.Run(fmt.Sprint(int(pauseAfter), "-", int(killAfter)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 3)
					defer f.close()
					f.loseOwner(func(n *fleetNode) {
						time.Sleep(pauseAfter * time.Millisecond)
						n.pause(t, 3*time.Second)
					}, 200*time.Millisecond, killAfter*time.Millisecond)
				})
			})
		}
	}
}

// TestTakeoversWithPausesAndLostAnswers pauses, kills and restarts processes and loses answers to
// appends, while targets fall silent and respond. The fake targets check each order and each start.
// In the end every task runs.
func TestTakeoversWithPausesAndLostAnswers(t *testing.T) {
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
				f.runPauses(rand.New(rand.NewPCG(seed, 0)))
			})
		})
	}
}

// runPauses runs a random sequence of pauses, lost answers and silences, and checks the result.
func (f *testFleet) runPauses(random *rand.Rand) {
	jobs := make([]*cranjob.Job, 8)
	for number := range jobs {
		jobs[number] = f.submitLasting(number)
	}
	ids := slices.Sorted(maps.Keys(f.targets.targets))
	for range 60 {
		n := f.nodes[random.IntN(len(f.nodes))]
		switch random.IntN(10) {
		case 0:
			n.kill()
			f.start(n)
		case 1, 2:
			n.pause(f.t, 3*time.Second)
		case 3, 4:
			n.digest.lose(true)
		case 5:
			n.digest.lose(false)
		case 6, 7, 8:
			from := random.IntN(len(ids) - 10)
			f.targets.setSilent(ids[from:from+10], true)
		case 9:
			f.targets.setSilent(ids, false)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	for _, n := range f.nodes {
		n.digest.lose(false)
	}
	f.targets.setSilent(ids, false)
	time.Sleep(20 * time.Second)
	for _, j := range jobs {
		require.Equal(f.t, j.Steps[0].Count, f.targets.runningTasks(j.ID), j.ID)
	}
}
