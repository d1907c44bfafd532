package crandemo

import (
	"fmt"
	"io"
	"strings"
)

// row is one line of the report's table.
type row struct {
	name  string
	value string
	note  string
}

// section is a titled group of rows in the report's table.
type section struct {
	title string
	rows  []row
}

// WriteTable writes the report as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	for _, s := range []section{r.requestRows(), r.breachRows(), r.measureRows()} {
		fmt.Fprintf(&b, "\n%s\n", s.title)
		for _, l := range s.rows {
			line := fmt.Sprintf("  %-22s %8s  %s", l.name, l.value, l.note)
			b.WriteString(strings.TrimRight(line, " ") + "\n")
		}
	}
	b.WriteString("\n" + r.conclusion() + "\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// requestRows returns the requests by outcome, with their shares.
func (r Report) requestRows() section {
	count := func(name string, n int, note string) row {
		share := 100 * float64(n) / float64(max(r.Requests, 1))
		return row{name, fmt.Sprint(n), fmt.Sprintf("%5.1f%%  %s", share, note)}
	}
	return section{"Requests by the outcome that their callers received", []row{
		count("requests", r.Requests, "offered; during a surge the demand exceeds the pool's capacity"),
		count("answered", r.Answered, "the caller received the complete response"),
		count("not run", r.NotRun, "the caller was told that the request did not run"),
		count("unknown", r.Unknown, "may have run: the entry died, the response was late or the key is still claimed"),
	}}
}

// breachRows returns the counts of breached guarantees.
func (r Report) breachRows() section {
	count := func(name string, n int, note string) row {
		status := "ok    "
		if n > 0 {
			status = "BREACH"
		}
		return row{name, fmt.Sprint(n), status + "  " + note}
	}
	return section{"Breaches of guarantees, counted from the ledgers of callers, targets and platform", []row{
		count("doubled", r.Doubled, "non-idempotent requests that ran more than once"),
		count("lost", r.Lost, "answered without a run, or no outcome from a live entry"),
		count("false not run", r.FalseNotRun, "ran although the caller was told that it did not"),
		count("cut off", r.CutOff, "runs aborted by a planned stop"),
		count("budget breaches", r.BudgetBreaches, "planned stops beyond an availability budget"),
		count("pool conflicts", r.PoolConflicts, "runs on an instance of another pool"),
	}}
}

// measureRows returns the figures that have no limit.
func (r Report) measureRows() section {
	return section{"Measures", []row{
		{"configuration roll-out", fmt.Sprintf("%.3f s", r.ConfigRolloutSeconds), "the slowest, from accepted to in force at every live entry"},
		{"instance moves", fmt.Sprint(r.InstanceMoves), "completed by the platform"},
		{"idle instance seconds", fmt.Sprintf("%.1f", r.IdleInstanceSeconds), "available instances beyond the configured sizes of their pools, summed over time"},
	}}
}

func (r Report) conclusion() string {
	if n := r.Breaches(); n > 0 {
		return fmt.Sprintf("%d breaches of guarantees.", n)
	}
	return "No guarantee was breached."
}
