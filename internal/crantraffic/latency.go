package crantraffic

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the learned service times.
const (
	latencyTurn     = 30 * time.Second // age at which times begin to be forgotten
	shortestTime    = time.Microsecond // shortest time told apart
	longestTime     = time.Hour        // longer times count as this
	latencyDigits   = 2                // significant decimal digits
	latencySamples  = 20               // fewer say nothing
	latencyRefresh  = 32               // samples between two estimates
	silentFactor    = 3                // header timeout, in 99th percentiles
	minSilentTime   = 100 * time.Millisecond
	highPercentile  = 99
	halfPercentile  = 50
	silentTimeGrows = 2 // a timeout counts as a time this many times longer
)

// latency learns how long a service's requests run at its targets. It keeps
// two histograms, of which the older is asked; at each turn the older is
// emptied and becomes the younger, so that old times are forgotten.
type latency struct {
	older, younger *hdrhistogram.Histogram // both record every sample
	turned         time.Time               // the last turn
	current        estimate
	stale          int // samples since current was computed
}

// estimate is what is known of a service's times.
type estimate struct {
	known  bool // false: too few samples, and the rest is zero
	mean   time.Duration
	median time.Duration
	high   time.Duration // 99th percentile
}

func newLatency(now time.Time) *latency {
	return &latency{older: newTimes(), younger: newTimes(), turned: now}
}

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(shortestTime/time.Microsecond), int64(longestTime/time.Microsecond), latencyDigits)
}

// record learns one time.
func (l *latency) record(d time.Duration, now time.Time) {
	us := int64(min(max(d, shortestTime), longestTime) / time.Microsecond)
	_ = l.older.RecordValue(us)
	_ = l.younger.RecordValue(us)
	l.stale++
	if now.Sub(l.turned) >= latencyTurn && l.younger.TotalCount() >= latencySamples {
		l.older.Reset()
		l.older, l.younger = l.younger, l.older
		l.turned = now
		l.stale = latencyRefresh
	}
	if l.stale >= latencyRefresh || !l.current.known {
		l.refresh()
	}
}

func (l *latency) refresh() {
	l.stale = 0
	if l.older.TotalCount() < latencySamples {
		l.current = estimate{}
		return
	}
	l.current = estimate{
		known:  true,
		mean:   time.Duration(l.older.Mean()) * time.Microsecond,
		median: time.Duration(l.older.ValueAtQuantile(halfPercentile)) * time.Microsecond,
		high:   time.Duration(l.older.ValueAtQuantile(highPercentile)) * time.Microsecond,
	}
}

// estimate returns what is known.
func (l *latency) estimate() estimate { return l.current }

// silentAfter returns how long an answer's header may take before the
// connection is held to be silent.
func (e estimate) silentAfter(maxDuration time.Duration) time.Duration {
	if !e.known {
		return maxDuration
	}
	return min(max(silentFactor*e.high, minSilentTime), maxDuration)
}
