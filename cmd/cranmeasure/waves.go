package main

import "github.com/cranberrypick/cranberrypick/internal/cranwavesim"

// wavesCommand simulates the maintenance of each fleet, with one wave per pool and with one
// wave over all pools.
type wavesCommand struct {
	Fleet          []string `default:"small,large" enum:"small,large" help:"Fleets: small (50 instances in 5 pools), large (7,900 in 359)."`
	Waves          []string `default:"pool,one" enum:"pool,one" help:"One wave per pool, or one wave over all pools."`
	Failure        []string `default:"none,rack" enum:"none,rack" help:"What fails during the maintenance: nothing, or a rack of four instances."`
	MaxParallel    []int    `default:"4,1000" help:"Maximum number of concurrent stops of one wave."`
	MaxUnavailable int      `default:"2" help:"Availability budget of each pool: the instances that may be unavailable."`
	MaxFailures    int      `default:"2" help:"Failures that a wave tolerates before it halts."`
	Seed           uint64   `default:"1" help:"Seed of the drain and reboot times."`
	Parallel       int      `default:"3" help:"Number of runs at the same time."`
	form
}

// Run runs the simulations and prints their results.
func (c *wavesCommand) Run() error {
	results, err := runAll(c.settings(), c.Parallel, cranwavesim.Run)
	if err != nil {
		return err
	}
	return write(c.form, results, cranwavesim.Print)
}

// settings returns the settings of all runs, in the order of the report.
func (c *wavesCommand) settings() []cranwavesim.Settings {
	sizes := map[string][2]int{"small": {50, 5}, "large": {7900, 359}}
	var list []cranwavesim.Settings
	for _, fleet := range c.Fleet {
		for _, parallel := range c.MaxParallel {
			for _, failure := range c.Failure {
				for _, waves := range c.Waves {
					list = append(list, cranwavesim.Settings{
						Instances: sizes[fleet][0], Pools: sizes[fleet][1], MaxUnavailable: c.MaxUnavailable,
						MaxParallel: parallel, OneWave: waves == "one", Fail: failure == "rack",
						MaxFailures: c.MaxFailures, Seed: c.Seed,
					})
				}
			}
		}
	}
	return list
}
