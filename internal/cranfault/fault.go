package cranfault

import (
	"errors"
	"fmt"
)

// Kind classifies a fault. Its text is a label value of the refusal counters.
type Kind string

// Kinds of faults. Each names the reason why a proposal or a request was refused.
// The texts appear on the wire and in metrics, so they must not change.
const (
	Invalid          Kind = "invalid"
	StaleRevision    Kind = "staleRevision"
	UnknownInstance  Kind = "unknownInstance"
	UnknownPool      Kind = "unknownPool"
	UnknownService   Kind = "unknownService"
	UnknownMember    Kind = "unknownMember"
	BudgetSpent      Kind = "budgetSpent"
	Busy             Kind = "busy"
	LeaseHeld        Kind = "leaseHeld"
	LeaseLost        Kind = "leaseLost"
	WaveHalted       Kind = "waveHalted"
	LogUnavailable   Kind = "logUnavailable"
	RecordsExpired   Kind = "recordsExpired"
	Isolated         Kind = "isolated"
	NotReady         Kind = "notReady"
	QueueFull        Kind = "queueFull"
	DeadlineTooShort Kind = "deadlineTooShort"
	NoTarget         Kind = "noTarget"
	AlreadyClaimed   Kind = "alreadyClaimed"
	Malformed        Kind = "malformed"
	TooLarge         Kind = "tooLarge"
	UnknownPeer      Kind = "stranger"
	Conflict         Kind = "conflict"
	Cancelled        Kind = "cancelled"
	Unauthenticated  Kind = "unauthenticated"
	Timeout          Kind = "timeout"
)

// Fault is an error with a kind, a message and a remedy.
type Fault struct {
	kind    Kind
	message string
	remedy  string
	// retryAfter is the number of seconds after which a request may be repeated; 0 if the fault doesn't say.
	retryAfter int
}

// New returns a fault. The message, formatted from format and args, states what went
// wrong. The remedy states what the reader can do about it. Neither ends with a full
// stop.
func New(kind Kind, remedy, format string, args ...any) *Fault {
	return &Fault{kind: kind, message: fmt.Sprintf(format, args...), remedy: remedy}
}

// WithRetryAfter returns a copy of the fault that says after how many seconds the request may be repeated.
func (f *Fault) WithRetryAfter(seconds int) *Fault {
	g := *f
	g.retryAfter = seconds
	return &g
}

// RetryAfterOf returns the number of seconds after which a request that has failed with err may be repeated; 0 if err
// doesn't say.
func RetryAfterOf(err error) int {
	var f *Fault
	if errors.As(err, &f) {
		return f.retryAfter
	}
	return 0
}

// Kind returns the kind of the fault.
func (f *Fault) Kind() Kind { return f.kind }

// Message returns the description of what went wrong.
func (f *Fault) Message() string { return f.message }

// Remedy returns the description of what the reader can do.
func (f *Fault) Remedy() string { return f.remedy }

// Error returns the kind, the message and the remedy in one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", f.kind, f.message, f.remedy)
}

// Is reports whether target is a pattern returned by MatchKind for the kind of f. It
// lets errors.Is(err, cranfault.MatchKind(kind)) match wrapped faults.
func (f *Fault) Is(target error) bool {
	var other *Fault
	if !errors.As(target, &other) {
		return false
	}
	return other.kind == f.kind && other.message == ""
}

// MatchKind returns a target for errors.Is that matches every fault of the kind.
func MatchKind(kind Kind) error { return &Fault{kind: kind} }

// KindOf returns the kind of the first fault in the chain of err, or the
// empty kind if there is none.
func KindOf(err error) Kind {
	var f *Fault
	if errors.As(err, &f) {
		return f.kind
	}
	return ""
}
