package crantraffic

import (
	"net/http"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Outcome says whether a request ran, as reported to its caller.
type Outcome string

// Outcomes. Exactly one of them is reported for each request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

// Kinds of fault that only this package reports.
const (
	// TargetLost says that the connection was lost before the complete answer.
	TargetLost cranfault.Kind = "targetLost"
	// BrokenAnswer says that an answer was cut short or belongs to another
	// request.
	BrokenAnswer cranfault.Kind = "brokenAnswer"
	// Unreachable says that no connection to the target could be opened.
	Unreachable cranfault.Kind = "unreachable"
	// SlotsRefused says that the target refused a request because it had no
	// free slot or connection.
	SlotsRefused cranfault.Kind = "slotsRefused"
	// RetryBudgetExhausted says that a request wasn't retried because the retry
	// budget was exhausted.
	RetryBudgetExhausted cranfault.Kind = "retriesSpent"
	// AnswerNotCached says that an answer was too large to be cached for its
	// key.
	AnswerNotCached cranfault.Kind = "notKept"
)

// Answer is the complete answer of a target.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer. It takes ownership of the header and the body.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the end-to-end header fields. They must not be changed.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the body. It must not be changed.
func (a *Answer) Body() []byte { return a.body }

// size returns the approximate number of bytes that the answer occupies.
func (a *Answer) size() int {
	n := len(a.body)
	for k, vs := range a.header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// callResult is the result of a request for its caller. Exactly one of answer,
// stream and fault is set.
type callResult struct {
	outcome Outcome
	answer  *Answer
	stream  *stream
	fault   *cranfault.Fault
}

func answeredBy(a *Answer) callResult { return callResult{outcome: Answered, answer: a} }

func notRun(f *cranfault.Fault) callResult { return callResult{outcome: NotRun, fault: f} }

func unknown(f *cranfault.Fault) callResult { return callResult{outcome: Unknown, fault: f} }

// reason returns the kind of the fault, or an empty kind if there is none.
func (o callResult) reason() cranfault.Kind {
	if o.fault == nil {
		return ""
	}
	return o.fault.Kind()
}
