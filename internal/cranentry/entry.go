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
	// controlTick is the interval at which the control thread checks its timers.
	controlTick = 50 * time.Millisecond
	// slotTick is the interval at which the slot broker repeats unanswered
	// messages. While the broker is idle the interval is idleSlotTick.
	slotTick     = 10 * time.Millisecond
	idleSlotTick = 200 * time.Millisecond
	// slotIdleAfter is how long the broker must be without activity to count as
	// idle.
	slotIdleAfter = time.Second
	// readInterval is the minimum time between reads of the control stream.
	readInterval = 100 * time.Millisecond
	// pollWait is the maximum duration of one long poll of the log.
	pollWait = 500 * time.Millisecond
	// leaveTimeout is how long a planned stop may take to end the membership.
	leaveTimeout = 3 * time.Second
	// effectsShard is the name of the effects lease.
	effectsShard = "effects"
)

// Entry is one incarnation of an entry instance: one run as a member under a
// unique name.
type Entry struct {
	settings
	incarnation string
	log         cranplatform.Log
	guard       *guard
	control     *control
	writer      *cranlog.Writer
	// tailer is nil until bootstrap has established the initial state.
	tailer atomic.Pointer[cranlog.Tailer]
	broker *cranslot.Broker
	proxy  *crantraffic.Proxy[cranslot.Slot]
	// handler is the handler of the proxy, with request durations measured.
	handler    http.Handler
	client     *cranpeer.Client
	claims     *cranclaim.ShardedClaimer
	server     *cranpeer.Server
	leases     *leaseState
	logContact *logContact
	waiters    *waiters
	reconciler *reconciler

	// slotWake holds a token while slotLoop has work to do: the broker has
	// messages to send, or requests began to wait.
	slotWake chan struct{}
	// peerBytes is the number of bytes exchanged with peers.
	peerBytes atomic.Int64
	// publishedVersion is the routing version of the state when the views were
	// last published.
	publishedVersion uint64
	reporter         *reporter

	// peersMu guards peers, the other members as of the last published state.
	peersMu sync.Mutex
	peers   []cranpeer.Peer

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// ended receives the first error that ends the entry.
	ended chan error
}

// New starts an entry. The entry reads the log, joins as a member and serves
// requests as soon as it has caught up. It takes ownership of peerListener;
// peers connect to it at the address advertise.
func New(log cranplatform.Log, fleet cranplatform.Fleet, peerListener net.Listener, advertise string, options ...Option) (*Entry, error) {
	s := newSettings(options)
	s.advertise = advertise
	e := &Entry{
		settings:    s,
		incarnation: s.id + "-" + randomSuffix(),
		log:         log,
		guard:       newGuard(),
		control:     newControl(cranstate.New(), controlTick),
		leases:      newLeaseState(),
		waiters:     newWaiters(),
		ended:       make(chan error, 1),
		slotWake:    make(chan struct{}, 1),
	}
	e.reporter = newReporter(s.logger, s.metrics, e.incarnation)
	e.client = cranpeer.NewClient(e.incarnation, s.maxPeerMessage, e.countPeerBytes)
	relay := &relayLog{Log: log, client: e.client, peers: e.Peers, timeout: s.leaseDuration / 4}
	shards, err := cranclaim.NewShardedClaimer(log, claimShardCount, e.incarnation)
	if err != nil {
		return nil, eris.Wrap(err, "start the readers of the claim streams")
	}
	e.claims = shards
	e.writer = cranlog.NewWriter(relay, s.controlStream, e.incarnation, cranlog.WithBatchWindow(s.batchWindow))
	e.logContact = newLogContact(s.leaseDuration)
	e.initTraffic()
	e.reconciler = newReconciler(e, fleet)
	e.control.onEffects = e.onEffects
	e.control.onBatch = e.onBatch
	e.control.onTick = e.onTick
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.start(ctx, peerListener)
	return e, nil
}

// initTraffic creates the slot broker and the traffic proxy, which depend on
// each other.
func (e *Entry) initTraffic() {
	var notify func(group string)
	e.broker = cranslot.NewBroker(e.incarnation, cranslot.WithSeed(randomSeed()),
		cranslot.WithInterval(slotTick),
		cranslot.WithOutgoingNotify(e.wakeSlotLoop),
		cranslot.WithSlotFreedNotify(func(group string) { notify(group) }))
	counters := cranmetric.NewTrafficCounters[crantraffic.RetryReason, crantraffic.Outcome](e.metrics)
	options := append(slices.Clone(e.proxyOptions), crantraffic.WithCounters(counters), crantraffic.WithPeerAnswers(e))
	e.proxy = crantraffic.NewProxy[cranslot.Slot](wakingBroker{e.broker, e.wakeSlotLoop}, claimAdapter{e.claims}, options...)
	e.handler = e.metrics.Timed(crantraffic.ServicePrefix, e.proxy.Handler())
	notify = e.proxy.SlotFreed
}

