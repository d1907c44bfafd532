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
	// readWait is how long a read waits for a record; a silent connection is
	// found out a little later.
	readWait = time.Second
	// bookWait is the same for the book. An owner's silence shows at its end.
	bookWait = 500 * time.Millisecond
	// followerPause lets the records of some milliseconds share a read where
	// the book only answers callers; ownerPause is shorter, since an accepted
	// job waits for it. Submissions by others matter to the owner alone, and to
	// callers who ask for a job at another entry instance.
	followerPause    = 120 * time.Millisecond
	submissionsPause = 250 * time.Millisecond
	ownerPause       = 30 * time.Millisecond
	// tickEvery is the slowest pace of the control goroutine, tickPause the
	// fastest at which the scheduler looks at everything.
	tickEvery = 25 * time.Millisecond
	tickPause = 12 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 4096
)

// Node is an entry instance.
type Node struct {
	name        string
	incarnation string
	dataCentre  string
	timing      cransched.Timing
	progress    *stream
	submissions *stream
	// batcher stores what callers ask for.
	batcher   *cranstore.Batcher
	directory Directory
	orders    OrderSender
	log       *cranevent.Logger
	metrics   *cranmetric.Jobs
	// processor is the share of a core that this process has; 0 if unknown.
	processor float64
	now       func() cransched.Clock

	events chan func()
	// config is replaced as a whole; nil before the first.
	config atomic.Pointer[Config]
	// answeredAt is when the newest read of any topic was sent that the store
	// has answered.
	answeredAt atomic.Int64
	owning     atomic.Bool
	stopping   atomic.Bool

	mu sync.RWMutex
	// book is written by the control goroutine alone.
	book *cranjob.Book
	// advanced is closed and replaced whenever the book was read further.
	advanced chan struct{}

	control *control
}

// Option changes a Node.
type Option func(*Node)

// WithTiming sets the bounds of the deployment.
func WithTiming(t cransched.Timing) Option { return func(n *Node) { n.timing = t } }

// WithLogger sets where events go.
func WithLogger(l *cranevent.Logger) Option { return func(n *Node) { n.log = l } }

// WithMetrics sets where requests and orders are counted.
func WithMetrics(m *cranmetric.Jobs) Option { return func(n *Node) { n.metrics = m } }

// WithDataCentre tells where the process runs.
func WithDataCentre(name string) Option { return func(n *Node) { n.dataCentre = name } }

// WithCPULimit tells what share of a core the process has.
func WithCPULimit(cores float64) Option { return func(n *Node) { n.processor = cores } }

// WithClock replaces the clock.
func WithClock(now func() cransched.Clock) Option { return func(n *Node) { n.now = now } }

// New returns an entry instance. The incarnation must differ between all
// processes that ever bear the name.
func New(name, incarnation string, topics Topics, directory Directory, orders OrderSender, opts ...Option) *Node {
	n := &Node{
		name: name, incarnation: incarnation, directory: directory, orders: orders,
		log: cranevent.Discard(), metrics: cranmetric.NewJobs(), now: Now, events: make(chan func(), eventQueue),
		book: cranjob.NewBook(), advanced: make(chan struct{}),
	}
	for _, set := range opts {
		set(n)
	}
	n.progress = &stream{name: "progress", topic: topics.Progress}
	n.submissions = &stream{name: "submissions", topic: topics.Submissions}
	n.batcher = cranstore.NewBatcher(topics.Submissions, n.metrics.Retried)
	n.control = newControl(n)
	return n
}

// Now reads the clocks. The steady clock goes on while the machine sleeps.
func Now() cransched.Clock {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The clock id is valid on every Linux; without it no lease is safe.
		panic(err)
	}
	return cransched.Clock{Steady: time.Duration(boot.Nano()), UnixMs: time.Now().UnixMilli()}
}

// SteadyNow reads the steady clock.
func SteadyNow() time.Duration { return Now().Steady }

