package cranstandin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Default times of a target.
const (
	defaultServiceTime = 20 * time.Millisecond
	defaultDownTime    = 3 * time.Second
	maxServiceTime     = 10 * time.Minute
)

// Target is the process of a target instance. As an http.Handler it serves:
//
//	ANY      /run/*              runs one request in a slot
//	GET      /health             answers while the process is up
//	GET      /ledger             what ran, as TargetLedger
//	GET, PUT /faults             the faults in force, as TargetFaults
//	GET      /control/inProgress {"inProgress"}
//	POST     /control/reboot     {"downMs"} stops and starts the process
//	POST     /control/stop       stops the process for good
//
// A run takes a slot for the milliseconds in the header X-Service-Ms and is
// answered by {"target", "key", "echo", "requestId"}: the header
// Idempotency-Key, the SHA-256 of the body in hex, and the header
// X-Request-Id, which is also a header of the answer. A run beyond the slots
// is refused with status 503 and counted. The slot is free before the answer
// is written, so that a caller may use it again at once. A run whose caller
// goes away ends at once.
//
// A reboot aborts what runs, and every connection breaks. The ledger, the
// faults and the control calls stay reachable, as if they were another
// process. Only the ledger and the faults outlast a reboot.
type Target struct {
	id          string
	slots       int
	connections int
	serviceTime time.Duration
	downTime    time.Duration
	now         func() time.Time
	handler     http.Handler
	timers      *timers

	mu     sync.Mutex
	faults TargetFaults
	// running holds the runs that hold a slot.
	running map[*Run]struct{}
	ledger  TargetLedger
	// incarnation changes with every stop and every start.
	incarnation int
	down        bool
	// life ends when the process stops; a stop replaces it.
	life    context.Context
	endLife context.CancelFunc
	conns   connections
}

// TargetOption changes how a target is built.
type TargetOption func(*Target)

// WithServiceTime sets the time of a run without the header X-Service-Ms. The
// default is 20 milliseconds.
func WithServiceTime(duration time.Duration) TargetOption {
	return func(t *Target) { t.serviceTime = duration }
}

// WithDownTime sets how long a reboot takes that doesn't say. The default is
// 3 seconds.
func WithDownTime(duration time.Duration) TargetOption {
	return func(t *Target) { t.downTime = duration }
}

// WithTargetClock replaces the clock that dates the ledger. Runs follow the
// standard library's timers in any case.
func WithTargetClock(now func() time.Time) TargetOption {
	return func(t *Target) { t.now = now }
}

// NewTarget returns a target that is up, with that many slots and
// connections. Close releases it.
func NewTarget(id string, slots, connections int, options ...TargetOption) *Target {
	t := &Target{
		id:          id,
		slots:       slots,
		connections: connections,
		serviceTime: defaultServiceTime,
		downTime:    defaultDownTime,
		now:         time.Now,
		timers:      newTimers(),
		running:     map[*Run]struct{}{},
		ledger:      TargetLedger{Target: id},
		conns:       newConnections(),
	}
	t.life, t.endLife = context.WithCancel(context.Background())
	for _, option := range options {
		option(t)
	}
	t.handler = newTargetHandler(t)
	return t
}

// ID returns the target's id.
func (t *Target) ID() string { return t.id }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.handler.ServeHTTP(w, r)
}

// InProgress returns how many runs hold a slot.
func (t *Target) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// Reboot implements Controller: it stops the process at once and starts it
// when down has passed.
func (t *Target) Reboot(_ context.Context, down time.Duration) (int, error) {
	cut, incarnation := t.halt()
	if !t.timers.start(down, func() { t.boot(incarnation) }) {
		return cut, t.closedFault()
	}
	return cut, nil
}

// Stop implements Controller: it stops the process for good.
func (t *Target) Stop(context.Context) (int, error) {
	cut, _ := t.halt()
	return cut, nil
}

// Start starts a process that was stopped.
func (t *Target) Start() {
	t.mu.Lock()
	incarnation := t.incarnation
	t.mu.Unlock()
	t.boot(incarnation)
}

// Close stops the process for good and waits for a reboot under way. The
// server that serves the target is shut down afterwards.
func (t *Target) Close() error {
	t.halt()
	t.timers.close()
	return nil
}

// halt aborts every run, breaks the connections and returns how many runs
// were cut off, and the incarnation that a boot has to name.
func (t *Target) halt() (cut, incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	cut = len(t.running)
	for r := range t.running {
		r.Aborted = true
		r.End = now
	}
	clear(t.running)
	t.down = true
	t.incarnation++
	t.endLife()
	t.conns.breakIdle()
	return cut, t.incarnation
}

// boot starts the process, unless it was stopped or started meanwhile.
func (t *Target) boot(incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down || t.incarnation != incarnation {
		return
	}
	t.down = false
	t.incarnation++
	t.ledger.Boots++
	t.life, t.endLife = context.WithCancel(context.Background())
}

func (t *Target) closedFault() error {
	return cranfault.New(cranfault.NotReady, "make a new target", "target %s is closed", t.id)
}
