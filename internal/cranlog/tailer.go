package cranlog

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranwindow"
)

// Position holds the progress of a tailer and what it knows about the log.
type Position struct {
	next        uint64
	end         uint64
	oldest      uint64
	platformMs  int64
	lastContact time.Time
}

// Next returns the offset of the next record to deliver.
func (p Position) Next() uint64 { return p.next }

// End returns the offset after the last known record of the log, as of the last
// read from the log or the last relayed record.
func (p Position) End() uint64 { return p.end }

// Oldest returns the lowest offset that the log kept at the last contact.
func (p Position) Oldest() uint64 { return p.oldest }

// PlatformMs returns the platform's clock at the last contact, in
// milliseconds since the Unix epoch.
func (p Position) PlatformMs() int64 { return p.platformMs }

// LastContact returns the local time, with its monotonic reading, at which the
// last successful read from the log was sent, or the zero time before the first.
// Records relayed by peers don't count as contact. The state that the read
// returned was current at that time or later.
func (p Position) LastContact() time.Time { return p.lastContact }

// CaughtUp reports whether all records known to be in the log were delivered.
// It is false before the first contact with the log.
func (p Position) CaughtUp() bool {
	return !p.lastContact.IsZero() && p.next >= p.end
}

// Tailer delivers the records of one stream in offset order without gaps.
type Tailer struct {
	log      cranplatform.Log
	stream   string
	handler  func(Entry)
	settings settings
	// window is the number of records that the next read requests. Only the reading
	// goroutine uses it.
	window *cranwindow.Window
	cancel context.CancelFunc
	done   chan struct{}

	// delivery serialises calls of the handler; it is locked before mu.
	delivery sync.Mutex
	mu       sync.Mutex
	position Position
	recent   ring
	// err is the fault that ended the tailer; nil while it runs.
	err error
}

// NewTailer starts a tailer at an offset. The handler gets every record from
// there on, malformed ones included. It is never called concurrently, and it must
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
		window:   cranwindow.New(s.readRecords, 1, s.readRecords),
		cancel:   cancel,
		done:     make(chan struct{}),
		position: Position{next: from},
		recent:   ring{maxRecords: s.ringRecords, maxBytes: s.ringBytes},
	}
	go t.run(ctx)
	return t
}

// Next returns the offset of the next record to deliver.
func (t *Tailer) Next() uint64 { return t.Position().next }

// LastContact returns when the last successful read from the log was sent.
func (t *Tailer) LastContact() time.Time { return t.Position().lastContact }

// Position returns the progress of the tailer.
func (t *Tailer) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// RecentFrom returns the next records from offset on, for relaying to a peer. It
// reports false if the tailer no longer holds the record at that offset.
func (t *Tailer) RecentFrom(offset uint64) ([]cranplatform.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.recordsFrom(offset, t.position.next)
}

// Done returns a channel that is closed when the tailer has ended, by Close or by
// a fault.
func (t *Tailer) Done() <-chan struct{} { return t.done }

// Err returns the fault that ended the tailer, which is cranfault.RecordsExpired
// if the log no longer keeps the next record. It is nil if the tailer runs or was
// ended by Close.
func (t *Tailer) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Close ends the tailer and waits until its handler has returned. DeliverRelayed
// delivers nothing afterwards.
func (t *Tailer) Close() error {
	t.cancel()
	<-t.done
	t.delivery.Lock()
	defer t.delivery.Unlock()
	return nil
}

// DeliverRelayed delivers records relayed by a peer, which must be in offset
// order. It skips records that were already delivered. At a gap it stops with
// cranfault.Conflict. It returns the number of records delivered.
func (t *Tailer) DeliverRelayed(records []cranplatform.Record) (int, error) {
	t.delivery.Lock()
	defer t.delivery.Unlock()
	err := t.endedErr()
	if err != nil {
		return 0, err
	}
	delivered, gap := t.deliver(records)
	if !gap {
		return delivered, nil
	}
	t.settings.count(ReasonRelayGap)
	return delivered, cranfault.New(cranfault.Conflict,
		"relay the records from that offset on, or let the tailer read the log",
		"the records relayed for %s don't continue at offset %d", t.stream, t.Next())
}

// endedErr returns the error of a tailer that has ended, or nil while it runs.
func (t *Tailer) endedErr() error {
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

// deliver passes the records that continue the stream to the handler, and reports
// whether it found a gap. The caller holds the delivery lock.
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
