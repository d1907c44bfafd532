package crantraffic

import "time"

// ServicePrefix is the path that requests to a service begin with; the name
// of the service follows.
const ServicePrefix = servicePrefix

// Defaults of the options.
const (
	defaultBodyLimit   = 4 << 20 // bytes
	defaultAnswerLimit = 4 << 20 // bytes
	defaultDeadline    = 30 * time.Second
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultKeepBytes   = 16 << 20 // bytes
	defaultKeepFor     = 10 * time.Minute
	defaultAttempts    = 4 // sends of one request
)

// settings are the values behind the options.
type settings struct {
	counters    Counters
	peers       PeerAnswers
	bodyLimit   int64 // bytes of a request body
	answerLimit int64 // bytes of an answer that are buffered
	deadline    time.Duration
	dialTimeout time.Duration
	keepBytes   int // bytes of kept answers
	keepFor     time.Duration
	retries     retryPolicy
	now         func() time.Time
}

// Option changes how a Proxy behaves.
type Option func(*settings)

// WithCounters sets who counts refusals, retries and outcomes.
func WithCounters(c Counters) Option {
	return func(s *settings) { s.counters = c }
}

// WithPeerAnswers sets who is asked for answers that other entries keep.
func WithPeerAnswers(p PeerAnswers) Option {
	return func(s *settings) { s.peers = p }
}

// WithBodyLimit sets the largest request body in bytes.
func WithBodyLimit(n int64) Option {
	return func(s *settings) { s.bodyLimit = n }
}

// WithAnswerLimit sets how many bytes of an answer are buffered. A longer
// answer is passed on as it arrives, and the caller's connection is aborted if
// the answer is cut short.
func WithAnswerLimit(n int64) Option {
	return func(s *settings) { s.answerLimit = n }
}

// WithDefaultDeadline sets the deadline of requests that state none.
func WithDefaultDeadline(d time.Duration) Option {
	return func(s *settings) { s.deadline = d }
}

// WithDialTimeout sets how long opening a connection to a target may take.
func WithDialTimeout(d time.Duration) Option {
	return func(s *settings) { s.dialTimeout = d }
}

// WithAnswerCache sets how many bytes of answers to non-idempotent requests
// are kept for retries with the same key, and for how long.
func WithAnswerCache(bytes int, age time.Duration) Option {
	return func(s *settings) { s.keepBytes, s.keepFor = bytes, age }
}

// WithRetries sets how many retries each request earns its service, as a share
// from 0 to 1, how many of them can be saved up, and how often one request is
// sent at most, the first time included.
func WithRetries(share float64, burst, attempts int) Option {
	return func(s *settings) {
		s.retries = retryPolicy{share: share, burst: burst, attempts: max(attempts, 1)}
	}
}

func newSettings(options []Option) settings {
	s := settings{
		counters:    noCounters{},
		peers:       noPeers{},
		bodyLimit:   defaultBodyLimit,
		answerLimit: defaultAnswerLimit,
		deadline:    defaultDeadline,
		dialTimeout: defaultDialTimeout,
		keepBytes:   defaultKeepBytes,
		keepFor:     defaultKeepFor,
		retries:     retryPolicy{share: retryShare, burst: retryMost, attempts: defaultAttempts},
		now:         time.Now,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}
