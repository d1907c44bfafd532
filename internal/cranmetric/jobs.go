package cranmetric

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// jobBuckets holds the upper bounds of the latency histograms' buckets in seconds. They
// range from the duration of a call within a data centre to the longest time that a
// caller waits.
var jobBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// tickBuckets holds the upper bounds of the buckets for ticks in seconds: from a tick of an idle scheduler to one that
// makes an owner late.
var tickBuckets = []float64{0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25}

// Jobs holds the metrics of an entry instance of the job service. It is safe for
// concurrent use.
type Jobs struct {
	registry *prometheus.Registry
	refusals, notAdmitted, retries, ended, objectives, runEnds,
	orders, runTimes *prometheus.CounterVec
	accepted, cancelled, takeovers prometheus.Counter
	targetCrashes, givenUp         prometheus.Counter
	peaksExpected                  prometheus.Counter
	acceptance                     prometheus.Histogram
	orderTime                      *prometheus.HistogramVec
	firstStart                     prometheus.Histogram
	// The topic metrics are by topic; configApply and configRevision are those of the
	// configuration in force.
	reads, readBytes *prometheus.CounterVec
	behind           *prometheus.GaugeVec
	firstByte        *prometheus.HistogramVec
	configApply      prometheus.Histogram
	configRevision   prometheus.Gauge
	configConfirmed  prometheus.Gauge
	ownedShards, lag prometheus.Gauge
	digestJobs       prometheus.Gauge
	// The owner metrics are by shard.
	waitingTasks, readyStages, startsUnderWay, submissionsAge, appendAge, cappedTenants *prometheus.GaugeVec
	schedulerTick                                                                       prometheus.Histogram
	sharesGiven                                                                         prometheus.Counter
	malformed                                                                           closedCounters[string]
	entitlements                                                                        entitlementMetrics
}

// streams are the values of the label stream.
var streams = []string{"digest", "instances", "operator", "progress", "reports", "submissions", "targets"}

