package crantraffic

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency estimate.
const (
	latencyRotation       = 30 * time.Second // shortest time between two rotations of the histograms
	minLatency            = time.Microsecond // resolution of the histograms
	maxLatency            = time.Hour        // longer latencies count as this
	latencyDigits         = 2                // significant decimal digits
	minLatencySamples     = 20               // with fewer samples there is no estimate
	latencyRefreshSamples = 32               // samples between two updates of the estimate
	silenceTimeoutFactor  = 3                // silence timeout as a multiple of the 99th percentile
	minSilenceTimeout     = 100 * time.Millisecond
	highPercentile        = 99
	medianPercentile      = 50
	timeoutLatencyFactor  = 2 // a silent attempt counts as a latency of this many times its duration
)

// latencyStats estimates how long the requests of a service run at its
// targets. It keeps two histograms and computes the estimate from the older
// one. At each rotation the older histogram is emptied and becomes the younger
// one, so that old samples expire.
type latencyStats struct {
	older, younger *hdrhistogram.Histogram // both record every sample
	rotated        time.Time               // time of the last rotation
	current        latencyEstimate
	unrefreshed    int // samples since current was computed
}

// latencyEstimate is the estimated latency of a service.
type latencyEstimate struct {
	known  bool // false: there are too few samples, and the other fields are zero
	mean   time.Duration
	median time.Duration
	p99    time.Duration // 99th percentile
}

func newLatencyStats(now time.Time) *latencyStats {
	return &latencyStats{older: newHistogram(), younger: newHistogram(), rotated: now}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency/time.Microsecond), int64(maxLatency/time.Microsecond), latencyDigits)
}

// record adds one sample.
func (l *latencyStats) record(d time.Duration, now time.Time) {
	us := int64(min(max(d, minLatency), maxLatency) / time.Microsecond)
	_ = l.older.RecordValue(us)
	_ = l.younger.RecordValue(us)
	l.unrefreshed++
	if now.Sub(l.rotated) >= latencyRotation && l.younger.TotalCount() >= minLatencySamples {
		l.older.Reset()
		l.older, l.younger = l.younger, l.older
		l.rotated = now
		l.unrefreshed = latencyRefreshSamples
	}
	if l.unrefreshed >= latencyRefreshSamples || !l.current.known {
		l.refresh()
	}
}

func (l *latencyStats) refresh() {
	l.unrefreshed = 0
	if l.older.TotalCount() < minLatencySamples {
		l.current = latencyEstimate{}
		return
	}
	l.current = latencyEstimate{
		known:  true,
		mean:   time.Duration(l.older.Mean()) * time.Microsecond,
		median: time.Duration(l.older.ValueAtQuantile(medianPercentile)) * time.Microsecond,
		p99:    time.Duration(l.older.ValueAtQuantile(highPercentile)) * time.Microsecond,
	}
}

// estimate returns the current estimate.
func (l *latencyStats) estimate() latencyEstimate { return l.current }

// silenceTimeout returns how long to wait for an answer before the connection is
// considered silent.
func (e latencyEstimate) silenceTimeout(maxDuration time.Duration) time.Duration {
	if !e.known {
		return maxDuration
	}
	return min(max(silenceTimeoutFactor*e.p99, minSilenceTimeout), maxDuration)
}
