package main

import "github.com/cranberrypick/cranberrypick/internal/cranwavesim"

// wavesCommand runs a round of maintenance over each fleet, with one wave a
// pool and with one wave over all pools.
type wavesCommand struct {
	Fleet          []string `default:"small,large" enum:"small,large" help:"Fleets: small (50 instances in 5 pools), large (7,900 in 359)."`
	Waves          []string `default:"pool,one" enum:"pool,one" help:"One wave a pool, or one wave over all pools."`
	Failure        []string `default:"none,rack" enum:"none,rack" help:"What fails in the midst: nothing, or a rack of four."`
	MaxParallel    []int    `default:"4,1000" help:"Stops of one wave at once."`
	MaxUnavailable int      `default:"2" help:"Budget of each pool."`
	MaxFailures    int      `default:"2" help:"Failures that a wave bears."`
	Seed           uint64   `default:"1" help:"Seed of drain and reboot times."`
	Parallel       int      `default:"3" help:"Runs at a time."`
	form
}

// Run measures and prints.
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
