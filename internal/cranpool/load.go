package cranpool

import "math"

// Load is a constant use of resources, in thousandths of a core and in MB.
type Load struct{ CPU, Memory float64 }

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load { return Load{l.CPU + o.CPU, l.Memory + o.Memory} }

// Times returns the load multiplied by a factor.
func (l Load) Times(factor float64) Load { return Load{factor * l.CPU, factor * l.Memory} }

// max returns the larger part of each resource.
func (l Load) max(o Load) Load { return Load{max(l.CPU, o.CPU), max(l.Memory, o.Memory)} }

// instances returns how many instances of a capacity the load fills.
func (l Load) instances(capacity Load) float64 {
	return max(l.CPU/(UsableShare*capacity.CPU), l.Memory/(UsableShare*capacity.Memory))
}

// Demand is the load that the jobs of a pool ask for.
type Demand struct {
	// LongRunning is the load of long-running tasks, Urgent the load that the other tasks need now to
	// complete in time, and Expected the forecast load of arriving jobs. Late is the load of tasks that
	// can't complete in time any more.
	LongRunning, Urgent, Expected, Late Load
	// MinInstances is the number of instances needed to spread the tasks of a step.
	MinInstances int
}

// instances returns the number of instances that a demand needs, with the given part of its late work.
func (d *Demand) instances(capacity, late Load) int {
	if capacity.CPU == 0 || capacity.Memory == 0 {
		return spareInstances
	}
	load := d.LongRunning.Plus(d.Urgent.Plus(late).max(d.Expected))
	return max(int(math.Ceil(load.instances(capacity)))+spareInstances, d.MinInstances)
}
