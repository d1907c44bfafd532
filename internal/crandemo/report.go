package crandemo

import (
	"encoding/json"
	"io"

	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// Report is what a demonstration found. The counts from Doubled to
// PoolConflicts are breaches of what must always hold.
type Report struct {
	// Requests is the sum of Answered, NotRun and Unknown.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts requests that were answered and never ran, or got no
	// outcome from a live entry.
	Lost int `json:"lost"`
	// FalseNotRun counts requests that ran although their caller was only
	// ever told notRun.
	FalseNotRun int `json:"falseNotRun"`
	// CutOff counts runs that a planned stop cut off.
	CutOff int `json:"cutOff"`
	// BudgetBreaches counts planned actions that began while the pool's other
	// instances were too few for the availability budget.
	BudgetBreaches int `json:"budgetBreaches"`
	// PoolConflicts counts runs of a service on an instance of another pool.
	PoolConflicts int `json:"poolConflicts"`
	// ConfigRolloutSeconds is the longest time from the acceptance of a
	// configuration until the last live entry had it in force.
	ConfigRolloutSeconds float64 `json:"configRolloutSeconds"`
	InstanceMoves        int     `json:"instanceMoves"`
	// IdleInstanceSeconds sums over time the available instances above the
	// wanted sizes of their pools.
	IdleInstanceSeconds float64 `json:"idleInstanceSeconds"`
}

// judge makes the report from the ledgers.
func judge(l ledgers) Report {
	runs := runsByKey(l.targets)
	t := newTimeline(l.instances, l.actions)
	r := Report{
		Requests:             len(l.requests),
		Answered:             countOutcome(l.requests, crantraffic.Answered),
		NotRun:               countOutcome(l.requests, crantraffic.NotRun),
		Unknown:              countOutcome(l.requests, crantraffic.Unknown),
		Doubled:              countDoubled(l.requests, runs),
		Lost:                 countLost(l.requests, runs, l.killed),
		FalseNotRun:          countFalseNotRun(l.requests, runs),
		CutOff:               countCutOff(t, l.targets),
		ConfigRolloutSeconds: worstRollout(l.publications),
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

// Breaches returns how often something happened that must never happen.
func (r Report) Breaches() int {
	return r.Doubled + r.Lost + r.FalseNotRun + r.CutOff + r.BudgetBreaches + r.PoolConflicts
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
