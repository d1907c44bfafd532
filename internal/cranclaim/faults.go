package cranclaim

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// refusal is a fault with the reason that is counted.
type refusal struct {
	reason Reason
	fault  *cranfault.Fault
}

func (k *Claimer) refuse(r refusal) error {
	k.settings.count(r.reason)
	return r.fault
}

// claimed refuses a key that is held.
func (k *Claimer) claimed(a *attempt, h Holder) error {
	err := claimedError(a.key, h, a.fingerprint)
	reason := ReasonClaimed
	if cranfault.KindOf(err) == cranfault.Conflict {
		reason = ReasonConflict
	}
	k.settings.count(reason)
	return err
}

func (k *Claimer) cancelled(key Key) refusal {
	return refusal{reason: ReasonCancelled, fault: cranfault.New(cranfault.Cancelled,
		"send it again", "the caller gave up before the claim of key %s was read back", key)}
}

func (k *Claimer) tooLate(key Key) refusal {
	return refusal{reason: ReasonTooLate, fault: cranfault.New(cranfault.LogUnavailable,
		"send it again", "the claim of key %s was not read back within %s", key, k.settings.bound)}
}

func (k *Claimer) closedFault() refusal {
	return refusal{reason: ReasonClosed, fault: cranfault.New(cranfault.Cancelled,
		"send it to another entry", "the keeper of %s is closed", k.stream)}
}

func (k *Claimer) void(key Key, v Verdict) refusal {
	return refusal{reason: ReasonVoid, fault: cranfault.New(cranfault.LogUnavailable,
		"send it again", "the claim of key %s can't be decided (%s)", key, v)}
}

func (k *Claimer) indexFull() refusal {
	return refusal{reason: ReasonIndexFull, fault: cranfault.New(cranfault.QueueFull,
		"try again later, or raise the bound on keys", "the index of %s is full", k.stream)}
}

// ready returns why no claim can be made, or nil. The caller holds mu.
func (k *Claimer) ready() (Reason, error) {
	switch {
	case k.closed:
		r := k.closedFault()
		return r.reason, r.fault
	case k.tailer == nil || k.tailer.Next() < k.readTo || k.tailer.LastContact().IsZero():
		return ReasonNotReady, cranfault.New(cranfault.NotReady, "wait until the stream is read",
			"%s was not read to its end yet", k.stream)
	case k.logDown():
		return ReasonLogDown, cranfault.New(cranfault.LogUnavailable, "send it again when the log answers",
			"the log of %s has not answered for too long", k.stream)
	case !k.index.CoversWindow(k.platformMs()):
		return ReasonNotReady, cranfault.New(cranfault.NotReady,
			"send it to another entry, or let the log keep its records for longer",
			"%s was not yet read over a whole window of %s", k.stream, k.settings.window)
	}
	return "", nil
}

// logDown reports whether reads or appends have failed for too long. The
// caller holds mu.
func (k *Claimer) logDown() bool {
	silence := time.Since(k.tailer.LastContact())
	first := k.writer.Backlog().Since()
	stuck := !first.IsZero() && time.Since(first) > k.settings.bound
	return stuck || silence > k.settings.contact
}
