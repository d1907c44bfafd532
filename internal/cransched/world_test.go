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

// world plays a pool of targets, the store and the platform for schedulers
// that replace each other, in virtual time, and judges every start by what
// targets see. Calls may be lost, answered late, or carried out late.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	queue  []action
	ticket int

	book    *cranjob.Book
	offset  uint64
	epoch   uint64
	config  *Config
	fleet   map[string]*simTarget
	owner   *Scheduler
	ownerID int

	// Parts of calls that are lost before or after they take effect, and of
	// orders that take effect seconds later.
	lost, unanswered, late float64
	// failing is the part of runs that end in failure.
	failing float64
	// slowOrders is how long orders for instances are on their way beyond the
	// usual; loseMoves drops moves.
	slowOrders time.Duration
	loseMoves  bool
	// lingering holds are answered when a run ends or their wait is over.
	lingering bool
	// judgeAway checks that planned work spares lasting tasks.
	judgeAway bool

	// instances are the machines behind the targets; most is how many of them
	// a wave may have down at once.
	instances map[string]*simInstance
	wave      []WaveOrder
	most      int
	lives     int
	upkeeps   map[string]int
	// orderAt is when the newest order for each instance was stored, ordered the
	// newest that arrived.
	orderAt map[string]time.Duration
	ordered map[string]turn

	// advice holds the calls for advice, starts the starts that arrived.
	advice []RequestTickets
	starts []arrival

	jobs map[string]*cranjob.Job
	// noted holds the ends that targets were told to forget.
	noted map[cranjob.TaskName][]RunOutcome
	// done holds the tasks of which a run has ever succeeded.
	done map[cranjob.TaskName]bool
}

type action struct {
	at     time.Duration
	ticket int
	do     func()
}

const (
	simStop = 600 * time.Millisecond
	// callLimit is how long callers wait for an answer.
	callLimit = 900 * time.Millisecond
)

func newWorld(t *testing.T, seed uint64, targets int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, book: cranjob.NewBook(),
		config: &Config{Version: 1, Queues: map[string]*Queue{
			"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond},
		}, Pools: map[string]*Pool{"p": {Name: "p"}, "off": {Name: "off", Standby: true}}},
		instances: map[string]*simInstance{}, orderAt: map[string]time.Duration{}, ordered: map[string]turn{},
		fleet: map[string]*simTarget{}, jobs: map[string]*cranjob.Job{}, noted: map[cranjob.TaskName][]RunOutcome{},
		done: map[cranjob.TaskName]bool{}, upkeeps: map[string]int{}, failing: 0.08,
	}
	for i := range targets {
		w.addTarget(fmt.Sprintf("t%d", i))
	}
	return w
}

func (w *world) addTarget(id string) {
	w.instances["m"+id] = &simInstance{pool: "p", target: id}
	w.addLife(id, "m"+id)
}

func (w *world) unix() int64 { return w.now.Milliseconds() + 1_700_000_000_000 }

func (w *world) clock() Clock { return Clock{Steady: w.now, UnixMs: w.unix()} }

func (w *world) after(d time.Duration, do func()) {
	w.ticket++
	w.queue = append(w.queue, action{at: w.now + d, ticket: w.ticket, do: do})
}

// run plays until a time from now.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for {
		next := -1
		for i, a := range w.queue {
			if a.at <= end && (next < 0 || a.at < w.queue[next].at || a.at == w.queue[next].at && a.ticket < w.queue[next].ticket) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		a := w.queue[next]
		w.queue = slices.Delete(w.queue, next, next+1)
		w.now = max(w.now, a.at)
		a.do()
	}
}

var simTiming = Timing{MaxLease: 6 * time.Second, StopTime: 900 * time.Millisecond, OrderLease: 3 * time.Second}

// takeOver makes a new owner, as soon as the former one can't act any more or
// has vacated; until a bound it may go on.
func (w *world) takeOver(former time.Duration) {
	w.epoch++
	w.ownerID++
	w.owner = New(w.epoch, simTiming, w.config, w.book, w.clock(), Predecessor{StoppedBy: former, LastOrderAt: maps.Clone(w.orderAt)})
	w.owner.SetTargets(w.listed())
	w.owner.SetWaves(w.wave)
	w.tick(w.ownerID)
}

func (w *world) listed() []TargetInfo {
	var list []TargetInfo
	for _, id := range slices.Sorted(maps.Keys(w.fleet)) {
		if w.fleet[id].up {
			list = append(list, w.fleet[id].info)
		}
	}
	return list
}

func (w *world) tick(id int) {
	if id != w.ownerID || w.owner == nil {
		return
	}
	w.owner.Advance(w.clock())
	w.owner.SetTargets(w.listed())
	w.owner.SetInstances(w.list(), w.now)
	w.owner.Tick()
	w.settle(w.owner, id)
	w.after(25*time.Millisecond, func() { w.tick(id) })
}

