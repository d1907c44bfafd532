package crannode

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// fleetTargets and fleetShards are the numbers of targets and of shards of a testFleet.
	fleetTargets = 40
	fleetShards  = 4
	// shardCores is the processor capacity that a shard takes.
	shardCores = 0.025
	// fleetCancelBound is the time after the acknowledgement of a cancellation within which the last
	// task of the job may start.
	fleetCancelBound = 3 * time.Second
	// fleetDrainBound is the time after a target's entry is stored as draining within which the last
	// task may start there.
	fleetDrainBound = 3 * time.Second
)

// testFleet is a set of entry instances with several shards.
type testFleet struct {
	t       *testing.T
	targets *fakeTargets
	digest  *cranmemory.Topic
	shards  []ShardTopics
	// stored are all topics, of which the history can be dropped.
	stored    []*cranmemory.Topic
	directory Directory
	nodes     []*fleetNode
	// options are those of all processes.
	options   []Option
	processes int
	// queue is the configuration of the only queue.
	queue *cransched.Queue
	// connect, if set, returns the connection of a process to the targets and the platform.
	connect func(connection) OrderSender
	// wrap, if set, returns the connection of an entry instance to the topics of a shard.
	wrap  func(n *fleetNode, number int, topics ShardTopics) ShardTopics
	group sync.WaitGroup
}

// fleetNode is an entry instance and its present process.
type fleetNode struct {
	name  string
	node  *Node
	fault *fault
	// digestFault is what is wrong with the connection to the digest alone.
	digestFault *fault
	digest      *link
	// submissions are the connections to the submissions, which have a fault of their own.
	submissions      []*link
	submissionsFault *fault
	// cores is the processor capacity of the instance; 0 means shardCores.
	cores float64
	// targetsFault is what is wrong with reads of the targets.
	targetsFault *fault
	stop         context.CancelFunc
}

