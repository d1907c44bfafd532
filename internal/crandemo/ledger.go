package crandemo

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// noOutcome is the verdict of a call that got no whole answer: the connection
// broke, the answer was cut short or belongs to another request, or none came.
const noOutcome crantraffic.Outcome = ""

// call is one call of a caller to an entry, and what the caller was told.
type call struct {
	entry   string
	verdict crantraffic.Outcome
	// end is when the caller had the answer or gave up.
	end time.Time
}

// request is one request of a caller.
type request struct {
	// key is unique among all requests; the targets note it with each run.
	key        string
	service    string
	idempotent bool
	// calls holds the first call and the retries, in order; at least one.
	calls []call
}

// publication is a configuration that was accepted.
type publication struct {
	config *cranfleet.Config
	// accepted is when the publisher was told so.
	accepted time.Time
	// inForce is when the last live entry had it in force.
	inForce time.Time
}

// ledgers is everything that the verdict is made from.
type ledgers struct {
	requests []request
	targets  []cranstandin.TargetLedger
	// actions is the platform's ledger, in order.
	actions []cranstandin.LedgerEntry
	// instances are the targets as the platform listed them before the first
	// action.
	instances []cranplatform.Instance
	// publications is in order of acceptance; none changes a floor.
	publications []publication
	// killed says when an entry was killed, by its id.
	killed map[string]time.Time
	// start and end bound the time over which idle instances are summed up.
	start time.Time
	end   time.Time
}
