package crantraffic

import "time"

// ServicePrefix is the path prefix of requests to services. The name of the
// service follows it.
const ServicePrefix = servicePrefix

// Default values of the options.
const (
	defaultBodyLimit   = 4 << 20 // bytes
	defaultAnswerLimit = 4 << 20 // bytes
	defaultDeadline    = 30 * time.Second
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultCacheBytes  = 16 << 20 // bytes
	defaultCacheTTL    = 10 * time.Minute
	defaultMaxAttempts = 4 // sends of one request
)

// settings holds the values that options set.
type settings struct {
	counters    Counters
	peers       PeerAnswers
	bodyLimit   int64 // maximum bytes of a request body
	answerLimit int64 // maximum bytes of an answer that are buffered
	deadline    time.Duration
	dialTimeout time.Duration
	cacheBytes  int // maximum bytes of cached answers
	cacheTTL    time.Duration
	retries     retryPolicy
	now         func() time.Time
}

// Option configures a Proxy.
type Option func(*settings)

// WithCounters sets the counters of refusals, retries and outcomes.
func WithCounters(c Counters) Option {
	return func(s *settings) { s.counters = c }
}

// WithPeerAnswers sets how answers that other entries have cached are looked
// up.
func WithPeerAnswers(p PeerAnswers) Option {
	return func(s *settings) { s.peers = p }
}

// WithBodyLimit sets the maximum size of a request body in bytes.
func WithBodyLimit(n int64) Option {
	return func(s *settings) { s.bodyLimit = n }
}

// WithAnswerLimit sets how many bytes of an answer are buffered. A longer
// answer is forwarded as it arrives. If it is cut short, the caller's
// connection is aborted.
func WithAnswerLimit(n int64) Option {
	return func(s *settings) { s.answerLimit = n }
}

// WithDefaultDeadline sets the deadline of requests that specify none.
func WithDefaultDeadline(d time.Duration) Option {
	return func(s *settings) { s.deadline = d }
}

// WithDialTimeout limits how long opening a connection to a target may take.
func WithDialTimeout(d time.Duration) Option {
	return func(s *settings) { s.dialTimeout = d }
}

// WithAnswerCache sets how many bytes of answers to non-idempotent requests are
// cached for retries with the same key, and for how long.
func WithAnswerCache(bytes int, ttl time.Duration) Option {
	return func(s *settings) { s.cacheBytes, s.cacheTTL = bytes, ttl }
}

// WithRetries sets the retry limits. Share, from 0 to 1, is the number of
// retries that each request adds to the budget of its service. Burst is the
// number of retries that can be accumulated. Attempts is the maximum number of
// sends of one request, including the first.
func WithRetries(share float64, burst, attempts int) Option {
	return func(s *settings) {
		s.retries = retryPolicy{share: share, burst: burst, maxAttempts: max(attempts, 1)}
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
		cacheBytes:  defaultCacheBytes,
		cacheTTL:    defaultCacheTTL,
		retries:     retryPolicy{share: retryShare, burst: maxRetryTokens, maxAttempts: defaultMaxAttempts},
		now:         time.Now,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}
