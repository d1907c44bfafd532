package main

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranoverload"
)

// overloadCommand simulates a surge for each policy and factor.
type overloadCommand struct {
	Factor   []float64     `default:"0.5,0.8,1,1.25,1.5,2,2.5,3,4" help:"Offered loads as multiples of the capacity."`
	Length   time.Duration `default:"30s" help:"Length of the surge."`
	Targets  int           `default:"20" help:"Number of targets, each with room for four tasks."`
	Seed     uint64        `default:"1" help:"Seed of the jobs and delays."`
	Retries  bool          `help:"Let a caller that is refused retry up to 4 times within 3 s, after its Retry-After."`
	Plot     string        `placeholder:"FILE" help:"Write goodput over offered load to a file, whose extension (svg or png) determines the format."`
	Parallel int           `default:"3" help:"Number of runs at the same time."`
	JSON     bool          `name:"json" help:"Print the report as JSON."`
}

// Run runs the simulations, prints their results and writes the plot.
func (c *overloadCommand) Run() error {
	var settings []cranoverload.Settings
	for _, policy := range cranoverload.Policies() {
		for _, factor := range c.Factor {
			settings = append(settings, cranoverload.Settings{
				Policy: policy, Factor: factor, Length: c.Length, Targets: c.Targets, Seed: c.Seed, Retries: c.Retries,
			})
		}
	}
	results, err := runAll(settings, c.Parallel, cranoverload.Run)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := cranoverload.Plot(c.Plot, results); err != nil {
			return err
		}
	}
	report := form{Report: "text"}
	if c.JSON {
		report.Report = "json"
	}
	return write(report, results, cranoverload.Print)
}