func newTestFleet(t *testing.T, nodes int, options ...Option) *testFleet {
	f := &testFleet{t: t, options: options, digest: cranmemory.New()}
	start := time.Now()
	clock := func() cransched.Clock {
		return cransched.Clock{Steady: time.Hour + time.Since(start), UnixMs: time.Now().UnixMilli()}
	}
	f.targets = &fakeTargets{t: t, clock: clock, targets: map[string]*fakeTarget{}, senders: map[string]string{}, done: map[cranjob.TaskName]bool{}, lasting: map[string]bool{}, cancelledAt: map[string]time.Duration{}, drainingAt: map[string]time.Duration{}, confirmedAt: map[string]time.Duration{}, orderedAt: map[string]time.Duration{}}
	operator, targets := cranmemory.New(), cranmemory.New()
	operator.Put("config", []byte{1})
	for i := range fleetTargets {
		id := fmt.Sprintf("t%02d", i)
		f.targets.targets[id] = &fakeTarget{running: map[cranjob.TaskName]fakeRun{}}
		targets.Put(id, []byte{1})
	}
	config := cransched.Config{
		Version: 1, Pools: map[string]*cransched.Pool{"p": {Name: "p"}},
		Queues: map[string]*cransched.Queue{"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 2, LatencyTarget: time.Second}},
	}
	f.queue = config.Queues["q"]
	f.directory = Directory{
		Operator: operator, Targets: targets,
		DecodeOperatorRecord: func(string, []byte) (any, error) { return &Config{Config: config}, nil },
		DecodeTargetRecord: func(id string, value []byte) (cransched.TargetInfo, error) {
			return cransched.TargetInfo{ID: id, Pool: "p", Address: id, Instance: "m" + id, Capacity: cranjob.Resources{CPU: 4000, Memory: 4000}, Draining: value[0] == drainingEntry}, nil
		},
	}
	f.stored = []*cranmemory.Topic{f.digest, operator, targets}
	for range fleetShards {
		progress, submissions := cranmemory.New(), cranmemory.New()
		f.shards = append(f.shards, ShardTopics{Progress: progress, Submissions: submissions})
		f.stored = append(f.stored, progress, submissions)
	}
	for i := range nodes {
		n := &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts a new process of an entry instance.
func (f *testFleet) start(n *fleetNode) {
	f.processes++
	incarnation := fmt.Sprintf("%s-%d", n.name, f.processes)
	connect := func(t cranstore.Topic) *link { return &link{Topic: t.(*cranmemory.Topic), fault: n.fault} }
	if n.submissionsFault == nil {
		n.submissionsFault, n.targetsFault, n.digestFault = &fault{}, &fault{}, &fault{parent: n.fault}
	}
	digest := connect(f.digest)
	digest.fault = n.digestFault
	submissions := make([]*link, fleetShards)
	n.digest, n.submissions = digest, submissions
	for number := range submissions {
		submissions[number] = &link{Topic: f.shards[number].Submissions.(*cranmemory.Topic), fault: n.fault, readFault: n.submissionsFault}
	}
	digest.recorder = &f.targets.mu
	digest.appended = func([]cranstore.Record) { f.targets.confirmedAt[incarnation] = f.targets.clock().Steady }
	progress := func(number int) *link {
		l := connect(f.shards[number].Progress)
		l.recorder = &f.targets.mu
		l.appended = func(records []cranstore.Record) {
			for _, r := range records {
				if r.Key == cranjob.KeyFallback && len(r.Value) > 0 {
					f.targets.confirmedAt[incarnation] = f.targets.clock().Steady
				}
			}
		}
		return l
	}
	topics := Topics{
		Digest: digest, MaxShards: fleetShards,
		Shard: func(number int) ShardTopics {
			topics := ShardTopics{Progress: progress(number), Submissions: submissions[number]}
			if f.wrap != nil {
				topics = f.wrap(n, number, topics)
			}
			return topics
		},
	}
	directory := f.directory
	directory.Targets = &link{Topic: f.directory.Targets.(*cranmemory.Topic), fault: &fault{}, readFault: n.targetsFault}
	options := []Option{
		WithClock(f.targets.clock), WithLimits(cranshard.Limits{Cores: cmp.Or(n.cores, shardCores)}),
		WithCancelBound(fleetCancelBound), WithDrainBound(fleetDrainBound),
		WithTiming(cransched.Timing{MaxLease: maxLease, StopTime: 900 * time.Millisecond, OrderLease: 3 * time.Second}),
	}
	var orders OrderSender = connection{targets: f.targets, process: incarnation}
	if f.connect != nil {
		orders = f.connect(connection{targets: f.targets, process: incarnation})
	}
	n.node = New(n.name, incarnation, topics, directory, orders, append(options, f.options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	node := n.node
	f.group.Go(func() { _ = node.Run(ctx) })
}

func (f *testFleet) close() {
	for _, n := range f.nodes {
		n.fault.set(false, 0)
		n.digestFault.set(false, 0)
		n.submissionsFault.set(false, 0)
		n.targetsFault.set(false, 0)
		n.stop()
	}
	f.group.Wait()
}

// owners returns how many processes schedule each shard.
func (f *testFleet) owners() [fleetShards]int {
	var owners [fleetShards]int
	for _, n := range f.nodes {
		node := n.node
		node.postAndWait(f.t.Context(), func() {
			for _, s := range node.shards {
				if s.scheduling() {
					owners[s.number]++
				}
			}
		})
	}
	return owners
}

// allOwned is the result of owners when every shard has one.
var allOwned = [fleetShards]int{1, 1, 1, 1}

func fleetJob(number int) *cranjob.Job {
	return &cranjob.Job{
		ID: fmt.Sprintf("%016x", number), Queue: "q", Pool: "p", Spec: "x",
		Steps: []cranjob.Step{{Count: 3, Demand: cranjob.Resources{CPU: 500, Memory: 100}, EstimateMs: 300}},
	}
}

// submitLasting submits a job whose tasks run until they are stopped.
func (f *testFleet) submitLasting(number int) *cranjob.Job {
	job := fleetJob(number)
	job.Steps[0].LongRunning, job.Steps[0].MaxUnavailable = true, 1
	f.targets.mu.Lock()
	f.targets.lasting[job.ID] = true
	f.targets.mu.Unlock()
	require.NoError(f.t, f.nodes[0].node.Submit(f.t.Context(), job))
	return job
}

// cancel cancels a job through an entry instance. From then on the targets check its starts.
func (f *testFleet) cancel(n *fleetNode, job string) {
	found, err := n.node.Cancel(f.t.Context(), job)
	require.NoError(f.t, err)
	require.True(f.t, found)
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	f.targets.cancelledAt[job] = f.targets.clock().Steady
}

// drainingEntry is the entry of a target that drains.
const drainingEntry = 2

// drainAll stores that all targets drain. From then on the targets check their starts.
func (f *testFleet) drainAll() {
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	for id := range f.targets.targets {
		f.directory.Targets.(*cranmemory.Topic).Put(id, []byte{drainingEntry})
		f.targets.drainingAt[id] = f.targets.clock().Steady
	}
}

// TestShardsSpreadOverProcesses starts as many processes as there are shards. Each must get
// one. When all but one are cut off from the store, that one must own all shards.
func TestShardsSpreadOverProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, fleetShards)
		defer f.close()
		time.Sleep(3 * time.Second)
		require.Equal(t, allOwned, f.owners())
		for _, n := range f.nodes {
			require.EqualValues(t, 1, n.node.owned.Load(), n.name)
		}
		for _, n := range f.nodes[1:] {
			n.fault.set(true, 0)
		}
		time.Sleep(4 * time.Second)
		require.EqualValues(t, fleetShards, f.nodes[0].node.owned.Load())
	})
}

// TestDataOfEarlierVersion starts a process on the data of the version without shards. While a
// process of that version renews its claim, nothing may be laid out and nothing is accepted.
// After that, its job must be known, and the deployment has one shard.
func TestDataOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0)
		defer f.close()
		job := fleetJob(1)
		f.stored[4].Put(cranjob.SubmissionKey(job.ID), cranjob.Encode(*job))
		renew := func(renewal uint64) {
			claim := cranjob.Claim{Epoch: 7, Node: "old", Incarnation: "old-1", Renewal: renewal}
			f.stored[3].Put(cranjob.KeyClaim, cranjob.Encode(claim))
		}
		renew(1)
		n := &fleetNode{name: "new", fault: &fault{}}
		f.nodes = append(f.nodes, n)
		f.start(n)
		for renewal := range uint64(20) {
			time.Sleep(400 * time.Millisecond)
			renew(renewal + 2)
		}
		require.False(t, n.node.Ready())
		require.Error(t, n.node.Submit(t.Context(), fleetJob(2)))
		time.Sleep(10 * time.Second)
		require.True(t, n.node.Ready())
		n.node.postAndWait(t.Context(), func() {
			require.Equal(t, 1, n.node.digest.Layout().Count())
			require.Greater(t, n.node.digest.Claim(0).Epoch, uint64(0))
		})
		state, found, err := n.node.State(t.Context(), job.ID)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, cranjob.Completed, state)
	})
}

