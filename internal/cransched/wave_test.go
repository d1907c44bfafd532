package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestRepeatedMaintenanceKeepsNewTarget guards against a target that counts as gone because the
// platform accepts a repeated order for the maintenance after which it came up.
func TestRepeatedMaintenanceKeepsNewTarget(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.failureRate, sim.maxDown = 0, 1
	delete(sim.config.Pools, "off")
	sim.wave = []WaveOrder{{Wave: 1, Instances: []string{"mt0"}, Duration: 30 * time.Second, SeenAt: sim.now, MaxParallel: 1}}
	sim.takeOver(sim.now - time.Hour)
	for sim.orderStoredAt["mt0"] == 0 {
		sim.runFor(time.Millisecond)
	}
	sim.owner, sim.ownerID = nil, sim.ownerID+1
	sim.runFor(8 * time.Second)
	sim.instanceList()
	sim.takeOver(sim.now - 5*time.Second)
	sim.runFor(10 * time.Second)
	require.Equal(t, 1, sim.maintenances["mt0"])
	host := sim.targets[sim.instances["mt0"].target]
	require.NotNil(t, host)
	known := sim.owner.targets[host.info.ID]
	require.NotNil(t, known)
	require.False(t, known.ended, "the target that came up after the maintenance counts as gone")
	sim.submit(newLongRunningJob("lasting", 24))
	sim.runFor(10 * time.Second)
	require.NotEmpty(t, host.runs)
}

// TestOtherMaintenanceBeginsNoWave guards against a wave that counts as begun because an instance is
// down for another wave.
func TestOtherMaintenanceBeginsNoWave(t *testing.T) {
	now := time.Hour
	clock := func() Clock { return Clock{Steady: now, UnixMs: 1_700_000_000_000 + now.Milliseconds()} }
	config := &Config{Version: 1, Pools: map[string]*Pool{"p": {Name: "p"}}, Queues: map[string]*Queue{}}
	s := New(1, simTiming, config, cranjob.NewReplica(), clock(), Predecessor{})
	info := TargetInfo{ID: "t", Pool: "p", Address: "t", Instance: "m", Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}, ProcessStartMs: 1}
	s.SetTargets([]TargetInfo{info})
	s.SetInstances([]InstanceInfo{{Instance: "m", Pool: "p", Up: true, Target: "t"}}, now)
	wave := func(number int) WaveOrder {
		return WaveOrder{Wave: number, Instances: []string{"m"}, Duration: 20 * time.Second, SeenAt: now, MaxParallel: 1}
	}
	s.SetWaves([]WaveOrder{wave(1), wave(2)})
	down, begun := false, map[int]bool{}
	for range 100 {
		now += 25 * time.Millisecond
		s.Advance(clock())
		s.Tick()
		if _, any := s.NextBatch(); any {
			s.ConfirmBatch()
		}
		for _, e := range s.Effects() {
			switch e := e.(type) {
			case Heartbeat:
				if !down {
					s.HandleHeartbeatResponse(e.Target, HeartbeatResponse{Response: Response{Status: StatusOK, ClockMs: now.Milliseconds(), ProcessStartMs: 1, SentAt: now}})
				}
			case Maintain:
				status := StatusInstanceBusy
				if e.Wave == 1 {
					status, down = StatusOK, true
				}
				s.HandleMaintenanceResponse(e, status)
			case WaveStatus:
				begun[e.Wave] = begun[e.Wave] || e.Begun
			}
		}
		if down && now%(500*time.Millisecond) == 0 {
			s.SetInstances([]InstanceInfo{{Instance: "m", Pool: "p", Maintenance: true}}, now)
		}
	}
	require.True(t, begun[1])
	require.False(t, begun[2], "no order of the second wave was accepted")
}

// TestRepeatedOrderKeepsLivingTargets guards against targets that count as gone, or stay cordoned, because the
// platform accepts an order for maintenance that was done before this owner took over (LOST). The stored orders
// are those of an earlier version, which name the newest wave only.
func TestRepeatedOrderKeepsLivingTargets(t *testing.T) {
	sim := newSimulation(t, 1, 5)
	sim.failureRate, sim.maxDown = 0, 2
	delete(sim.config.Pools, "off")
	wave := sim.waveOfAllInstances(time.Minute, 2)
	sim.takeOver(sim.now - time.Hour)
	busy := newBatchJob("busy", 1)
	busy.Steps = busy.Steps[:1]
	sim.runTimes = map[cranjob.TaskName]time.Duration{{Job: "busy"}: time.Minute}
	sim.submit(busy)
	sim.runFor(time.Second)
	for _, id := range wave.Instances {
		if tgt := sim.targets[sim.instances[id].target]; len(tgt.runs) > 0 {
			continue
		}
		sim.maintained[instanceWave{id, wave.Wave}], sim.maintained[instanceWave{id, 2}] = true, true
		order := cranjob.InstanceOrder{Wave: 2, Confirmed: true, DecidedMs: sim.unix() - 10_000}
		_, err := sim.stored.Apply(cranjob.OrderKey(id), cranjob.Encode(order), sim.offset)
		require.NoError(t, err)
		sim.offset++
	}
	require.Len(t, sim.maintained, 8)
	sim.wave = []WaveOrder{wave}
	sim.takeOver(sim.now)
	sim.runFor(10 * time.Second)
	require.False(t, sim.owner.fleet.waves[1].begun, "an instance is still at work")
	usable := 0
	for _, tgt := range sim.owner.sorted {
		if tgt.schedulable(sim.now) && !sim.owner.hasPendingOrder(tgt) {
			usable++
		}
	}
	require.Equal(t, 4, usable)
	large := newBatchJob("large", 4)
	large.Steps = large.Steps[:1]
	large.Steps[0].Demand = cranjob.Resources{CPU: 3000, Memory: 1000}
	sim.submit(large)
	sim.runFor(5 * time.Second)
	require.Equal(t, cranjob.Completed, sim.states()["large"])
}

