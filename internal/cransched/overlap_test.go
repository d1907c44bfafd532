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
	seeds := uint64(40)
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playOverlappingWaves(t, seed) })
	}
}

func playOverlappingWaves(t *testing.T, seed uint64) {
	const targets, span = 8, 24 * time.Second
	sim := newSimulation(t, seed, targets)
	r := sim.random
	sim.failureRate, sim.maxDown, sim.checkUnavailable = 0, targets, true
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
			sim.takeOver(sim.now + time.Duration(r.IntN(2))*OwnershipTimeout)
		})
	}
	sim.runBackground(span)
	sim.platformDown, sim.orderLossRate, sim.orderSilenceRate = false, 0, 0
	sim.runFor(40 * time.Second)
	for _, w := range sim.wave {
		require.True(t, sim.progress[w.Wave].Done, "wave %d isn't done", w.Wave)
	}
	sim.requireNothingHeld()
	sim.requireTargetsUsable()
	sim.requireBackgroundCompleted()
	require.Equal(t, 4, sim.countRunning("lasting"))
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

// requireTargetsUsable checks that the owner uses all targets that are up.
func (sim *simulation) requireTargetsUsable() {
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		known := sim.owner.targets[id]
		require.NotNil(sim.t, known, id)
		require.True(sim.t, known.retiring || known.schedulable(sim.now), "%s takes no tasks", id)
		require.False(sim.t, known.leaving || sim.owner.hasPendingOrder(known), "%s is kept free", id)
	}
}
