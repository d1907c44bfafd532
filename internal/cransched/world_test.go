package cransched

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
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

	stored  *cranjob.Replica
	offset  uint64
	epoch   uint64
	config  *Config
	targets map[string]*simTarget
	// logged counts the log entries by kind.
	logged map[LogKind]int
	// fairness, if set, returns who decides on entitlements for a new owner.
	fairness func() Fairness
	// entries, if set, changes the list of targets that the owner reads.
	entries func([]TargetInfo) []TargetInfo
	owner   *Scheduler
	ownerID int
	// formerOwnersAct lets owners send orders until predecessorStop after their successor has begun, though
	// nothing that they decide is stored. actsUntil holds until when, by owner, and owners all of them.
	formerOwnersAct bool
	owners          map[int]*Scheduler
	actsUntil       map[int]time.Duration
	// suspendedUntil is when the owner's process, which is suspended, runs again. What arrives meanwhile waits.
	// Its orders are withheld until mayOrderFrom.
	suspendedUntil, mayOrderFrom time.Duration
	// cutOffUntil holds until when an owner can't reach a target, by owner and target.
	cutOffUntil map[int]map[string]time.Duration

	// lossRate is the fraction of calls that are lost before they take effect,
	// noResponseRate that of calls that take effect without a response, and delayRate that
	// of orders that take effect seconds later.
	lossRate, noResponseRate, delayRate float64
	// transit is how much longer calls are under way.
	transit time.Duration
	// lateHeartbeats lets heartbeats take effect late, too.
	lateHeartbeats bool
	// failureRate is the fraction of runs that fail.
	failureRate float64
	// runTimes, if set, holds how long tasks run. regressionOnly lets owners predict that as in earlier versions.
	runTimes       map[cranjob.TaskName]time.Duration
	regressionOnly bool
	// orderDelay is the additional delay of orders for instances; dropMoves drops all
	// moves.
	orderDelay time.Duration
	dropMoves  bool
	// handlingTime is how long the owner takes to handle a response. Responses wait in a queue, of
	// which busyUntil is the end; one that isn't handled in time counts as missing.
	handlingTime, busyUntil time.Duration
	// platformDown lets the platform answer no order for an instance and no request for the list of
	// instances, and carry nothing out.
	platformDown bool
	// longPolls lets targets delay the response to a heartbeat until a run ends or its
	// wait is over.
	longPolls bool
	// briefResponses lets responses to orders name no process. Only reports do then.
	briefResponses bool
	// maxListedEnds is how many ended runs a target lists in one report; 0 means all.
	maxListedEnds int
	// startup is how long a long-running task takes until it is at work.
	startup time.Duration
	// checkUnavailable enables the check that evictions respect MaxUnavailable.
	checkUnavailable bool

	// instances are the machines of the targets. maxDown is the number of them that a wave
	// may take down at the same time.
	instances    map[string]*simInstance
	wave         []WaveOrder
	maxDown      int
	processes    int
	maintenances map[string]int
	// maintained holds the instances whose maintenance for a wave has begun.
	maintained map[instanceWave]bool
	// confirmed holds those of them of which a stored order says so.
	confirmed map[instanceWave]bool
	// progress holds what owners have published of each wave.
	progress map[int]WaveStatus
	// orderLossRate is the fraction of orders for instances that are lost, and orderSilenceRate that of orders
	// that are carried out without a response.
	orderLossRate, orderSilenceRate float64
	// reuseIDs lets the target that comes up after a move or maintenance have the id of the one before.
	reuseIDs bool
	// incompleteLists is the fraction of lists of instances that miss one. missed is the one that the last list has
	// missed, and in how many in a row.
	incompleteLists float64
	missed          map[string]int
	// listInterval is how often the owner reads the list of instances, if not with each tick.
	listInterval, listedAt time.Duration
	// orderStoredAt is when the newest order for each instance was stored; lastOrders
	// holds the newest order that arrived.
	orderStoredAt map[string]time.Duration
	lastOrders    map[string]sentOrder

	// ticketRequests and starts hold the requests and the starts that were received.
	ticketRequests []RequestTickets
	// adviser, if set, answers the requests.
	adviser *simAdviser
	starts  []receivedStart
	// newestStarts holds the last start of each task.
	newestStarts map[cranjob.TaskName]receivedStart

	// storeTime is how long it takes to store a batch, if not 6 ms.
	storeTime time.Duration
	// publishDelay is how long it takes to store the list of silent targets, if not 40 ms.
	publishDelay time.Duration
	// leasesEndAt holds the silent targets that the owner has published, and when their leases
	// have ended.
	leasesEndAt map[string]time.Duration

	// deadly maps the tasks that crash each target that starts them to how long after the start
	// they do. crashes counts the targets that have crashed under a task, startsAfterCrashes the
	// starts after three of them, and crashed all targets that have crashed. keepIDs lets
	// targets keep their ids after a crash.
	deadly                      map[cranjob.TaskName]time.Duration
	crashes, startsAfterCrashes map[cranjob.TaskName]int
	crashed                     int
	keepIDs                     bool
	// background is the number of ordinary jobs that runBackground has submitted.
	background int

	// beforeTick, if set, is called before each tick of an owner, and observe for each record and effect of one.
	beforeTick func(s *Scheduler)
	observe    func(text string)

	// newQuota, if set, returns what limits the tenants for a new owner.
	newQuota func() Quota

	jobs map[string]*cranjob.Job
	// acknowledged holds the outcomes that the owner has acknowledged, by task.
	acknowledged map[cranjob.TaskName][]RunOutcome
	// durations holds how long the newest run of each task takes.
	durations map[cranjob.TaskName]time.Duration
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
	sim := &simulation{
		owners: map[int]*Scheduler{}, actsUntil: map[int]time.Duration{}, cutOffUntil: map[int]map[string]time.Duration{},
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, stored: cranjob.NewReplica(),
		config: &Config{Version: 1, Queues: map[string]*Queue{
			"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond},
		}, Pools: map[string]*Pool{"p": {Name: "p"}, "off": {Name: "off", Standby: true}}},
		instances: map[string]*simInstance{}, orderStoredAt: map[string]time.Duration{}, lastOrders: map[string]sentOrder{},
		targets: map[string]*simTarget{}, jobs: map[string]*cranjob.Job{}, acknowledged: map[cranjob.TaskName][]RunOutcome{},
		durations: map[cranjob.TaskName]time.Duration{}, succeeded: map[cranjob.TaskName]bool{}, maintenances: map[string]int{}, maintained: map[instanceWave]bool{}, confirmed: map[instanceWave]bool{}, progress: map[int]WaveStatus{}, logged: map[LogKind]int{}, failureRate: 0.08,
		newestStarts: map[cranjob.TaskName]receivedStart{}, deadly: map[cranjob.TaskName]time.Duration{}, crashes: map[cranjob.TaskName]int{}, startsAfterCrashes: map[cranjob.TaskName]int{},
	}
	for i := range targets {
		sim.addTarget(fmt.Sprintf("t%d", i))
	}
	return sim
}

