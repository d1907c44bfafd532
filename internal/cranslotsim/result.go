package cranslotsim

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Result holds the figures of one run. A wait is the time from a request's arrival to the
// start of its successful attempt, in mean service times.
type Result struct {
	Settings Settings `json:"settings"`
	Requests int      `json:"requests"`
	// Started is the number of requests that started before the end.
	Started  int     `json:"started"`
	Attempts int     `json:"attempts"`
	MeanWait float64 `json:"meanWait"`
	P99Wait  float64 `json:"p99Wait"`
	// Messages and Bytes count the messages between entries and their size in CBOR.
	Messages int `json:"messages"`
	Bytes    int `json:"bytes"`
	// MaxInProgress is the highest number of requests in progress on any target.
	MaxInProgress int `json:"mostInProgress"`

	// waits holds the waits of the requests that arrived after the warm-up.
	waits []float64
}

// MessagesPerRequest returns the mean number of messages between entries per request.
func (r Result) MessagesPerRequest() float64 {
	return float64(r.Messages) / float64(max(r.Requests, 1))
}

// BytesPerRequest returns the mean number of bytes between entries per request.
func (r Result) BytesPerRequest() float64 {
	return float64(r.Bytes) / float64(max(r.Requests, 1))
}

// summariseWaits computes the mean and the 99th percentile of the waits.
func (r *Result) summariseWaits() {
	if len(r.waits) == 0 {
		return
	}
	slices.Sort(r.waits)
	sum := 0.0
	for _, w := range r.waits {
		sum += w
	}
	r.MeanWait = sum / float64(len(r.waits))
	at := int(math.Ceil(0.99*float64(len(r.waits)))) - 1
	r.P99Wait = r.waits[at]
}

// Print writes the results as a table. The ratio is the 99th percentile of the waits divided
// by that of the last pooled result before it.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "load\tservice\tentries\tscheme\tmean wait\tp99 wait\tp99 ratio\tmessages/request\tbytes/request\tattempts/request\tmost in progress\tunstarted\t")
	pooled := 0.0
	for _, r := range results {
		if r.Settings.Scheme == Pooled {
			pooled = r.P99Wait
		}
		_, _ = fmt.Fprintf(t, "%.2f\t%s\t%d\t%s\t%.3f\t%.3f\t%s\t%.3f\t%.1f\t%.3f\t%d\t%d\t\n",
			r.Settings.Load, r.Settings.Service, r.Settings.Entries, r.Settings.Scheme,
			r.MeanWait, r.P99Wait, formatRatio(r.P99Wait, pooled), r.MessagesPerRequest(), r.BytesPerRequest(),
			float64(r.Attempts)/float64(max(r.Started, 1)), r.MaxInProgress, r.Requests-r.Started)
	}
	return t.Flush()
}

// formatRatio formats the ratio of two waits, or returns a dash if the pooled wait is 0.
func formatRatio(wait, pooled float64) string {
	if pooled <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", wait/pooled)
}
