package crandemo

import (
	"slices"

	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// idleInstanceSeconds sums over time the available instances above the wanted
// sizes of their pools. The spare pool wants none.
func idleInstanceSeconds(l ledgers, t timeline) float64 {
	moments := idleMoments(l)
	var idleMs int64
	for n := 1; n < len(moments); n++ {
		from, to := moments[n-1], moments[n]
		idleMs += (to - from) * int64(l.idleAt(t, from))
	}
	return float64(idleMs) / 1000
}

// idleMoments returns when the number of idle instances may change, in
// milliseconds since the epoch, in order.
func idleMoments(l ledgers) []int64 {
	start, end := l.start.UnixMilli(), l.end.UnixMilli()
	moments := []int64{start, end}
	add := func(ms int64) {
		if start < ms && ms < end {
			moments = append(moments, ms)
		}
	}
	for _, a := range l.actions {
		add(a.AtMs)
		add(a.DoneMs)
	}
	for _, p := range l.publications {
		add(p.accepted.UnixMilli())
	}
	slices.Sort(moments)
	return slices.Compact(moments)
}

// idleAt returns how many instances are idle at a moment.
func (l ledgers) idleAt(t timeline, atMs int64) int {
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

// configAt returns the configuration accepted last before a moment, or nil.
func (l ledgers) configAt(atMs int64) *cranfleet.Config {
	var config *cranfleet.Config
	for _, p := range l.publications {
		if p.accepted.UnixMilli() <= atMs {
			config = p.config
		}
	}
	return config
}
