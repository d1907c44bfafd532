package crannode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// readWait is how long a read waits for a record. A read that has not been answered
	// shortly after that reveals a dead connection.
	readWait = time.Second
	// replicaReadWait is the same for the digest and for the submissions. It is shorter
	// because a missing renewal of a claim is noticed only at the end of a read.
	replicaReadWait = 500 * time.Millisecond
	// submissionsPause is the pause between an owner's reads of the submissions. It is short,
	// since accepted jobs wait for it.
	submissionsPause = 30 * time.Millisecond
	// reachableFor is how long the store counts as reachable after a successful read was
	// sent.
	reachableFor = 2500 * time.Millisecond
	// digestStream is the name of the digest in logs and metrics.
	digestStream = "digest"
	// eventQueueSize bounds the number of events queued for the control goroutine.
	eventQueueSize = 4096
)

// Node is an entry instance. Create one with New.
type Node struct {
	name        string
	incarnation string
	dataCentre  string
	timing      cransched.Timing
	topics      Topics
	directory   Directory
	orders      OrderSender
	log         *cranevent.Logger
	metrics     *cranmetric.Jobs
	limits      cranshard.Limits
	now         func() cransched.Clock
	// measureLag returns how late the process handles what has arrived, since the last call; nil if
	// that isn't measured.
	measureLag func() time.Duration

	// events queues the functions that the control goroutine runs.
	events chan func()
	// config is replaced as a whole; nil until the first configuration arrives.
	config atomic.Pointer[Config]
	// configReadAt is the time up to which all stored configurations were read; 0 before
	// the first read. It is set after config.
	configReadAt atomic.Int64
	// configBound is the time within which a stored configuration must be in effect.
	configBound time.Duration
	// revokeBound is the bound of the settings for the removal of a key; 0 if there is none.
	revokeBound time.Duration
	// keyBound is the time within which the removal of a key must be in effect, at most configBound.
	keyBound time.Duration
	// cancelBound is the time within which an acknowledged cancellation must be in effect, drainBound
	// that within which a stored entry of a target that drains must be.
	cancelBound, drainBound time.Duration
	// digestFollower reads the digest. digestContactAt is when its newest successful read was
	// sent; 0 before the first.
	digestFollower  *cranstore.Follower
	digestContactAt atomic.Int64
	// digestUnavailable is true while reads of the digest fail.
	digestUnavailable atomic.Bool
	// admission holds the load by which jobs are refused.
	admission admission
	// contact tells whether the store answers the reads and appends of this process.
	contact storeContact
	// ticketSlots bounds the requests to the advice service that are under way.
	ticketSlots *semaphore.Weighted
	// owned is the number of shards that this process schedules, and stopping is true once
	// its shutdown has begun.
	owned    atomic.Int32
	stopping atomic.Bool

	// mu guards the fields below, which only the control goroutine writes, except stored.
	mu     sync.RWMutex
	digest *crandigest.Digest
	// digestComplete is true once the digest has been read to its end. digestCurrentAt is
	// when the newest read that reached the end was sent.
	digestComplete  bool
	digestCurrentAt time.Duration
	// shards is nil until the layout is known.
	shards []*shard
	// stored holds the jobs that this process knows to be stored and that are not in the
	// digest yet, and those whose cancellation isn't.
	stored map[string]localJob
	// advanced is closed and replaced whenever the digest was read.
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

// WithLagMeter sets how the lag of the process is measured. Without it, an owner takes its process for
// one that is always in time.
func WithLagMeter(measure func() time.Duration) Option {
	return func(n *Node) { n.measureLag = measure }
}

// WithDataCentre sets the data centre in which the process runs.
func WithDataCentre(name string) Option { return func(n *Node) { n.dataCentre = name } }

// WithLimits sets the resources that the process may use.
func WithLimits(l cranshard.Limits) Option { return func(n *Node) { n.limits = l } }

// WithClock replaces the clock.
func WithClock(now func() cransched.Clock) Option { return func(n *Node) { n.now = now } }

// New returns an entry instance. The incarnation must differ between all processes that
// ever use the name.
func New(name, incarnation string, topics Topics, directory Directory, orders OrderSender, opts ...Option) *Node {
	n := &Node{
		name: name, incarnation: incarnation, topics: topics, directory: directory, orders: orders,
		log: cranevent.Discard(), metrics: cranmetric.NewJobs(), now: Now, events: make(chan func(), eventQueueSize),
		configBound: defaultConfigBound, cancelBound: defaultCancelBound, drainBound: defaultDrainBound, digest: crandigest.New(), stored: map[string]localJob{}, advanced: make(chan struct{}),
		ticketSlots: semaphore.NewWeighted(cransched.TicketSlots),
	}
	n.admission.board = cranadmit.NewBoard()
	for _, set := range opts {
		set(n)
	}
	n.keyBound = n.configBound
	if n.revokeBound > 0 {
		n.keyBound = min(n.keyBound, n.revokeBound)
	}
	n.digestFollower = n.newFollower(readOptions{
		topic: topics.Digest, wait: replicaReadWait, pause: digestPause, options: []cranstore.FollowerOption{cranstore.WithPages()},
	})
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

// Run runs the entry instance until ctx ends. It then hands over the shards that this process
// owns, and returns once every goroutine has ended.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	n.control.runCtx = runCtx
	var group sync.WaitGroup
	group.Go(func() {
		n.follow(runCtx, digestStream, n.digestFollower, func(u cranstore.Update) {
			n.postAndWait(runCtx, func() { n.control.applyDigest(u) })
		})
	})
	group.Go(func() { n.followOperator(runCtx) })
	group.Go(func() { n.control.run(runCtx) })
	<-ctx.Done()
	n.stopping.Store(true)
	n.control.requestHandover()
	n.control.awaitHandover()
	cancel()
	group.Wait()
	n.control.group.Wait()
	for _, s := range n.shards {
		for _, p := range s.stripes {
			p.batcher.Close()
		}
	}
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

// postAndWait queues an event for the control goroutine and waits until it has run.
func (n *Node) postAndWait(ctx context.Context, event func()) {
	done := make(chan struct{})
	n.post(ctx, func() {
		defer close(done)
		event()
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Ready reports whether the entry instance can serve callers.
func (n *Node) Ready() bool {
	n.mu.RLock()
	known := n.shards != nil
	n.mu.RUnlock()
	return known && n.configFreshness().confirmed && !n.stopping.Load() && n.storeReachable()
}

// storeReachable reports whether the store has answered a read recently.
func (n *Node) storeReachable() bool {
	at := n.digestContactAt.Load()
	return at != 0 && n.now().Steady-time.Duration(at) <= reachableFor
}

// readOptions defines how a topic is read: how long a read waits for a record, and the
// pause between two reads.
type readOptions struct {
	topic   cranstore.Topic
	wait    time.Duration
	pause   time.Duration
	options []cranstore.FollowerOption
}

// newFollower returns a follower that reads a topic as defined.
func (n *Node) newFollower(r readOptions) *cranstore.Follower {
	options := append([]cranstore.FollowerOption{cranstore.WithWait(r.wait), cranstore.WithPause(r.pause)}, r.options...)
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
		n.contact.observe(u.Err, now)
		if name == digestStream {
			n.digestUnavailable.Store(u.Err != nil)
		}
		switch {
		case u.Err != nil && !unavailable:
			unavailable, lostAt = true, now
			n.logReadFailed(name, u)
		case u.Err == nil && unavailable:
			unavailable = false
			n.log.Emit(cranevent.LogAvailable, cranevent.Stream(name), cranevent.Offset(u.Next), cranevent.Elapsed(now-lostAt))
		}
		if u.Err == nil {
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

// skipMalformed logs and counts a record that is skipped because it can't be decoded.
func (n *Node) skipMalformed(stream string, r cranstore.Record, err error) {
	n.metrics.MalformedRecord(stream)
	n.log.Emit(cranevent.MalformedRecord, cranevent.Stream(stream), cranevent.Offset(r.Offset), cranevent.Err(err))
}
