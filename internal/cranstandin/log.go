package cranstandin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Bounds of the log.
const (
	defaultRetention = 100_000
	maxStreams       = 4096
	maxStreamName    = 200
	maxPayloads      = 10_000
	maxPayloadBytes  = 1 << 20
	maxAppendBytes   = 8 << 20
	maxReadRecords   = 10_000
	maxReadBytes     = 16 << 20
	maxReadWait      = 60 * time.Second
)

// Log is an append-only log in memory. It implements cranplatform.Log.
type Log struct {
	now       func() time.Time
	retention int
	maxAge    time.Duration
	faults    *injector

	mu sync.Mutex
	// streams holds every stream that was ever appended to, so that offsets
	// never go back; at most maxStreams.
	streams map[string]*stream
	// created is closed and replaced whenever a stream is made.
	created chan struct{}
	timers  *timers
}

var _ cranplatform.Log = (*Log)(nil)

// LogOption changes how a log is built.
type LogOption func(*Log)

// WithRetention keeps at most that many records of each stream. The default
// is 100,000.
func WithRetention(records int) LogOption {
	return func(l *Log) { l.retention = records }
}

// WithMaxAge expires records that are older. By default age expires none.
func WithMaxAge(age time.Duration) LogOption {
	return func(l *Log) { l.maxAge = age }
}

// WithLogClock replaces the clock that stamps and expires records. Waits and
// delays follow the standard library's timers in any case.
func WithLogClock(now func() time.Time) LogOption {
	return func(l *Log) { l.now = now }
}

// NewLog returns an empty log. Close releases it.
func NewLog(options ...LogOption) *Log {
	l := &Log{
		now:       time.Now,
		retention: defaultRetention,
		faults:    newInjector(),
		streams:   map[string]*stream{},
		created:   make(chan struct{}),
		timers:    newTimers(),
	}
	for _, option := range options {
		option(l)
	}
	l.retention = max(l.retention, 1)
	return l
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f Faults) error {
	return l.faults.set(f, l.prepare)
}

// prepare performs the faults that strike once.
func (l *Log) prepare(f *Faults) {
	if f.ExpireRecords {
		l.ExpireAll()
	}
	f.ExpireRecords = false
}

// Close ends the waiting reads, drops delayed appends and waits for those
// that have begun. Calls after it fail with cranfault.LogUnavailable.
func (l *Log) Close() error {
	l.timers.close()
	return nil
}

// Append implements cranplatform.Log for a client without a name.
func (l *Log) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	return l.ForClient("").Append(ctx, name, payloads)
}

// Read implements cranplatform.Log for a client without a name.
func (l *Log) Read(ctx context.Context, name string, from uint64, maxRecords, waitMs int) (cranplatform.Batch, error) {
	return l.ForClient("").Read(ctx, name, from, maxRecords, waitMs)
}

// ForClient returns the log as the named client sees it, so that a fault can cut
// that client alone.
func (l *Log) ForClient(client string) cranplatform.Log {
	return &logClient{log: l, client: client}
}

// Expire drops the records of a stream below an offset; records that were
// never appended can't be dropped.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.streams[name]; s != nil {
		s.dropBefore(before)
	}
}

// ExpireAll drops every record of every stream.
func (l *Log) ExpireAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		s.dropBefore(s.next())
	}
}

// RecordCount returns how many records are kept, over all streams.
func (l *Log) RecordCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, s := range l.streams {
		total += len(s.records)
	}
	return total
}

// Counters returns the traffic of every stream, in order of name.
func (l *Log) Counters() []StreamCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]StreamCounters, 0, len(l.streams))
	for _, s := range l.streams {
		out = append(out, s.counters)
	}
	slices.SortFunc(out, func(a, b StreamCounters) int { return cmp.Compare(a.Stream, b.Stream) })
	return out
}

// append adds payloads to a stream, twice if the append is duplicated, and
// returns the first offset.
func (l *Log) append(name string, payloads [][]byte, duplicate bool) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.open(name)
	if err != nil {
		return 0, err
	}
	now := l.now().UnixMilli()
	first := s.append(payloads, now)
	if duplicate {
		s.append(payloads, now)
	}
	s.keep(l.retention)
	l.expire(s)
	return first, nil
}

// open returns the stream of that name, making it if need be.
func (l *Log) open(name string) (*stream, error) {
	if s := l.streams[name]; s != nil {
		return s, nil
	}
	if len(l.streams) >= maxStreams {
		return nil, cranfault.New(cranfault.TooLarge, "use fewer streams", "the log holds %d streams", maxStreams)
	}
	s := newStream(name)
	l.streams[name] = s
	close(l.created)
	l.created = make(chan struct{})
	return s, nil
}

