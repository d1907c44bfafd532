package cranentry

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransnapshot"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	// snapshotInterval is how often the lease holder checks whether a snapshot
	// is due.
	snapshotInterval = time.Second
	// snapshotTimeout is the maximum time to load or write a snapshot.
	snapshotTimeout = 30 * time.Second
)

// lastSnapshot describes the latest snapshot in the log, as far as the lease holder
// knows.
type lastSnapshot struct {
	// loaded is set once the log was searched for a snapshot.
	loaded bool
	// written is set if there is a snapshot, at offset.
	written   bool
	offset    uint64
	writtenAt time.Time
}

// snapshotLoop writes snapshots while this entry holds the effects lease.
func (e *Entry) snapshotLoop(ctx context.Context) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	var last lastSnapshot
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !e.reconciler.holdsLease(ctx) {
				// Another lease holder may write a snapshot in the meantime.
				last = lastSnapshot{}
				continue
			}
			e.writeSnapshotIfDue(ctx, &last)
		}
	}
}

// writeSnapshotIfDue writes a snapshot if one is due.
func (e *Entry) writeSnapshotIfDue(ctx context.Context, last *lastSnapshot) {
	if !last.loaded {
		e.findLatestSnapshot(ctx, last)
	}
	next, err := read(ctx, e.control, func(s *cranstate.State) uint64 { return s.Next() })
	if err != nil {
		return
	}
	due := e.policy.Due(cransnapshot.PolicyInput{
		Oldest: e.tailer.Load().Position().Oldest(), Next: next,
		HasSnapshot: last.written, SnapshotOffset: last.offset, SnapshotAge: time.Since(last.writtenAt),
	})
	if due != cransnapshot.ReasonNone {
		e.writeSnapshot(ctx, last)
	}
}

// findLatestSnapshot loads the offset of the latest snapshot, which an earlier
// lease holder may have written. Its age is unknown, so it counts as just written.
func (e *Entry) findLatestSnapshot(ctx context.Context, last *lastSnapshot) {
	boundedCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snap, err := cransnapshot.LoadLatest(boundedCtx, e.log, e.snapshotStream)
	*last = lastSnapshot{loaded: true, writtenAt: time.Now()}
	if err == nil {
		last.written, last.offset = true, snap.Offset()
	}
}

// writeSnapshot writes a snapshot of the current state to the log.
func (e *Entry) writeSnapshot(ctx context.Context, last *lastSnapshot) {
	boundedCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snap, err := e.snapshot(boundedCtx)
	if err == nil {
		err = cransnapshot.Write(boundedCtx, e.log, e.snapshotStream, snap)
	}
	if err != nil {
		e.reporter.emit(cranevent.SnapshotFailed, cranevent.Offset(snap.Offset()), cranevent.Err(err))
		return
	}
	*last = lastSnapshot{loaded: true, written: true, offset: snap.Offset(), writtenAt: time.Now()}
	e.reporter.emit(cranevent.SnapshotWritten, cranevent.Offset(snap.Offset()), cranevent.Bytes(len(snap.State())))
}