// settle stores what was decided and carries out effects.
func (w *world) settle(s *Scheduler, id int) {
	if records, any := s.NextBatch(); any {
		epoch := w.epoch
		w.after(6*time.Millisecond, func() {
			if epoch != w.epoch {
				return
			}
			for _, r := range records {
				change, err := w.book.Apply(r.Key, r.Value, w.offset)
				require.NoError(w.t, err)
				if change.Kind == cranjob.OrderChanged {
					w.orderAt[change.ID] = w.now
				}
				w.offset++
			}
			if id == w.ownerID {
				s.Advance(w.clock())
				s.ConfirmBatch()
				w.settle(s, id)
			}
		})
	}
	for _, e := range s.Effects() {
		w.perform(s, id, e)
	}
}

// call carries out a call at a target, with what may go wrong on the way.
func (w *world) call(s *Scheduler, id int, to TargetRef, order bool, do func() Response, answer func(Response)) {
	sent := w.now
	reply := func(a Response) {
		if id == w.ownerID {
			a.SentAt = sent
			s.Advance(w.clock())
			answer(a)
			w.settle(s, id)
		}
	}
	timeout := func() { w.after(callLimit, func() { reply(Response{}) }) }
	p := w.random.Float64()
	switch {
	case p < w.lost:
		timeout()
	case p < w.lost+w.unanswered:
		w.after(2*time.Millisecond, func() { do() })
		timeout()
	case order && p < w.lost+w.unanswered+w.late:
		// The order waits in the target's process and ends with it.
		life := w.fleet[to.ID]
		w.after(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
			if w.fleet[to.ID] == life {
				do()
			}
		})
		timeout()
	default:
		w.after(time.Duration(1+w.random.IntN(4))*time.Millisecond, func() {
			a := do()
			w.after(time.Duration(1+w.random.IntN(4))*time.Millisecond, func() { reply(a) })
		})
	}
}

// order carries out an order about an instance, and answers the owner.
func (w *world) order(s *Scheduler, id int, do func() CallStatus, answered func(CallStatus)) {
	w.after(5*time.Millisecond+w.slowOrders, func() {
		verdict := do()
		if id == w.ownerID {
			s.Advance(w.clock())
			answered(verdict)
			w.settle(s, id)
		}
	})
}

func (w *world) perform(s *Scheduler, id int, e Effect) {
	switch e := e.(type) {
	case LogEntry:
		w.t.Logf("%v owner %d: %v job=%s task=%s run=%d target=%s %s", w.now, id, e.Kind, e.Job, e.Task, e.Run, e.Target, e.Reason)
	case Heartbeat:
		var held HeartbeatResponse
		w.call(s, id, e.Target, false, func() Response { held = w.hold(e); return held.Response }, func(a Response) {
			if a.Status == StatusUnanswered {
				s.HandleHeartbeatResponse(e.Target, HeartbeatResponse{Response: a})
				return
			}
			w.linger(s, id, e, a.SentAt, e.Wait, held)
		})
	case RequestTickets:
		w.advice = append(w.advice, e)
	case Maintain:
		w.order(s, id, func() CallStatus { return w.orderUpkeep(e) }, func(v CallStatus) { s.HandleMaintenanceResponse(e, v) })
	case MoveInstance:
		if w.loseMoves {
			return
		}
		w.order(s, id, func() CallStatus { return w.orderMove(e) }, func(v CallStatus) { s.HandleMoveResponse(e, v) })
	case StartRun:
		w.call(s, id, e.Target, true, func() Response { return w.start(e) }, func(a Response) { s.HandleStartResponse(e, a) })
	case StopRun:
		w.call(s, id, e.Target, true, func() Response { return w.stop(e) }, func(a Response) { s.HandleStopResponse(e, a) })
	}
}

// submit stores a job and tells the owner of it.
func (w *world) submit(j *cranjob.Job) {
	j.Queue, j.Pool, j.ReceivedMs = "q", "p", w.unix()
	w.jobs[j.ID] = j
	_, err := w.book.Apply(cranjob.SubmissionKey(j.ID), cranjob.Encode(*j), w.offset)
	require.NoError(w.t, err)
	w.offset++
	if w.owner != nil {
		w.owner.Advance(w.clock())
		w.owner.AddJob(j)
	}
}

func (w *world) cancel(id string) {
	_, err := w.book.Apply(cranjob.CancellationKey(id), cranjob.CancellationMark, w.offset)
	require.NoError(w.t, err)
	w.offset++
	if w.owner != nil {
		w.owner.Advance(w.clock())
		w.owner.CancelJob(id)
	}
}

// restart makes a target start again under its id, with nothing of before.
func (w *world) restart(id string) {
	old := w.fleet[id]
	w.addLife(id, old.info.Instance)
	w.fleet[id].info.ProcessStartMs = max(w.unix(), old.info.ProcessStartMs+1)
}

func (w *world) states() map[string]cranjob.State {
	states := map[string]cranjob.State{}
	for id := range w.jobs {
		e, found := w.book.Lookup(id)
		require.True(w.t, found)
		states[id] = e.State()
	}
	return states
}
