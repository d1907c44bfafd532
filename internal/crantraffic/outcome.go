package crantraffic

import (
	"net/http"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Outcome is what a caller is told of its request.
type Outcome string

// Outcomes. Exactly one of them is told for each request.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

// Kinds of fault that only the traffic threads know.
const (
	// TargetLost says that the connection was lost before the whole answer.
	TargetLost cranfault.Kind = "targetLost"
	// BrokenAnswer says that an answer was cut short or belongs to another
	// request.
	BrokenAnswer cranfault.Kind = "brokenAnswer"
	// Unreachable says that no connection to the target could be opened.
	Unreachable cranfault.Kind = "unreachable"
	// SlotsRefused says that the target refused a request over its slots.
	SlotsRefused cranfault.Kind = "slotsRefused"
	// RetryBudgetExhausted says that a request wasn't retried for want of budget.
	RetryBudgetExhausted cranfault.Kind = "retriesSpent"
	// AnswerNotCached says that an answer is too large to be kept for its key.
	AnswerNotCached cranfault.Kind = "notKept"
)

// Answer is a target's whole answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer. It takes over the header and the body.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the end-to-end header fields. They must not be changed.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the body. It must not be changed.
func (a *Answer) Body() []byte { return a.body }

// size is the number of bytes that the answer occupies, about.
func (a *Answer) size() int {
	n := len(a.body)
	for k, vs := range a.header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// callResult is how a request ended. Exactly one of answer, stream and fault is
// set.
type callResult struct {
	verdict Outcome
	answer  *Answer
	stream  *stream
	fault   *cranfault.Fault
}

func answeredBy(a *Answer) callResult { return callResult{verdict: Answered, answer: a} }

func notRun(f *cranfault.Fault) callResult { return callResult{verdict: NotRun, fault: f} }

func unknown(f *cranfault.Fault) callResult { return callResult{verdict: Unknown, fault: f} }

// reason returns the kind of the fault, or the empty kind.
func (o callResult) reason() cranfault.Kind {
	if o.fault == nil {
		return ""
	}
	return o.fault.Kind()
}
