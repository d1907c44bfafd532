package cransched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// orderRetryInterval is the time after which an unanswered order for an instance is
	// sent again.
	orderRetryInterval = 1000 * time.Millisecond
	// evacuateAhead is the number of instances evacuated in advance in addition to those
	// that may be down, so that the next one is empty when another comes back.
	evacuateAhead = 2
	// minEvacuations is the minimum number of instances evacuated at the same time while
	// time is left. Long-running tasks leave one by one and take seconds to start.
	minEvacuations = 3
	// evictionInterval is how often a wave looks for long-running tasks that may be stopped.
	evictionInterval = 100 * time.Millisecond
	// waveTimeReserve is the fraction of a wave's duration reserved for disturbances such
	// as a change of owner.
	waveTimeReserve = 0.2
	// evacuationTime is how long the evacuation of an instance with long-running tasks
	// takes while other instances with tasks of the same steps are evacuated too.
	evacuationTime = 4000 * time.Millisecond
)

// wave is the state of a maintenance wave.
type wave struct {
	order   WaveOrder
	members []*member
	// limit is the maximum number of members that may be down for the wave at a time. It
	// never falls.
	limit int
	// begun is set once the maintenance of all members has begun, and completed once none of
	// them is down any more.
	begun, completed bool
	// nextEvictionAt is when long-running tasks are stopped next.
	nextEvictionAt time.Duration
}

// fleet is the state of the instances: waves, moves and stored orders.
type fleet struct {
	waves     map[int]*wave
	instances map[string]InstanceInfo
	// listRequestedAt is when the list of instances was requested; 0 before the first.
	listRequestedAt time.Duration
	// storedOrders holds the orders for each instance, including those of predecessors.
	storedOrders map[string]cranjob.InstanceOrder
	// orderedAt is when the newest order for each instance was decided on, by this owner or a predecessor.
	orderedAt map[string]time.Duration
	// moves are the moves in progress, keyed by instance.
	moves map[string]*move
	// refusedMoves holds the moves that the platform doesn't allow.
	refusedMoves map[destination]bool
	// vacating holds, for each pool, the target of another pool that is emptied so that its
	// instance can be moved there.
	vacating map[string]*target
	// peaksNear marks the pools that are given instances for their next peak.
	peaksNear map[string]bool
	// starvedSince is when each pool of which a long-running task fits on no target was first
	// found so.
	starvedSince map[string]time.Duration
	// nextPlanAt is when the pool sizes are planned next, and budget limits the moves.
	nextPlanAt time.Duration
	budget     moveBudget
	// planner decides on the sizes of the pools.
	planner *cranpool.Planner
	// planned holds the state of the pools as of the last plan.
	planned map[string]cranexplain.Pool
}

// newFleet restores the stored orders and the moves that may be in progress.
func (s *Scheduler) newFleet(orders map[string]cranjob.InstanceOrder) fleet {
	f := fleet{
		waves: map[int]*wave{}, storedOrders: maps.Clone(orders), orderedAt: map[string]time.Duration{},
		moves: map[string]*move{}, refusedMoves: map[destination]bool{}, planner: cranpool.NewPlanner(cranpool.DefaultCosts()),
		vacating: map[string]*target{}, peaksNear: map[string]bool{}, starvedSince: map[string]time.Duration{},
		planned: map[string]cranexplain.Pool{},
	}
	maps.Copy(f.orderedAt, s.predecessor.LastOrderAt)
	for instance, order := range orders {
		at, found := s.predecessor.LastOrderAt[instance]
		if found && order.Moving && s.clock.Steady-at < moveTimeout {
			f.moves[instance] = &move{destination: destination{instance, order.Pool}, beganAt: at, sentAt: at}
		}
	}
	return f
}

// SetWaves adds the waves that the operator has requested, with the instances that this owner
// is to maintain. For a wave that is known it updates MaxParallel and what is published.
func (s *Scheduler) SetWaves(orders []WaveOrder) {
	var added []*wave
	for _, o := range orders {
		if known := s.fleet.waves[o.Wave]; known != nil {
			known.limit = max(known.limit, o.MaxParallel)
			known.order.Done = known.order.Done || o.Done
			continue
		}
		w := &wave{order: o, limit: o.MaxParallel, begun: o.Begun || o.Done, completed: o.Done}
		for _, id := range o.Instances {
			w.members = append(w.members, &member{instance: id})
		}
		s.fleet.waves[o.Wave] = w
		added = append(added, w)
		if !o.Done {
			s.emit(LogEntry{Kind: LogWaveChanged, Run: o.Wave, Reason: "requested"})
		}
	}
	// Whether a stored order counts depends on the other waves.
	for _, w := range added {
		for _, m := range w.members {
			s.restoreMember(w, m)
		}
	}
}

