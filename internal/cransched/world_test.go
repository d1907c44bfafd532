package cransched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// simulation simulates targets, the store and the platform in virtual time for a sequence
// of owners. It checks every start against the state of all targets. Calls may be lost,
// unanswered or carried out late.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	actions  []action
	sequence int

	stored  *cranjob.Book
	offset  uint64
	epoch   uint64
	config  *Config
	targets map[string]*simTarget
	owner   *Scheduler
	ownerID int

	// The rates are the fractions of calls that are lost before they take effect, of calls
	// that take effect without a response, and of orders that take effect seconds later.
	lossRate, noResponseRate, delayRate float64
	// failureRate is the fraction of runs that fail.
	failureRate float64
	// orderDelay is the additional delay of orders for instances; dropMoves drops all
	// moves.
	orderDelay time.Duration
	dropMoves  bool
	// longPolls lets targets delay the response to a heartbeat until a run ends or its
	// wait is over.
	longPolls bool
	// checkUnavailable enables the check that evictions respect MaxUnavailable.
	checkUnavailable bool

	// instances are the machines of the targets. maxDown is the number of them that a wave
	// may take down at the same time.
	instances    map[string]*simInstance
	wave         []WaveOrder
	maxDown      int
	processes    int
	maintenances map[string]int
	// orderStoredAt is when the newest order for each instance was stored; lastOrders
	// holds the newest order that arrived.
	orderStoredAt map[string]time.Duration
	lastOrders    map[string]sentOrder

	// ticketRequests and starts hold the requests and the starts that were received.
	ticketRequests []RequestTickets
	starts         []receivedStart

	jobs map[string]*cranjob.Job
	// acknowledged holds the outcomes that the owner has acknowledged, by task.
	acknowledged map[cranjob.TaskName][]RunOutcome
	// succeeded holds the tasks with a successful run.
	succeeded map[cranjob.TaskName]bool
}

type action struct {
	at       time.Duration
	sequence int
	perform  func()
}

const (
	simStopTime = 600 * time.Millisecond
	// callTimeout is how long a caller waits for a response.
	callTimeout = 900 * time.Millisecond
)

func newSimulation(t *testing.T, seed uint64, targets int) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, stored: cranjob.NewBook(),
		config: &Config{Version: 1, Queues: map[string]*Queue{
			"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond},
		}, Pools: map[string]*Pool{"p": {Name: "p"}, "off": {Name: "off", Standby: true}}},
		instances: map[string]*simInstance{}, orderStoredAt: map[string]time.Duration{}, lastOrders: map[string]sentOrder{},
		targets: map[string]*simTarget{}, jobs: map[string]*cranjob.Job{}, acknowledged: map[cranjob.TaskName][]RunOutcome{},
		succeeded: map[cranjob.TaskName]bool{}, maintenances: map[string]int{}, failureRate: 0.08,
	}
	for i := range targets {
		w.addTarget(fmt.Sprintf("t%d", i))
	}
	return w
}

func (w *simulation) addTarget(id string) {
	w.instances["m"+id] = &simInstance{pool: "p", target: id}
	w.startProcess(id, "m"+id)
}

func (w *simulation) unix() int64 { return w.now.Milliseconds() + 1_700_000_000_000 }

func (w *simulation) clock() Clock { return Clock{Steady: w.now, UnixMs: w.unix()} }

func (w *simulation) schedule(d time.Duration, do func()) {
	w.sequence++
	w.actions = append(w.actions, action{at: w.now + d, sequence: w.sequence, perform: do})
}

