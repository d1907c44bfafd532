package cransched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// orderRepeat is when an unanswered order for an instance is sent again.
	orderRetryInterval = 1000 * time.Millisecond
	// prepareAhead is how many instances beyond those down are emptied ahead,
	// so that the next is empty when one comes back.
	evacuateAhead = 2
	// evacuations is how many instances are emptied at a time at least while
	// there is time enough: lasting tasks leave one by one, and take seconds to
	// start.
	minEvacuations = 3
	// waveReserve is the part of a wave's time that is kept for what goes wrong
	// meanwhile, such as an owner that is replaced.
	waveTimeReserve = 0.2
	// evacuationTime is how long an instance with lasting tasks takes to become
	// empty, while others of their steps leave theirs.
	evacuationTime = 4000 * time.Millisecond
	// statusEvery is how often an unfinished wave's status is written again.
	statusInterval = 10 * time.Second
)

// upkeep is where an instance of a wave stands.
type memberState uint8

const (
	// due instances have not been ordered down.
	pending memberState = iota
	// asked instances have an order that is stored, and not yet confirmed.
	maintenanceOrdered
	// begun instances have begun their maintenance.
	maintenanceStarted
)

// member is an instance of a wave.
type member struct {
	instance    string
	state       memberState
	sentAt      time.Duration
	startedAt   time.Duration
	orderStored bool
	// missingAt is when the first list in a row without it was read; 0 if the
	// newest list has it.
	missingSince time.Duration
}

// wave is a maintenance wave that goes on.
type wave struct {
	order        WaveOrder
	members      []*member
	completed    bool
	statusSentAt time.Duration
}

// fleet is what planned work on instances needs.
type fleet struct {
	waves     map[int]*wave
	instances map[string]InstanceInfo
	// listAt is when the list was read; 0 before.
	listReadAt   time.Duration
	storedOrders map[string]cranjob.InstanceOrder
	// moves are the moves under way, by instance.
	moves map[string]*move
	// refused holds the moves that the platform doesn't allow.
	refusedMoves map[destination]bool
	// planAt is when the sizes of the pools are planned next.
	nextPlanAt time.Duration
	// recent holds, for each pool, the instances wanted lately.
	peaks map[string]*peakDemand
}

// newFleet takes over the stored orders, and the moves that may be under way.
func (s *Scheduler) newFleet(orders map[string]cranjob.InstanceOrder) fleet {
	f := fleet{
		waves: map[int]*wave{}, storedOrders: maps.Clone(orders),
		moves: map[string]*move{}, refusedMoves: map[destination]bool{}, peaks: map[string]*peakDemand{},
	}
	for instance, o := range orders {
		at, recent := s.predecessor.LastOrderAt[instance]
		if recent && o.Moving && s.clock.Steady-at < moveTimeout {
			f.moves[instance] = &move{destination: destination{instance, o.Pool}, beganAt: at, sentAt: at}
		}
	}
	return f
}

// SetWaves takes over the waves that the operator asks for.
func (s *Scheduler) SetWaves(orders []WaveOrder) {
	for _, o := range orders {
		if s.fleet.waves[o.Wave] != nil {
			continue
		}
		w := &wave{order: o}
		for _, id := range o.Instances {
			m := &member{instance: id}
			if stored := s.fleet.storedOrders[id]; stored.Wave == o.Wave {
				m.state = maintenanceOrdered
				m.orderStored = true
				if stored.Begun {
					m.state = maintenanceStarted
				}
			}
			w.members = append(w.members, m)
		}
		s.fleet.waves[o.Wave] = w
		s.emit(LogEntry{Kind: LogWaveChanged, Run: o.Wave, Reason: "asked for"})
	}
}

// SetInstances takes over the platform's list of instances, asked for at a time.
func (s *Scheduler) SetInstances(list []InstanceInfo, askedAt time.Duration) {
	s.fleet.instances = make(map[string]InstanceInfo, len(list))
	for _, i := range list {
		s.fleet.instances[i.Instance] = i
	}
	s.fleet.listReadAt = askedAt
}

// planWaves empties instances and orders their maintenance.
func (s *Scheduler) planWaves() {
	if s.fleet.listReadAt == 0 {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(s.fleet.waves)) {
		if w := s.fleet.waves[number]; !w.completed {
			s.planWave(w)
		}
	}
}

// orderMargin is added to the distance between the orders of two owners.
const orderMargin = 200 * time.Millisecond

// mayOrder reports whether an order for an instance may leave: that of the
// former owner for the same instance must lie further back.
func (s *Scheduler) mayOrder(instance string) bool {
	at, ordered := s.predecessor.LastOrderAt[instance]
	return !ordered || s.clock.Steady >= at+OrderOwnershipTimeout+s.timing.OrderLease+orderMargin
}

func (s *Scheduler) planWave(w *wave) {
	if s.clock.Steady-w.statusSentAt >= statusInterval || w.statusSentAt == 0 {
		w.statusSentAt = s.clock.Steady
		s.emit(WaveStatus{Wave: w.order.Wave})
	}
	down, remaining := 0, 0
	for _, m := range w.members {
		s.observeMember(m)
		if s.countsAsDown(m) {
			down++
		}
		if m.state != maintenanceStarted && s.exists(m) {
			remaining++
		}
	}
	if remaining == 0 {
		w.completed = true
		s.emit(LogEntry{Kind: LogWaveChanged, Run: w.order.Wave, Reason: "completed"})
		s.emit(WaveStatus{Wave: w.order.Wave, Completed: true})
		s.uncordon(w)
		return
	}
	limit := max(w.order.MaxParallel, 1)
	evacuating := 0
	maxEvacuating := max(minEvacuations, s.requiredEvacuations(w))
	if s.mustEvacuateNow(w, remaining) {
		maxEvacuating = limit + evacuateAhead
	}
	for _, m := range s.sortByEvacuationCost(w) {
		switch {
		case s.fleet.moves[m.instance] != nil || !s.mayOrder(m.instance):
		case m.state == maintenanceOrdered:
			if s.clock.Steady-m.sentAt >= orderRetryInterval && (m.sentAt != 0 || down < limit || s.countsAsDown(m)) {
				s.resendMaintenance(w, m)
			}
		case s.isIdle(m.instance):
			if down < limit && s.evacuate(m) {
				down++
				s.orderMaintenance(w, m)
			}
		case evacuating < maxEvacuating:
			s.evacuate(m)
			evacuating++
		}
	}
}

