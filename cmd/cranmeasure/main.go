// Command cranmeasure measures the decisions of the system: each subcommand
// runs the real decision code on a seeded workload in virtual time and prints
// figures beside their baselines.
package main

import "github.com/alecthomas/kong"

// commands are the subcommands, one file each.
type commands struct {
	Slots    slotsCommand    `cmd:"" help:"Measure how entries share the slots of targets."`
	Capacity capacityCommand `cmd:"" help:"Measure the slopes of docs/CAPACITY.md; takes some minutes of real time."`
	Waves    wavesCommand    `cmd:"" help:"Measure the makespan of maintenance waves."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("cranmeasure"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
