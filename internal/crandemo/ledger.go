package crandemo

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// noOutcome is the outcome of a call without a complete response: the connection broke, the
// response was truncated or belongs to another request, or none arrived.
const noOutcome crantraffic.Outcome = ""

// call is one call of a caller to an entry, with the outcome that the caller received.
type call struct {
	entry   string
	outcome crantraffic.Outcome
	// end is when the caller received the response or gave up.
	end time.Time
}

// request is one request of a caller.
type request struct {
	// key is unique among all requests. The targets record it with each run.
	key        string
	service    string
	idempotent bool
	// calls holds the first call and its retries, in order. It is never empty.
	calls []call
}

// publication is a configuration that was accepted.
type publication struct {
	config *cranfleet.Config
	// acceptedAt is when the publisher received the acceptance.
	acceptedAt time.Time
	// inForceAt is when the last live entry had applied it.
	inForceAt time.Time
}

// ledgers holds all data from which the report is computed.
type ledgers struct {
	requests []request
	targets  []cranstandin.TargetLedger
	// actions is the platform's ledger of actions, in order.
	actions []cranstandin.LedgerEntry
	// instances holds the targets as the platform listed them before the first action.
	instances []cranplatform.Instance
	// publications is in order of acceptance. All of them require the same number of
	// available instances of each pool.
	publications []publication
	// killedAt maps the id of each killed entry to the time at which it was killed.
	killedAt map[string]time.Time
	// start and end delimit the period over which idle instance seconds are summed.
	start time.Time
	end   time.Time
}