func (sim *simulation) addTarget(id string) {
	sim.instances["m"+id] = &simInstance{pool: "p", target: id}
	sim.startProcess(id, "m"+id)
}

func (sim *simulation) unix() int64 { return sim.now.Milliseconds() + 1_700_000_000_000 }

func (sim *simulation) clock() Clock { return Clock{Steady: sim.now, UnixMs: sim.unix()} }

func (sim *simulation) schedule(d time.Duration, perform func()) {
	sim.sequence++
	sim.actions = append(sim.actions, action{at: sim.now + d, sequence: sim.sequence, perform: perform})
}

// runFor runs the simulation for a duration.
func (sim *simulation) runFor(d time.Duration) {
	end := sim.now + d
	for {
		next := -1
		for i, a := range sim.actions {
			if a.at <= end && (next < 0 || a.at < sim.actions[next].at || a.at == sim.actions[next].at && a.sequence < sim.actions[next].sequence) {
				next = i
			}
		}
		if next < 0 {
			sim.now = end
			return
		}
		a := sim.actions[next]
		sim.actions = slices.Delete(sim.actions, next, next+1)
		sim.now = max(sim.now, a.at)
		a.perform()
	}
}

var simTiming = Timing{MaxLease: 6 * time.Second, StopTime: 900 * time.Millisecond, OrderLease: 3 * time.Second, DeliveryTime: callerDelay}