// Run works until ctx ends. Then it gives up the scheduling, if it has it, and
// returns once every goroutine has ended.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	n.control.work = work
	var group sync.WaitGroup
	group.Go(func() { n.followStream(work, n.progress, followerPause, n.control.readProgress) })
	group.Go(func() { n.followStream(work, n.submissions, submissionsPause, n.control.readSubmissions) })
	group.Go(func() { n.followOperator(work) })
	group.Go(func() { n.control.run(work) })
	group.Go(func() { n.control.followTargets(work) })
	<-ctx.Done()
	n.stopping.Store(true)
	n.control.leave()
	n.control.awaitVacated()
	cancel()
	n.batcher.Close()
	group.Wait()
	return nil
}

// BeginShutdown ends readiness and hands the scheduling over; requests are served on.
func (n *Node) BeginShutdown() {
	n.stopping.Store(true)
	n.log.Emit(cranevent.EntryStopping, cranevent.Member(n.incarnation))
	n.control.leave()
}

// post hands an event to the control goroutine.
func (n *Node) post(ctx context.Context, event func()) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	}
}

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool {
	now := n.now().Steady
	return n.config.Load() != nil && !n.stopping.Load() && (n.submissions.reachable(now) || n.progress.reachable(now))
}

// Config returns the configuration in force; nil before the first.
func (n *Node) Config() *Config { return n.config.Load() }

// reading says how a topic is read: how long a read waits for a record, and the
// pause between two reads, of which that of the owner is shorter.
type reading struct {
	name              string
	topic             cranstore.Topic
	wait              time.Duration
	pause, ownerPause time.Duration
}

// follow delivers what a topic brings until ctx ends, and logs when the topic is
// lost and regained.
func (n *Node) follow(ctx context.Context, r reading, deliver func(cranstore.Update)) {
	pause := func() time.Duration {
		if n.owning.Load() {
			return r.ownerPause
		}
		return r.pause
	}
	lost := false
	cranstore.NewFollower(r.topic, func() time.Duration { return n.now().Steady }, r.wait, pause).Run(ctx, func(u cranstore.Update) {
		if (u.Err != nil) != lost {
			lost = u.Err != nil
			n.dependency(r.name, u.Err)
		}
		if u.Err == nil {
			n.answeredAt.Store(int64(u.Sent))
			deliver(u)
		}
	})
}

func (n *Node) followOperator(ctx context.Context) {
	n.follow(ctx, reading{name: "operator", topic: n.directory.Operator, wait: readWait}, func(u cranstore.Update) {
		for _, r := range u.Records {
			n.operatorRecord(ctx, r)
		}
	})
}

// dependency logs that a topic was lost or regained.
func (n *Node) dependency(topic string, err error) {
	if err != nil {
		n.log.Emit(cranevent.LogUnavailable, cranevent.Stream(topic), cranevent.Err(err))
		return
	}
	n.log.Emit(cranevent.LogBack, cranevent.Stream(topic))
}

func (n *Node) operatorRecord(ctx context.Context, r cranstore.Record) {
	if len(r.Value) == 0 {
		return
	}
	decoded, err := n.directory.DecodeOperatorRecord(r.Key, r.Value)
	if err != nil {
		n.log.Emit(cranevent.MalformedRecord, cranevent.Stream("operator"), cranevent.Offset(r.Offset), cranevent.Err(err))
		return
	}
	switch v := decoded.(type) {
	case *Config:
		if old := n.config.Load(); old != nil && old.Version >= v.Version {
			return
		}
		n.config.Store(v)
		n.log.Emit(cranevent.ConfigurationInForce, cranevent.Offset(r.Offset), cranevent.Revision(uint64(v.Version)))
		n.post(ctx, func() { n.control.setConfig(&v.Config) })
	case *cransched.WaveOrder:
		n.post(ctx, func() { n.control.addWave(*v) })
	}
}
