package cranclaim

import (
	"time"
	"unique"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Verdict is what a record of the stream came to.
type Verdict string

// Verdicts on a record.
const (
	// VerdictGranted: the claim holds its key.
	VerdictGranted Verdict = "granted"
	// VerdictLost: another claim holds the key.
	VerdictLost Verdict = "lost"
	// VerdictUncertain: this reader can't tell whether the claim was granted.
	VerdictUncertain Verdict = "uncertain"
	// VerdictVoid: the claim reached the log too late to count.
	VerdictVoid Verdict = "void"
	// VerdictReleased: the claim that held the key was released.
	VerdictReleased Verdict = "released"
	// VerdictReported: the claim that holds the key was reported as run.
	VerdictReported Verdict = "reported"
	// VerdictIgnored: a repeat, a malformed record, or one that follows a
	// claim that holds no key.
	VerdictIgnored Verdict = "ignored"
)

// Decision is a verdict with what it is about.
type Decision struct {
	verdict Verdict
	key     Key
	attempt uint64
	holder  Holder
}

// Verdict returns what the record came to.
func (d Decision) Verdict() Verdict { return d.verdict }

// Key returns the key that the record names, if it is well formed.
func (d Decision) Key() Key { return d.key }

// Attempt returns the attempt that the record names, if it is well formed.
func (d Decision) Attempt() uint64 { return d.attempt }

// Holder returns the claim that holds the key after the record, for verdicts
// on claims that are not void.
func (d Decision) Holder() Holder { return d.holder }

// Index decides about the records of one claim stream. It is a pure function
// of the records applied: no clock, no I/O.
type Index struct {
	windowMs int64
	lateMs   int64
	// partial is set when the index did not begin at offset zero; then all
	// records stamped after sinceMs were applied.
	partial bool
	sinceMs int64
	// nowMs is the stamp of the last record applied.
	nowMs  int64
	slots  map[Key]slot
	expiry expiryQueue
	marks  marks
}

// slot is the claim that holds a key.
type slot struct {
	claimer     unique.Handle[string]
	attempt     uint64
	fingerprint uint64
	offset      uint64
	// timeMs is the stamp of the claim, or of the last uncertain one.
	timeMs    int64
	ran       bool
	uncertain bool
}

// NewIndex returns the index of a stream that is read from offset zero. It
// holds claims for the window, and voids those that reach the log later than
// late after they were sent.
func NewIndex(window, late time.Duration) *Index {
	return &Index{
		windowMs: window.Milliseconds(),
		lateMs:   late.Milliseconds(),
		slots:    map[Key]slot{},
		marks:    newMarks(),
	}
}

// NewPartialIndex returns the index of a stream whose records up to the stamp
// sinceMs may have expired unread.
func NewPartialIndex(window, late time.Duration, sinceMs int64) *Index {
	x := NewIndex(window, late)
	x.partial = true
	x.sinceMs = sinceMs
	return x
}

// Len returns the number of keys held.
func (x *Index) Len() int { return len(x.slots) }

// NowMs returns the stamp of the last record applied.
func (x *Index) NowMs() int64 { return x.nowMs }

// CoversWindow reports whether the records applied cover a whole window before the
// stamp, so that claims after it can be decided.
func (x *Index) CoversWindow(timeMs int64) bool {
	return !x.partial || timeMs-x.windowMs-x.lateMs > x.sinceMs
}

// Lookup returns the claim that holds a key at the platform's time timeMs.
func (x *Index) Lookup(key Key, timeMs int64) (Holder, bool) {
	s, ok := x.slots[key]
	if !ok || x.expired(s.timeMs, timeMs) {
		return Holder{}, false
	}
	return s.holder(), true
}

// Apply takes the next record of the stream.
func (x *Index) Apply(entry cranlog.Entry) Decision {
	x.nowMs = max(x.nowMs, entry.TimeMs())
	x.expire()
	x.marks.sweep(x.nowMs, x.lateMs)
	ignored := Decision{verdict: VerdictIgnored}
	if entry.Malformed() || !x.marks.accept(entry, x.nowMs) {
		return ignored
	}
	r, known := decodeRecord(entry)
	if !known {
		return ignored
	}
	d := Decision{key: r.Key, attempt: r.Attempt}
	switch r.Kind {
	case kindClaim:
		d.verdict = x.claim(entry, r)
		d.holder = x.slots[r.Key].holder()
	case kindRelease:
		d.verdict = x.release(entry, r)
	case kindDone:
		d.verdict = x.report(entry, r)
	}
	return d
}

// claim decides about a claim. What is uncertain stays so for a window after
// the last claim that it covers, and no release ends it, since this reader
// can't tell which claim was granted.
func (x *Index) claim(entry cranlog.Entry, r record) Verdict {
	if x.nowMs-r.SentMs > x.lateMs {
		return VerdictVoid
	}
	s, held := x.slots[r.Key]
	switch {
	case held && !s.uncertain:
		return VerdictLost
	case held:
		s.timeMs = x.nowMs
		x.hold(r.Key, s)
		return VerdictUncertain
	}
	s = slot{
		claimer:     unique.Make(entry.Writer()),
		attempt:     r.Attempt,
		fingerprint: r.Fingerprint,
		offset:      entry.Offset(),
		timeMs:      x.nowMs,
		uncertain:   !x.CoversWindow(x.nowMs),
	}
	x.hold(r.Key, s)
	if s.uncertain {
		return VerdictUncertain
	}
	return VerdictGranted
}

func (x *Index) release(entry cranlog.Entry, r record) Verdict {
	s, held := x.slots[r.Key]
	if !held || s.uncertain || !s.heldBy(entry.Writer(), r.Attempt) {
		return VerdictIgnored
	}
	delete(x.slots, r.Key)
	return VerdictReleased
}

func (x *Index) report(entry cranlog.Entry, r record) Verdict {
	s, held := x.slots[r.Key]
	if !held || !s.heldBy(entry.Writer(), r.Attempt) {
		return VerdictIgnored
	}
	s.ran = true
	x.slots[r.Key] = s
	return VerdictReported
}

func (x *Index) hold(key Key, s slot) {
	x.slots[key] = s
	x.expiry.push(key, s.timeMs)
}

// expire drops the claims that are older than the window.
func (x *Index) expire() {
	for {
		key, timeMs, ok := x.expiry.head()
		if !ok || !x.expired(timeMs, x.nowMs) {
			return
		}
		x.expiry.pop()
		s, held := x.slots[key]
		if held && x.expired(s.timeMs, x.nowMs) {
			delete(x.slots, key)
		}
	}
}

func (x *Index) expired(timeMs, nowMs int64) bool { return timeMs < nowMs-x.windowMs }

func (s slot) heldBy(writer string, attempt uint64) bool {
	return s.claimer.Value() == writer && s.attempt == attempt
}

func (s slot) holder() Holder {
	if s.attempt == 0 {
		return Holder{}
	}
	h := Holder{
		claimer: s.claimer.Value(), attempt: s.attempt, offset: s.offset, timeMs: s.timeMs,
		fingerprint: s.fingerprint, outcome: OutcomeUnknown, uncertain: s.uncertain,
	}
	if s.ran {
		h.outcome = OutcomeRan
	}
	return h
}
