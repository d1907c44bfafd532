package main

import "github.com/cranberrypick/cranberrypick/internal/cranslotsim"

// slotsCommand simulates every combination of its list flags. Times are in mean service times.
type slotsCommand struct {
	Load     []float64 `default:"0.5,0.8,0.9,0.95" help:"Loads as shares of the capacity of all slots."`
	Entries  []int     `default:"9" help:"Numbers of entries."`
	Service  []string  `default:"exponential,heavy" help:"Service time distributions: exponential, heavy."`
	Scheme   []string  `default:"pooled,own,forward,choices,lending" help:"Schemes: pooled, own, forward, choices, lending."`
	Targets  int       `default:"10" help:"Number of targets."`
	Slots    int       `default:"8" help:"Slots of each target."`
	Hop      float64   `default:"0.01" help:"Delay of a message between entries."`
	Loss     float64   `default:"0" help:"Share of messages between entries that are lost."`
	Interval float64   `default:"0.1" help:"Time between two batches of messages of an entry."`
	Stale    float64   `default:"1" help:"Time between two exchanges of free slot counts in the forward scheme."`
	Duration float64   `default:"6000" help:"Time in which requests arrive."`
	FailFast bool      `help:"Make the first target fail every request almost immediately."`
	Surge    bool      `help:"Make requests arrive in surges of five times the mean rate."`
	Seed     uint64    `default:"1" help:"Seed of the workload."`
	Parallel int       `default:"3" help:"Number of runs at the same time."`
	form
}

// Run runs the simulations and prints their results.
func (c *slotsCommand) Run() error {
	results, err := runAll(c.settings(), c.Parallel, cranslotsim.Run)
	if err != nil {
		return err
	}
	return write(c.form, results, cranslotsim.Print)
}

// settings returns the settings of all runs, in the order of the report.
func (c *slotsCommand) settings() []cranslotsim.Settings {
	base := cranslotsim.Settings{
		Targets: c.Targets, Slots: c.Slots, Hop: c.Hop, Loss: c.Loss,
		Interval: c.Interval, ExchangeInterval: c.Stale, Duration: c.Duration,
		FailFast: c.FailFast, Surge: c.Surge, Seed: c.Seed,
	}
	var list []cranslotsim.Settings
	for _, service := range c.Service {
		for _, load := range c.Load {
			for _, entries := range c.Entries {
				for _, scheme := range c.Scheme {
					s := base
					s.Service, s.Load, s.Entries, s.Scheme = service, load, entries, scheme
					list = append(list, s)
				}
			}
		}
	}
	return list
}
