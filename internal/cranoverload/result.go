package cranoverload

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds the figures of one run. They count the jobs that were sent during the surge.
type Result struct {
	Settings Settings `json:"settings"`
	// Offered is the number of jobs, Admitted and Refused what became of them at admission.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	// InTime, Late and Failed count the admitted jobs. A job that hasn't ended long after the surge counts as failed.
	InTime int `json:"inTime"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	// Goodput is the work that the tasks of jobs which end in time have done during the surge, as a fraction of the
	// capacity; Wasted is that of the other jobs.
	Goodput float64 `json:"goodput"`
	Wasted  float64 `json:"wasted"`
	// CalmInTime is the share of the jobs of the tenant within its entitlement that ended in time, refused ones
	// included.
	CalmInTime float64 `json:"calmInTime"`
	// P50, P95 and P99 are percentiles of the time from the first sending of a job to the start of its first task,
	// in seconds.
	P50 float64 `json:"firstStartP50"`
	P95 float64 `json:"firstStartP95"`
	P99 float64 `json:"firstStartP99"`
}

// result sums up the jobs of the surge.
func (s *simulation) result() Result {
	r := Result{Settings: s.settings}
	var waits []time.Duration
	calmOffered, calmInTime := 0, 0
	capacity := float64(s.slots()) * s.settings.Length.Seconds()
	// The order fixes the rounding of the sums.
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !j.counted {
			continue
		}
		r.Offered++
		if j.Tenant == calm {
			calmOffered++
		}
		if j.acceptedAt == 0 {
			r.Refused++
			continue
		}
		r.Admitted++
		if j.startedAt > 0 {
			waits = append(waits, j.startedAt-j.sentAt)
		}
		switch {
		case j.inTime():
			r.InTime++
			if j.Tenant == calm {
				calmInTime++
			}
			r.Goodput += j.work / capacity
			continue
		case j.endedAt == 0 || j.failed:
			r.Failed++
		default:
			r.Late++
		}
		r.Wasted += j.work / capacity
	}
	r.CalmInTime = float64(calmInTime) / float64(max(calmOffered, 1))
	slices.Sort(waits)
	r.P50, r.P95, r.P99 = percentile(waits, 0.5), percentile(waits, 0.95), percentile(waits, 0.99)
	return r
}

// percentile returns a percentile of sorted times in seconds, or 0 if there are none.
func percentile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1].Seconds()
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "policy\tfactor\toffered\tadmitted\trefused\tin time\tlate\tfailed\tgoodput\twasted\tcalm in time\tp50 start, s\tp95\tp99\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t\n", r.Settings.Policy, r.Settings.Factor,
			r.Offered, r.Admitted, r.Refused, r.InTime, r.Late, r.Failed, r.Goodput, r.Wasted, r.CalmInTime, r.P50, r.P95, r.P99)
	}
	return t.Flush()
}
