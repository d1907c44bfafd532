package cranlog

import "time"

// Reason says why a writer or a tailer tried again or refused something. Its
// text is a label value of the counters.
type Reason string

// Reasons of retries and refusals.
const (
	// ReasonAppendFailed: an append gave an error; its outcome is unknown.
	ReasonAppendFailed Reason = "appendFailed"
	// ReasonAppendTimeout: an append gave no answer in time.
	ReasonAppendTimeout Reason = "appendTimeout"
	// ReasonQueueFull: a body was refused since the queue is full.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooLarge: a body was refused since no batch can hold it.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonOwnRepeat: a record of this writer was read again.
	ReasonOwnRepeat Reason = "ownRepeat"
	// ReasonForeignSeq: a record names this writer, but this writer has not
	// yet given out its sequence number.
	ReasonForeignSeq Reason = "foreignSeq"
	// ReasonReadFailed: a read gave an error.
	ReasonReadFailed Reason = "readFailed"
	// ReasonReadTimeout: a read gave no answer in time.
	ReasonReadTimeout Reason = "readTimeout"
	// ReasonReadGap: a read answered with records other than asked for.
	ReasonReadGap Reason = "readGap"
	// ReasonLogBehind: the log's end lies before what was already read.
	ReasonLogBehind Reason = "logBehind"
	// ReasonMalformed: a record without a valid envelope was delivered.
	ReasonMalformed Reason = "malformed"
	// ReasonRelayGap: a peer relayed records that don't continue the stream.
	ReasonRelayGap Reason = "relayGap"
	// ReasonExpired: the log no longer keeps the next record.
	ReasonExpired Reason = "expired"
)

// Defaults of the options.
const (
	defaultMaxBatchRecords = 256
	defaultMaxBatchBytes   = 256 << 10
	defaultMaxPending      = 4096
	defaultAttemptTimeout  = 2 * time.Second
	defaultPollWait        = time.Second
	defaultReadRecords     = 1024
	defaultRingRecords     = 4096
	defaultRingBytes       = 1 << 20
	defaultBackoffBase     = 20 * time.Millisecond
	defaultBackoffCap      = 2 * time.Second
)

// settings holds what the options of writers and tailers set.
type settings struct {
	batchWindow     time.Duration
	batchSpacing    time.Duration
	maxBatchRecords int
	maxBatchBytes   int
	maxPending      int
	attemptTimeout  time.Duration
	pollWait        time.Duration
	readRecords     int
	readInterval    time.Duration
	ringRecords     int
	ringBytes       int
	backoff         Backoff
	count           func(Reason)
}

// Option sets how a writer or a tailer works.
type Option func(*settings)

// WithBatchWindow lets a writer wait after the first body of a batch for
// others, up to d. The default is not to wait.
func WithBatchWindow(d time.Duration) Option {
	return func(s *settings) { s.batchWindow = d }
}

// WithBatchSpacing sets the least time between the starts of two batches of a
// writer, and so bounds its appends a second. Unlike a window it costs nothing
// to a body that comes after a pause. The default is none.
func WithBatchSpacing(d time.Duration) Option {
	return func(s *settings) { s.batchSpacing = d }
}

// WithMaxBatch bounds a writer's batch by records and by bytes of payload.
func WithMaxBatch(records, bytes int) Option {
	return func(s *settings) {
		s.maxBatchRecords = records
		s.maxBatchBytes = bytes
	}
}

// WithMaxPending bounds the records of a writer that were not yet read back.
func WithMaxPending(records int) Option {
	return func(s *settings) { s.maxPending = records }
}

// WithAttemptTimeout bounds one append, and one read beyond its poll wait.
func WithAttemptTimeout(d time.Duration) Option {
	return func(s *settings) { s.attemptTimeout = d }
}

// WithPoll sets how long a tailer's read waits for the first record, and how
// many records it asks for.
func WithPoll(wait time.Duration, records int) Option {
	return func(s *settings) {
		s.pollWait = wait
		s.readRecords = records
	}
}

// WithReadInterval spaces a tailer's reads, so that they don't grow in number
// with the writers. The default is not to wait.
func WithReadInterval(d time.Duration) Option {
	return func(s *settings) { s.readInterval = d }
}

// WithRing bounds the recent records that a tailer keeps for its peers, by
// records and by bytes of payload.
func WithRing(records, bytes int) Option {
	return func(s *settings) {
		s.ringRecords = records
		s.ringBytes = bytes
	}
}

// WithBackoff sets the first and the longest pause between attempts.
func WithBackoff(base, longest time.Duration) Option {
	return func(s *settings) {
		s.backoff.base = base
		s.backoff.longest = longest
	}
}

// WithRandom injects the source of jitter, which returns numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(s *settings) { s.backoff.random = random }
}

// WithCounter calls count once for each retry and refusal. The function must
// be quick and safe for use by several goroutines.
func WithCounter(count func(Reason)) Option {
	return func(s *settings) { s.count = count }
}

func newSettings(options []Option) settings {
	s := settings{
		maxBatchRecords: defaultMaxBatchRecords,
		maxBatchBytes:   defaultMaxBatchBytes,
		maxPending:      defaultMaxPending,
		attemptTimeout:  defaultAttemptTimeout,
		pollWait:        defaultPollWait,
		readRecords:     defaultReadRecords,
		ringRecords:     defaultRingRecords,
		ringBytes:       defaultRingBytes,
		backoff:         NewBackoff(defaultBackoffBase, defaultBackoffCap, nil),
		count:           func(Reason) {},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}