// takeOver replaces the owner, once the predecessor has stopped or released its claim. The
// predecessor may send orders until predecessorStop.
func (sim *simulation) takeOver(predecessorStop time.Duration) {
	if sim.formerOwnersAct {
		sim.actsUntil[sim.ownerID] = predecessorStop
		// Owners before the predecessor may act for longer.
		predecessorStop = slices.Max(slices.Collect(maps.Values(sim.actsUntil)))
	}
	sim.epoch++
	sim.ownerID++
	var options []Option
	if sim.fairness != nil {
		options = append(options, WithFairness(sim.fairness()))
	}
	timing := simTiming
	timing.RunTimes = runTimeModel(sim.regressionOnly)
	sim.owner = New(sim.epoch, timing, sim.config, sim.stored, sim.clock(), Predecessor{StoppedBy: predecessorStop, LastOrderAt: maps.Clone(sim.orderStoredAt), LeasesEndAt: sim.leasesEndAt}, options...)
	sim.owners[sim.ownerID] = sim.owner
	if sim.newQuota != nil {
		sim.owner.SetQuota(sim.newQuota())
	}
	sim.leasesEndAt = nil
	sim.owner.SetTargets(sim.targetList())
	sim.listedAt = 0
	sim.setWaves()
	sim.tick(sim.ownerID)
}

// acts reports whether an owner sends orders and handles responses.
func (sim *simulation) acts(id int) bool { return id == sim.ownerID || sim.now < sim.actsUntil[id] }

func (sim *simulation) targetList() []TargetInfo {
	var list []TargetInfo
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		if sim.targets[id].up {
			list = append(list, sim.targets[id].info)
		}
	}
	if sim.entries != nil {
		return sim.entries(list)
	}
	return list
}

func (sim *simulation) tick(id int) {
	if !sim.acts(id) || sim.owner == nil {
		return
	}
	if sim.now < sim.suspendedUntil {
		sim.whenRunning(func() { sim.tick(id) })
		return
	}
	owner := sim.owners[id]
	owner.Advance(sim.clock())
	owner.SetLag(max(sim.busyUntil-sim.now, 0))
	owner.SetTargets(sim.targetList())
	if !sim.platformDown && sim.now-sim.listedAt >= sim.listInterval {
		sim.listedAt = sim.now
		owner.SetInstances(sim.instanceList(), sim.now)
	}
	if sim.beforeTick != nil {
		sim.beforeTick(owner)
	}
	owner.Tick()
	owner.SetStoreLatency(sim.storeTime)
	sim.storeAndPerform(owner, id)
	sim.schedule(25*time.Millisecond, func() { sim.tick(id) })
}

// storeAndPerform stores the next batch and performs the pending effects.
func (sim *simulation) storeAndPerform(s *Scheduler, id int) {
	if records, any := s.NextBatch(); any {
		epoch := s.token
		for _, r := range records {
			// Crashes are encoded from a map, in any order.
			value := r.Value
			if strings.HasPrefix(r.Key, "k") {
				value = slices.Sorted(slices.Values(value))
			}
			sim.note("%s=%x", r.Key, value)
		}
		sim.schedule(cmp.Or(sim.storeTime, 6*time.Millisecond), func() {
			if epoch != sim.epoch {
				return
			}
			for _, r := range records {
				change, err := sim.stored.Apply(r.Key, r.Value, sim.offset)
				require.NoError(sim.t, err)
				if change.Kind == cranjob.OrderChanged {
					sim.observeOrder(change.ID)
				}
				sim.offset++
			}
			sim.whenRunning(func() {
				if id == sim.ownerID {
					s.Advance(sim.clock())
					s.ConfirmBatch()
					sim.storeAndPerform(s, id)
				}
			})
		})
	}
	if s.SilentTargetsChanged() {
		silent, epoch := s.NextSilentTargets(), s.token
		sim.schedule(cmp.Or(sim.publishDelay, 40*time.Millisecond), func() { sim.publishSilentTargets(s, id, epoch, silent) })
	}
	for _, e := range s.Effects() {
		if l, ends := e.(LogEntry); ends && l.Timing != nil {
			sim.note("%+v", *l.Timing)
			l.Timing = nil
			sim.note("%+v", l)
		} else {
			sim.note("%T %+v", e, e)
		}
		sim.perform(s, id, e)
	}
}