// restoreMember restores the state of a member from what earlier owners have stored and published.
func (s *Scheduler) restoreMember(w *wave, m *member) {
	if w.begun {
		m.state = maintenanceStarted
		return
	}
	stored := s.fleet.storedOrders[m.instance]
	order, ordered := stored.OfWave(w.order.Wave)
	if !ordered {
		return
	}
	if order.Confirmed && stored.IsOfEarlierVersion() && !s.isInOneWave(m.instance) {
		// Another wave's maintenance may have been confirmed.
		order.Confirmed, stored.Confirmed = false, false
		s.fleet.storedOrders[m.instance] = stored
	}
	m.state = maintenanceOrdered
	if order.Confirmed {
		m.state = maintenanceStarted
	}
}

// SetInstances replaces the list of instances with one requested at the given time. What is
// known of targets that appeared later and respond is kept.
func (s *Scheduler) SetInstances(list []InstanceInfo, requestedAt time.Duration) {
	s.fleet.instances = make(map[string]InstanceInfo, len(list))
	for _, i := range list {
		s.fleet.instances[i.Instance] = i
	}
	s.fleet.listRequestedAt = requestedAt
	for _, t := range s.sorted {
		if t.addedAt > requestedAt && t.listed && t.fenced {
			s.observeArrival(t)
		}
	}
}

// observeArrival records that the instance of a new target, which responds, is up. The list is
// read seldom, so it shows that later.
func (s *Scheduler) observeArrival(t *target) {
	if t.info.Instance == "" || s.fleet.listRequestedAt == 0 {
		return
	}
	s.fleet.instances[t.info.Instance] = InstanceInfo{
		Instance: t.info.Instance, Pool: t.info.Pool, Up: true, Target: t.info.ID, Capacity: t.info.Capacity,
	}
}

// isUpSince reports whether an instance is known to be up at a time after the given one.
func (s *Scheduler) isUpSince(i InstanceInfo, at time.Duration) bool {
	if !i.Up {
		return false
	}
	t := s.targets[i.Target]
	return s.fleet.listRequestedAt > at || t != nil && t.addedAt > at
}

// planWaves evacuates instances and orders their maintenance.
func (s *Scheduler) planWaves() {
	if s.fleet.listRequestedAt == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(s.fleet.waves)) {
		if w := s.fleet.waves[number]; !w.completed {
			s.planWave(w)
		}
	}
}

// orderMargin is added to the minimum time between the orders of two owners.
const orderMargin = 200 * time.Millisecond

// mayOrder reports whether an order for an instance may be sent. The platform requires the
// time OrderLease since the predecessor's last order for it, which the predecessor may have
// sent up to OrderOwnershipTimeout after the order was read from the log.
func (s *Scheduler) mayOrder(instance string) bool {
	at, found := s.predecessor.LastOrderAt[instance]
	return !found || s.predecessor.SameInstance || s.clock.Steady >= at+OrderOwnershipTimeout+s.timing.OrderLease+orderMargin
}

// waveInProgress reports whether the maintenance of an instance has not begun yet.
func (s *Scheduler) waveInProgress() bool {
	for _, w := range s.fleet.waves {
		if !w.begun {
			return true
		}
	}
	return false
}

func (s *Scheduler) planWave(w *wave) {
	downCount, remaining := 0, 0
	for _, m := range w.members {
		s.observeMember(w, m)
		if s.countsAsDown(m) {
			downCount++
		}
		if m.state != maintenanceStarted && s.exists(m) {
			remaining++
		}
	}
	if remaining == 0 {
		s.finishWave(w, downCount == 0)
		return
	}
	limit := w.limit
	if limit == 0 {
		// Other owners have all permits of the wave until they are done.
		return
	}
	if s.clock.Steady >= w.nextEvictionAt {
		w.nextEvictionAt = s.clock.Steady + evictionInterval
		s.evictLongRunning(w)
	}
	evacuating := 0
	maxEvacuating := max(minEvacuations, s.requiredEvacuations(w))
	if s.mustEvacuateNow(w, remaining) {
		maxEvacuating = limit + evacuateAhead
	}
	due := s.sortByEvacuationCost(w)
	s.expectEvacuations(due, limit, downCount)
	for _, m := range due {
		switch {
		case s.fleet.moves[m.instance] != nil || !s.mayOrder(m.instance):
		case m.state == maintenanceOrdered:
			if s.clock.Steady-m.sentAt >= orderRetryInterval && s.evacuate(m) {
				s.orderMaintenance(w, m)
			}
		case s.isIdle(m.instance):
			if downCount < limit && s.evacuate(m) {
				downCount++
				s.orderMaintenance(w, m)
			}
		case evacuating < maxEvacuating:
			s.evacuate(m)
			evacuating++
		}
	}
}

