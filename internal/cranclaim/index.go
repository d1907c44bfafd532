package cranclaim

import (
	"time"
	"unique"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Verdict is the effect of a record of the stream on the key that it names.
type Verdict string

// Verdicts on a record.
const (
	// VerdictGranted means that the claim now holds its key.
	VerdictGranted Verdict = "granted"
	// VerdictLost means that another claim holds the key.
	VerdictLost Verdict = "lost"
	// VerdictUncertain means that this reader can't tell whether the claim was
	// granted.
	VerdictUncertain Verdict = "uncertain"
	// VerdictVoid means that the claim was appended too long after it was sent.
	VerdictVoid Verdict = "void"
	// VerdictReleased means that the claim that held the key was released.
	VerdictReleased Verdict = "released"
	// VerdictReported means that the request of the claim that holds the key
	// was reported as run.
	VerdictReported Verdict = "reported"
	// VerdictIgnored means that the record is a duplicate or malformed, or that
	// it belongs to a claim that doesn't hold the key.
	VerdictIgnored Verdict = "ignored"
)

// Decision is the verdict on a record, with the claim that the record names.
type Decision struct {
	verdict Verdict
	key     Key
	attempt uint64
	holder  Holder
}

// Verdict returns the effect of the record.
func (d Decision) Verdict() Verdict { return d.verdict }

// Key returns the key that the record names, if the record is well formed.
func (d Decision) Key() Key { return d.key }

// Attempt returns the attempt that the record names, if the record is well
// formed.
func (d Decision) Attempt() uint64 { return d.attempt }

// Holder returns the claim that holds the key after the record. It is set for
// claims that are not void.
func (d Decision) Holder() Holder { return d.holder }

// Index decides which claims of one stream hold their keys. Its state is a pure
// function of the records applied: it reads no clock and does no I/O.
type Index struct {
	windowMs         int64
	maxAppendDelayMs int64
	// partial is set if the index did not begin at offset zero. Then all
	// records with a timestamp after unreadUntilMs were applied.
	partial       bool
	unreadUntilMs int64
	// nowMs is the timestamp of the last record applied.
	nowMs  int64
	held   map[Key]heldClaim
	expiry expiryQueue
	seen   seenRecords
}

// heldClaim is the claim that holds a key.
type heldClaim struct {
	claimer     unique.Handle[string]
	attempt     uint64
	fingerprint uint64
	offset      uint64
	// timeMs is the timestamp of the claim. For an uncertain key it is that of
	// the last claim of the key.
	timeMs    int64
	ran       bool
	uncertain bool
}

// NewIndex returns the index of a stream that is read from offset zero. A claim
// holds its key for the window, and is void if it is appended later than
// maxAppendDelay after it was sent.
func NewIndex(window, maxAppendDelay time.Duration) *Index {
	return &Index{
		windowMs:         window.Milliseconds(),
		maxAppendDelayMs: maxAppendDelay.Milliseconds(),
		held:             map[Key]heldClaim{},
		seen:             newSeenRecords(),
	}
}

// NewPartialIndex returns the index of a stream whose records with timestamps
// up to unreadUntilMs may have expired unread.
func NewPartialIndex(window, maxAppendDelay time.Duration, unreadUntilMs int64) *Index {
	x := NewIndex(window, maxAppendDelay)
	x.partial = true
	x.unreadUntilMs = unreadUntilMs
	return x
}

// Len returns the number of keys held.
func (x *Index) Len() int { return len(x.held) }

// NowMs returns the timestamp of the last record applied.
func (x *Index) NowMs() int64 { return x.nowMs }

// CoversWindow reports whether the records applied cover the window and the
// maximum append delay before timeMs, so that a claim at that time can be
// decided.
func (x *Index) CoversWindow(timeMs int64) bool {
	return !x.partial || timeMs-x.windowMs-x.maxAppendDelayMs > x.unreadUntilMs
}

// Lookup returns the claim that holds a key at the platform time timeMs.
func (x *Index) Lookup(key Key, timeMs int64) (Holder, bool) {
	c, ok := x.held[key]
	if !ok || x.expired(c.timeMs, timeMs) {
		return Holder{}, false
	}
	return c.holder(), true
}

// Apply applies the next record of the stream.
func (x *Index) Apply(entry cranlog.Entry) Decision {
	x.nowMs = max(x.nowMs, entry.TimeMs())
	x.expire()
	x.seen.sweep(x.nowMs, x.maxAppendDelayMs)
	ignored := Decision{verdict: VerdictIgnored}
	if entry.Malformed() || !x.seen.accept(entry, x.nowMs) {
		return ignored
	}
	r, known := decodeRecord(entry)
	if !known {
		return ignored
	}
	d := Decision{key: r.Key, attempt: r.Attempt}
	switch r.Kind {
	case kindClaim:
		d.verdict = x.applyClaim(entry, r)
		d.holder = x.held[r.Key].holder()
	case kindRelease:
		d.verdict = x.applyRelease(entry, r)
	case kindRan:
		d.verdict = x.applyReport(entry, r)
	}
	return d
}

// applyClaim decides whether a claim is granted. An uncertain key stays
// uncertain for a window after its last claim, and a release doesn't end that,
// because this reader can't tell which of the claims was granted.
func (x *Index) applyClaim(entry cranlog.Entry, r record) Verdict {
	if x.nowMs-r.SentMs > x.maxAppendDelayMs {
		return VerdictVoid
	}
	c, held := x.held[r.Key]
	switch {
	case held && !c.uncertain:
		return VerdictLost
	case held:
		c.timeMs = x.nowMs
		x.put(r.Key, c)
		return VerdictUncertain
	}
	c = heldClaim{
		claimer:     unique.Make(entry.Writer()),
		attempt:     r.Attempt,
		fingerprint: r.Fingerprint,
		offset:      entry.Offset(),
		timeMs:      x.nowMs,
		uncertain:   !x.CoversWindow(x.nowMs),
	}
	x.put(r.Key, c)
	if c.uncertain {
		return VerdictUncertain
	}
	return VerdictGranted
}

// applyRelease frees the key if the released claim holds it for certain.
func (x *Index) applyRelease(entry cranlog.Entry, r record) Verdict {
	c, held := x.held[r.Key]
	if !held || c.uncertain || !c.heldBy(entry.Writer(), r.Attempt) {
		return VerdictIgnored
	}
	delete(x.held, r.Key)
	return VerdictReleased
}

// applyReport records that the request of the claim that holds the key ran.
func (x *Index) applyReport(entry cranlog.Entry, r record) Verdict {
	c, held := x.held[r.Key]
	if !held || !c.heldBy(entry.Writer(), r.Attempt) {
		return VerdictIgnored
	}
	c.ran = true
	x.held[r.Key] = c
	return VerdictReported
}

// put stores the claim that holds a key and schedules its expiry.
func (x *Index) put(key Key, c heldClaim) {
	x.held[key] = c
	x.expiry.push(key, c.timeMs)
}

// expire drops the claims that are older than the window.
func (x *Index) expire() {
	for {
		key, timeMs, ok := x.expiry.head()
		if !ok || !x.expired(timeMs, x.nowMs) {
			return
		}
		x.expiry.pop()
		c, held := x.held[key]
		if held && x.expired(c.timeMs, x.nowMs) {
			delete(x.held, key)
		}
	}
}

// expired reports whether a claim of timeMs is older than the window at nowMs.
func (x *Index) expired(timeMs, nowMs int64) bool { return timeMs < nowMs-x.windowMs }

// heldBy reports whether this is the writer's claim of that attempt.
func (c heldClaim) heldBy(writer string, attempt uint64) bool {
	return c.claimer.Value() == writer && c.attempt == attempt
}

// holder returns the claim as a Holder, which is empty for an empty claim.
func (c heldClaim) holder() Holder {
	if c.attempt == 0 {
		return Holder{}
	}
	h := Holder{
		claimer: c.claimer.Value(), attempt: c.attempt, offset: c.offset, timeMs: c.timeMs,
		fingerprint: c.fingerprint, outcome: OutcomeUnknown, uncertain: c.uncertain,
	}
	if c.ran {
		h.outcome = OutcomeRan
	}
	return h
}
