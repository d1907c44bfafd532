package cranentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranclaim"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

const (
	// controlTick is how often the control thread looks at its timers.
	controlTick = 50 * time.Millisecond
	// slotTick is how often the broker repeats what was not answered, and
	// idleSlotTick how often while nothing was to be sent for some time.
	slotTick     = 10 * time.Millisecond
	idleSlotTick = 200 * time.Millisecond
	// slotRest is how long the broker must have been quiet to count as idle.
	slotRest = time.Second
	// readInterval spaces the reads of the control stream.
	readInterval = 100 * time.Millisecond
	// pollWait bounds one long poll of the log.
	pollWait = 500 * time.Millisecond
	// leaveTimeout bounds the farewell to the log at a planned stop.
	leaveTimeout = 3 * time.Second
	// effectsShard is the one shard of effects.
	effectsShard = "effects"
)

// Entry is one incarnation of an entry instance.
type Entry struct {
	parts
	incarnation string
	log         cranplatform.Log
	guard       *guard
	control     *control
	writer      *cranlog.Writer
	// tailer is nil until the entry has found a state to start from.
	tailer atomic.Pointer[cranlog.Tailer]
	broker *cranslot.Broker
	front  *crantraffic.Proxy[cranslot.Slot]
	// handler is the front's, with the time of each request observed.
	handler   http.Handler
	client    *cranpeer.Client
	claims    *cranclaim.Shards
	server    *cranpeer.Server
	beats     *beats
	contact   *contact
	waiters   *waiters
	performer *performer

	// slotsOut holds a token while the broker has messages to send.
	slotsOut chan struct{}
	// peerBytes counts the bytes exchanged with peers.
	peerBytes atomic.Int64
	// published is the offset after the record that the last views show.
	published uint64
	report    *reporter

	// peersMu guards peers, the other members as of the last batch.
	peersMu sync.Mutex
	peers   []cranpeer.Peer

	cancel context.CancelFunc
	done   sync.WaitGroup
	// ended gets the first fault that ends the entry.
	ended chan error
}

// New starts an entry: it reads the log, joins as a member and serves as soon
// as it has caught up. The listener for peers is the entry's from then on;
// peers reach it at the address advertise.
func New(log cranplatform.Log, fleet cranplatform.Fleet, peerListener net.Listener, advertise string, options ...Option) (*Entry, error) {
	p := newParts(options)
	p.advertise = advertise
	e := &Entry{
		parts:       p,
		incarnation: p.id + "-" + randomSuffix(),
		log:         log,
		guard:       newGuard(),
		control:     newControl(cranstate.New(), controlTick),
		beats:       newBeats(),
		waiters:     newWaiters(),
		ended:       make(chan error, 1),
		slotsOut:    make(chan struct{}, 1),
	}
	e.report = newReporter(p.logger, p.metrics, e.incarnation)
	e.client = cranpeer.NewClient(e.incarnation, p.maxPeerMessage, e.countPeer)
	relay := &relayLog{Log: log, client: e.client, peers: e.Peers, timeout: p.lease / 4}
	shards, err := cranclaim.NewShards(log, claimShards, e.incarnation)
	if err != nil {
		return nil, eris.Wrap(err, "start the claim keepers")
	}
	e.claims = shards
	e.writer = cranlog.NewWriter(relay, p.stream, e.incarnation, cranlog.WithBatchWindow(p.batchWindow))
	e.contact = newContact(p.lease)
	e.carryTraffic()
	e.performer = newPerformer(e, fleet)
	e.control.onEffects = e.onEffects
	e.control.onBatch = e.onBatch
	e.control.onTick = e.onTick
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.start(ctx, peerListener)
	return e, nil
}

// carryTraffic makes the broker and the front, which need each other.
func (e *Entry) carryTraffic() {
	var notify func(group string)
	e.broker = cranslot.NewBroker(e.incarnation, cranslot.WithSeed(randomSeed()),
		cranslot.WithInterval(slotTick),
		cranslot.WithOutgoing(e.wakeSlots),
		cranslot.WithNotify(func(group string) { notify(group) }))
	counters := cranmetric.NewTrafficCounters[crantraffic.RetryReason, crantraffic.Outcome](e.metrics)
	options := append(slices.Clone(e.frontOptions), crantraffic.WithCounters(counters), crantraffic.WithPeerAnswers(e))
	e.front = crantraffic.NewProxy[cranslot.Slot](wakingSlots{e.broker, e.wakeSlots}, claims{e.claims}, options...)
	e.handler = e.metrics.Timed(crantraffic.ServicePrefix, e.front.Handler())
	notify = e.front.SlotFreed
}

