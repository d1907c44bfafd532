package cransnapshot

import (
	"context"
	"errors"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranwindow"
)

// maxAssemblies is the maximum number of incomplete snapshots that a loader holds.
// Beyond it, the loader discards the snapshot with the lowest offset.
const maxAssemblies = 16

// LoadLatest returns the latest complete snapshot of a stream. It reads windows of
// records backwards from the end of the stream, and stops once it has a complete
// snapshot and older records can't complete a later one. Of the complete snapshots
// read, it returns the one with the highest offset. It fails with
// cranfault.NotReady if the stream has no complete snapshot. It returns errors of
// the log without retrying, unless a smaller read may succeed.
func LoadLatest(ctx context.Context, log cranplatform.Log, stream string, options ...Option) (Snapshot, error) {
	l := loader{log: log, stream: stream, settings: newSettings(options), partial: map[identity]*assembly{}}
	l.window = cranwindow.New(int(l.settings.windowRecords), 1, int(l.settings.windowRecords))
	bounds, err := l.bounds(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	oldest, end := bounds.Oldest(), bounds.Next()
	for end > oldest {
		from := max(oldest, end-min(end, l.settings.windowRecords))
		oldest, err = l.readWindow(ctx, from, end, oldest)
		if err != nil {
			return Snapshot{}, err
		}
		if l.canStop() {
			break
		}
		end = from
	}
	if !l.found {
		return Snapshot{}, cranfault.New(cranfault.NotReady, "start at offset zero or load a peer's snapshot",
			"the stream %s has no complete snapshot", stream)
	}
	return l.best, nil
}

// loader searches a stream for the latest complete snapshot.
type loader struct {
	log      cranplatform.Log
	stream   string
	settings settings
	// window is the number of records that the next read requests at most.
	window *cranwindow.Window
	// partial holds the incomplete snapshots that are later than best, at most
	// maxAssemblies.
	partial map[identity]*assembly
	// best is the complete snapshot with the highest offset read so far; found is
	// set once there is one.
	best  Snapshot
	found bool
}

// canStop reports whether a complete snapshot was found and no later one can be
// completed by older records. Chunks are written in order, so no older record
// belongs to a snapshot whose first chunk was read.
func (l *loader) canStop() bool {
	for _, a := range l.partial {
		_, started := a.parts[0]
		if !started {
			return false
		}
	}
	return l.found
}

func (l *loader) bounds(ctx context.Context) (cranlog.Bounds, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.attemptTimeout)
	defer cancel()
	return cranlog.ReadBounds(ctx, l.log, l.stream)
}

// readWindow reads the records in [from, end) and adds their chunks. It returns the
// oldest offset that the stream keeps, which grows when records expire during the
// read.
func (l *loader) readWindow(ctx context.Context, from, end, oldest uint64) (uint64, error) {
	for from < end {
		batch, err := l.read(ctx, from, min(int(end-from), l.window.Size()))
		if errors.Is(err, cranfault.MatchKind(cranfault.RecordsExpired)) {
			bounds, err := l.bounds(ctx)
			if err != nil {
				return oldest, err
			}
			oldest = max(bounds.Oldest(), from+1)
			from = oldest
			continue
		}
		if err != nil && l.window.Size() > 1 && ctx.Err() == nil {
			// The records may take longer than one read may last.
			l.window.Shrink()
			continue
		}
		if err != nil {
			return oldest, err
		}
		if len(batch.Records) == 0 {
			return oldest, nil
		}
		for _, record := range batch.Records {
			l.addRecord(record.Data)
		}
		from += uint64(len(batch.Records))
	}
	return oldest, nil
}

func (l *loader) read(ctx context.Context, from uint64, records int) (cranplatform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.attemptTimeout)
	defer cancel()
	return l.log.Read(ctx, l.stream, from, records, 0)
}

// addRecord adds the chunk in a record to the snapshot that it belongs to.
func (l *loader) addRecord(data []byte) {
	c, valid := decodeChunk(data)
	if !valid || (l.found && c.ID.Offset <= l.best.offset) {
		return
	}
	a := l.partial[c.ID]
	if a == nil {
		a = newAssembly(c.ID)
		l.partial[c.ID] = a
	}
	a.add(c)
	s, complete := a.complete()
	if complete {
		l.setBest(s)
	}
	l.discardLowest()
}

// setBest makes s the best snapshot and discards partial ones that aren't later.
func (l *loader) setBest(s Snapshot) {
	l.best = s
	l.found = true
	for id := range l.partial {
		if id.Offset <= s.offset {
			delete(l.partial, id)
		}
	}
}

// discardLowest discards the partial snapshot with the lowest offset if there are
// more than maxAssemblies.
func (l *loader) discardLowest() {
	if len(l.partial) <= maxAssemblies {
		return
	}
	var lowest *assembly
	for _, a := range l.partial {
		if lowest == nil || lessIdentity(a.id, lowest.id) {
			lowest = a
		}
	}
	delete(l.partial, lowest.id)
}

// lessIdentity orders snapshots by offset, then by digest and by number of chunks,
// so that the order is deterministic.
func lessIdentity(a, b identity) bool {
	if a.Offset != b.Offset {
		return a.Offset < b.Offset
	}
	if a.Digest != b.Digest {
		return a.Digest < b.Digest
	}
	return a.Count < b.Count
}
