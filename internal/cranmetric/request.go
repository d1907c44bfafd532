package cranmetric

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Outcome is the outcome of a request as reported to the caller.
type Outcome string

// Outcomes of a request: a target responded to it, it was certainly not run, or it may
// have been run.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

var outcomes = []Outcome{Answered, NotRun, Unknown}

// requestSeconds holds the upper bounds of the histogram buckets for request durations,
// up to the longest request that a configuration may allow.
var requestSeconds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 600}

// requestMetrics counts requests by service. The series of a service are created when
// the configuration with the service comes into force. Counting therefore needs no
// lookup of labels, and a request that ends after its service was dropped creates no
// series.
type requestMetrics struct {
	total   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	// others counts the requests to services that are not in force.
	others *serviceMetrics
	// mu serializes the creation and removal of series.
	mu sync.Mutex
	// inForce maps the name of a service in force to its series. The map is replaced
	// and never modified.
	inForce atomic.Pointer[map[string]*serviceMetrics]
}

// serviceMetrics holds the series of one service.
type serviceMetrics struct {
	total   map[Outcome]prometheus.Counter
	seconds prometheus.Observer
}

func newRequestMetrics(b builder) *requestMetrics {
	r := &requestMetrics{
		total:   b.counters("requests_total", "Requests by service and what the caller was told.", "service", "outcome"),
		seconds: b.histograms("request_seconds", "Time from a request's arrival to its outcome.", requestSeconds, "service"),
	}
	r.others = r.series(other)
	r.inForce.Store(&map[string]*serviceMetrics{})
	return r
}

// series creates the series of a service.
func (r *requestMetrics) series(service string) *serviceMetrics {
	s := &serviceMetrics{total: make(map[Outcome]prometheus.Counter, len(outcomes)), seconds: r.seconds.WithLabelValues(service)}
	for _, o := range outcomes {
		s.total[o] = r.total.WithLabelValues(service, string(o))
	}
	return s
}

// forService returns the series of a service in force, or else those of "other".
func (r *requestMetrics) forService(service string) *serviceMetrics {
	if s, ok := (*r.inForce.Load())[service]; ok {
		return s
	}
	return r.others
}

// count counts an outcome. A value that is not declared as an Outcome is counted as
// Unknown.
func (r *requestMetrics) count(service string, outcome Outcome) {
	s := r.forService(service)
	counter, ok := s.total[outcome]
	if !ok {
		counter = s.total[Unknown]
	}
	counter.Inc()
}

func (r *requestMetrics) observe(service string, duration time.Duration) {
	r.forService(service).seconds.Observe(duration.Seconds())
}

// setServices creates the series of new services and removes those of services that are
// no longer in force.
func (r *requestMetrics) setServices(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := *r.inForce.Load()
	next := make(map[string]*serviceMetrics, len(names))
	for _, name := range names {
		if name == other {
			continue
		}
		if s, ok := previous[name]; ok {
			next[name] = s
			continue
		}
		next[name] = r.series(name)
	}
	r.inForce.Store(&next)
	for name := range previous {
		if _, ok := next[name]; !ok {
			r.total.DeletePartialMatch(prometheus.Labels{"service": name})
			r.seconds.DeleteLabelValues(name)
		}
	}
}
