package cranmetric

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Outcome is what a caller was told about a request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

var outcomes = []Outcome{Answered, NotRun, Unknown}

// requestSeconds are the upper bounds of the buckets of request times, up to
// the longest request that a configuration may allow.
var requestSeconds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 600}

// requestMetrics counts requests by service. The series of a service are
// made when it comes into force, so that counting looks up no labels and a
// late count of a dropped service makes no series.
type requestMetrics struct {
	total   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	rest    *serviceMetrics
	// mu guards the making and dropping of series.
	mu sync.Mutex
	// inForce maps the services in force; the map is replaced, never changed.
	inForce atomic.Pointer[map[string]*serviceMetrics]
}

// serviceMetrics is the series of one service.
type serviceMetrics struct {
	total   map[Outcome]prometheus.Counter
	seconds prometheus.Observer
}

func newRequestMetrics(b builder) *requestMetrics {
	r := &requestMetrics{
		total:   b.counters("requests_total", "Requests by service and what the caller was told.", "service", "outcome"),
		seconds: b.histograms("request_seconds", "Time from a request's arrival to its outcome.", requestSeconds, "service"),
	}
	r.rest = r.series(other)
	r.inForce.Store(&map[string]*serviceMetrics{})
	return r
}

func (r *requestMetrics) series(service string) *serviceMetrics {
	s := &serviceMetrics{total: make(map[Outcome]prometheus.Counter, len(outcomes)), seconds: r.seconds.WithLabelValues(service)}
	for _, o := range outcomes {
		s.total[o] = r.total.WithLabelValues(service, string(o))
	}
	return s
}

func (r *requestMetrics) of(service string) *serviceMetrics {
	if s, ok := (*r.inForce.Load())[service]; ok {
		return s
	}
	return r.rest
}

// count counts an outcome; one outside the three is counted as unknown.
func (r *requestMetrics) count(service string, outcome Outcome) {
	s := r.of(service)
	counter, ok := s.total[outcome]
	if !ok {
		counter = s.total[Unknown]
	}
	counter.Inc()
}

func (r *requestMetrics) observe(service string, duration time.Duration) {
	r.of(service).seconds.Observe(duration.Seconds())
}

func (r *requestMetrics) setServices(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := *r.inForce.Load()
	next := make(map[string]*serviceMetrics, len(names))
	for _, name := range names {
		if name == other {
			continue
		}
		if s, ok := former[name]; ok {
			next[name] = s
			continue
		}
		next[name] = r.series(name)
	}
	r.inForce.Store(&next)
	for name := range former {
		if _, ok := next[name]; !ok {
			r.total.DeletePartialMatch(prometheus.Labels{"service": name})
			r.seconds.DeleteLabelValues(name)
		}
	}
}