// expire drops the records that are too old.
func (l *Log) expire(s *stream) {
	if l.maxAge > 0 {
		s.dropOlder(l.now().Add(-l.maxAge).UnixMilli())
	}
}

// look returns what a read finds now, and the channel that tells of a change.
func (l *Log) look(name string, from uint64, maxRecords int) (cranplatform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[name]
	batch := cranplatform.Batch{TimeMs: l.now().UnixMilli()}
	if s == nil {
		return batch, l.created, nil
	}
	l.expire(s)
	batch.Oldest = s.oldest
	batch.Next = s.next()
	if from < s.oldest {
		remedy := "start again from a snapshot"
		return batch, nil, cranfault.New(cranfault.RecordsExpired, remedy,
			"stream %s keeps records from offset %d on, not %d", name, s.oldest, from)
	}
	batch.Records = s.slice(from, maxRecords)
	return batch, s.changed, nil
}

// logClient is the log as one client sees it.
type logClient struct {
	log    *Log
	client string
}

// Append implements cranplatform.Log.
func (c *logClient) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	if err := checkAppend(name, payloads); err != nil {
		return 0, err
	}
	if err := c.reach(ctx); err != nil {
		return 0, err
	}
	delay := c.log.delay()
	if delay == 0 {
		o := c.perform(name, payloads)
		return o.first, o.err
	}
	outcome := make(chan appendOutcome, 1)
	if !c.log.timers.start(delay, func() { outcome <- c.perform(name, payloads) }) {
		return 0, closedFault()
	}
	select {
	case o := <-outcome:
		return o.first, o.err
	case <-ctx.Done():
		return 0, gaveUp(ctx)
	case <-c.log.timers.closed():
		return 0, closedFault()
	}
}

// appendOutcome is what became of an append.
type appendOutcome struct {
	first uint64
	err   error
}

// perform appends and decides about the answer.
func (c *logClient) perform(name string, payloads [][]byte) appendOutcome {
	if err := c.log.faults.logCall(c.client); err != nil {
		return appendOutcome{err: err}
	}
	duplicate, lose := c.log.faults.appendFate()
	first, err := c.log.append(name, payloads, duplicate)
	if err == nil && lose {
		err = newAnswerLost(cranfault.LogUnavailable)
	}
	if err != nil {
		return appendOutcome{err: err}
	}
	return appendOutcome{first: first}
}

// Read implements cranplatform.Log.
func (c *logClient) Read(ctx context.Context, name string, from uint64, maxRecords, waitMs int) (cranplatform.Batch, error) {
	if err := checkRead(name, maxRecords, waitMs); err != nil {
		return cranplatform.Batch{}, err
	}
	if err := c.pause(ctx, c.log.delay()); err != nil {
		return cranplatform.Batch{}, err
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxReadWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; ; {
		changedFaults := c.log.faults.watch()
		if err := c.reach(ctx); err != nil {
			return cranplatform.Batch{}, err
		}
		batch, changed, err := c.log.look(name, from, maxRecords)
		if err != nil {
			return cranplatform.Batch{}, err
		}
		if len(batch.Records) > 0 || expired {
			return batch, nil
		}
		select {
		case <-changed:
		case <-changedFaults:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
		case <-c.log.timers.closed():
		}
	}
}

// reach fails if the log can't be reached by the client.
func (c *logClient) reach(ctx context.Context) error {
	if ctx.Err() != nil {
		return gaveUp(ctx)
	}
	select {
	case <-c.log.timers.closed():
		return closedFault()
	default:
		ctx, cancel := c.log.timers.bound(ctx)
		defer cancel()
		return c.log.faults.refuse(ctx, func() error { return c.log.faults.logCall(c.client) })
	}
}

// pause waits for a delay.
func (c *logClient) pause(ctx context.Context, delay time.Duration) error {
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return gaveUp(ctx)
	case <-c.log.timers.closed():
		return closedFault()
	}
}

// delay returns the delay that the faults put on each call.
func (l *Log) delay() time.Duration {
	return time.Duration(l.faults.get().LogDelayMs) * time.Millisecond
}

// gaveUp is the error of a call whose caller gave up.
func gaveUp(ctx context.Context) error {
	kind := cranfault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = cranfault.LogUnavailable
	}
	fault := cranfault.New(kind, "learn the outcome by reading, then try again", "the caller gave up")
	return fmt.Errorf("%w: %w", fault, ctx.Err())
}

func closedFault() error {
	return unavailable(cranfault.LogUnavailable, "the log is closed")
}
