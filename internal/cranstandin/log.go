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

// Limits and defaults of the log.
const (
	// defaultRetention is the default number of records that each stream keeps.
	defaultRetention   = 100_000
	maxStreams         = 4096
	maxStreamNameBytes = 200
	// maxPayloads is the maximum number of payloads of one append.
	maxPayloads     = 10_000
	maxPayloadBytes = 1 << 20
	maxAppendBytes  = 8 << 20
	maxReadRecords  = 10_000
	maxReadBytes    = 16 << 20
	maxReadWait     = 60 * time.Second
)

// Log is an append-only log in memory. It implements cranplatform.Log.
type Log struct {
	now       func() time.Time
	retention int
	maxAge    time.Duration
	faults    *injector

	mu sync.Mutex
	// streams holds every stream that was ever appended to, at most maxStreams.
	// Streams are never removed, since their offsets would start at zero again.
	streams map[string]*stream
	// created is closed and replaced whenever a stream is created.
	created chan struct{}
	timers  *timers
}

var _ cranplatform.Log = (*Log)(nil)

// LogOption configures a Log.
type LogOption func(*Log)

// WithRetention sets how many records each stream keeps. The oldest ones are
// dropped first. The default is 100,000.
func WithRetention(records int) LogOption {
	return func(l *Log) { l.retention = records }
}

// WithMaxAge sets the age at which records expire. By default records don't
// expire by age.
func WithMaxAge(age time.Duration) LogOption {
	return func(l *Log) { l.maxAge = age }
}

// WithLogClock replaces the clock that stamps and expires records. Waits and
// delays always use the timers of the standard library.
func WithLogClock(now func() time.Time) LogOption {
	return func(l *Log) { l.now = now }
}

// NewLog returns an empty log. The caller must close it.
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

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) error {
	return l.faults.set(f, l.applyExpireRecords)
}

// applyExpireRecords drops all records if the ExpireRecords fault is set, and
// clears the fault, since it applies only at the moment when it is set.
func (l *Log) applyExpireRecords(f *Faults) {
	if f.ExpireRecords {
		l.ExpireAll()
	}
	f.ExpireRecords = false
}

// Close ends waiting reads, drops delayed appends that haven't started and
// waits for those that have. Later calls fail with cranfault.LogUnavailable.
func (l *Log) Close() error {
	l.timers.close()
	return nil
}

// Append implements cranplatform.Log for an unnamed client.
func (l *Log) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	return l.ForClient("").Append(ctx, name, payloads)
}

// Read implements cranplatform.Log for an unnamed client.
func (l *Log) Read(ctx context.Context, name string, from uint64, maxRecords, waitMs int) (cranplatform.Batch, error) {
	return l.ForClient("").Read(ctx, name, from, maxRecords, waitMs)
}

// ForClient returns the log as the named client sees it, so that a fault can
// make the log unreachable for that client only.
func (l *Log) ForClient(client string) cranplatform.Log {
	return &logClient{log: l, client: client}
}

// Expire drops the records of a stream below an offset. An offset beyond the
// end of the stream drops the existing records only.
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

// RecordCount returns the number of kept records in all streams.
func (l *Log) RecordCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, s := range l.streams {
		total += len(s.records)
	}
	return total
}

// Counters returns the traffic counters of every stream, sorted by name.
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

// append adds payloads to a stream, twice if duplicate is set, and returns the
// offset of the first record.
func (l *Log) append(name string, payloads [][]byte, duplicate bool) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.openStream(name)
	if err != nil {
		return 0, err
	}
	now := l.now().UnixMilli()
	first := s.append(payloads, now)
	if duplicate {
		s.append(payloads, now)
	}
	s.limitRecords(l.retention)
	l.dropExpired(s)
	return first, nil
}

// openStream returns the named stream and creates it if it doesn't exist.
func (l *Log) openStream(name string) (*stream, error) {
	if s := l.streams[name]; s != nil {
		return s, nil
	}
	if len(l.streams) >= maxStreams {
		return nil, cranfault.New(cranfault.TooLarge, "use fewer streams", "the log holds the maximum of %d streams", maxStreams)
	}
	s := newStream(name)
	l.streams[name] = s
	close(l.created)
	l.created = make(chan struct{})
	return s, nil
}

