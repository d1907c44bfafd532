package cranlog

import "time"

// Reason says why a writer or a tailer has retried an operation, refused a body
// or found a record or a response invalid. Its text is a label value of metrics.
type Reason string

// Reasons for calls of the counter that WithCounter sets.
const (
	// ReasonAppendFailed means that an append returned an error; its outcome is
	// unknown.
	ReasonAppendFailed Reason = "appendFailed"
	// ReasonAppendTimeout means that an append got no response in time.
	ReasonAppendTimeout Reason = "appendTimeout"
	// ReasonQueueFull means that a body was refused because too many records are
	// not read back yet.
	ReasonQueueFull Reason = "queueFull"
	// ReasonTooLarge means that a body was refused because it exceeds the size of
	// a batch.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonOwnRepeat means that a duplicate of a record of this writer was read.
	ReasonOwnRepeat Reason = "ownRepeat"
	// ReasonForeignSeq means that a record names this writer, but has a sequence
	// number that this writer has not assigned yet.
	ReasonForeignSeq Reason = "foreignSeq"
	// ReasonReadFailed means that a read returned an error.
	ReasonReadFailed Reason = "readFailed"
	// ReasonReadTimeout means that a read got no response in time.
	ReasonReadTimeout Reason = "readTimeout"
	// ReasonReadGap means that a read returned other offsets than requested.
	ReasonReadGap Reason = "readGap"
	// ReasonLogBehind means that the log ends before an offset that was already
	// read.
	ReasonLogBehind Reason = "logBehind"
	// ReasonMalformed means that a record without a valid envelope was delivered.
	ReasonMalformed Reason = "malformed"
	// ReasonRelayGap means that a peer relayed records that don't continue the
	// stream.
	ReasonRelayGap Reason = "relayGap"
	// ReasonExpired means that the log no longer keeps the next record.
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

// settings holds the values that the options of writers and tailers set.
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

// Option configures a writer or a tailer.
type Option func(*settings)

// WithBatchWindow makes a writer wait up to d for further bodies before it
// appends a batch that isn't full. The default is not to wait.
func WithBatchWindow(d time.Duration) Option {
	return func(s *settings) { s.batchWindow = d }
}

// WithBatchSpacing sets the minimum time between the starts of two batches of a
// writer, which limits its appends per second. Unlike a batch window, it doesn't
// delay a body that arrives after a pause. The default is no spacing.
func WithBatchSpacing(d time.Duration) Option {
	return func(s *settings) { s.batchSpacing = d }
}

// WithMaxBatch limits the records and the bytes of payload in a writer's batch.
func WithMaxBatch(records, bytes int) Option {
	return func(s *settings) {
		s.maxBatchRecords = records
		s.maxBatchBytes = bytes
	}
}

// WithMaxPending limits the number of a writer's records that are accepted and
// not read back yet.
func WithMaxPending(records int) Option {
	return func(s *settings) { s.maxPending = records }
}

// WithAttemptTimeout limits the duration of an append, and of a read in addition
// to its poll wait.
func WithAttemptTimeout(d time.Duration) Option {
	return func(s *settings) { s.attemptTimeout = d }
}

// WithPoll sets how long a tailer's read waits for the first record, and the
// maximum number of records that it requests.
func WithPoll(wait time.Duration, records int) Option {
	return func(s *settings) {
		s.pollWait = wait
		s.readRecords = records
	}
}

// WithReadInterval sets the minimum time between a tailer's reads, so that the
// number of reads doesn't grow with the number of writers. It doesn't apply after
// a read that returned the maximum number of records. The default is not to wait.
func WithReadInterval(d time.Duration) Option {
	return func(s *settings) { s.readInterval = d }
}

// WithRing limits the recent records that a tailer keeps for its peers, by number
// and by bytes of payload.
func WithRing(records, bytes int) Option {
	return func(s *settings) {
		s.ringRecords = records
		s.ringBytes = bytes
	}
}

// WithBackoff sets the first and the maximum delay between attempts.
func WithBackoff(base, maxDelay time.Duration) Option {
	return func(s *settings) {
		s.backoff.base = base
		s.backoff.maxDelay = maxDelay
	}
}

// WithRandom sets the source of jitter, which returns numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(s *settings) { s.backoff.random = random }
}

// WithCounter makes a writer or a tailer call count once for each occurrence of a
// Reason. The function must return quickly and be safe for concurrent use.
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
