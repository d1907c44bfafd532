package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// Times of the model, in milliseconds of virtual time.
const (
	// meanDrainMs is the mean of the exponential drain of an instance.
	meanDrainMs = 2000
	// minRebootMs and maxRebootMs bound the uniform time of a reboot.
	minRebootMs = 45_000
	maxRebootMs = 75_000
	// listLagMs is how late the platform's list shows a reboot.
	listLagMs = 1000
	// roundMs is the interval of the performer's rounds.
	roundMs = 200
	// beatMs is the interval of a member's heartbeats.
	beatMs = 1000
	// leaseMs is the members' lease.
	leaseMs = 4000
	// memberCount is how many entries have to report a drain.
	memberCount = 3
	// rackSize is the number of instances in a failure domain.
	rackSize = 4
	// repairMs is how long a failed rack stays unhealthy.
	repairMs = 120_000
	// resumeMs is how long after the halt the operator resumes the wave.
	resumeMs = 300_000
	// cycleMs is the mean of drain, reboot and return.
	cycleMs = meanDrainMs + (minRebootMs+maxRebootMs)/2 + listLagMs
)

// Settings are those of one run.
type Settings struct {
	// Instances and Pools are the size of the fleet; the last pool takes what
	// does not divide.
	Instances, Pools int
	// MaxUnavailable is the budget of each pool's service.
	MaxUnavailable int
	// MaxParallel bounds the stops of one wave at once.
	MaxParallel int
	// OneWave covers all pools with one wave instead of one wave a pool.
	OneWave bool
	// Fail makes a rack unhealthy in the midst of the round.
	Fail bool
	// MaxFailures is how many failures a wave bears.
	MaxFailures int
	// Seed is that of the generator.
	Seed uint64
}

func (s Settings) check() error {
	if s.Pools < 1 || s.Instances < s.Pools || s.MaxUnavailable < 1 || s.MaxParallel < 1 || s.MaxFailures < 0 {
		return cranfault.New(cranfault.Invalid, "give at least one pool, instance a pool, budget and stop at once",
			"%d instances in %d pools, %d unavailable, %d at once, %d failures",
			s.Instances, s.Pools, s.MaxUnavailable, s.MaxParallel, s.MaxFailures)
	}
	return nil
}

// poolOf returns the index of an instance's pool.
func (s Settings) poolOf(i int) int { return min(i/(s.Instances/s.Pools), s.Pools-1) }

// sizeOf returns the number of instances of a pool.
func (s Settings) sizeOf(pool int) int {
	each := s.Instances / s.Pools
	if pool == s.Pools-1 {
		return s.Instances - each*(s.Pools-1)
	}
	return each
}

// boundMs returns the lower bound of the makespan and what sets it.
func (s Settings) boundMs() (float64, string) {
	most := 0
	for p := range s.Pools {
		most = max(most, s.sizeOf(p))
	}
	budget := float64(most) * cycleMs / float64(s.MaxUnavailable)
	wave := most
	if s.OneWave {
		wave = s.Instances
	}
	parallel := float64(wave) * cycleMs / float64(s.MaxParallel)
	if parallel > budget {
		return parallel, "maxParallel"
	}
	return budget, "budget"
}