// start starts the entry's goroutines.
func (e *Entry) start(ctx context.Context, peerListener net.Listener) {
	e.reporter.emit(cranevent.EntryStarting, cranevent.Member(e.incarnation), cranevent.DataCentre(e.dataCentre))
	e.publish(e.control.state)
	e.spawn(func() { e.fail(e.control.run(ctx)) })
	e.server = cranpeer.NewServer(peerListener, (*peerHandler)(e), e.maxPeerMessage, e.reporter.onPeerRefused, e.countPeerBytes)
	e.spawn(func() { e.bootstrap(ctx) })
	e.spawn(func() { e.slotLoop(ctx) })
	e.spawn(func() { e.peerLoop(ctx) })
	e.spawn(func() { e.reconciler.run(ctx) })
	e.spawn(func() { e.snapshotLoop(ctx) })
}

// spawn runs f on a goroutine that Close waits for.
func (e *Entry) spawn(f func()) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		f()
	}()
}

// fail reports an error that ends the entry. Only the first one is kept.
func (e *Entry) fail(err error) {
	if err == nil {
		return
	}
	select {
	case e.ended <- err:
	default:
	}
}

// Ended receives an error if this incarnation can't continue, because it was
// removed from the members or the log no longer keeps the records that it has
// not read yet. The owner then closes the entry and may start a new incarnation.
func (e *Entry) Ended() <-chan error { return e.ended }

// Incarnation returns the unique member name of the entry.
func (e *Entry) Incarnation() string { return e.incarnation }

// Handler returns the handler for callers' requests.
func (e *Entry) Handler() http.Handler { return e.handler }

// Ready returns nil if the entry accepts requests, or else the fault that
// prevents it.
func (e *Entry) Ready() error { return e.guard.mayServe() }

// PeerBytes returns the number of bytes exchanged with peers.
func (e *Entry) PeerBytes() int64 { return e.peerBytes.Load() }

func (e *Entry) countPeerBytes(direction cranpeer.Direction, n int) {
	e.peerBytes.Add(int64(n))
	e.metrics.PeerMessage(cranmetric.Direction(direction), n)
}

// Peers returns the other members.
func (e *Entry) Peers() []cranpeer.Peer {
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	return e.peers
}

// Close stops the entry gracefully. No new request starts, requests in progress
// are answered, and the membership ends, which releases the leases. Close waits
// until all of this is done.
func (e *Entry) Close() error {
	e.reporter.emit(cranevent.EntryStopping, cranevent.Member(e.incarnation))
	e.guard.stopping.Store(true)
	err := e.proxy.Close()
	e.leave()
	e.cancel()
	err = errors.Join(err, e.closeTailer(), e.server.Close(), e.client.Close(), e.writer.Close(), e.claims.Close())
	e.goroutines.Wait()
	e.reporter.emit(cranevent.EntryStopped, cranevent.Member(e.incarnation))
	return eris.Wrap(err, "close entry")
}

// Abort stops the entry at once, as a crash of its process would: it starts no
// more work and doesn't end its membership. Requests that were sent to targets
// continue there. Abort is for demonstrations and tests within one process.
func (e *Entry) Abort() {
	e.guard.stopping.Store(true)
	e.cancel()
	_ = errors.Join(e.closeTailer(), e.server.Close(), e.client.Close(), e.writer.Close(), e.claims.Close())
	e.goroutines.Wait()
}

// leave ends the membership. If the log is unavailable, the lease expires instead.
func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.claims.Flush(ctx)
	_, _ = e.Propose(ctx, cranstate.MemberLeft{})
}

// findPeer returns the peer with the given member name.
func (e *Entry) findPeer(member string) (cranpeer.Peer, bool) {
	for _, p := range e.Peers() {
		if p.Member == member {
			return p, true
		}
	}
	return cranpeer.Peer{}, false
}

// publish passes views of the state to the goroutines that serve traffic.
func (e *Entry) publish(s *cranstate.State) {
	e.publishedVersion = s.RoutingVersion()
	e.proxy.SetView(trafficView(s, e.guard.mayServe))
	e.broker.SetView(slotView(s))
	e.setPeers(s)
}

// setPeers updates the list of peers and closes connections to former members.
func (e *Entry) setPeers(s *cranstate.State) {
	var peers []cranpeer.Peer
	current := map[string]bool{}
	for _, m := range s.Members() {
		if m.Incarnation() == e.incarnation {
			continue
		}
		current[m.Incarnation()] = true
		peers = append(peers, cranpeer.Peer{Member: m.Incarnation(), Address: m.Address()})
	}
	e.client.CloseExcept(current)
	e.peersMu.Lock()
	defer e.peersMu.Unlock()
	e.peers = peers
}
