// Command cranmeasure measures the performance of parts of the system. The subcommands slots,
// waves and overload run the real decision code on a seeded workload in virtual time and print the
// figures next to their baselines. The subcommand capacity measures costs in real time.
package main

import "github.com/alecthomas/kong"

// commands holds the subcommands. Each has its own file.
type commands struct {
	Slots    slotsCommand    `cmd:"" help:"Measure how entries share the slots of targets."`
	Capacity capacityCommand `cmd:"" help:"Measure the figures of docs/CAPACITY.md; takes some minutes of real time."`
	Waves    wavesCommand    `cmd:"" help:"Measure the makespan of maintenance waves."`
	Overload overloadCommand `cmd:"" help:"Measure the goodput of the job service while callers send more than it can serve."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("cranmeasure"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
