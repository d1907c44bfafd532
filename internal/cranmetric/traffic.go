package cranmetric

import (
	"net/http"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// trafficKinds are the kinds of fault that crantraffic, which forwards requests to
// targets, declares in addition to those of cranfault.
var trafficKinds = []cranfault.Kind{
	"targetLost", "brokenAnswer", "unreachable", "slotsRefused", "retriesSpent", "notKept",
}

// TrafficCounters counts the events that crantraffic reports. R and O are the types
// that crantraffic has for reasons of a retry and for outcomes.
type TrafficCounters[R, O ~string] struct {
	metrics *Metrics
}

// NewTrafficCounters returns counters that are recorded in m.
func NewTrafficCounters[R, O ~string](m *Metrics) TrafficCounters[R, O] {
	return TrafficCounters[R, O]{metrics: m}
}

// Refused counts a refusal.
func (t TrafficCounters[R, O]) Refused(_ string, kind cranfault.Kind) { t.metrics.Refused(kind) }

// Retried counts a retry of a request.
func (t TrafficCounters[R, O]) Retried(_ string, reason R) { t.metrics.Retried(RetryReason(reason)) }

// Outcome counts the outcome of a request. Its duration is observed by Metrics.Timed.
func (t TrafficCounters[R, O]) Outcome(service string, outcome O, _ cranfault.Kind) {
	t.metrics.requests.count(service, Outcome(outcome))
}

// Timed returns a handler that observes the time that next takes for each request. The
// service is the first segment of the path after the prefix.
func (m *Metrics) Timed(prefix string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		rest, _ := strings.CutPrefix(r.URL.Path, prefix)
		service, _, _ := strings.Cut(rest, "/")
		defer func() { m.requests.observe(service, time.Since(start)) }()
		next.ServeHTTP(w, r)
	})
}
