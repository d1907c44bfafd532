package crannode

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// submitWide submits a job of which tasks start whenever others end, for 10 s or longer.
func (f *testFleet) submitWide(number int) *cranjob.Job {
	job := fleetJob(number)
	job.Steps[0].Count = 3000
	require.NoError(f.t, f.nodes[0].node.Submit(f.t.Context(), job))
	return job
}

// submitChain submits a job of which one task starts after another, for 20 s or longer.
func (f *testFleet) submitChain(number int) *cranjob.Job {
	job := fleetJob(number)
	first := job.Steps[0]
	first.Count = 1
	job.Steps = nil
	for i := range 60 {
		step := first
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	require.NoError(f.t, f.nodes[0].node.Submit(f.t.Context(), job))
	return job
}

// other returns an entry instance other than n.
func (f *testFleet) other(n *fleetNode) *fleetNode {
	for _, o := range f.nodes {
		if o != n {
			return o
		}
	}
	return nil
}

// readTroubles are ways in which an entry instance gets the submissions late while it can still append. The tests
// let all instances have them: another process takes over from an owner that alone reads late.
var readTroubles = map[string]func(*fleetNode){
	"reads fail": func(n *fleetNode) { n.submissionsFault.set(true, 0) },
	"reads late": func(n *fleetNode) { n.submissionsFault.set(false, 7*time.Second) },
	"many records behind": func(n *fleetNode) {
		n.submissionsFault.set(false, probeTimeout+100*time.Millisecond)
		for _, l := range n.submissions {
			l.limit(1)
		}
	},
}

// TestCancelledJobStartsNothingWhileOwnerReadsLate guards against tasks that start after the job's
// cancellation was acknowledged, because the owner decides on submissions that it has read long ago.
func TestCancelledJobStartsNothingWhileOwnerReadsLate(t *testing.T) {
	jobs := map[string]func(*testFleet, int) *cranjob.Job{"next step": (*testFleet).submitChain, "room": (*testFleet).submitWide}
	for trouble, begin := range readTroubles {
		for kind, submit := range jobs {
			t.Run(fmt.Sprint(trouble, "/", kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 3)
					defer f.close()
					time.Sleep(4 * time.Second)
					job := submit(f, 1)
					time.Sleep(time.Second)
					owner := f.ownerOf(job)
					require.NotNil(t, owner)
					for _, n := range f.nodes {
						begin(n)
					}
					time.Sleep(500 * time.Millisecond)
					for number := range 200 {
						require.NoError(t, f.other(owner).node.Submit(t.Context(), fleetJob(100+number)))
					}
					f.cancel(f.other(owner), job.ID)
					time.Sleep(8 * time.Second)
				})
			})
		}
	}
}

// TestLastingTaskOfCancelledJobDoesNotRestart guards against a lasting task that restarts on another target
// after its job's cancellation was acknowledged, because the owner hasn't read that.
func TestLastingTaskOfCancelledJobDoesNotRestart(t *testing.T) {
	for trouble, begin := range readTroubles {
		t.Run(trouble, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 3)
				defer f.close()
				time.Sleep(4 * time.Second)
				job := f.submitLasting(1)
				time.Sleep(2 * time.Second)
				owner := f.ownerOf(job)
				require.NotNil(t, owner)
				for _, n := range f.nodes {
					begin(n)
				}
				time.Sleep(500 * time.Millisecond)
				for number := range 200 {
					require.NoError(t, f.other(owner).node.Submit(t.Context(), fleetJob(100+number)))
				}
				f.cancel(f.other(owner), job.ID)
				f.targets.setSilent(f.targets.hostsOf(job.ID), true)
				time.Sleep(12 * time.Second)
			})
		})
	}
}

// TestSuccessorThatLoadsLateStartsNothingOfCancelledJob guards against tasks that start after the job's
// cancellation was acknowledged, because a new owner takes what it has loaded for recent.
func TestSuccessorThatLoadsLateStartsNothingOfCancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		defer f.close()
		time.Sleep(4 * time.Second)
		job := f.submitChain(1)
		time.Sleep(time.Second)
		owner := f.ownerOf(job)
		require.NotNil(t, owner)
		owner.kill()
		for _, n := range f.nodes {
			n.submissionsFault.set(false, 5*time.Second)
		}
		time.Sleep(2500 * time.Millisecond)
		f.cancel(f.other(owner), job.ID)
		time.Sleep(12 * time.Second)
	})
}

// TestStartsResumeOnceReadsSucceed guards against a shard that stands still for longer than the submissions
// can't be read (LOST), and against decisions that are stored and withdrawn again all the while.
func TestStartsResumeOnceReadsSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		f := newTestFleet(t, 3, WithLogger(cranevent.New(&lines, cranevent.WithStrict())))
		defer f.close()
		time.Sleep(4 * time.Second)
		lasting, job := f.submitLasting(1), f.submitWide(2)
		time.Sleep(time.Second)
		owner := f.ownerOf(job)
		require.NotNil(t, owner)
		for _, n := range f.nodes {
			n.submissionsFault.set(true, 0)
		}
		time.Sleep(4 * time.Second)
		require.Zero(t, f.targets.runningTasks(job.ID))
		progress := f.shards[owner.node.shardOf(job.ID).number].Progress
		before, err := progress.End(t.Context(), 0)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		after, err := progress.End(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, before, after)
		for _, n := range f.nodes {
			n.submissionsFault.set(false, 0)
		}
		time.Sleep(600 * time.Millisecond)
		require.Greater(t, f.targets.runningTasks(job.ID), 20)
		require.Equal(t, owner, f.ownerOf(job))
		require.Equal(t, lasting.Steps[0].Count, f.targets.runningTasks(lasting.ID))
		f.close()
		owned := strings.Count(lines.String(), cranevent.StartsWithheld.String())
		require.Positive(t, owned)
		require.LessOrEqual(t, owned, fleetShards)
		require.Equal(t, owned, strings.Count(lines.String(), cranevent.StartsResumed.String()))
	})
}

// startCounter counts the starts that are sent. timeout is how long the newest call may take.
type startCounter struct {
	noInstances
	sent    int
	timeout time.Duration
}

func (c *startCounter) StartRun(ctx context.Context, _ cransched.StartRun) cransched.Response {
	c.sent++
	deadline, _ := ctx.Deadline()
	c.timeout = time.Until(deadline)
	return cransched.Response{Status: cransched.StatusOK}
}

// TestStartIsWithheldWhenItIsSentLate guards against a start that is sent long after it was decided, because
// the process was suspended in between, although the cancellation may have been read since.
func TestStartIsWithheldWhenItIsSentLate(t *testing.T) {
	for _, late := range []time.Duration{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Hour
			n := newLoneNode(t, "a-1", &now)
			orders := &startCounter{}
			n.orders = orders
			n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layoutRecord()}})
			takeOverAt(t, n, 9)
			o := n.shards[0].owner
			o.confirmedAt.Store(int64(now))
			o.sendEffect(cransched.StartRun{SendBy: now - late})
			synctest.Wait()
			require.Equal(t, 1-int(late), orders.sent)
			require.LessOrEqual(t, orders.timeout, minStartTime)
		})
	}
}