// TestWavesOrderedTogetherSurviveTakeover guards against a wave that counts as begun on an instance since the order
// of another wave for it was confirmed, and the owner was lost then (MIXED).
func TestWavesOrderedTogetherSurviveTakeover(t *testing.T) {
	for _, earlierVersion := range []bool{false, true} {
		sim := newSimulation(t, 1, 12)
		sim.failureRate, sim.maxDown = 0, 12
		delete(sim.config.Pools, "off")
		sim.takeOver(sim.now - time.Hour)
		sim.runFor(2 * time.Second)
		for wave := range 2 {
			order := sim.waveOfAllInstances(24*time.Second, 6)
			order.Wave = wave + 1
			sim.wave = append(sim.wave, order)
		}
		sim.setWaves()
		sim.runFor(1500 * time.Millisecond)
		require.Len(t, sim.confirmed, 6)
		if earlierVersion {
			sim.storeEarlierOrders()
		}
		sim.takeOver(sim.now + OwnershipTimeout)
		sim.runFor(30 * time.Second)
		require.Len(t, sim.maintained, 24)
		require.True(t, sim.progress[1].Done && sim.progress[2].Done)
	}
}

// storeEarlierOrders replaces the stored orders by those of an earlier version, which names the newest wave only and
// counts the confirmation of any wave for it.
func (sim *simulation) storeEarlierOrders() {
	clear(sim.confirmed)
	for id, o := range sim.stored.Orders() {
		for _, m := range o.Maintenance() {
			o.Confirmed = o.Confirmed || m.Confirmed
		}
		o.Waves = nil
		_, err := sim.stored.Apply(cranjob.OrderKey(id), cranjob.Encode(o), sim.offset)
		require.NoError(sim.t, err)
		sim.offset++
	}
}

// TestCordonIsSharedByWavesAndMoves guards against a target that takes tasks again, since one wave or move has ended,
// while another one still waits for it to become empty.
func TestCordonIsSharedByWavesAndMoves(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	s := sim.owner
	s.SetWaves([]WaveOrder{{Wave: 1, Instances: []string{"mt0"}}, {Wave: 2, Instances: []string{"mt0"}}})
	first, second, tgt := s.fleet.waves[1].members[0], s.fleet.waves[2].members[0], s.targets["t0"]
	s.evacuate(first)
	s.evacuate(second)
	s.endEvacuation(first)
	require.True(t, tgt.cordoned, "the second wave evacuates it")
	require.True(t, s.orderMove("mt0", "off"))
	s.endEvacuation(second)
	require.True(t, tgt.cordoned, "it is moved")
	s.evacuate(second)
	s.dropMove(s.fleet.moves["mt0"])
	require.True(t, tgt.cordoned, "the second wave evacuates it")
	s.endEvacuation(second)
	require.False(t, tgt.cordoned)
}

// TestIncompleteListsChangeNoMember guards against an instance that counts as up again after its maintenance, or as
// removed, since one or two lists have missed it (LIMIT of a wave, MIXED).
func TestIncompleteListsChangeNoMember(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.failureRate, sim.maxDown = 0, 1
	delete(sim.config.Pools, "off")
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	sim.platformDown = true
	s := sim.owner
	s.SetWaves([]WaveOrder{sim.waveOfAllInstances(time.Minute, 1)})
	complete := sim.instanceList()
	w, first := s.fleet.waves[1], s.fleet.waves[1].members[0]
	readList := func(list []InstanceInfo) {
		sim.now += 2 * time.Second
		s.Advance(sim.clock())
		s.SetInstances(list, sim.now)
		s.observeMember(w, first)
	}
	readList(complete[1:])
	readList(complete[1:])
	require.True(t, s.exists(first))
	first.state, first.startedAt = maintenanceStarted, sim.now
	require.True(t, s.countsAsDown(first), "no list has shown it up again")
	readList(complete)
	require.False(t, s.countsAsDown(first))
	readList(complete[1:])
	require.False(t, s.countsAsDown(first))
	readList(complete[1:])
	readList(complete[1:])
	require.False(t, s.exists(first))
}

// TestOrderOfPredecessorHoldsNoPermit guards against a wave that stands still since an instance counts as down by an
// order that a predecessor has stored, though it is up and at work. Earlier versions place tasks there.
func TestOrderOfPredecessorHoldsNoPermit(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.failureRate, sim.maxDown = 0, 1
	delete(sim.config.Pools, "off")
	sim.takeOver(sim.now - time.Hour)
	busy := newBatchJob("busy", 1)
	busy.Steps = busy.Steps[:1]
	sim.runTimes = map[cranjob.TaskName]time.Duration{{Job: "busy"}: time.Minute}
	sim.submit(busy)
	sim.runFor(time.Second)
	order := cranjob.InstanceOrder{Wave: 1, DecidedMs: sim.unix()}
	host := sim.newestStarts[cranjob.TaskName{Job: "busy"}].Target.ID
	_, err := sim.stored.Apply(cranjob.OrderKey("m"+host), cranjob.Encode(order), sim.offset)
	require.NoError(t, err)
	sim.offset++
	sim.observeOrder("m" + host)
	sim.wave = []WaveOrder{sim.waveOfAllInstances(20*time.Second, 1)}
	sim.takeOver(sim.now)
	sim.runFor(15 * time.Second)
	require.Len(t, sim.maintained, 2)
	sim.runFor(time.Minute)
	require.Len(t, sim.maintained, 3)
}
