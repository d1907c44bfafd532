package cranexplain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes the answer as text.
func (a *Answer) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	if a.Refused != "" {
		line("refused\t%s", a.Refused)
	}
	if a.Queue != "" {
		line("queue\t%s, pool %s, key %s", a.Queue, a.Pool, choose(a.RequiresKey, "required", "not required"))
	}
	if a.Tenant != "" {
		line("tenant\t%s", a.Tenant)
	}
	if a.Job != "" {
		line("job\t%s%s%s", a.Job, choose(a.JobAssumed, ", assumed", ""), choose(a.State != "", ", already "+a.State, ""))
	}
	if a.ReadAgeMs >= 0 {
		line("store\tread %v ago", ms(a.ReadAgeMs))
	} else {
		line("store\tnot read yet")
	}
	if a.Admission != nil {
		a.Admission.write(line)
	}
	if s := a.Shard; s != nil {
		line("shard\t%d, owner %s%s", s.Number, choose(s.Owner != "", s.Owner, "none"),
			choose(s.ClaimAgeMs >= 0, fmt.Sprintf(", claim read %v ago", ms(s.ClaimAgeMs)), ""))
	}
	switch {
	case a.Placement != nil:
		a.Placement.write(line)
	case a.Loading:
		line("placement\tunknown, the owner is loading the shard")
	case a.AskAt != "":
		line("placement\task at %s", a.AskAt)
	}
	for _, sentence := range a.WouldChange {
		line("would change\t%s", sentence)
	}
	return w.Flush()
}

func (d *Admission) write(line func(format string, args ...any)) {
	figures := "no published figures"
	if d.HasFigures {
		figures = fmt.Sprintf("figures %v old", ms(d.FiguresAgeMs))
	}
	if d.Admitted {
		line("admission\taccepted, %s", figures)
		return
	}
	retry := ""
	if d.RetryAfter > 0 {
		retry = fmt.Sprintf(", Retry-After %d", d.RetryAfter)
	}
	line("admission\trefused with %d%s, %s: %s", d.Status, retry, figures, d.Reason)
}

func (p *Placement) write(line func(format string, args ...any)) {
	line("entitlement\t%s", choose(p.Beyond, "beyond", "within"))
	if p.CapRoom != nil {
		line("room under cap\t%s", p.CapRoom)
	}
	line("stages ahead\t%d%s", p.StagesAhead, choose(p.GivenUp, ", given up in the overload", ""))
	for i := range p.Steps {
		s := &p.Steps[i]
		line("step %d\t%s%s", s.Step, s.outcome(), s.runTime())
	}
	line("pool\t%d instances, %d idle, %d on their way, %d needed", p.Pool.Instances, p.Pool.Idle, p.Pool.Arriving, p.Pool.Needed)
}

func (s *Step) outcome() string {
	if !s.Ready {
		return "not ready"
	}
	if s.Target != "" {
		return fmt.Sprintf("target %s, score %.3f", s.Target, s.Score)
	}
	var parts []string
	for _, r := range Reasons() {
		if n := s.Excluded[r]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", r, n))
		}
	}
	if len(parts) == 0 {
		return "no target"
	}
	return "no target: " + strings.Join(parts, ", ")
}

func (s *Step) runTime() string {
	switch {
	case s.MedianMs <= 0:
		return ""
	case s.P90Ms <= 0:
		return fmt.Sprintf("; run time %v", ms(int64(s.MedianMs)))
	}
	return fmt.Sprintf("; run time %v, 90%% within %v", ms(int64(s.MedianMs)), ms(int64(s.P90Ms)))
}

// String returns the room, with "," between the quantities that have a cap.
func (r *CapRoom) String() string {
	var parts []string
	if r.CPU != nil {
		parts = append(parts, Cores(*r.CPU))
	}
	if r.MemoryMB != nil {
		parts = append(parts, fmt.Sprintf("%d MB", *r.MemoryMB))
	}
	if r.Accelerators != nil {
		parts = append(parts, fmt.Sprintf("%d accelerators", *r.Accelerators))
	}
	return strings.Join(parts, ", ")
}

// Cores returns a number of thousandths of a core as text.
func Cores(thousandths int) string {
	const perCore = 1000
	return fmt.Sprintf("%g cores", float64(thousandths)/perCore)
}

func ms(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
