package crandemo

import (
	"encoding/json"
	"io"

	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// Report holds the results of a demonstration. The counts from Doubled to PoolConflicts
// are breaches of guarantees and must be 0.
type Report struct {
	// Requests is the sum of Answered, NotRun and Unknown.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts requests that were answered although they never ran, or that received no
	// outcome from a live entry.
	Lost int `json:"lost"`
	// FalseNotRun counts requests that ran although every call ended with the outcome
	// notRun.
	FalseNotRun int `json:"falseNotRun"`
	// CutOff counts runs that were aborted by a planned stop.
	CutOff int `json:"cutOff"`
	// BudgetBreaches counts planned actions that began while the pool had too few other
	// available instances for its availability budget.
	BudgetBreaches int `json:"budgetBreaches"`
	// PoolConflicts counts runs of a service on an instance of another pool.
	PoolConflicts int `json:"poolConflicts"`
	// ConfigRolloutSeconds is the longest time from the acceptance of a
	// configuration until the last live entry had applied it.
	ConfigRolloutSeconds float64 `json:"configRolloutSeconds"`
	InstanceMoves        int     `json:"instanceMoves"`
	// IdleInstanceSeconds is the sum over time of the available instances beyond the
	// configured sizes of their pools.
	IdleInstanceSeconds float64 `json:"idleInstanceSeconds"`
}

// newReport computes the report from the ledgers.
func newReport(l ledgers) Report {
	runs := runsByKey(l.targets)
	t := newTimeline(l.instances, l.actions)
	r := Report{
		Requests:             len(l.requests),
		Answered:             countOutcome(l.requests, crantraffic.Answered),
		NotRun:               countOutcome(l.requests, crantraffic.NotRun),
		Unknown:              countOutcome(l.requests, crantraffic.Unknown),
		Doubled:              countDoubled(l.requests, runs),
		Lost:                 countLost(l.requests, runs, l.killedAt),
		FalseNotRun:          countFalseNotRun(l.requests, runs),
		CutOff:               countCutOff(t, l.targets),
		ConfigRolloutSeconds: longestRollout(l.publications),
		InstanceMoves:        countMoves(l.actions),
		IdleInstanceSeconds:  idleInstanceSeconds(l, t),
	}
	if len(l.publications) > 0 {
		config := l.publications[0].config
		r.BudgetBreaches = countBudgetBreaches(t, config)
		r.PoolConflicts = countPoolConflicts(l.requests, runs, t, config)
	}
	return r
}

// Breaches returns the total number of breaches of guarantees.
func (r Report) Breaches() int {
	return r.Doubled + r.Lost + r.FalseNotRun + r.CutOff + r.BudgetBreaches + r.PoolConflicts
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
