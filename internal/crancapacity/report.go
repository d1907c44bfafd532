package crancapacity

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Report holds all measured figures of docs/CAPACITY.md.
type Report struct {
	Reducer []ReducerCost `json:"reducer"`
	Control []ControlCost `json:"control"`
	Claims  []ClaimCost   `json:"claims"`
	Rollout []RolloutCost `json:"rollout"`
	Tenants []TenantCost  `json:"tenants"`
}

// Measure runs all measurements. It takes some minutes.
func Measure() (Report, error) {
	var r Report
	for _, n := range []int{20, 67, 1000} {
		c, err := MeasureTenants(n)
		if err != nil {
			return r, err
		}
		r.Tenants = append(r.Tenants, c)
	}
	for _, n := range []int{50, 500, 7900} {
		c, err := MeasureReducer(n, 9)
		if err != nil {
			return r, err
		}
		r.Reducer = append(r.Reducer, c)
	}
	for _, n := range []int{3, 6, 9, 20} {
		c, err := MeasureControl(n, 10*time.Second)
		if err != nil {
			return r, err
		}
		r.Control = append(r.Control, c...)
	}
	for _, rate := range []int{50, 200, 800} {
		c, err := MeasureClaims(rate, 9, 5, 5*time.Second)
		if err != nil {
			return r, err
		}
		r.Claims = append(r.Claims, c)
	}
	return r, r.measureRollouts()
}

// measureRollouts measures the roll-out by numbers of entries and delays of the log.
func (r *Report) measureRollouts() error {
	for _, entries := range []int{3, 9, 20} {
		for _, delay := range []int{0, 20, 100} {
			c, err := MeasureRollout(entries, delay, 20)
			if err != nil {
				return err
			}
			r.Rollout = append(r.Rollout, c)
		}
	}
	return nil
}

// Print writes the report as tables.
func Print(out io.Writer, r Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\t\n", args...) }
	line("instances\tmembers\theap bytes\tsnapshot bytes\tpacked bytes\tencode ms\tpack ms\tdecode ms\tconfig bytes")
	for _, c := range r.Reducer {
		line("%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%d", c.Instances, c.Members, c.HeapBytes, c.SnapshotBytes, c.PackedBytes, c.EncodeMs, c.PackMs, c.DecodeMs, c.ConfigBytes)
	}
	line("")
	line("instances\tevent\tbytes\tns")
	for _, c := range r.Reducer {
		for _, e := range c.Events {
			line("%d\t%s\t%d\t%.0f", c.Instances, e.Kind, e.Bytes, e.Nanos)
		}
	}
	line("")
	line("entries\tphase\ts\trecords/s\tread B/s\tappends/s\tappended B/s\tpeer B/s\tcore %%\treboots")
	for _, c := range r.Control {
		line("%d\t%s\t%.1f\t%.1f\t%.0f\t%.2f\t%.0f\t%.0f\t%.2f\t%d", c.Entries, c.Phase, c.Seconds, c.RecordsPerSecond,
			c.ReadBytesPerSecond, c.AppendsPerSecond, c.AppendBytesPerSecond, c.PeerBytesPerSecond, c.CorePercent, c.Reboots)
	}
	line("")
	line("claims/s offered\tclaimers\tlog delay ms\tgranted/s\tappends/s\tB/claim\tmean ms")
	for _, c := range r.Claims {
		line("%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f", c.OfferedPerSecond, c.Claimers, c.LogDelayMs, c.GrantedPerSecond, c.AppendsPerSecond, c.BytesPerClaim, c.MeanMs)
	}
	line("")
	line("entries\tlog delay ms\trounds\troll-out median ms\tmax ms")
	for _, c := range r.Rollout {
		line("%d\t%d\t%d\t%.1f\t%.1f", c.Entries, c.LogDelayMs, c.Rounds, c.MedianMs, c.MaxMs)
	}
	line("")
	line("tenants\theap bytes\tbuild ms\tlookup ns\tcaps bytes\tentitlements bytes\tcaps us")
	for _, c := range r.Tenants {
		line("%d\t%d\t%.1f\t%.0f\t%d\t%d\t%.0f", c.Tenants, c.HeapBytes, c.BuildMs, c.LookupNanos, c.CapBytes, c.UsageBytes, c.CapRoundMicros)
	}
	return w.Flush()
}
