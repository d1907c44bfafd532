package cranclaim

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Reason is the reason why a claim was refused. Its text is a label value of the
// refusal counter.
type Reason string

// Reasons for refusals. After each of them but ReasonClaimed it is certain that
// the request was not run; after ReasonClaimed, the claim that holds the key
// may have run it.
const (
	// ReasonClaimed means that another claim holds the key.
	ReasonClaimed Reason = "claimed"
	// ReasonConflict means that the key was used for a different request.
	ReasonConflict Reason = "conflict"
	// ReasonLogDown means that the log has not answered for too long.
	ReasonLogDown Reason = "logDown"
	// ReasonNotReady means that not enough of the stream was read.
	ReasonNotReady Reason = "notReady"
	// ReasonIndexFull means that the index holds the maximum number of keys.
	ReasonIndexFull Reason = "indexFull"
	// ReasonQueueFull means that too many records wait to be appended.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooLate means that the claim was not read back within its timeout.
	ReasonTooLate Reason = "tooLate"
	// ReasonVoid means that the claim is void, or that it is uncertain whether
	// it was granted.
	ReasonVoid Reason = "void"
	// ReasonCancelled means that the caller gave up before the claim was read
	// back.
	ReasonCancelled Reason = "cancelled"
	// ReasonClosed means that the claimer was closed.
	ReasonClosed Reason = "closed"
)

// Defaults of the options.
const (
	defaultWindow         = time.Hour
	defaultMaxAppendDelay = time.Minute
	defaultGrantTimeout   = 5 * time.Second
	defaultMaxLogSilence  = 4 * time.Second
	defaultMaxKeys        = 1 << 18
	defaultBatchSpacing   = 30 * time.Millisecond
)

// settings holds the values set by options.
type settings struct {
	window         time.Duration
	maxAppendDelay time.Duration
	grantTimeout   time.Duration
	maxLogSilence  time.Duration
	maxKeys        int
	count          func(Reason)
	random         func() float64
	logOptions     []cranlog.Option
}

// Option configures a claimer. All entries must use the same window and the
// same maximum append delay.
type Option func(*settings)

// WithWindow sets for how long in log time a claim holds its key. The log has
// to keep records for at least the window plus the maximum append delay. If it
// keeps them for twice the window, a claimer can claim keys as soon as it has
// read the stream.
func WithWindow(d time.Duration) Option {
	return func(s *settings) { s.window = d }
}

// WithMaxAppendDelay sets how long after it was sent a claim may be appended
// before it is void. It has to exceed the grant timeout and the maximum log
// silence.
func WithMaxAppendDelay(d time.Duration) Option {
	return func(s *settings) { s.maxAppendDelay = d }
}

// WithGrantTimeout sets the time within which a claim has to be read back and
// its grant has to be used. It is counted from before the append.
func WithGrantTimeout(d time.Duration) Option {
	return func(s *settings) { s.grantTimeout = d }
}

// WithMaxLogSilence sets the time without an answer from the log after which
// claims are refused. It has to exceed the poll wait of the tailer.
func WithMaxLogSilence(d time.Duration) Option {
	return func(s *settings) { s.maxLogSilence = d }
}

// WithMaxKeys limits the number of keys held in memory. Claims beyond the limit
// are refused.
func WithMaxKeys(n int) Option {
	return func(s *settings) { s.maxKeys = n }
}

// WithRefusalCounter calls count once for each refusal. The function must be
// quick and safe for concurrent use.
func WithRefusalCounter(count func(Reason)) Option {
	return func(s *settings) { s.count = count }
}

// WithRandom sets the source of jitter, which returns numbers in [0, 1). The
// claimer's writer and tailer use it too.
func WithRandom(random func() float64) Option {
	return func(s *settings) {
		s.random = random
		s.logOptions = append(s.logOptions, cranlog.WithRandom(random))
	}
}

// WithLogOptions passes options to the claimer's writer and tailer. By default
// a claimer starts at most one append every 30 ms, so that the claims of all
// entries leave capacity of the log for other streams.
func WithLogOptions(options ...cranlog.Option) Option {
	return func(s *settings) { s.logOptions = append(s.logOptions, options...) }
}

func newSettings(options []Option) settings {
	s := settings{
		window:         defaultWindow,
		maxAppendDelay: defaultMaxAppendDelay,
		grantTimeout:   defaultGrantTimeout,
		maxLogSilence:  defaultMaxLogSilence,
		maxKeys:        defaultMaxKeys,
		count:          func(Reason) {},
		logOptions:     []cranlog.Option{cranlog.WithBatchSpacing(defaultBatchSpacing)},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}
