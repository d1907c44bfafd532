package cranmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// appendSeconds holds the upper bounds of the histogram buckets for append durations.
var appendSeconds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

var (
	directions    = []Direction{Sent, Received}
	appendResults = []AppendResult{AppendConfirmed, AppendUncertain, AppendFailed}
	logReasons    = []LogReason{
		LogAppendFailed, LogAppendTimeout, LogQueueFull, LogTooLarge, LogOwnRepeat, LogForeignSeq,
		LogReadFailed, LogReadTimeout, LogReadGap, LogBehind, LogMalformed, LogRelayGap, LogExpired,
	}
)

// logMetrics counts appends, retries and the records sent to and read from the log.
type logMetrics struct {
	appends   closedCounters[AppendResult]
	records   closedCounters[Direction]
	bytes     closedCounters[Direction]
	retries   closedCounters[LogReason]
	malformed prometheus.Counter
	seconds   prometheus.Observer
}

func newLogMetrics(b builder) logMetrics {
	return logMetrics{
		appends:   newClosedCounters(b.counters("log_appends_total", "Appends to the log by result.", "result"), appendResults),
		records:   newClosedCounters(b.counters("log_records_total", "Records appended and read.", "direction"), directions),
		bytes:     newClosedCounters(b.counters("log_bytes_total", "Bytes of records appended and read.", "direction"), directions),
		retries:   newClosedCounters(b.counters("log_retries_total", "Retries and refusals of the log client, by reason.", "reason"), logReasons),
		malformed: b.counter("log_malformed_records_total", "Records skipped because they could not be decoded."),
		seconds:   b.histograms("log_append_seconds", "Time of one append.", appendSeconds).WithLabelValues(),
	}
}

// LogAppend counts one append of a batch of records and observes its duration.
func (m *Metrics) LogAppend(result AppendResult, records, bytes int, duration time.Duration) {
	m.log.appends.add(result, 1)
	m.log.records.add(Sent, float64(records))
	m.log.bytes.add(Sent, float64(bytes))
	m.log.seconds.Observe(duration.Seconds())
}

// LogRetried counts one retry or refusal of the log client.
func (m *Metrics) LogRetried(reason LogReason) { m.log.retries.add(reason, 1) }

// LogRead counts records that were read from the log.
func (m *Metrics) LogRead(records, bytes int) {
	m.log.records.add(Received, float64(records))
	m.log.bytes.add(Received, float64(bytes))
}

// MalformedRecord counts one record that was skipped because it could not be decoded.
func (m *Metrics) MalformedRecord() { m.log.malformed.Inc() }

// peerMetrics counts messages between entry instances.
type peerMetrics struct {
	messages closedCounters[Direction]
	bytes    closedCounters[Direction]
}

func newPeerMetrics(b builder) peerMetrics {
	return peerMetrics{
		messages: newClosedCounters(b.counters("peer_messages_total", "Messages between entry instances.", "direction"), directions),
		bytes:    newClosedCounters(b.counters("peer_bytes_total", "Bytes of messages between entry instances.", "direction"), directions),
	}
}

// PeerMessage counts one message to or from another entry instance.
func (m *Metrics) PeerMessage(direction Direction, bytes int) {
	m.peers.messages.add(direction, 1)
	m.peers.bytes.add(direction, float64(bytes))
}