// NewJobs returns the metrics. The series of all known reasons of refusals and retries
// exist from the start with the value zero.
func NewJobs() *Jobs {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: jobBuckets}
	}
	m := &Jobs{
		registry:      prometheus.NewRegistry(),
		refusals:      vector("job_refusals_total", "Requests of callers that were refused, by reason.", "reason"),
		notAdmitted:   vector("admission_refusals_total", "Jobs that were refused because of load, by tenant and cause.", "tenant", "cause"),
		retries:       vector("store_retries_total", "Appends that were sent again, by reason.", "reason"),
		ended:         vector("jobs_ended_total", "Jobs that have ended, by state.", "state"),
		objectives:    vector("job_objectives_total", "Completed jobs without times, by whether they met their objective.", "objective"),
		runTimes:      vector("run_times_total", "Runs that have ended, by the narrowest range predicted for their duration that it was in.", "range"),
		runEnds:       vector("run_ends_total", "Runs that have ended, by how.", "how"),
		orders:        vector("orders_total", "Orders to targets and about instances, by kind and outcome.", "order", "outcome"),
		accepted:      counter("jobs_accepted_total", "Jobs that were accepted and stored."),
		cancelled:     counter("jobs_cancelled_total", "Cancellations that were stored."),
		takeovers:     counter("scheduler_takeovers_total", "Times that this process took over a shard."),
		targetCrashes: counter("target_crashes_total", "Targets that have crashed."),
		givenUp:       counter("tasks_given_up_total", "Tasks that were given up, because targets crash under them."),
		peaksExpected: counter("peaks_expected_total", "Peaks of pools for which instances were ordered ahead of the arrivals."),
		acceptance:    prometheus.NewHistogram(histogram("accept_seconds", "Time from a job's arrival until it is stored.")),
		orderTime:     prometheus.NewHistogramVec(histogram("order_seconds", "Time until an order is answered, by kind."), []string{"order"}),
		firstStart:    prometheus.NewHistogram(histogram("first_start_seconds", "Time from a job's arrival until its first task is placed.")),
	}
	gauge := func(name, help string) prometheus.GaugeOpts {
		return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	}
	m.reads = vector("topic_reads_total", "Reads of a topic, by outcome.", "topic", "outcome")
	m.readBytes = vector("topic_read_bytes_total", "Bytes received by reads of a topic, failed reads included.", "topic")
	m.behind = prometheus.NewGaugeVec(gauge("topic_behind_records", "Records of a topic that were stored but not read at its newest read."), []string{"topic"})
	m.firstByte = prometheus.NewHistogramVec(histogram("topic_first_byte_seconds", "Time until the response to a read of a topic began, its wait included."), []string{"topic"})
	m.configApply = prometheus.NewHistogram(histogram("configuration_apply_seconds", "Time to decode a configuration and to put it in force."))
	m.configRevision = prometheus.NewGauge(gauge("configuration_revision", "Revision of the configuration in force."))
	m.configConfirmed = prometheus.NewGauge(gauge("configuration_confirmed_timestamp_seconds", "Unix time at which the configuration in force was last known to be the newest."))
	m.ownedShards = prometheus.NewGauge(gauge("owned_shards", "Shards that this process schedules."))
	m.lag = prometheus.NewGauge(gauge("scheduler_lag_seconds", "How long a tenth of the goroutines of an owner wait for the processor at least."))
	m.digestJobs = prometheus.NewGauge(gauge("digest_jobs", "Jobs of which this process knows the state."))
	shardGauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(gauge(name, help), []string{"shard"})
	}
	m.waitingTasks = shardGauge("owner_waiting_tasks", "Tasks of a shard that could run and wait for a target.")
	m.readyStages = shardGauge("owner_ready_stages", "Stages of a shard that have waiting tasks and could run.")
	m.schedulerTick = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "scheduler_tick_seconds", Help: "Time that a tick of a shard's scheduler takes.", Buckets: tickBuckets,
	})
	m.startsUnderWay = shardGauge("owner_starts_under_way", "Starts of a shard's owner that wait for the store or for a response.")
	m.submissionsAge = shardGauge("owner_submissions_age_seconds", "Time since a shard's owner has read every stored submission.")
	m.appendAge = shardGauge("owner_append_age_seconds", "Time for which the append of a shard's owner to the progress has been unanswered.")
	m.cappedTenants = shardGauge("owner_capped_tenants", "Tenants of which tasks of a shard wait for the cap.")
	m.sharesGiven = counter("quota_gifts_total", "Shares of tenants' caps that this process gave to other shards.")
	m.registry.MustRegister(m.readyStages, m.schedulerTick, m.cappedTenants, m.sharesGiven, m.waitingTasks, m.startsUnderWay, m.submissionsAge, m.appendAge)
	malformed := vector("malformed_records_total", "Records of a stream that were skipped because they are malformed.", "stream")
	m.malformed = newClosedCounters(malformed, streams)
	for _, k := range cranfault.Kinds() {
		m.refusals.WithLabelValues(string(k))
	}
	for _, reason := range []string{"refused", "unanswered"} {
		m.retries.WithLabelValues(reason)
	}
	for _, r := range []string{rangeMedian, rangeNinety, rangeBeyond} {
		m.runTimes.WithLabelValues(r)
	}
	m.registry.MustRegister(m.runTimes, m.refusals, m.notAdmitted, m.retries, m.ended, m.objectives, m.runEnds, m.orders, m.accepted, m.cancelled,
		m.takeovers, m.targetCrashes, m.givenUp, m.peaksExpected, m.acceptance, m.orderTime, m.firstStart, m.reads, m.readBytes, m.behind, m.firstByte, m.configApply, m.configRevision, m.configConfirmed, m.ownedShards, m.lag, m.digestJobs, malformed, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.entitlements = newEntitlementMetrics(m.registry)
	return m
}

// Handler returns a handler that serves the metrics as text.
func (m *Jobs) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Accepted counts an accepted job and observes the time until it was stored.
func (m *Jobs) Accepted(after time.Duration) {
	m.accepted.Inc()
	m.acceptance.Observe(after.Seconds())
}

// Refused counts a refused request of a caller.
func (m *Jobs) Refused(reason cranfault.Kind) { m.refusals.WithLabelValues(string(reason)).Inc() }

// NotAdmitted counts a job of a tenant that was refused because of load. The tenant must be one of the configuration,
// or empty.
func (m *Jobs) NotAdmitted(tenant, cause string) { m.notAdmitted.WithLabelValues(tenant, cause).Inc() }

// Cancelled counts a stored cancellation.
func (m *Jobs) Cancelled() { m.cancelled.Inc() }

// Retried counts an append that is sent again, either because the store refused it, so
// that it had no effect, or because there was no response.
func (m *Jobs) Retried(refused bool) {
	reason := "unanswered"
	if refused {
		reason = "refused"
	}
	m.retries.WithLabelValues(reason).Inc()
}

// OwnedShards records how many shards this process schedules.
func (m *Jobs) OwnedShards(n int) { m.ownedShards.Set(float64(n)) }

// Lagged records how long a tenth of the goroutines of an owner wait for the processor at least.
func (m *Jobs) Lagged(lag time.Duration) { m.lag.Set(lag.Seconds()) }

// OwnerProgressed records how far the owner of a shard has got.
func (m *Jobs) OwnerProgressed(shard string, waiting, ready, underWay int, submissionsAge, appendAge time.Duration) {
	m.waitingTasks.WithLabelValues(shard).Set(float64(waiting))
	m.readyStages.WithLabelValues(shard).Set(float64(ready))
	m.startsUnderWay.WithLabelValues(shard).Set(float64(underWay))
	m.submissionsAge.WithLabelValues(shard).Set(submissionsAge.Seconds())
	m.appendAge.WithLabelValues(shard).Set(appendAge.Seconds())
}

