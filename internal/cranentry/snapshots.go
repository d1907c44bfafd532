package cranentry

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransnapshot"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	// snapshotInterval is how often the lease holder looks whether a
	// snapshot is due.
	snapshotInterval = time.Second
	// snapshotTimeout bounds the writing of one.
	snapshotTimeout = 30 * time.Second
)

// lastSnapshot is what the lease holder knows of the latest snapshot.
type lastSnapshot struct {
	looked  bool
	written bool
	offset  uint64
	at      time.Time
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
			if !e.performer.holds(ctx) {
				// Another holder may write meanwhile.
				last = lastSnapshot{}
				continue
			}
			e.keepSnapshot(ctx, &last)
		}
	}
}

// keepSnapshot writes a snapshot if one is due.
func (e *Entry) keepSnapshot(ctx context.Context, last *lastSnapshot) {
	if !last.looked {
		e.lookForSnapshot(ctx, last)
	}
	next, err := read(ctx, e.control, func(s *cranstate.State) uint64 { return s.Next() })
	if err != nil {
		return
	}
	due := e.policy.Due(cransnapshot.Situation{
		Oldest: e.tailer.Load().Position().Oldest(), Next: next,
		Written: last.written, Offset: last.offset, Age: time.Since(last.at),
	})
	if due != cransnapshot.ReasonNone {
		e.writeSnapshot(ctx, last)
	}
}

// lookForSnapshot finds out what an earlier holder has written. Its age is
// not known, so it counts as just written.
func (e *Entry) lookForSnapshot(ctx context.Context, last *lastSnapshot) {
	bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snap, err := cransnapshot.LoadLatest(bounded, e.log, e.snapshots)
	*last = lastSnapshot{looked: true, at: time.Now()}
	if err == nil {
		last.written, last.offset = true, snap.Offset()
	}
}

func (e *Entry) writeSnapshot(ctx context.Context, last *lastSnapshot) {
	bounded, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snap, err := e.snapshot(bounded)
	if err == nil {
		err = cransnapshot.Write(bounded, e.log, e.snapshots, snap)
	}
	if err != nil {
		e.report.emit(cranevent.SnapshotFailed, cranevent.Offset(snap.Offset()), cranevent.Err(err))
		return
	}
	*last = lastSnapshot{looked: true, written: true, offset: snap.Offset(), at: time.Now()}
	e.report.emit(cranevent.SnapshotWritten, cranevent.Offset(snap.Offset()), cranevent.Bytes(len(snap.State())))
}
