package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// Parameters of the simulation. Times are in milliseconds of virtual time.
const (
	// meanDrainMs is the mean of the exponentially distributed drain time of an instance.
	meanDrainMs = 2000
	// minRebootMs and maxRebootMs are the limits of the uniformly distributed reboot time.
	minRebootMs = 45_000
	maxRebootMs = 75_000
	// listDelayMs is the delay after which the platform's list shows a completed reboot.
	listDelayMs = 1000
	// roundMs is the interval of the rounds in which the lease holder proposes stops
	// and reports observations.
	roundMs = 200
	// heartbeatMs is the interval between the heartbeats of a member.
	heartbeatMs = 1000
	// leaseMs is the duration of the members' leases.
	leaseMs = 4000
	// memberCount is the number of entries, all of which must report that a stop has
	// drained.
	memberCount = 3
	// rackSize is the number of instances in a failure domain.
	rackSize = 4
	// repairMs is the time from the failure of a rack until its instances are healthy again.
	repairMs = 120_000
	// resumeMs is the time from the halt of a wave until the operator resumes it.
	resumeMs = 300_000
	// meanCycleMs is the mean time of drain, reboot and return to service.
	meanCycleMs = meanDrainMs + (minRebootMs+maxRebootMs)/2 + listDelayMs
)

// Settings holds the parameters of one run.
type Settings struct {
	// Instances and Pools are the numbers of instances and pools of the fleet. The last pool
	// also gets the remainder of the division.
	Instances, Pools int
	// MaxUnavailable is the availability budget of each pool's service.
	MaxUnavailable int
	// MaxParallel is the maximum number of concurrent stops of one wave.
	MaxParallel int
	// OneWave starts one wave over all pools instead of one wave per pool.
	OneWave bool
	// Fail makes a rack unhealthy after half of the lower bound has passed.
	Fail bool
	// MaxFailures is how many failures a wave tolerates before it halts.
	MaxFailures int
	// Seed is the seed of the random generator of drain and reboot times.
	Seed uint64
}

// validate returns a fault if a setting is out of range.
func (s Settings) validate() error {
	if s.Pools < 1 || s.Instances < s.Pools || s.MaxUnavailable < 1 || s.MaxParallel < 1 || s.MaxFailures < 0 {
		return cranfault.New(cranfault.Invalid, "set at least one pool, one instance per pool, one unavailable instance and one concurrent stop",
			"invalid settings: %d instances in %d pools, %d unavailable, %d concurrent stops, %d failures",
			s.Instances, s.Pools, s.MaxUnavailable, s.MaxParallel, s.MaxFailures)
	}
	return nil
}

// poolIndex returns the index of the pool of the i-th instance.
func (s Settings) poolIndex(i int) int { return min(i/(s.Instances/s.Pools), s.Pools-1) }

// poolSize returns the number of instances of a pool.
func (s Settings) poolSize(pool int) int {
	each := s.Instances / s.Pools
	if pool == s.Pools-1 {
		return s.Instances - each*(s.Pools-1)
	}
	return each
}

// lowerBoundMs returns the lower bound of the makespan and the setting that determines it.
func (s Settings) lowerBoundMs() (float64, string) {
	largest := 0
	for p := range s.Pools {
		largest = max(largest, s.poolSize(p))
	}
	budget := float64(largest) * meanCycleMs / float64(s.MaxUnavailable)
	waveInstances := largest
	if s.OneWave {
		waveInstances = s.Instances
	}
	parallel := float64(waveInstances) * meanCycleMs / float64(s.MaxParallel)
	if parallel > budget {
		return parallel, "maxParallel"
	}
	return budget, "budget"
}
