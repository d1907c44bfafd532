package cransched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOverlappingWaves guards against what is kept for one instance while several waves, moves and owners concern
// it: a wave that counts as begun without an instance (MIXED), an instance that is maintained again or is never used
// again (LOST), or more instances down for a wave than it allows (LIMIT). Orders are lost, remain unanswered or take
// long, and owners change meanwhile.
func TestOverlappingWaves(t *testing.T) {
	count := 40
	if testing.Short() {
		count = 8
	}
	// With 422, an order of a predecessor that was under way didn't count for the limit of its wave. With 1026 and
	// 1601, a task that a predecessor had stopped counted as available.
	seeds := []uint64{422, 1026, 1601}
	for seed := range count {
		seeds = append(seeds, uint64(seed))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playOverlappingWaves(t, seed) })
	}
}

func playOverlappingWaves(t *testing.T, seed uint64) {
	const targets, span = 8, 24 * time.Second
	sim := newSimulation(t, seed, targets)
	r := sim.random
	sim.failureRate, sim.maxDown, sim.checkUnavailable = 0, targets, true
	if r.IntN(2) == 0 {
		sim.addBusyPool()
	}
	sim.reuseIDs = r.IntN(3) == 0
	sim.incompleteLists = max(0, r.Float64()-0.7)
	if r.IntN(2) == 0 {
		sim.lossRate, sim.noResponseRate, sim.delayRate = 0.02, 0.02, 0.01
	}
	sim.listInterval = time.Duration(r.IntN(5)) * 500 * time.Millisecond
	sim.orderLossRate, sim.orderSilenceRate = 0.3*r.Float64(), 0.3*r.Float64()
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 4))
	for range 1 + r.IntN(3) {
		sim.schedule(time.Duration(r.Int64N(int64(span))), func() { sim.platformDown = true })
		sim.schedule(time.Duration(r.Int64N(int64(span))), func() { sim.platformDown = false })
	}
	for wave := range 2 + r.IntN(3) {
		sim.schedule(time.Duration(r.Int64N(int64(span/2))), func() { sim.requestWave(wave + 1) })
	}
	for range r.IntN(5) {
		sim.schedule(time.Duration(r.Int64N(int64(span))), func() {
			sim.orderDelay = time.Duration(r.IntN(800)) * time.Millisecond
			if r.IntN(4) == 0 {
				sim.storeEarlierOrders()
			}
			sim.takeOver(sim.now + time.Duration(r.IntN(2))*OwnershipTimeout)
		})
	}
	sim.runBackground(span)
	sim.platformDown, sim.orderLossRate, sim.orderSilenceRate, sim.incompleteLists = false, 0, 0, 0
	sim.lossRate, sim.noResponseRate, sim.delayRate = 0, 0, 0
	// The waves may have to maintain 8 instances one at a time, which takes 2 s and two reads of the list each.
	for end := sim.now + 4*targets*6*time.Second; !sim.wavesDone() && sim.now < end; sim.runFor(time.Second) {
	}
	require.True(t, sim.wavesDone(), "%v", sim.progress)
	sim.runFor(heldTime + 30*time.Second)
	sim.requireTargetsUsable()
	sim.requireBackgroundCompleted()
	require.Equal(t, 4, sim.countRunning("lasting"))
}

// wavesDone reports whether owners have published that all waves are done.
func (sim *simulation) wavesDone() bool {
	return !slices.ContainsFunc(sim.wave, func(w WaveOrder) bool { return !sim.progress[w.Wave].Done })
}

// addBusyPool adds a second pool, between which and the first one instances are moved.
func (sim *simulation) addBusyPool() {
	sim.config.Pools["busy"] = &Pool{Name: "busy"}
	sim.config.Queues["load"] = &Queue{Name: "load", Pool: "busy", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
	for i := range 6 {
		sim.schedule(time.Duration(i)*4*time.Second, func() {
			j := newBatchJob(fmt.Sprintf("load%d", i), 12)
			j.Queue = "load"
			sim.submit(j)
		})
	}
}

// requestWave requests the maintenance of some of the instances.
func (sim *simulation) requestWave(number int) {
	order := sim.waveOfAllInstances(time.Duration(12+sim.random.IntN(14))*time.Second, 1+sim.random.IntN(4))
	order.Wave = number
	sim.random.Shuffle(len(order.Instances), func(i, j int) {
		order.Instances[i], order.Instances[j] = order.Instances[j], order.Instances[i]
	})
	order.Instances = slices.Sorted(slices.Values(order.Instances[:2+sim.random.IntN(len(order.Instances)-1)]))
	sim.wave = append(sim.wave, order)
	sim.setWaves()
}

// requireTargetsUsable checks that the owner uses all targets that are up, unless their instances are being moved.
func (sim *simulation) requireTargetsUsable() {
	s := sim.owner
	for _, m := range s.fleet.moves {
		require.Less(sim.t, sim.now-m.beganAt, heldTime, "%s is moved for too long", m.instance)
	}
	require.Empty(sim.t, s.fleet.vacating)
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		known := s.targets[id]
		require.NotNil(sim.t, known, id)
		if s.isMoving(known) {
			continue
		}
		require.True(sim.t, known.retiring || known.schedulable(sim.now), "%s takes no tasks", id)
		require.False(sim.t, known.leaving || s.hasPendingOrder(known), "%s is kept free", id)
	}
}
