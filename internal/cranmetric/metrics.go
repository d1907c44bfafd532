package cranmetric

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// namespace is the prefix of the name of every metric.
const namespace = "cranberrypick"

// RetryReason is the reason for sending a request again.
type RetryReason string

// Reasons for a retry.
const (
	// RetryNotSent means that the request could not be sent to the target.
	RetryNotSent RetryReason = "notSent"
	// RetryRefused means that the target had no free slot.
	RetryRefused RetryReason = "refused"
	// RetrySilent means that the target did not respond in time.
	RetrySilent RetryReason = "silent"
	// RetryLost means that the connection was lost after the request was sent.
	RetryLost RetryReason = "lost"
	// RetryBrokenAnswer means that the answer was cut short or belongs to another
	// request.
	RetryBrokenAnswer RetryReason = "brokenAnswer"
	// RetryTargetFailed means that the target answered with status 500, 502 or 503.
	RetryTargetFailed RetryReason = "targetFailed"
)

// LogReason is the reason why the log client tried again or refused a call.
type LogReason string

// Reasons for a retry or a refusal of the log client. They have the values of the
// reasons of package cranlog, which explains each of them.
const (
	LogAppendFailed  LogReason = "appendFailed"
	LogAppendTimeout LogReason = "appendTimeout"
	LogQueueFull     LogReason = "queueFull"
	LogTooLarge      LogReason = "tooLarge"
	LogOwnRepeat     LogReason = "ownRepeat"
	LogForeignSeq    LogReason = "foreignSeq"
	LogReadFailed    LogReason = "readFailed"
	LogReadTimeout   LogReason = "readTimeout"
	LogReadGap       LogReason = "readGap"
	LogBehind        LogReason = "logBehind"
	LogMalformed     LogReason = "malformed"
	LogRelayGap      LogReason = "relayGap"
	LogExpired       LogReason = "expired"
)

// Direction is the direction in which bytes and messages are sent.
type Direction string

// Directions, from the point of view of this process.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// AppendResult is the result of an append to the log.
type AppendResult string

// Results of an append. Confirmed means that its record was read back from the log.
const (
	AppendConfirmed AppendResult = "confirmed"
	AppendUncertain AppendResult = "uncertain"
	AppendFailed    AppendResult = "failed"
)

// Metrics holds all metrics of one entry instance. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	refusals closedCounters[cranfault.Kind]
	retries  closedCounters[RetryReason]
	requests *requestMetrics
	log      logMetrics
	peers    peerMetrics
	state    stateMetrics
	// moves is the number of moves in the control state.
	moves atomic.Uint64
}

type options struct {
	retryReasons []RetryReason
	phases       []string
	runtime      bool
}

// Option configures the metrics that New creates.
type Option func(*options)

// WithRetryReasons sets the reasons for a retry that have their own series.
func WithRetryReasons[R ~string](reasons ...R) Option {
	return func(o *options) {
		o.retryReasons = o.retryReasons[:0:0]
		for _, r := range reasons {
			o.retryReasons = append(o.retryReasons, RetryReason(r))
		}
	}
}

// WithPhases sets the phases of instances that have their own series.
func WithPhases[P ~string](phases ...P) Option {
	return func(o *options) {
		o.phases = o.phases[:0:0]
		for _, p := range phases {
			o.phases = append(o.phases, string(p))
		}
	}
}

// WithRuntime adds the metrics of the Go runtime and of the process, such as
// memory usage and processor time.
func WithRuntime() Option { return func(o *options) { o.runtime = true } }

// New returns the metrics of one entry instance, all with the value zero.
func New(opts ...Option) *Metrics {
	o := options{
		retryReasons: []RetryReason{
			RetryNotSent, RetryRefused, RetrySilent, RetryLost, RetryBrokenAnswer, RetryTargetFailed,
		},
		phases: []string{"returning", "serving", "cordoned", "stopping", "leaving"},
	}
	for _, set := range opts {
		set(&o)
	}
	m := &Metrics{registry: prometheus.NewRegistry()}
	b := builder{registry: m.registry}
	m.refusals = newClosedCounters(b.counters("refusals_total", "Refusals by kind of fault.", "reason"), append(cranfault.Kinds(), trafficKinds...))
	m.retries = newClosedCounters(b.counters("retries_total", "Requests sent again, by reason.", "reason"), o.retryReasons)
	m.requests = newRequestMetrics(b)
	m.log = newLogMetrics(b)
	m.peers = newPeerMetrics(b)
	m.state = newStateMetrics(b, o.phases)
	b.counterFunc("instance_moves_total", "Instances moved between pools, in the control state.",
		func() float64 { return float64(m.moves.Load()) })
	if o.runtime {
		m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
	return m
}

// Handler returns a handler that serves the metrics in the formats of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// Refused counts one refusal.
func (m *Metrics) Refused(kind cranfault.Kind) { m.refusals.add(kind, 1) }

// Retried counts one retry of a request.
func (m *Metrics) Retried(reason RetryReason) { m.retries.add(reason, 1) }

// Outcome counts the outcome of a request and observes its duration. A service that
// is not in the configuration in force is counted as "other".
func (m *Metrics) Outcome(service string, outcome Outcome, duration time.Duration) {
	m.requests.count(service, outcome)
	m.requests.observe(service, duration)
}

// SetServices sets the services of the configuration in force. It drops the series of
// all other services.
func (m *Metrics) SetServices(names ...string) { m.requests.setServices(names) }

// builder creates and registers metrics.
type builder struct {
	registry *prometheus.Registry
}

func (b builder) counters(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	b.registry.MustRegister(v)
	return v
}

func (b builder) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	b.registry.MustRegister(c)
	return c
}

func (b builder) counterFunc(name, help string, value func() float64) {
	b.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
}

func (b builder) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	b.registry.MustRegister(v)
	return v
}

func (b builder) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	b.registry.MustRegister(g)
	return g
}

func (b builder) histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, labels)
	b.registry.MustRegister(v)
	return v
}
