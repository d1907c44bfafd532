package cranwavesim

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Result holds the figures of one run. Times are virtual milliseconds since the start of the
// waves.
type Result struct {
	Settings     Settings `json:"settings"`
	MakespanMs   int64    `json:"makespanMs"`
	LowerBoundMs int64    `json:"boundMs"`
	// LimitedBy names the setting that determines the lower bound: budget or maxParallel.
	LimitedBy string `json:"boundBy"`
	// Ratio is the makespan divided by the lower bound.
	Ratio float64 `json:"ratio"`
	// SampledRatio is the makespan divided by the lower bound for the drain and reboot times
	// that the generator drew in this run. Even a policy that knows these times in advance
	// cannot get below that bound.
	SampledRatio float64 `json:"drawnRatio"`
	Reboots      int     `json:"reboots"`
	Refused      int     `json:"refused"`
	MaxActive    int     `json:"mostActive"`
	// SlowestCallMs is the duration of the longest call of the policy in real time.
	SlowestCallMs float64 `json:"slowestCallMs"`
	// Transitions counts the transitions of instances. Those that are planned steps are
	// checked against the availability budgets.
	Transitions int `json:"checks"`
	// BudgetBreaches counts planned steps that breached the availability budget of a pool.
	BudgetBreaches int   `json:"broken"`
	FailedMs       int64 `json:"failedMs"`
	Halts          int   `json:"halts"`
	HaltedMs       int64 `json:"haltedMs"`
	// ActiveAtHalt is how many stops of the wave were in progress at its last halt.
	ActiveAtHalt int `json:"activeAtHalt"`
	// startMs is the virtual time at which the waves were proposed.
	startMs int64
}

// Print writes the results as a table.
func Print(out io.Writer, list []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "instances\tpools\twaves\tmaxParallel\tmakespan s\tbound s\tby\tratio\tdrawn ratio\treboots\trefused\tmost active\tslowest call ms\tfailed s\thalted s\tactive at halt\thalts\tchecks\tbudget broken")
	for _, r := range list {
		waves := "one a pool"
		if r.Settings.OneWave {
			waves = "one"
		}
		_, _ = fmt.Fprintf(t, "%d\t%d\t%s\t%d\t%.0f\t%.0f\t%s\t%.3f\t%.3f\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\n",
			r.Settings.Instances, r.Settings.Pools, waves, r.Settings.MaxParallel, seconds(r.MakespanMs), seconds(r.LowerBoundMs),
			r.LimitedBy, r.Ratio, r.SampledRatio, r.Reboots, r.Refused, r.MaxActive, r.SlowestCallMs, seconds(r.FailedMs),
			seconds(r.HaltedMs), r.ActiveAtHalt, r.Halts, r.Transitions, r.BudgetBreaches)
	}
	return t.Flush()
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }
