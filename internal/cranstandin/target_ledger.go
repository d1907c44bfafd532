package cranstandin

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Run is one request that a target started.
type Run struct {
	RequestID      string    `json:"requestId"`
	IdempotencyKey string    `json:"idempotencyKey"`
	Path           string    `json:"path"`
	Start          time.Time `json:"start"`
	// End is the zero time while the run is in progress.
	End time.Time `json:"end"`
	// Aborted is set if a stop of the process ended the run.
	Aborted bool `json:"cut"`
	// Cancelled is set if the caller cancelled the run or its body was incomplete
	// or too large.
	Cancelled bool `json:"cancelled"`
	// Failed is set if the FailFast fault failed the run with status 500.
	Failed bool `json:"failed"`
}

// TargetLedger is the target's record of its runs, refusals and starts.
type TargetLedger struct {
	Target string `json:"target"`
	// Runs is sorted by start.
	Runs          []Run `json:"runs"`
	MaxInProgress int   `json:"maxInProgress"`
	// SlotRefusals counts the runs that were refused because no slot was free.
	SlotRefusals int `json:"overSlots"`
	// ConnectionRefusals counts the requests that were refused because their
	// connection exceeded the limit.
	ConnectionRefusals int `json:"overConnections"`
	// Boots counts the starts of the process after the first one.
	Boots int `json:"boots"`

	runs []*Run
}

// Ledger returns a copy of the target's ledger.
func (t *Target) Ledger() TargetLedger {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.ledger
	out.runs = nil
	out.Runs = make([]Run, len(t.ledger.runs))
	for n, r := range t.ledger.runs {
		out.Runs[n] = *r
	}
	return out
}

// startRun occupies a slot for a run and returns the context that is cancelled
// when the process stops.
func (t *Target) startRun(r *Run) (context.Context, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, errDown
	}
	if len(t.running) >= t.slots {
		t.ledger.SlotRefusals++
		return nil, cranfault.New(cranfault.NoTarget, "send no more requests at once than the target has slots",
			"all %d slots of target %s are in use", t.slots, t.id)
	}
	r.Start = t.now()
	t.running[r] = struct{}{}
	t.ledger.runs = append(t.ledger.runs, r)
	t.ledger.MaxInProgress = max(t.ledger.MaxInProgress, len(t.running))
	return t.processCtx, nil
}

// endRun frees the run's slot and calls update to record how the run ended. It
// reports false if a stop of the process has already aborted the run.
func (t *Target) endRun(r *Run, update func(*Run)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[r]; !ok {
		return false
	}
	delete(t.running, r)
	r.End = t.now()
	update(r)
	return true
}
