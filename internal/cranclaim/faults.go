package cranclaim

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// refusal is the fault returned for a refused claim, with the reason under
// which it is counted.
type refusal struct {
	reason Reason
	fault  *cranfault.Fault
}

// refuse counts a refusal and returns its fault.
func (c *Claimer) refuse(r refusal) error {
	c.settings.count(r.reason)
	return r.fault
}

// refuseClaimed counts the refusal of a key that is held by h and returns its
// error.
func (c *Claimer) refuseClaimed(a *attempt, h Holder) error {
	err := newClaimedError(a.key, h, a.fingerprint)
	reason := ReasonClaimed
	if cranfault.KindOf(err) == cranfault.Conflict {
		reason = ReasonConflict
	}
	c.settings.count(reason)
	return err
}

// cancelledRefusal refuses a claim whose caller gave up.
func (c *Claimer) cancelledRefusal(key Key) refusal {
	return refusal{reason: ReasonCancelled, fault: cranfault.New(cranfault.Cancelled,
		"send it again", "the caller gave up before the claim of key %s was read back", key)}
}

// timeoutRefusal refuses a claim that was not read back within grantTimeout.
func (c *Claimer) timeoutRefusal(key Key) refusal {
	return refusal{reason: ReasonTooLate, fault: cranfault.New(cranfault.LogUnavailable,
		"send it again", "the claim of key %s was not read back within %s", key, c.settings.grantTimeout)}
}

// closedRefusal refuses a claim because the claimer is closed.
func (c *Claimer) closedRefusal() refusal {
	return refusal{reason: ReasonClosed, fault: cranfault.New(cranfault.Cancelled,
		"send it to another entry", "the claimer of stream %s is closed", c.stream)}
}

// undecidedRefusal refuses a claim that is void or uncertain.
func (c *Claimer) undecidedRefusal(key Key, v Verdict) refusal {
	return refusal{reason: ReasonVoid, fault: cranfault.New(cranfault.LogUnavailable,
		"send it again", "the claim of key %s can't be decided (verdict %s)", key, v)}
}

// indexFullRefusal refuses a claim because the index holds maxKeys keys.
func (c *Claimer) indexFullRefusal() refusal {
	return refusal{reason: ReasonIndexFull, fault: cranfault.New(cranfault.QueueFull,
		"try again later, or raise the maximum number of keys",
		"the claim index of stream %s is full", c.stream)}
}

// checkReady returns an empty reason and nil if claims can be made. Otherwise it
// returns the reason why not, and its fault. The caller holds mu.
func (c *Claimer) checkReady() (Reason, error) {
	switch {
	case c.closed:
		r := c.closedRefusal()
		return r.reason, r.fault
	case c.tailer == nil || c.tailer.Next() < c.initialEnd || c.tailer.LastContact().IsZero():
		return ReasonNotReady, cranfault.New(cranfault.NotReady, "wait until the stream is read",
			"stream %s was not read to its end yet", c.stream)
	case c.logUnavailable():
		return ReasonLogDown, cranfault.New(cranfault.LogUnavailable, "send it again when the log answers",
			"the log of stream %s has not answered for too long", c.stream)
	case !c.index.CoversWindow(c.platformMs()):
		return ReasonNotReady, cranfault.New(cranfault.NotReady,
			"send it to another entry, or let the log keep its records for longer",
			"stream %s was not yet read over a whole window of %s", c.stream, c.settings.window)
	}
	return "", nil
}

// logUnavailable reports whether reads have failed for longer than
// maxLogSilence, or an append has been pending for longer than grantTimeout.
// The caller holds mu.
func (c *Claimer) logUnavailable() bool {
	silence := time.Since(c.tailer.LastContact())
	first := c.writer.Backlog().Since()
	stuck := !first.IsZero() && time.Since(first) > c.settings.grantTimeout
	return stuck || silence > c.settings.maxLogSilence
}
