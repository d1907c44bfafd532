package crannode

import (
	"runtime/metrics"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
)

const (
	// lagInterval is how often the lag of a process is measured.
	lagInterval = 250 * time.Millisecond
	// lagQuantile is the share of the goroutines that waited for the processor no longer than the lag.
	lagQuantile = 0.9
	// maxLag is the lag above which an interval counts as late. If there are maxLateIntervals more of
	// them than of others, the owner counts as stalled: the scheduler's ticks may be in time while
	// responses wait to be read.
	maxLag           = 250 * time.Millisecond
	maxLateIntervals = 12
	// maxSmallLag is the same as maxLag for a process with less capacity than a shard takes, which owns
	// the shard since others couldn't claim it. An owner with enough of it lags by less than 30 ms.
	maxSmallLag = 50 * time.Millisecond
	// minLagSamples is the number of goroutines that an interval must have to count.
	minLagSamples = 20
)

// LagMeter measures how long goroutines that are ready wait for the processor. Create one with NewLagMeter.
type LagMeter struct {
	sample []metrics.Sample
	// counts is the histogram of the waits at the last measurement; nil before the first.
	counts []uint64
}

// NewLagMeter returns a meter of this process.
func NewLagMeter() *LagMeter {
	return &LagMeter{sample: []metrics.Sample{{Name: "/sched/latencies:seconds"}}}
}

// Measure returns how long a tenth of the goroutines have waited at least since the last measurement.
func (m *LagMeter) Measure() time.Duration {
	metrics.Read(m.sample)
	h := m.sample[0].Value.Float64Histogram()
	since := slices.Clone(h.Counts)
	for i, n := range m.counts {
		since[i] -= n
	}
	isFirst := m.counts == nil
	m.counts = append(m.counts[:0], h.Counts...)
	if isFirst {
		return 0
	}
	return quantile(since, h.Buckets)
}

// quantile returns the wait that all but lagQuantile of the goroutines have reached, rounded down to a bound
// of the histogram's buckets, which are in seconds; 0 if there are too few goroutines.
func quantile(counts []uint64, bounds []float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total < minLagSamples {
		return 0
	}
	sum := uint64(0)
	for i, n := range counts {
		sum += n
		if float64(sum) >= lagQuantile*float64(total) {
			// The first bound may be minus infinity, the last one plus infinity.
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
	}
	return 0
}

// measureLag measures the lag of the process and passes it to the owners of shards.
func (c *control) measureLag(now time.Duration) {
	n := c.node
	if n.measureLag == nil || now-c.lagMeasuredAt < lagInterval {
		return
	}
	c.lagMeasuredAt = now
	c.lag = n.measureLag()
	n.metrics.Lagged(c.lag)
	for _, s := range n.shards {
		if s.owner != nil && s.owner.scheduler != nil {
			s.owner.observeLag(c.lag)
		}
	}
}

// lagLimit returns the lag above which an owner is too slow.
func (n *Node) lagLimit() time.Duration {
	if n.capacityDelay() > 0 {
		return maxSmallLag
	}
	return maxLag
}

// observeLag passes the lag of the process to the scheduler, and counts the intervals in which it is too
// long.
func (o *ownership) observeLag(lag time.Duration) {
	n := o.shard.node
	o.scheduler.SetLag(lag)
	if lag <= n.lagLimit() {
		o.lateIntervals = max(o.lateIntervals-1, 0)
		return
	}
	o.lateIntervals++
	n.log.Emit(cranevent.SchedulerLags, cranevent.Shard(o.shard.name), cranevent.Elapsed(lag))
}
