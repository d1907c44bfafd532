package cransnapshot

import (
	"context"
	"errors"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// maxAssemblies bounds the snapshots that are gathered at a time; beyond it
// those of the lowest offsets are given up.
const maxAssemblies = 16

// LoadLatest returns the latest whole snapshot of a stream: it reads backwards
// from the end, and of the whole ones that it meets first it takes the one
// with the highest offset. It fails with cranfault.NotReady if the stream
// holds none, and otherwise with the errors of the log, which it doesn't
// retry.
func LoadLatest(ctx context.Context, log cranplatform.Log, stream string, options ...Option) (Snapshot, error) {
	l := loader{log: log, stream: stream, settings: newSettings(options), gathered: map[identity]*assembly{}}
	bounds, err := l.bounds(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	oldest, end := bounds.Oldest(), bounds.Next()
	for end > oldest {
		from := max(oldest, end-min(end, l.settings.windowRecords))
		oldest, err = l.window(ctx, from, end, oldest)
		if err != nil {
			return Snapshot{}, err
		}
		if l.settled() {
			break
		}
		end = from
	}
	if !l.found {
		return Snapshot{}, cranfault.New(cranfault.NotReady, "start at offset zero or take a peer's snapshot",
			"the stream %s holds no whole snapshot", stream)
	}
	return l.best, nil
}

// loader looks for the latest whole snapshot.
type loader struct {
	log      cranplatform.Log
	stream   string
	settings settings
	// gathered holds the snapshots above the best that are not whole yet; at
	// most maxAssemblies.
	gathered map[identity]*assembly
	best     Snapshot
	found    bool
}

// settled reports whether a whole snapshot was found and no later one can be
// completed by older records: chunks are written in order, so nothing older
// belongs to a snapshot whose first chunk was met.
func (l *loader) settled() bool {
	for _, a := range l.gathered {
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

// window takes in the records of [from, end) and returns the oldest offset
// kept, which moves when records expire meanwhile.
func (l *loader) window(ctx context.Context, from, end, oldest uint64) (uint64, error) {
	for from < end {
		batch, err := l.read(ctx, from, int(end-from))
		if errors.Is(err, cranfault.MatchKind(cranfault.RecordsExpired)) {
			bounds, err := l.bounds(ctx)
			if err != nil {
				return oldest, err
			}
			oldest = max(bounds.Oldest(), from+1)
			from = oldest
			continue
		}
		if err != nil {
			return oldest, err
		}
		if len(batch.Records) == 0 {
			return oldest, nil
		}
		for _, record := range batch.Records {
			l.take(record.Data)
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

// take adds a record to the snapshot that it belongs to.
func (l *loader) take(data []byte) {
	c, sound := decodeChunk(data)
	if !sound || (l.found && c.ID.Offset <= l.best.offset) {
		return
	}
	a := l.gathered[c.ID]
	if a == nil {
		a = newAssembly(c.ID)
		l.gathered[c.ID] = a
	}
	a.add(c)
	s, whole := a.whole()
	if whole {
		l.adopt(s)
	}
	l.bound()
}

// adopt makes s the best and gives up what is not later than it.
func (l *loader) adopt(s Snapshot) {
	l.best = s
	l.found = true
	for id := range l.gathered {
		if id.Offset <= s.offset {
			delete(l.gathered, id)
		}
	}
}

// bound gives up the snapshot of the lowest offset when too many are open.
func (l *loader) bound() {
	if len(l.gathered) <= maxAssemblies {
		return
	}
	var lowest *assembly
	for _, a := range l.gathered {
		if lowest == nil || less(a.id, lowest.id) {
			lowest = a
		}
	}
	delete(l.gathered, lowest.id)
}

// less orders snapshots by offset, then by the rest, so that the choice is
// the same in every run.
func less(a, b identity) bool {
	if a.Offset != b.Offset {
		return a.Offset < b.Offset
	}
	if a.Digest != b.Digest {
		return a.Digest < b.Digest
	}
	return a.Count < b.Count
}