// TestHandoverUnderFaults cuts entry instances off, lets them lag, kills and restarts them one
// by one and all at once, and drops the history of the store, while callers submit jobs. No two
// processes may send orders to a target with the same token, no task may run twice, and in the
// end every shard has one owner and every accepted job is completed, whichever process is
// asked.
func TestHandoverUnderFaults(t *testing.T) {
	seeds := uint64(12)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 5)
				defer f.close()
				time.Sleep(2 * time.Second)
				f.runFaults(rand.New(rand.NewPCG(seed, 0)))
			})
		})
	}
}

// runFaults runs a random sequence of faults, and checks the result.
func (f *testFleet) runFaults(random *rand.Rand) {
	t := f.t
	var accepted []string
	for number := range 150 {
		n := f.nodes[random.IntN(len(f.nodes))]
		switch random.IntN(24) {
		case 0:
			n.fault.set(true, 0)
		case 1, 2:
			n.fault.set(false, time.Duration(random.IntN(1500))*time.Millisecond)
		case 3, 4, 5:
			n.fault.set(false, 0)
		case 6:
			n.stop()
			f.start(n)
		case 7:
			for _, topic := range f.stored {
				topic.ExpireAll()
			}
		}
		if number == 75 {
			for _, n := range f.nodes {
				n.stop()
				f.start(n)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		job := fleetJob(number)
		if f.nodes[random.IntN(len(f.nodes))].node.Submit(ctx, job) == nil {
			accepted = append(accepted, job.ID)
		}
		cancel()
		f.askForJob(f.nodes[random.IntN(len(f.nodes))], accepted, random)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	for _, n := range f.nodes {
		n.fault.set(false, 0)
	}
	time.Sleep(30 * time.Second)
	require.Equal(t, allOwned, f.owners())
	require.NotEmpty(t, accepted)
	for _, n := range f.nodes {
		for _, id := range accepted {
			state, found, err := n.node.State(t.Context(), id)
			require.NoError(t, err)
			require.True(t, found, "%s doesn't know %s", n.name, id)
			require.Equal(t, cranjob.Completed, state, id)
		}
		_, found, err := n.node.State(t.Context(), "ffffffffffffffff")
		require.NoError(t, err)
		require.False(t, found)
	}
}

// askForJob asks an entry instance for the state of an accepted job. It may not be able to
// answer, but must not say that there is no such job.
func (f *testFleet) askForJob(n *fleetNode, accepted []string, random *rand.Rand) {
	if len(accepted) == 0 {
		return
	}
	id := accepted[len(accepted)-1-random.IntN(min(len(accepted), 5))]
	ctx, cancel := context.WithTimeout(f.t.Context(), 500*time.Millisecond)
	defer cancel()
	_, found, err := n.node.State(ctx, id)
	require.True(f.t, found || err != nil, "%s says that there is no job %s", n.name, id)
}
