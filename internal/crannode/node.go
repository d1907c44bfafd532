package crannode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// readWait is how long a read waits for a record. A read that has not been answered
	// shortly after that reveals a dead connection.
	readWait = time.Second
	// replicaReadWait is the same for the topics that are read into the replica. It is
	// shorter because a missing renewal of the claim is noticed only at the end of a
	// read.
	replicaReadWait = 500 * time.Millisecond
	// followerPause, submissionsPause and ownerPause are the pauses between two reads,
	// in which records collect so that one read returns several. followerPause is for
	// the scheduler's records at an entry instance that only answers callers.
	// submissionsPause is longer, since submissions at other entry instances matter
	// only to the owner and to callers who ask for such a job here. ownerPause is
	// short, since accepted jobs wait for it.
	followerPause    = 120 * time.Millisecond
	submissionsPause = 250 * time.Millisecond
	ownerPause       = 30 * time.Millisecond
	// maxStepInterval is the longest time between two steps of the control goroutine,
	// minTickInterval the shortest between two scheduler ticks.
	maxStepInterval = 25 * time.Millisecond
	minTickInterval = 12 * time.Millisecond
	// eventQueueSize bounds the number of events queued for the control goroutine.
	eventQueueSize = 4096
)

// Node is an entry instance. Create one with New.
type Node struct {
	name        string
	incarnation string
	dataCentre  string
	timing      cransched.Timing
	progress    *stream
	submissions *stream
	// batcher appends the records of callers.
	batcher   *cranstore.Batcher
	directory Directory
	orders    OrderSender
	log       *cranevent.Logger
	metrics   *cranmetric.Jobs
	// cpuCores is the processor capacity that this process may use, in cores; 0 if
	// unknown.
	cpuCores float64
	now      func() cransched.Clock

	// events queues the functions that the control goroutine runs.
	events chan func()
	// config is replaced as a whole; nil until the first configuration arrives.
	config atomic.Pointer[Config]
	// configReadAt is the time up to which all stored configurations were read; 0 before
	// the first read. It is set after config.
	configReadAt atomic.Int64
	// configBound is the time within which a stored configuration must be in effect.
	configBound time.Duration
	// answeredAt is when the newest read that the store has answered was sent, over all
	// topics.
	answeredAt atomic.Int64
	// owning is true while this process owns the scheduling, stopping once its shutdown
	// has begun.
	owning   atomic.Bool
	stopping atomic.Bool

	mu sync.RWMutex
	// replica is written only by the control goroutine.
	replica *cranjob.Replica
	// advanced is closed and replaced whenever the replica has advanced.
	advanced chan struct{}

	control *control
}

// Option configures a Node.
type Option func(*Node)

// WithTiming sets the time bounds of the deployment.
func WithTiming(t cransched.Timing) Option { return func(n *Node) { n.timing = t } }

// WithLogger sets the logger for events.
func WithLogger(l *cranevent.Logger) Option { return func(n *Node) { n.log = l } }

// WithMetrics sets the metrics that count requests and orders.
func WithMetrics(m *cranmetric.Jobs) Option { return func(n *Node) { n.metrics = m } }

// WithDataCentre sets the data centre in which the process runs.
func WithDataCentre(name string) Option { return func(n *Node) { n.dataCentre = name } }

// WithCPULimit sets the processor capacity that the process may use, in cores.
func WithCPULimit(cores float64) Option { return func(n *Node) { n.cpuCores = cores } }

// WithClock replaces the clock.
func WithClock(now func() cransched.Clock) Option { return func(n *Node) { n.now = now } }

// New returns an entry instance. The incarnation must differ between all processes that
// ever use the name.
func New(name, incarnation string, topics Topics, directory Directory, orders OrderSender, opts ...Option) *Node {
	n := &Node{
		name: name, incarnation: incarnation, directory: directory, orders: orders,
		log: cranevent.Discard(), metrics: cranmetric.NewJobs(), now: Now, events: make(chan func(), eventQueueSize),
		configBound: defaultConfigBound, replica: cranjob.NewReplica(), advanced: make(chan struct{}),
	}
	for _, set := range opts {
		set(n)
	}
	n.progress = n.newStream("progress", topics.Progress, followerPause)
	n.submissions = n.newStream("submissions", topics.Submissions, submissionsPause)
	n.batcher = cranstore.NewBatcher(topics.Submissions, n.metrics.Retried)
	n.control = newControl(n)
	return n
}