// dropExpired drops the records that are older than maxAge.
func (l *Log) dropExpired(s *stream) {
	if l.maxAge > 0 {
		s.dropOlder(l.now().Add(-l.maxAge).UnixMilli())
	}
}

// readAvailable returns the records that are available now, and a channel that
// is closed when the stream changes or, if it doesn't exist, when any stream is
// created.
func (l *Log) readAvailable(name string, from uint64, maxRecords int) (cranplatform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[name]
	batch := cranplatform.Batch{TimeMs: l.now().UnixMilli()}
	if s == nil {
		return batch, l.created, nil
	}
	l.dropExpired(s)
	batch.Oldest = s.oldest
	batch.Next = s.next()
	if from < s.oldest {
		remedy := "start again from a snapshot"
		return batch, nil, cranfault.New(cranfault.RecordsExpired, remedy,
			"stream %s keeps records from offset %d on, but the read starts at %d", name, s.oldest, from)
	}
	batch.Records = s.readFrom(from, maxRecords)
	return batch, s.changed, nil
}

// logClient implements cranplatform.Log for one client.
type logClient struct {
	log    *Log
	client string
}

// Append implements cranplatform.Log.
func (c *logClient) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	if err := checkAppend(name, payloads); err != nil {
		return 0, err
	}
	if err := c.checkReachable(ctx); err != nil {
		return 0, err
	}
	delay := c.log.delay()
	if delay == 0 {
		o := c.appendWithFaults(name, payloads)
		return o.first, o.err
	}
	outcome := make(chan appendOutcome, 1)
	if !c.log.timers.schedule(delay, func() { outcome <- c.appendWithFaults(name, payloads) }) {
		return 0, closedFault()
	}
	select {
	case o := <-outcome:
		return o.first, o.err
	case <-ctx.Done():
		return 0, contextFault(ctx)
	case <-c.log.timers.closed():
		return 0, closedFault()
	}
}

// appendOutcome is the result of an append.
type appendOutcome struct {
	first uint64
	err   error
}

// appendWithFaults appends the payloads and applies the injected faults.
func (c *logClient) appendWithFaults(name string, payloads [][]byte) appendOutcome {
	if err := c.log.faults.checkLogAccess(c.client); err != nil {
		return appendOutcome{err: err}
	}
	duplicate, lose := c.log.faults.nextAppendFaults()
	first, err := c.log.append(name, payloads, duplicate)
	if err == nil && lose {
		err = newResponseLost(cranfault.LogUnavailable)
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
		if err := c.checkReachable(ctx); err != nil {
			return cranplatform.Batch{}, err
		}
		batch, changed, err := c.log.readAvailable(name, from, maxRecords)
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

// checkReachable returns an error if the log is closed or the client can't
// reach it.
func (c *logClient) checkReachable(ctx context.Context) error {
	if ctx.Err() != nil {
		return contextFault(ctx)
	}
	select {
	case <-c.log.timers.closed():
		return closedFault()
	default:
		ctx, cancel := c.log.timers.cancelOnClose(ctx)
		defer cancel()
		return c.log.faults.checkOrHang(ctx, func() error { return c.log.faults.checkLogAccess(c.client) })
	}
}

// pause waits for a delay and returns an error if the context ends or the log
// is closed meanwhile.
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
		return contextFault(ctx)
	case <-c.log.timers.closed():
		return closedFault()
	}
}

// delay returns the injected delay of each call.
func (l *Log) delay() time.Duration {
	return time.Duration(l.faults.get().LogDelayMs) * time.Millisecond
}

// contextFault returns the error of a call whose context has ended. A passed
// deadline is reported as LogUnavailable, any other end as Cancelled.
func contextFault(ctx context.Context) error {
	kind := cranfault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = cranfault.LogUnavailable
	}
	fault := cranfault.New(kind, "read the state to find out whether the call took effect, then try again", "the call's context ended")
	return fmt.Errorf("%w: %w", fault, ctx.Err())
}

func closedFault() error {
	return unavailable(cranfault.LogUnavailable, "the log is closed")
}