// runFor runs the simulation for a duration.
func (w *simulation) runFor(d time.Duration) {
	end := w.now + d
	for {
		next := -1
		for i, a := range w.actions {
			if a.at <= end && (next < 0 || a.at < w.actions[next].at || a.at == w.actions[next].at && a.sequence < w.actions[next].sequence) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		a := w.actions[next]
		w.actions = slices.Delete(w.actions, next, next+1)
		w.now = max(w.now, a.at)
		a.perform()
	}
}

var simTiming = Timing{MaxLease: 6 * time.Second, StopTime: 900 * time.Millisecond, OrderLease: 3 * time.Second}

// takeOver replaces the owner, once the predecessor has stopped or vacated. The
// predecessor may send orders until predecessorStop.
func (w *simulation) takeOver(predecessorStop time.Duration) {
	w.epoch++
	w.ownerID++
	w.owner = New(w.epoch, simTiming, w.config, w.stored, w.clock(), Predecessor{StoppedBy: predecessorStop, LastOrderAt: maps.Clone(w.orderStoredAt)})
	w.owner.SetTargets(w.targetList())
	w.owner.SetWaves(w.wave)
	w.tick(w.ownerID)
}

func (w *simulation) targetList() []TargetInfo {
	var list []TargetInfo
	for _, id := range slices.Sorted(maps.Keys(w.targets)) {
		if w.targets[id].up {
			list = append(list, w.targets[id].info)
		}
	}
	return list
}

func (w *simulation) tick(id int) {
	if id != w.ownerID || w.owner == nil {
		return
	}
	w.owner.Advance(w.clock())
	w.owner.SetTargets(w.targetList())
	w.owner.SetInstances(w.instanceList(), w.now)
	w.owner.Tick()
	w.storeAndPerform(w.owner, id)
	w.schedule(25*time.Millisecond, func() { w.tick(id) })
}

// storeAndPerform stores the next batch and performs the pending effects.
func (w *simulation) storeAndPerform(s *Scheduler, id int) {
	if records, any := s.NextBatch(); any {
		epoch := w.epoch
		w.schedule(6*time.Millisecond, func() {
			if epoch != w.epoch {
				return
			}
			for _, r := range records {
				change, err := w.stored.Apply(r.Key, r.Value, w.offset)
				require.NoError(w.t, err)
				if change.Kind == cranjob.OrderChanged {
					w.orderStoredAt[change.ID] = w.now
				}
				w.offset++
			}
			if id == w.ownerID {
				s.Advance(w.clock())
				s.ConfirmBatch()
				w.storeAndPerform(s, id)
			}
		})
	}
	for _, e := range s.Effects() {
		w.perform(s, id, e)
	}
}

// call performs a call to a target, subject to the simulated faults.
func (w *simulation) call(s *Scheduler, id int, to TargetRef, order bool, perform func() Response, onResponse func(Response)) {
	sent := w.now
	reply := func(resp Response) {
		if id == w.ownerID {
			resp.SentAt = sent
			s.Advance(w.clock())
			onResponse(resp)
			w.storeAndPerform(s, id)
		}
	}
	timeout := func() { w.schedule(callTimeout, func() { reply(Response{}) }) }
	p := w.random.Float64()
	switch {
	case p < w.lossRate:
		timeout()
	case p < w.lossRate+w.noResponseRate:
		w.schedule(2*time.Millisecond, func() { perform() })
		timeout()
	case order && p < w.lossRate+w.noResponseRate+w.delayRate:
		// The order is queued in the target's process and lost when the process ends.
		process := w.targets[to.ID]
		w.schedule(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
			if w.targets[to.ID] == process {
				perform()
			}
		})
		timeout()
	default:
		w.schedule(time.Duration(1+w.random.IntN(4))*time.Millisecond, func() {
			resp := perform()
			w.schedule(time.Duration(1+w.random.IntN(4))*time.Millisecond, func() { reply(resp) })
		})
	}
}

// order performs an order about an instance and returns the result to the owner.
func (w *simulation) order(s *Scheduler, id int, perform func() CallStatus, onResult func(CallStatus)) {
	w.schedule(5*time.Millisecond+w.orderDelay, func() {
		verdict := perform()
		if id == w.ownerID {
			s.Advance(w.clock())
			onResult(verdict)
			w.storeAndPerform(s, id)
		}
	})
}

func (w *simulation) perform(s *Scheduler, id int, e Effect) {
	switch e := e.(type) {
	case LogEntry:
		w.t.Logf("%v owner %d: %v job=%s task=%s run=%d target=%s %s", w.now, id, e.Kind, e.Job, e.Task, e.Run, e.Target, e.Reason)
	case Heartbeat:
		var response HeartbeatResponse
		w.call(s, id, e.Target, false, func() Response { response = w.heartbeat(e); return response.Response }, func(resp Response) {
			if resp.Status == StatusUnanswered {
				s.HandleHeartbeatResponse(e.Target, HeartbeatResponse{Response: resp})
				return
			}
			w.answerHeartbeat(s, id, e, resp.SentAt, e.Wait, response)
		})
	case RequestTickets:
		w.ticketRequests = append(w.ticketRequests, e)
	case Maintain:
		w.order(s, id, func() CallStatus { return w.orderMaintenance(e) }, func(v CallStatus) { s.HandleMaintenanceResponse(e, v) })
	case MoveInstance:
		if w.dropMoves {
			return
		}
		w.order(s, id, func() CallStatus { return w.orderMove(e) }, func(v CallStatus) { s.HandleMoveResponse(e, v) })
	case StartRun:
		w.call(s, id, e.Target, true, func() Response { return w.startRun(e) }, func(resp Response) { s.HandleStartResponse(e, resp) })
	case StopRun:
		w.call(s, id, e.Target, true, func() Response { return w.stopRun(e) }, func(resp Response) { s.HandleStopResponse(e, resp) })
	}
}

// submit stores a job and adds it to the owner.
func (w *simulation) submit(j *cranjob.Job) {
	j.Queue, j.Pool, j.ReceivedMs = "q", "p", w.unix()
	w.jobs[j.ID] = j
	_, err := w.stored.Apply(cranjob.SubmissionKey(j.ID), cranjob.Encode(*j), w.offset)
	require.NoError(w.t, err)
	w.offset++
	if w.owner != nil {
		w.owner.Advance(w.clock())
		w.owner.AddJob(j)
	}
}

func (w *simulation) cancel(id string) {
	_, err := w.stored.Apply(cranjob.CancellationKey(id), cranjob.CancellationMark, w.offset)
	require.NoError(w.t, err)
	w.offset++
	if w.owner != nil {
		w.owner.Advance(w.clock())
		w.owner.CancelJob(id)
	}
}

// restart restarts a target under the same id without its former state.
func (w *simulation) restart(id string) {
	old := w.targets[id]
	w.startProcess(id, old.info.Instance)
	w.targets[id].info.ProcessStartMs = max(w.unix(), old.info.ProcessStartMs+1)
}

func (w *simulation) states() map[string]cranjob.State {
	states := map[string]cranjob.State{}
	for id := range w.jobs {
		e, found := w.stored.Lookup(id)
		require.True(w.t, found)
		states[id] = e.State()
	}
	return states
}
