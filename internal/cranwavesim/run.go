package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// startMs is the virtual time at which the simulation starts.
const startMs = 1_000_000

// maxLowerBounds is the maximum makespan as a multiple of the lower bound. A longer run is
// considered stuck. Run allows one more hour for halts.
const maxLowerBounds = 10

// Run simulates the maintenance of all instances and returns the figures.
func Run(s Settings) (Result, error) {
	if err := s.validate(); err != nil {
		return Result{}, err
	}
	sim := newSimulation(s)
	if err := sim.build(); err != nil {
		return Result{}, err
	}
	bound, limitedBy := s.lowerBoundMs()
	sim.result.Settings, sim.result.LowerBoundMs, sim.result.LimitedBy = s, int64(bound), limitedBy
	sim.result.startMs = sim.Now()
	sim.openWaves = 1
	if !s.OneWave {
		sim.openWaves = s.Pools
	}
	sim.proposeWaves()
	for m := range memberCount {
		sim.Schedule(sim.Now()+int64(m)*heartbeatMs/memberCount, func() { sim.sendHeartbeat(m) })
	}
	if s.Fail {
		sim.Schedule(sim.Now()+int64(bound/2), sim.failRack)
	}
	return sim.finish(sim.Now() + int64(maxLowerBounds*bound) + 3_600_000)
}

// finish runs the simulation until all waves have ended and completes the result.
func (sim *simulation) finish(endMs int64) (Result, error) {
	for sim.openWaves > 0 && sim.journal.err == nil && sim.Now() < endMs && sim.RunNext() {
	}
	if sim.journal.err != nil {
		return sim.result, sim.journal.err
	}
	if sim.openWaves > 0 {
		return sim.result, cranfault.New(cranfault.NotReady, "check the waves that have not ended",
			"%d waves did not end within %d s", sim.openWaves, (endMs-startMs)/1000)
	}
	r := sim.result
	r.MakespanMs = sim.Now() - r.startMs
	r.Ratio = float64(r.MakespanMs) / float64(r.LowerBoundMs)
	r.SampledRatio = float64(r.MakespanMs) / sim.sampledLowerBoundMs()
	r.Refused = sim.journal.refused
	r.Transitions, r.BudgetBreaches = sim.budget.transitions, sim.budget.breaches
	return r, nil
}

// sampledLowerBoundMs returns the lower bound of the makespan for the drain and reboot times
// that were drawn.
func (sim *simulation) sampledLowerBoundMs() float64 {
	var longest, sum int64
	for _, ms := range sim.sampledCycleMs {
		longest = max(longest, ms)
		sum += ms
	}
	wave := longest
	if sim.settings.OneWave {
		wave = sum
	}
	return max(float64(longest)/float64(sim.settings.MaxUnavailable), float64(wave)/float64(sim.settings.MaxParallel))
}