// start starts the entry's goroutines.
func (e *Entry) start(ctx context.Context, peerListener net.Listener) {
	e.report.emit(cranevent.EntryStarting, cranevent.Member(e.incarnation), cranevent.DataCentre(e.dataCentre))
	e.publish(e.control.state)
	e.spawn(func() { e.end(e.control.run(ctx)) })
	e.server = cranpeer.NewServer(peerListener, (*local)(e), e.maxPeerMessage, e.report.peerRefused, e.countPeer)
	e.spawn(func() { e.boot(ctx) })
	e.spawn(func() { e.slotLoop(ctx) })
	e.spawn(func() { e.peerLoop(ctx) })
	e.spawn(func() { e.performer.run(ctx) })
	e.spawn(func() { e.snapshotLoop(ctx) })
}

func (e *Entry) spawn(f func()) {
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		f()
	}()
}

// end notes the first fault that ends the entry.
func (e *Entry) end(err error) {
	if err == nil {
		return
	}
	select {
	case e.ended <- err:
	default:
	}
}

// Ended gets a fault if the entry cannot go on as this incarnation: it was
// written off, or the log no longer keeps what it has yet to read. The owner
// closes it and starts another.
func (e *Entry) Ended() <-chan error { return e.ended }

// Incarnation returns the entry's unique name as a member.
func (e *Entry) Incarnation() string { return e.incarnation }

// Handler returns the handler for callers' requests.
func (e *Entry) Handler() http.Handler { return e.handler }

// Ready returns nil if the entry takes requests, else the fault that says why
// not.
func (e *Entry) Ready() error { return e.guard.mayServe() }

// PeerBytes returns how many bytes the entry exchanged with its peers.
func (e *Entry) PeerBytes() int64 { return e.peerBytes.Load() }

func (e *Entry) countPeer(direction cranpeer.Direction, n int) {
	e.peerBytes.Add(int64(n))
	e.metrics.PeerMessage(cranmetric.Direction(direction), n)
}

// Peers returns the other members.
func (e *Entry) Peers() []cranpeer.Peer {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.peers
}

// Close stops the entry gracefully: no new request starts, those in progress
// get their answers, leases are handed back and the membership ends. It
// waits for all of that.
func (e *Entry) Close() error {
	e.report.emit(cranevent.EntryStopping, cranevent.Member(e.incarnation))
	e.guard.stopping.Store(true)
	err := e.front.Close()
	e.leave()
	e.cancel()
	err = errors.Join(err, e.closeTailer(), e.server.Close(), e.client.Close(), e.writer.Close(), e.claims.Close())
	e.done.Wait()
	e.report.emit(cranevent.EntryStopped, cranevent.Member(e.incarnation))
	return eris.Wrap(err, "close entry")
}

// Abort ends the entry at once, as the death of its process would: it starts
// nothing more, and nobody hears of it. What was sent to targets runs on. It
// is for demonstrations and tests within one process.
func (e *Entry) Abort() {
	e.guard.stopping.Store(true)
	e.cancel()
	_ = errors.Join(e.closeTailer(), e.server.Close(), e.client.Close(), e.writer.Close(), e.claims.Close())
	e.done.Wait()
}

// leave says farewell; if the log is down the lease lapses instead.
func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.claims.Flush(ctx)
	_, _ = e.Propose(ctx, cranstate.MemberLeft{})
}

func (e *Entry) peer(member string) (cranpeer.Peer, bool) {
	for _, p := range e.Peers() {
		if p.Member == member {
			return p, true
		}
	}
	return cranpeer.Peer{}, false
}

// publish hands views of the state to the traffic threads.
func (e *Entry) publish(s *cranstate.State) {
	e.published = s.RoutingVersion()
	e.front.SetView(trafficView(s, e.guard.mayServe))
	e.broker.SetView(slotView(s))
	e.setPeers(s)
}

func (e *Entry) setPeers(s *cranstate.State) {
	var peers []cranpeer.Peer
	keep := map[string]bool{}
	for _, m := range s.Members() {
		if m.Incarnation() == e.incarnation {
			continue
		}
		keep[m.Incarnation()] = true
		peers = append(peers, cranpeer.Peer{Member: m.Incarnation(), Address: m.Address()})
	}
	e.client.CloseExcept(keep)
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	e.peers = peers
}
