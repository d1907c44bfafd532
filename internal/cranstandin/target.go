package cranstandin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Default and maximum durations of a target.
const (
	defaultServiceTime = 20 * time.Millisecond
	defaultDownTime    = 3 * time.Second
	maxServiceTime     = 10 * time.Minute
)

// Target simulates the process of a target instance. As an http.Handler it
// serves:
//
//	ANY      /run/*              runs a request in a slot
//	GET      /health             responds while the process is up
//	GET      /ledger             the runs, as TargetLedger
//	GET, PUT /faults             the injected faults, as TargetFaults
//	GET      /control/inProgress {"inProgress"}, the number of runs in progress
//	POST     /control/reboot     {"downMs"} stops and starts the process
//	POST     /control/stop       stops the process permanently
//
// A run occupies a slot for the milliseconds in the header X-Service-Ms. The
// response is {"target", "key", "echo", "requestId"}: the target's id, the
// header Idempotency-Key, the SHA-256 of the body in hex, and the header
// X-Request-Id, which is also a header of the response. If no slot is free, the
// run is refused with status 503 and counted. The slot is freed before the
// response is written, so that the caller can use it again at once. A run ends
// at once when its caller closes the connection or cancels the request.
//
// A reboot aborts all runs and closes every connection. Calls to the ledger,
// the faults and the control paths work even while the process is down, as if
// another process served them. Only the ledger and the faults survive a reboot.
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
	// running holds the runs that occupy a slot.
	running map[*Run]struct{}
	ledger  TargetLedger
	// incarnation is incremented on every stop and every start.
	incarnation int
	down        bool
	// processCtx is cancelled when the process stops. A start replaces it.
	processCtx context.Context
	endProcess context.CancelFunc
	conns      connections
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// WithServiceTime sets the duration of a run without the header X-Service-Ms.
// The default is 20 milliseconds.
func WithServiceTime(duration time.Duration) TargetOption {
	return func(t *Target) { t.serviceTime = duration }
}

// WithDownTime sets how long the process is down in a reboot by a control call
// without downMs. The default is 3 seconds.
func WithDownTime(duration time.Duration) TargetOption {
	return func(t *Target) { t.downTime = duration }
}

// WithTargetClock replaces the clock that supplies the times of the ledger. Runs
// always use the timers of the standard library.
func WithTargetClock(now func() time.Time) TargetOption {
	return func(t *Target) { t.now = now }
}

// NewTarget returns a target whose process is up, with a number of slots and a
// limit of connections. The caller must close it.
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
	t.processCtx, t.endProcess = context.WithCancel(context.Background())
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

// InProgress returns the number of runs that occupy a slot.
func (t *Target) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// Reboot implements Controller: it stops the process at once and starts it
// when down has passed.
func (t *Target) Reboot(_ context.Context, down time.Duration) (int, error) {
	aborted, incarnation := t.halt()
	if !t.timers.schedule(down, func() { t.boot(incarnation) }) {
		return aborted, t.closedFault()
	}
	return aborted, nil
}

// Stop implements Controller: it stops the process until Start is called.
func (t *Target) Stop(context.Context) (int, error) {
	aborted, _ := t.halt()
	return aborted, nil
}

// Start starts a stopped process. It has no effect on one that is up.
func (t *Target) Start() {
	t.mu.Lock()
	incarnation := t.incarnation
	t.mu.Unlock()
	t.boot(incarnation)
}

// Close stops the process, drops the start that a reboot has scheduled and waits
// for one that has begun. The HTTP server that serves the target must be shut
// down afterwards.
func (t *Target) Close() error {
	t.halt()
	t.timers.close()
	return nil
}

// halt stops the process: it aborts every run and closes the connections. It
// returns the number of aborted runs, and the incarnation to pass to boot.
func (t *Target) halt() (aborted, incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	aborted = len(t.running)
	for r := range t.running {
		r.Aborted = true
		r.End = now
	}
	clear(t.running)
	t.down = true
	t.incarnation++
	t.endProcess()
	t.conns.closeIdle()
	return aborted, t.incarnation
}

// boot starts the process, unless it was stopped or started since the halt that
// returned the incarnation.
func (t *Target) boot(incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down || t.incarnation != incarnation {
		return
	}
	t.down = false
	t.incarnation++
	t.ledger.Boots++
	t.processCtx, t.endProcess = context.WithCancel(context.Background())
}

func (t *Target) closedFault() error {
	return cranfault.New(cranfault.NotReady, "create a new target", "target %s is closed", t.id)
}