// Now reads the clocks. The steady clock is CLOCK_BOOTTIME, which keeps running while
// the machine is suspended.
func Now() cransched.Clock {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// CLOCK_BOOTTIME exists on every supported Linux, and no lease is safe without
		// it.
		panic(err)
	}
	return cransched.Clock{Steady: time.Duration(boot.Nano()), UnixMs: time.Now().UnixMilli()}
}

// SteadyNow reads the steady clock.
func SteadyNow() time.Duration { return Now().Steady }

// Run runs the entry instance until ctx ends. It then hands the scheduling over, if
// this process owns it, and returns once every goroutine has ended.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	n.control.runCtx = runCtx
	var group sync.WaitGroup
	group.Go(func() { n.followStream(runCtx, n.progress, n.control.applyProgress) })
	group.Go(func() { n.followStream(runCtx, n.submissions, n.control.applySubmissions) })
	group.Go(func() { n.followOperator(runCtx) })
	group.Go(func() { n.control.run(runCtx) })
	group.Go(func() { n.control.followTargets(runCtx) })
	<-ctx.Done()
	n.stopping.Store(true)
	n.control.requestHandover()
	n.control.awaitHandover()
	cancel()
	n.batcher.Close()
	group.Wait()
	return nil
}

// BeginShutdown makes the readiness probe fail and hands the scheduling over. The node
// still serves requests.
func (n *Node) BeginShutdown() {
	n.stopping.Store(true)
	n.log.Emit(cranevent.EntryStopping, cranevent.Member(n.incarnation))
	n.control.requestHandover()
}

// post queues an event for the control goroutine.
func (n *Node) post(ctx context.Context, event func()) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	}
}

// Ready reports whether the entry instance can serve callers.
func (n *Node) Ready() bool {
	now := n.now().Steady
	return n.configFreshness().confirmed && !n.stopping.Load() && (n.submissions.reachable(now) || n.progress.reachable(now))
}

// readOptions defines how a topic is read: how long a read waits for a record, and the
// pause between two reads, which is different for the owner.
type readOptions struct {
	topic             cranstore.Topic
	wait              time.Duration
	pause, ownerPause time.Duration
	options           []cranstore.FollowerOption
}

// newFollower returns a follower that reads a topic as defined.
func (n *Node) newFollower(r readOptions) *cranstore.Follower {
	pause := func() time.Duration {
		if n.owning.Load() {
			return r.ownerPause
		}
		return r.pause
	}
	options := append([]cranstore.FollowerOption{cranstore.WithWait(r.wait), cranstore.WithPause(pause)}, r.options...)
	return cranstore.NewFollower(r.topic, func() time.Duration { return n.now().Steady }, options...)
}

// follow passes the updates of a topic to deliver until ctx ends, and logs when the
// topic becomes unavailable and available again.
func (n *Node) follow(ctx context.Context, name string, f *cranstore.Follower, deliver func(cranstore.Update)) {
	unavailable := false
	var lostAt time.Duration
	f.Run(ctx, func(u cranstore.Update) {
		n.metrics.ReadTopic(name, u.Err != nil, u.Transfer.Bytes, u.Transfer.FirstByte, u.End-u.Next)
		now := n.now().Steady
		switch {
		case u.Err != nil && !unavailable:
			unavailable, lostAt = true, now
			n.logReadFailed(name, u)
		case u.Err == nil && unavailable:
			unavailable = false
			n.log.Emit(cranevent.LogAvailable, cranevent.Stream(name), cranevent.Offset(u.Next), cranevent.Elapsed(now-lostAt))
		}
		if u.Err == nil {
			n.answeredAt.Store(int64(u.Sent))
			deliver(u)
		}
	})
}

// logReadFailed logs that a topic has become unavailable, and how far the read came.
func (n *Node) logReadFailed(topic string, u cranstore.Update) {
	n.log.Emit(cranevent.LogUnavailable, cranevent.Stream(topic), cranevent.Err(u.Err), cranevent.Offset(u.Next),
		cranevent.Behind(u.End-u.Next), cranevent.Bytes(u.Transfer.Bytes), cranevent.FirstByte(u.Transfer.FirstByte),
		cranevent.Elapsed(u.Transfer.Elapsed))
}
