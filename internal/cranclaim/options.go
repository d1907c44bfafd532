package cranclaim

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Reason says why a claim was refused. Its text is a label value of the
// counters.
type Reason string

// Reasons of refusals. Each is a true notRun but for ReasonClaimed.
const (
	// ReasonClaimed: another claim holds the key.
	ReasonClaimed Reason = "claimed"
	// ReasonConflict: the key was used for another request.
	ReasonConflict Reason = "conflict"
	// ReasonLogDown: the log has not answered for too long.
	ReasonLogDown Reason = "logDown"
	// ReasonNotReady: the stream was not read far enough.
	ReasonNotReady Reason = "notReady"
	// ReasonIndexFull: the index holds as many keys as it may.
	ReasonIndexFull Reason = "indexFull"
	// ReasonQueueFull: too many records wait for the log.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooLate: the claim was not read back within its time.
	ReasonTooLate Reason = "tooLate"
	// ReasonVoid: the claim reached the log too late to count.
	ReasonVoid Reason = "void"
	// ReasonCancelled: the caller gave up before the claim was read back.
	ReasonCancelled Reason = "cancelled"
	// ReasonClosed: the keeper was closed.
	ReasonClosed Reason = "closed"
)

// Defaults of the options.
const (
	defaultWindow  = time.Hour
	defaultLate    = time.Minute
	defaultBound   = 5 * time.Second
	defaultContact = 4 * time.Second
	defaultMaxKeys = 1 << 18
	defaultSpacing = 30 * time.Millisecond
)

// settings holds what the options set.
type settings struct {
	window  time.Duration
	late    time.Duration
	bound   time.Duration
	contact time.Duration
	maxKeys int
	count   func(Reason)
	random  func() float64
	log     []cranlog.Option
}

// Option sets how a keeper works. All entries have to use the same window and
// the same lateness.
type Option func(*settings)

// WithWindow sets for how long of the log's time a claim holds its key. The
// log has to keep records for at least the window and the lateness; with twice
// the window a newcomer is as good as any other.
func WithWindow(d time.Duration) Option {
	return func(s *settings) { s.window = d }
}

// WithMaxAppendDelay sets how long after it was sent a claim may reach the log and
// still count. It has to exceed the bound and the contact.
func WithMaxAppendDelay(d time.Duration) Option {
	return func(s *settings) { s.late = d }
}

// WithGrantTimeout sets the time, from before the append, within which a claim has
// to be read back and its grant to be used.
func WithGrantTimeout(d time.Duration) Option {
	return func(s *settings) { s.bound = d }
}

// WithMaxLogSilence sets how long ago the log must have answered for a claim to be
// tried. It has to exceed the poll wait of the tailer.
func WithMaxLogSilence(d time.Duration) Option {
	return func(s *settings) { s.contact = d }
}

// WithMaxKeys bounds the keys held in memory; beyond it claims are refused.
func WithMaxKeys(n int) Option {
	return func(s *settings) { s.maxKeys = n }
}

// WithRefusalCounter calls count once for each refusal. The function must be quick
// and safe for use by several goroutines.
func WithRefusalCounter(count func(Reason)) Option {
	return func(s *settings) { s.count = count }
}

// WithRandom injects the source of jitter, which returns numbers in [0, 1),
// also for the keeper's writer and tailer.
func WithRandom(random func() float64) Option {
	return func(s *settings) {
		s.random = random
		s.log = append(s.log, cranlog.WithRandom(random))
	}
}

// WithLogOptions passes options to the keeper's writer and tailer. Without
// them a keeper starts at most one append in 30 ms, so that all entries
// together leave the log room for others.
func WithLogOptions(options ...cranlog.Option) Option {
	return func(s *settings) { s.log = append(s.log, options...) }
}

func newSettings(options []Option) settings {
	s := settings{
		window:  defaultWindow,
		late:    defaultLate,
		bound:   defaultBound,
		contact: defaultContact,
		maxKeys: defaultMaxKeys,
		count:   func(Reason) {},
		log:     []cranlog.Option{cranlog.WithBatchSpacing(defaultSpacing)},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}
