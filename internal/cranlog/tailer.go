package cranlog

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Position says how far a tailer has come.
type Position struct {
	next        uint64
	end         uint64
	oldest      uint64
	platformMs  int64
	lastContact time.Time
}

// Next returns the offset of the record that is delivered next.
func (p Position) Next() uint64 { return p.next }

// End returns the offset after the last record of the log, as of the last
// contact with it or the last relayed record.
func (p Position) End() uint64 { return p.end }

// Oldest returns the lowest offset kept, as of the last contact.
func (p Position) Oldest() uint64 { return p.oldest }

// PlatformMs returns the platform's clock at the last contact, in
// milliseconds since the epoch.
func (p Position) PlatformMs() int64 { return p.platformMs }

// LastContact returns the local time, with its monotonic reading, at which
// the last successful read of the log itself was sent; zero before the first.
// What the read answered was true at that time or later.
func (p Position) LastContact() time.Time { return p.lastContact }

// CaughtUp reports whether all records known to be in the log were delivered.
// It is false before the first contact.
func (p Position) CaughtUp() bool {
	return !p.lastContact.IsZero() && p.next >= p.end
}

// Tailer delivers the records of one stream in offset order without gaps.
type Tailer struct {
	log      cranplatform.Log
	stream   string
	handler  func(Entry)
	settings settings
	cancel   context.CancelFunc
	done     chan struct{}

	// delivery serialises the handler; it is taken before mu.
	delivery sync.Mutex
	mu       sync.Mutex
	position Position
	recent   ring
	// err is the fault that ended the tailer; nil while it runs.
	err error
}

// NewTailer starts a tailer at an offset. The handler gets every record from
// there on, malformed ones included, from one goroutine at a time; it must
// not call DeliverRelayed or Close.
func NewTailer(
	log cranplatform.Log, stream string, from uint64, handler func(Entry), options ...Option,
) *Tailer {
	ctx, cancel := context.WithCancel(context.Background())
	s := newSettings(options)
	t := &Tailer{
		log:      log,
		stream:   stream,
		handler:  handler,
		settings: s,
		cancel:   cancel,
		done:     make(chan struct{}),
		position: Position{next: from},
		recent:   ring{maxRecords: s.ringRecords, maxBytes: s.ringBytes},
	}
	go t.run(ctx)
	return t
}

// Next returns the offset of the record that is delivered next.
func (t *Tailer) Next() uint64 { return t.Position().next }

// LastContact returns when the last successful read of the log itself was
// sent.
func (t *Tailer) LastContact() time.Time { return t.Position().lastContact }

// Position returns how far the tailer has come.
func (t *Tailer) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// RecentFrom returns the recent records from an offset on, for a peer. It reports
// false if the records kept don't reach back so far.
func (t *Tailer) RecentFrom(offset uint64) ([]cranplatform.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.since(offset, t.position.next)
}

// Done is closed when the tailer has ended, by Close or by a fault.
func (t *Tailer) Done() <-chan struct{} { return t.done }

// Err returns the fault that ended the tailer: cranfault.RecordsExpired when
// the log no longer keeps the next record, or nil.
func (t *Tailer) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Close ends the tailer and waits until its handler has returned; DeliverRelayed
// delivers nothing after it.
func (t *Tailer) Close() error {
	t.cancel()
	<-t.done
	t.delivery.Lock()
	defer t.delivery.Unlock()
	return nil
}

// DeliverRelayed applies records relayed by a peer, which must be in offset order. It
// passes over those already delivered and refuses with cranfault.Conflict
// records that leave a gap. It returns the number of records delivered.
func (t *Tailer) DeliverRelayed(records []cranplatform.Record) (int, error) {
	t.delivery.Lock()
	defer t.delivery.Unlock()
	err := t.ended()
	if err != nil {
		return 0, err
	}
	delivered, gap := t.deliver(records)
	if !gap {
		return delivered, nil
	}
	t.settings.count(ReasonRelayGap)
	return delivered, cranfault.New(cranfault.Conflict,
		"relay the records from the offset wanted on, or leave it to the log",
		"the records relayed for %s don't continue at offset %d", t.stream, t.Next())
}

// ended returns why nothing more is delivered, or nil.
func (t *Tailer) ended() error {
	err := t.Err()
	if err != nil {
		return err
	}
	select {
	case <-t.done:
		return cranfault.New(cranfault.Cancelled, "start another tailer",
			"the tailer of %s is closed", t.stream)
	default:
		return nil
	}
}

// deliver hands over the records that continue the stream, and reports
// whether it met a gap. The caller holds delivery.
func (t *Tailer) deliver(records []cranplatform.Record) (delivered int, gap bool) {
	for _, record := range records {
		next := t.Next()
		if record.Offset < next {
			continue
		}
		if record.Offset > next {
			return delivered, true
		}
		t.deliverOne(record)
		delivered++
	}
	return delivered, false
}

func (t *Tailer) deliverOne(record cranplatform.Record) {
	entry, err := Decode(record)
	if err != nil {
		t.settings.count(ReasonMalformed)
	}
	t.handler(entry)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.add(record)
	t.position.next = record.Offset + 1
	t.position.end = max(t.position.end, t.position.next)
}
