package cranstate

import (
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// WavePhase is the phase of a wave.
type WavePhase string

// Phases of a wave.
const (
	WavePhaseActive    WavePhase = "active"
	WavePhaseHalted    WavePhase = "halted"
	WavePhaseDone      WavePhase = "done"
	WavePhaseCancelled WavePhase = "cancelled"
)

const (
	// returnTimeoutMs is how long an instance may be in the phase stopping or
	// returning before it counts as failed in its wave.
	returnTimeoutMs = int64(10 * 60 * 1000)
	// maxEndedWaves is how many ended waves are kept.
	maxEndedWaves = 8
)

type wave struct {
	// id is the offset after the record that started the wave.
	id          uint64
	pools       []string
	maxFailures int
	phase       WavePhase
	// pending, active, done and failed are disjoint and hold the ids of the
	// wave's instances: those not yet started, those being stopped or
	// returning, those rebooted, and those that failed.
	pending map[string]bool
	active  map[string]bool
	done    map[string]bool
	failed  map[string]bool
	// failures counts the failures since the wave started or was last resumed.
	failures int
}

// Wave is a read-only view of a wave.
type Wave struct{ w *wave }

// ID returns the wave's id.
func (w Wave) ID() uint64 { return w.w.id }

// Pools returns the pools that the wave covers.
func (w Wave) Pools() []string { return w.w.pools }

// Phase returns the phase of the wave.
func (w Wave) Phase() WavePhase { return w.w.phase }

// Pending returns the ids of the instances that the wave has not yet started to
// stop, sorted.
func (w Wave) Pending() []string { return sortedKeys(w.w.pending) }

// Active returns the ids of the instances that are being stopped or returning,
// sorted.
func (w Wave) Active() []string { return sortedKeys(w.w.active) }

// Done returns how many instances were rebooted and are back in service.
func (w Wave) Done() int { return len(w.w.done) }

// Failed returns the ids of the instances that failed during the wave, sorted.
func (w Wave) Failed() []string { return sortedKeys(w.w.failed) }

// Failures returns how many instances have failed since the wave started or was
// last resumed.
func (w Wave) Failures() int { return w.w.failures }

// MaxFailures returns how many failures the wave tolerates; one more halts it.
func (w Wave) MaxFailures() int { return w.w.maxFailures }

func (w *wave) ended() bool { return w.phase == WavePhaseDone || w.phase == WavePhaseCancelled }

func (c *applyContext) proposeWave(e WaveProposed) *cranfault.Fault {
	if fault := c.checkWave(e); fault != nil {
		return fault
	}
	w := &wave{
		id: c.in.Offset + 1, pools: slices.Clone(e.Pools), maxFailures: e.MaxFailures, phase: WavePhaseActive,
		pending: map[string]bool{}, active: map[string]bool{}, done: map[string]bool{}, failed: map[string]bool{},
	}
	slices.Sort(w.pools)
	for _, in := range c.instances {
		if slices.Contains(w.pools, in.pool) {
			w.pending[in.id] = true
		}
	}
	c.waves[w.id] = w
	c.emit(WaveChanged{Wave: w.id, Phase: w.phase})
	return nil
}

func (c *applyContext) checkWave(e WaveProposed) *cranfault.Fault {
	if len(e.Pools) == 0 || e.MaxFailures < 0 {
		return cranfault.New(cranfault.Invalid, "name at least one pool and allow zero or more failures",
			"wave over %d pools that allows %d failures", len(e.Pools), e.MaxFailures)
	}
	if c.config == nil {
		return cranfault.New(cranfault.NotReady, "publish a configuration first", "no configuration is in force")
	}
	for _, pool := range e.Pools {
		if _, ok := c.config.Pool(pool); !ok {
			return cranfault.New(cranfault.UnknownPool, "name pools of the configuration in force", "the configuration in force has no pool %q", pool)
		}
		if w := c.waveForPool(pool); w != nil {
			return cranfault.New(cranfault.Busy, "wait for that wave to end, or cancel it", "wave %d covers pool %q", w.id, pool)
		}
	}
	return nil
}

func (c *applyContext) waveForPool(pool string) *wave {
	for _, w := range c.waves {
		if !w.ended() && slices.Contains(w.pools, pool) {
			return w
		}
	}
	return nil
}

func (c *applyContext) findWave(id uint64) (*wave, *cranfault.Fault) {
	w, ok := c.waves[id]
	if !ok || w.ended() {
		return nil, cranfault.New(cranfault.Invalid, "check the id against the list of waves", "no wave %d in progress", id)
	}
	return w, nil
}

func (c *applyContext) resumeWave(e WaveResumed) *cranfault.Fault {
	w, fault := c.findWave(e.Wave)
	if fault != nil {
		return fault
	}
	if w.phase != WavePhaseHalted {
		return cranfault.New(cranfault.Conflict, "nothing is left to do", "wave %d is %s", w.id, w.phase)
	}
	w.failures = 0
	w.phase = WavePhaseActive
	c.emit(WaveChanged{Wave: w.id, Phase: w.phase})
	return nil
}

func (c *applyContext) cancelWave(e WaveCancelled) *cranfault.Fault {
	w, fault := c.findWave(e.Wave)
	if fault != nil {
		return fault
	}
	c.uncordonWave(w)
	w.phase = WavePhaseCancelled
	clear(w.pending)
	c.emit(WaveChanged{Wave: w.id, Phase: w.phase})
	return nil
}

// startInWave moves a pending instance of the wave with the id to the active
// ones, or returns a fault if the wave may not stop it now. It does nothing if
// the id is zero.
func (c *applyContext) startInWave(in *instance, id uint64) *cranfault.Fault {
	if id == 0 {
		return nil
	}
	w, fault := c.findWave(id)
	if fault != nil {
		return fault
	}
	if w.phase == WavePhaseHalted {
		return cranfault.New(cranfault.WaveHalted, "find out why instances failed, then resume or cancel the wave",
			"wave %d halted after %d failures", w.id, w.failures)
	}
	if !w.pending[in.id] {
		return cranfault.New(cranfault.Conflict, "nothing is left to do", "instance %q is not pending in wave %d", in.id, w.id)
	}
	delete(w.pending, in.id)
	w.active[in.id] = true
	return nil
}

// finishInWave counts an instance that returned to service as done in the wave
// that rebooted it.
func (c *applyContext) finishInWave(in *instance) {
	w, ok := c.waves[in.wave]
	in.wave = 0
	if !ok || !w.active[in.id] {
		return
	}
	delete(w.active, in.id)
	w.done[in.id] = true
}

// requeueInWave makes an instance whose stop was cancelled pending again in its
// wave.
func (c *applyContext) requeueInWave(in *instance) {
	w, ok := c.waves[in.stop.wave]
	if !ok || !w.active[in.id] {
		return
	}
	delete(w.active, in.id)
	w.pending[in.id] = true
}

// failInWave counts an outage of an instance as a failure in every wave that
// covers it, whether or not the wave has already rebooted it: failures during a
// wave tend to be correlated.
func (c *applyContext) failInWave(in *instance) {
	for _, w := range c.wavesCovering(in) {
		w.failures++
		w.remove(in.id)
		w.failed[in.id] = true
	}
	in.wave = 0
}

// dropFromWaves removes an instance that the platform is removing from every
// wave. This does not count as a failure.
func (c *applyContext) dropFromWaves(in *instance) {
	for _, w := range c.wavesCovering(in) {
		w.remove(in.id)
	}
	in.wave = 0
}

// wavesCovering returns the waves in progress that cover an instance.
func (c *applyContext) wavesCovering(in *instance) []*wave {
	var list []*wave
	for _, id := range sortedKeys(c.waves) {
		if w := c.waves[id]; !w.ended() && w.covers(in.id) {
			list = append(list, w)
		}
	}
	return list
}

func (w *wave) remove(id string) {
	delete(w.active, id)
	delete(w.pending, id)
	delete(w.done, id)
}

func (w *wave) covers(id string) bool {
	return w.pending[id] || w.active[id] || w.done[id]
}

// updateWaves fails overdue instances, halts waves with too many failures, and
// ends waves that have no instance left to reboot.
func (c *applyContext) updateWaves() {
	for _, id := range sortedKeys(c.waves) {
		w := c.waves[id]
		if w.ended() {
			continue
		}
		c.failOverdue(w)
		if w.phase == WavePhaseActive && w.failures > w.maxFailures {
			c.haltWave(w)
		}
		if w.phase == WavePhaseActive && len(w.pending) == 0 && len(w.active) == 0 {
			w.phase = WavePhaseDone
			c.emit(WaveChanged{Wave: w.id, Phase: w.phase})
		}
	}
	c.pruneEndedWaves()
}

// failOverdue counts the active instances of a wave that have been stopping or
// returning for longer than returnTimeoutMs as failed.
func (c *applyContext) failOverdue(w *wave) {
	for _, id := range sortedKeys(w.active) {
		in := c.instances[id]
		stoppingOrReturning := in.phase == PhaseReturning || in.phase == PhaseStopping
		if stoppingOrReturning && c.nowMs-in.sinceMs > returnTimeoutMs {
			c.failInWave(in)
		}
	}
}

func (c *applyContext) haltWave(w *wave) {
	w.phase = WavePhaseHalted
	c.uncordonWave(w)
	c.emit(WaveChanged{Wave: w.id, Phase: w.phase})
}

// uncordonWave returns the cordoned instances of a halted or cancelled wave to
// service. The cause that it reports is waveHalted in both cases.
func (c *applyContext) uncordonWave(w *wave) {
	for _, id := range sortedKeys(w.active) {
		if in := c.instances[id]; in.phase == PhaseCordoned {
			c.uncordon(in, "waveHalted")
		}
	}
}

// pruneEndedWaves removes all but the most recent maxEndedWaves ended waves.
func (c *applyContext) pruneEndedWaves() {
	var ended []uint64
	for _, id := range sortedKeys(c.waves) {
		if c.waves[id].ended() {
			ended = append(ended, id)
		}
	}
	for len(ended) > maxEndedWaves {
		delete(c.waves, ended[0])
		ended = ended[1:]
	}
}