// finishWave records that the maintenance of all members has begun, and that none of them is
// down any more.
func (s *Scheduler) finishWave(w *wave, allUp bool) {
	if !w.begun {
		w.begun = true
		s.emit(LogEntry{Kind: LogWaveChanged, Run: w.order.Wave, Reason: "all maintenance has begun"})
		s.emit(WaveStatus{Wave: w.order.Wave, Begun: true})
		for _, m := range w.members {
			s.endEvacuation(m)
		}
	}
	if allUp {
		w.completed = true
		s.emit(LogEntry{Kind: LogWaveChanged, Run: w.order.Wave, Reason: "completed"})
		s.emit(WaveStatus{Wave: w.order.Wave, Begun: true, Done: true})
	}
}

// maintenanceTime is the time from the order of an instance's maintenance until the list
// of instances shows it up again.
const maintenanceTime = 3500 * time.Millisecond

// requiredEvacuations returns how many instances with long-running tasks have to be
// evacuated at the same time for the wave to finish within its duration.
func (s *Scheduler) requiredEvacuations(w *wave) int {
	withLongRunning := 0
	for _, m := range w.members {
		if t := s.currentTarget(m.instance); m.state == pending && t != nil && t.longRunningResources() != (cranjob.Resources{}) {
			withLongRunning++
		}
	}
	reserve := time.Duration(waveTimeReserve * float64(w.order.Duration))
	timeLeft := w.order.SeenAt + w.order.Duration - reserve - s.clock.Steady - maintenanceTime
	if timeLeft < evacuationTime {
		return withLongRunning
	}
	return int(math.Ceil(float64(withLongRunning) * evacuationTime.Seconds() / timeLeft.Seconds()))
}

// mustEvacuateNow reports whether a wave can finish in time only if as many instances as
// permitted are down from now on. Before that, instances that become empty by themselves
// are maintained first.
func (s *Scheduler) mustEvacuateNow(w *wave, remaining int) bool {
	rounds := (remaining + w.limit - 1) / max(w.limit, 1)
	needed := time.Duration(rounds+2) * maintenanceTime
	return s.clock.Steady+needed >= w.order.SeenAt+w.order.Duration
}

// maxRunsPerTarget exceeds the number of tasks of one step on any target. It keeps the
// ranges of evacuation costs apart.
const maxRunsPerTarget = 1 << 10

func (s *Scheduler) isStandby(pool string) bool {
	return s.config != nil && s.config.Pools[pool] != nil && s.config.Pools[pool].Standby
}

// orderMaintenance stores the order for an instance and sends it once stored.
func (s *Scheduler) orderMaintenance(w *wave, m *member) {
	m.state = maintenanceOrdered
	m.sentAt = s.clock.Steady
	order := s.fleet.storedOrders[m.instance].WithMaintenance(w.order.Wave)
	order.Moving, order.DecidedMs = false, s.clock.UnixMs
	s.fleet.orderedAt[m.instance] = s.clock.Steady
	s.storeOrder(m.instance, order)
	s.emitOnceStored(LogEntry{Kind: LogMaintenanceOrdered, Target: m.instance, Run: w.order.Wave})
	s.emitOnceStored(Maintain{Instance: m.instance, Wave: w.order.Wave, Token: s.token})
}

// storeOrder adds the orders for an instance to the next batch, without those of the waves that are published
// as done.
func (s *Scheduler) storeOrder(instance string, o cranjob.InstanceOrder) {
	o = o.WithoutWaves(func(wave int) bool {
		w := s.fleet.waves[wave]
		return w != nil && w.order.Done
	})
	s.fleet.storedOrders[instance] = o
	s.pendingRecords = append(s.pendingRecords, cranstore.Record{Key: cranjob.OrderKey(instance), Value: cranjob.Encode(o)})
}

// HandleMaintenanceResponse handles the response to a Maintain.
func (s *Scheduler) HandleMaintenanceResponse(e Maintain, status CallStatus) {
	w := s.fleet.waves[e.Wave]
	if w == nil {
		return
	}
	for _, m := range w.members {
		if m.instance == e.Instance && m.state == maintenanceOrdered && status == StatusOK {
			s.confirmStarted(w, m)
		}
	}
}