// note passes a record or an effect to what observes them.
func (sim *simulation) note(format string, args ...any) {
	if sim.observe != nil {
		sim.observe(fmt.Sprintf("%v ", sim.now) + fmt.Sprintf(format, args...))
	}
}

// publishSilentTargets stores the list of silent targets, unless a later owner has claimed.
func (sim *simulation) publishSilentTargets(s *Scheduler, id int, epoch uint64, silent []SilentTarget) {
	if epoch != sim.epoch {
		return
	}
	sim.leasesEndAt = map[string]time.Duration{}
	for _, t := range silent {
		sim.leasesEndAt[t.ID] = sim.now + t.EndsIn
	}
	sim.whenRunning(func() {
		if id == sim.ownerID {
			s.Advance(sim.clock())
			s.ConfirmSilentTargets()
		}
	})
}

func (sim *simulation) perform(s *Scheduler, id int, e Effect) {
	switch e := e.(type) {
	case LogEntry:
		sim.logged[e.Kind]++
		sim.t.Logf("%v owner %d: %v job=%s task=%s run=%d target=%s %s", sim.now, id, e.Kind, e.Job, e.Task, e.Run, e.Target, e.Reason)
	case Heartbeat:
		var response HeartbeatResponse
		sim.call(s, id, e.Target, sim.lateHeartbeats, func() Response { response = sim.heartbeat(e); return response.Response }, func(resp Response) {
			if resp.Status == StatusUnanswered {
				s.HandleHeartbeatResponse(e.Target, HeartbeatResponse{Response: resp})
				return
			}
			sim.answerHeartbeat(s, id, e, resp.SentAt, e.Wait, response)
		})
	case RequestTickets:
		sim.ticketRequests = append(sim.ticketRequests, e)
		if sim.adviser != nil {
			sim.askAdviser(s, id, e)
		}
	case WaveStatus:
		sim.publishWave(e)
	case Maintain:
		require.False(sim.t, sim.confirmed[instanceWave{e.Instance, e.Wave}], "%v: %s is ordered again for wave %d", sim.now, e.Instance, e.Wave)
		sim.order(s, id, func() CallStatus { return sim.orderMaintenance(e) }, func(status CallStatus) { s.HandleMaintenanceResponse(e, status) })
	case MoveInstance:
		if sim.dropMoves {
			return
		}
		sim.order(s, id, func() CallStatus { return sim.orderMove(e) }, func(status CallStatus) { s.HandleMoveResponse(e, status) })
	case StartRun:
		sim.call(s, id, e.Target, true, func() Response { return sim.startRun(e) }, func(resp Response) { s.HandleStartResponse(e, resp) })
	case StopRun:
		sim.call(s, id, e.Target, true, func() Response { return sim.stopRun(e) }, func(resp Response) { s.HandleStopResponse(e, resp) })
	}
}

// submit stores a job and adds it to the owner.
func (sim *simulation) submit(j *cranjob.Job) {
	j.Queue, j.ReceivedMs = cmp.Or(j.Queue, "q"), sim.unix()
	j.Pool = sim.config.Queues[j.Queue].Pool
	sim.jobs[j.ID] = j
	_, err := sim.stored.Apply(cranjob.SubmissionKey(j.ID), cranjob.Encode(*j), sim.offset)
	require.NoError(sim.t, err)
	sim.offset++
	if sim.owner != nil {
		sim.owner.Advance(sim.clock())
		sim.owner.AddJob(j)
	}
}

func (sim *simulation) cancel(id string) {
	_, err := sim.stored.Apply(cranjob.CancellationKey(id), cranjob.CancellationMark, sim.offset)
	require.NoError(sim.t, err)
	sim.offset++
	if sim.owner != nil {
		sim.owner.Advance(sim.clock())
		sim.owner.CancelJob(id)
	}
}

// restart restarts a target under the same id without its former state.
func (sim *simulation) restart(id string) {
	old := sim.targets[id]
	sim.startProcess(id, old.info.Instance)
	sim.targets[id].info.ProcessStartMs = max(sim.unix(), old.info.ProcessStartMs+1)
}

func (sim *simulation) states() map[string]cranjob.State {
	states := map[string]cranjob.State{}
	for id := range sim.jobs {
		e, found := sim.stored.Lookup(id)
		require.True(sim.t, found)
		states[id] = e.State()
	}
	return states
}
