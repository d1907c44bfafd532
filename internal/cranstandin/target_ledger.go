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
	// End is the zero time while the run holds its slot.
	End time.Time `json:"end"`
	// Aborted tells that a stop of the process aborted the run.
	Aborted bool `json:"cut"`
	// Cancelled tells that the caller went away first.
	Cancelled bool `json:"cancelled"`
	// Failed tells that the target failed it with status 500.
	Failed bool `json:"failed"`
}

// TargetLedger is the target's own record of what it did.
type TargetLedger struct {
	Target string `json:"target"`
	// Runs is in order of start.
	Runs          []Run `json:"runs"`
	MaxInProgress int   `json:"maxInProgress"`
	// OverSlots counts the runs refused because no slot was free.
	OverSlots int `json:"overSlots"`
	// OverConnections counts the requests refused because they came over
	// one connection too many.
	OverConnections int `json:"overConnections"`
	// Boots counts the starts after the first.
	Boots int `json:"boots"`

	runs []*Run
}

// Ledger returns a copy of what the target did so far.
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

// begin takes a slot for a run and returns the life that it ends with.
func (t *Target) begin(r *Run) (context.Context, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, errDown
	}
	if len(t.running) >= t.slots {
		t.ledger.OverSlots++
		return nil, cranfault.New(cranfault.NoTarget, "send no more requests at once than the target has slots",
			"all %d slots of target %s are taken", t.slots, t.id)
	}
	r.Start = t.now()
	t.running[r] = struct{}{}
	t.ledger.runs = append(t.ledger.runs, r)
	t.ledger.MaxInProgress = max(t.ledger.MaxInProgress, len(t.running))
	return t.life, nil
}

// end frees the run's slot and notes how it ended. It reports false if a stop
// cut the run off before.
func (t *Target) end(r *Run, note func(*Run)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.running[r]; !ok {
		return false
	}
	delete(t.running, r)
	r.End = t.now()
	note(r)
	return true
}
