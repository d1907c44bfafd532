package crandemo

import (
	"slices"

	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// idleInstanceSeconds sums over time the available instances beyond the configured sizes of
// their pools. The configured size of the spare pool is 0.
func idleInstanceSeconds(l ledgers, t timeline) float64 {
	timesMs := idleChangeTimes(l)
	var idleMs int64
	for n := 1; n < len(timesMs); n++ {
		from, to := timesMs[n-1], timesMs[n]
		idleMs += (to - from) * int64(l.idleInstancesAt(t, from))
	}
	return float64(idleMs) / 1000
}

// idleChangeTimes returns the times at which the number of idle instances may change, sorted,
// in milliseconds since the Unix epoch.
func idleChangeTimes(l ledgers) []int64 {
	start, end := l.start.UnixMilli(), l.end.UnixMilli()
	timesMs := []int64{start, end}
	add := func(ms int64) {
		if start < ms && ms < end {
			timesMs = append(timesMs, ms)
		}
	}
	for _, a := range l.actions {
		add(a.AtMs)
		add(a.DoneMs)
	}
	for _, p := range l.publications {
		add(p.acceptedAt.UnixMilli())
	}
	slices.Sort(timesMs)
	return slices.Compact(timesMs)
}

// idleInstancesAt returns how many instances are idle at a time.
func (l ledgers) idleInstancesAt(t timeline, atMs int64) int {
	config := l.configAt(atMs)
	if config == nil {
		return 0
	}
	n := 0
	for _, p := range config.Pools() {
		n += max(t.count(p.Name(), atMs)-p.Instances(), 0)
	}
	return n
}

// configAt returns the last configuration that was accepted by the given time, or nil.
func (l ledgers) configAt(atMs int64) *cranfleet.Config {
	var config *cranfleet.Config
	for _, p := range l.publications {
		if p.acceptedAt.UnixMilli() <= atMs {
			config = p.config
		}
	}
	return config
}