// SchedulerTicked observes how long a tick of a scheduler took.
func (m *Jobs) SchedulerTicked(took time.Duration) { m.schedulerTick.Observe(took.Seconds()) }

// OwnerEnded removes what was recorded of the owner of a shard, which this process no longer is.
func (m *Jobs) OwnerEnded(shard string) {
	for _, v := range []*prometheus.GaugeVec{m.waitingTasks, m.readyStages, m.startsUnderWay, m.submissionsAge, m.appendAge, m.cappedTenants} {
		v.DeleteLabelValues(shard)
	}
}

// ShareGiven counts a share of a tenant's cap that an owner gave to another shard.
func (m *Jobs) ShareGiven() { m.sharesGiven.Inc() }

// CappedTenants records how many tenants have tasks of a shard that wait for the cap.
func (m *Jobs) CappedTenants(shard string, n int) {
	m.cappedTenants.WithLabelValues(shard).Set(float64(n))
}

// DigestJobs records of how many jobs this process knows the state.
func (m *Jobs) DigestJobs(n int) { m.digestJobs.Set(float64(n)) }

// MalformedRecord counts a record of a stream that was skipped because it is malformed.
func (m *Jobs) MalformedRecord(stream string) { m.malformed.add(stream, 1) }

// TookOver counts a takeover of a shard by this process.
func (m *Jobs) TookOver() { m.takeovers.Inc() }

// TargetCrashed counts a target that has crashed.
func (m *Jobs) TargetCrashed() { m.targetCrashes.Inc() }

// TaskGivenUp counts a task that is given up, because targets crash under it.
func (m *Jobs) TaskGivenUp() { m.givenUp.Inc() }

// PeakExpected counts a peak for which a pool gets instances ahead of the arrivals.
func (m *Jobs) PeakExpected() { m.peaksExpected.Inc() }

// Ended counts a job that has reached a final state.
func (m *Jobs) Ended(state string) { m.ended.WithLabelValues(state).Inc() }

// RunEnded counts a run that has ended, by how it ended, such as "done".
func (m *Jobs) RunEnded(how string) { m.runEnds.WithLabelValues(how).Inc() }

// Values of the label range.
const (
	rangeMedian = "median"
	rangeNinety = "p90"
	rangeBeyond = "beyond"
)

// RunTimesJudged counts runs that have ended, of which some ended within the predicted median and more within the
// predicted 90% quantile.
func (m *Jobs) RunTimesJudged(runs, within50, within90 int) {
	m.runTimes.WithLabelValues(rangeMedian).Add(float64(within50))
	m.runTimes.WithLabelValues(rangeNinety).Add(float64(max(within90-within50, 0)))
	m.runTimes.WithLabelValues(rangeBeyond).Add(float64(max(runs-within90, 0)))
}

// Ordered counts an order to a target or about an instance by its outcome, and observes the
// time until the outcome.
func (m *Jobs) Ordered(order, outcome string, after time.Duration) {
	m.orders.WithLabelValues(order, outcome).Inc()
	m.orderTime.WithLabelValues(order).Observe(after.Seconds())
}

// ObjectiveJudged counts a completed job by whether it met its soft deadline.
func (m *Jobs) ObjectiveJudged(met bool) {
	objective := "missed"
	if met {
		objective = "met"
	}
	m.objectives.WithLabelValues(objective).Inc()
}

// FirstStart observes the time from a job's arrival until its first task is placed.
func (m *Jobs) FirstStart(after time.Duration) { m.firstStart.Observe(after.Seconds()) }

// ReadTopic counts a read of a topic. It received a number of bytes, the first of them after
// firstByte (0 if there was none), and left behind records unread.
func (m *Jobs) ReadTopic(topic string, failed bool, bytes int, firstByte time.Duration, behind uint64) {
	outcome := "delivered"
	if failed {
		outcome = "failed"
	}
	m.reads.WithLabelValues(topic, outcome).Inc()
	m.readBytes.WithLabelValues(topic).Add(float64(bytes))
	m.behind.WithLabelValues(topic).Set(float64(behind))
	if firstByte > 0 {
		m.firstByte.WithLabelValues(topic).Observe(firstByte.Seconds())
	}
}

// ConfigInForce records that a configuration was put in force, and how long that took.
func (m *Jobs) ConfigInForce(revision int64, after time.Duration) {
	m.configRevision.Set(float64(revision))
	m.configApply.Observe(after.Seconds())
}

// ConfigConfirmed records that the configuration in force was the newest one at a time, in
// Unix milliseconds.
func (m *Jobs) ConfigConfirmed(unixMs int64) { m.configConfirmed.Set(float64(unixMs) / 1000) }
