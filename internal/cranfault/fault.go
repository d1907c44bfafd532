package cranfault

import (
	"errors"
	"fmt"
)

// Kind classifies a fault. Its text is the label of the refusal counters.
type Kind string

// Kinds of fault. Each names the rule that refused a proposal or a request.
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
	Timeout          Kind = "timeout"
)

// Fault is an error whose message names the remedy.
type Fault struct {
	kind    Kind
	message string
	remedy  string
}

// New returns a fault. The message says what was wrong, the remedy what the
// reader of the error can do about it; neither ends in a full stop.
func New(kind Kind, remedy, format string, args ...any) *Fault {
	return &Fault{kind: kind, message: fmt.Sprintf(format, args...), remedy: remedy}
}

// Kind returns the class of the fault.
func (f *Fault) Kind() Kind { return f.kind }

// Message returns what was wrong.
func (f *Fault) Message() string { return f.message }

// Remedy returns what the reader can do.
func (f *Fault) Remedy() string { return f.remedy }

// Error joins kind, message and remedy.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", f.kind, f.message, f.remedy)
}

// Is reports whether target is a fault of the same kind, so that
// errors.Is(err, cranfault.MatchKind(kind)) works through wrapping.
func (f *Fault) Is(target error) bool {
	var other *Fault
	if !errors.As(target, &other) {
		return false
	}
	return other.kind == f.kind && other.message == ""
}

// MatchKind returns a pattern that matches every fault of the kind in errors.Is.
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