// upkeepTime is how long an instance of a wave takes from its order until the
// list shows it up again.
const maintenanceTime = 3500 * time.Millisecond

// evacuationsDue returns how many instances have to be emptied at a time for
// those with lasting tasks to be maintained by the end of the wave.
func (s *Scheduler) requiredEvacuations(w *wave) int {
	busy := 0
	for _, m := range w.members {
		if t := s.currentTarget(m.instance); m.state == pending && t != nil && t.lastingResources() != (cranjob.Resources{}) {
			busy++
		}
	}
	reserve := time.Duration(waveTimeReserve * float64(w.order.Duration))
	left := w.order.SeenAt + w.order.Duration - reserve - s.clock.Steady - maintenanceTime
	if left < evacuationTime {
		return busy
	}
	return int(math.Ceil(float64(busy) * evacuationTime.Seconds() / left.Seconds()))
}

// urgent reports whether a wave must empty instances to be done in time.
// Before that, those that happen to be empty go first.
func (s *Scheduler) mustEvacuateNow(w *wave, remaining int) bool {
	rounds := (remaining + w.order.MaxParallel - 1) / max(w.order.MaxParallel, 1)
	needed := time.Duration(rounds+2) * maintenanceTime
	return s.clock.Steady+needed >= w.order.SeenAt+w.order.Duration
}

// observe takes in what the list says of a member.
func (s *Scheduler) observeMember(m *member) {
	i, found := s.fleet.instances[m.instance]
	switch {
	case found:
		m.missingSince = 0
	case m.missingSince == 0:
		m.missingSince = s.fleet.listReadAt
	}
	if m.state == maintenanceOrdered && found && i.Maintenance && s.fleet.listReadAt > m.sentAt {
		s.confirmStarted(m)
	}
}

// leftBound is how long the lists must miss an instance until it has left for
// good. A list is read by pages, which may miss one while others come and go;
// two further lists are read in this time.
const removalTimeout = 1000 * time.Millisecond

// stays reports whether the instance still exists.
func (s *Scheduler) exists(m *member) bool {
	return m.missingSince == 0 || s.fleet.listReadAt-m.missingSince < removalTimeout
}

// occupied reports whether a member counts as down for its maintenance: from
// the order on until the list, read later, shows it up again.
func (s *Scheduler) countsAsDown(m *member) bool {
	switch m.state {
	case pending:
		return false
	case maintenanceOrdered:
		return m.sentAt != 0 || m.orderStored
	}
	i, found := s.fleet.instances[m.instance]
	return found && (!i.Up || s.fleet.listReadAt <= m.startedAt)
}

// confirm takes in that the maintenance of a member has begun.
func (s *Scheduler) confirmStarted(m *member) {
	m.state = maintenanceStarted
	m.startedAt = s.clock.Steady
	order := s.fleet.storedOrders[m.instance]
	order.Begun = true
	s.storeOrder(m.instance, order)
}

// maxRuns is more than the tasks of one step that a target holds.
const maxRunsPerTarget = 1 << 10

func (s *Scheduler) isStandby(pool string) bool {
	return s.config != nil && s.config.Pools[pool] != nil && s.config.Pools[pool].Standby
}

// orderUpkeep stores the order for an instance and sends it then.
func (s *Scheduler) orderMaintenance(w *wave, m *member) {
	m.state = maintenanceOrdered
	m.orderStored = true
	m.sentAt = s.clock.Steady
	order := s.fleet.storedOrders[m.instance]
	order.Wave, order.Begun, order.Moving, order.SentMs = w.order.Wave, false, false, s.clock.UnixMs
	s.storeOrder(m.instance, order)
	s.emitOnceStored(LogEntry{Kind: LogMaintenanceOrdered, Target: m.instance, Run: w.order.Wave})
	s.emitOnceStored(Maintain{Instance: m.instance, Wave: w.order.Wave, Token: s.token})
}

// storeOrder stores an order with the next batch.
func (s *Scheduler) storeOrder(instance string, o cranjob.InstanceOrder) {
	s.fleet.storedOrders[instance] = o
	s.pendingRecords = append(s.pendingRecords, cranstore.Record{Key: cranjob.OrderKey(instance), Value: cranjob.Encode(o)})
}

func (s *Scheduler) resendMaintenance(w *wave, m *member) {
	if s.evacuate(m) {
		s.orderMaintenance(w, m)
	}
}

// UpkeepAnswered takes in the answer to an order.
func (s *Scheduler) HandleMaintenanceResponse(e Maintain, status CallStatus) {
	w := s.fleet.waves[e.Wave]
	if w == nil {
		return
	}
	for _, m := range w.members {
		if m.instance != e.Instance || m.state != maintenanceOrdered {
			continue
		}
		if status == StatusOK {
			if t := s.currentTarget(m.instance); t != nil {
				s.endTarget(t, "the instance is down for maintenance")
			}
			s.confirmStarted(m)
		}
	}
}
