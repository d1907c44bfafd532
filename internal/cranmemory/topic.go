// Package cranmemory implements a topic of a keyed store in memory, for tests and
// for stand-ins of the platform. It supports fenced appends, reads that wait for
// the next record, and the newest record of each key.
package cranmemory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// pageSize is the highest number of records in a page of newest records.
	pageSize = 500
	// maxRepeatableAppends is how many of a producer's newest appends are
	// recognised as repeats.
	maxRepeatableAppends = 5
)

// Topic implements cranstore.Topic in memory.
type Topic struct {
	mu sync.Mutex
	// records holds the retained records; first is the offset of the first of
	// them.
	records []cranstore.Record
	first   uint64
	// newest holds the newest record of each key.
	newest map[string]cranstore.Record
	// changed is closed and replaced at each append.
	changed   chan struct{}
	producers map[string]*producer
}

type producer struct {
	epoch, sequence uint64
	// firstOffsets maps the newest sequence numbers to the offset of the first
	// record of their append, which a repeat returns again.
	firstOffsets map[uint64]uint64
}

// New returns an empty topic.
func New() *Topic {
	return &Topic{newest: map[string]cranstore.Record{}, changed: make(chan struct{}), producers: map[string]*producer{}}
}

func (t *Topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Append adds records, all or none, and returns the offset of the first.
func (t *Topic) Append(_ context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.Producer == "" {
		return t.add(records), nil
	}
	p := t.producers[o.Producer]
	switch {
	case p != nil && o.Epoch < p.epoch:
		return 0, &cranstore.FencedError{Epoch: p.epoch}
	case p == nil || o.Epoch > p.epoch:
		p = &producer{epoch: o.Epoch, firstOffsets: map[uint64]uint64{}}
		t.producers[o.Producer] = p
	default:
		if first, repeat := p.firstOffsets[o.Sequence]; repeat {
			return first, nil
		}
		if o.Sequence != p.sequence+1 {
			return 0, &cranstore.SequenceError{Expected: p.sequence + 1}
		}
	}
	if len(records) == 0 {
		// The store counts no append without records.
		return t.end(), nil
	}
	p.sequence = o.Sequence
	p.firstOffsets[o.Sequence] = t.add(records)
	delete(p.firstOffsets, o.Sequence-maxRepeatableAppends)
	return p.firstOffsets[o.Sequence], nil
}

// Put appends one record without fencing.
func (t *Topic) Put(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add([]cranstore.Record{{Key: key, Value: value}})
}

// add appends records and returns the offset of the first. The caller holds the
// lock.
func (t *Topic) add(records []cranstore.Record) uint64 {
	first := t.end()
	for _, r := range records {
		r.Offset = t.end()
		t.records = append(t.records, r)
		t.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// Read returns the records from an offset on. It waits for the first of them if there
// is none yet.
func (t *Topic) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	timer := time.NewTimer(o.Wait)
	defer timer.Stop()
	for {
		batch, changed, err := t.readAvailable(from, o.MaxBytes)
		if err != nil || len(batch.Records) > 0 || o.Wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return cranstore.Batch{}, ctx.Err()
		}
	}
}

// readAvailable returns the present records from an offset on, up to a total size, and a
// channel that is closed at the next append.
func (t *Topic) readAvailable(from uint64, maxBytes int) (cranstore.Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < t.first {
		return cranstore.Batch{}, nil, cranstore.ErrExpired
	}
	batch := cranstore.Batch{Next: from, End: t.end()}
	if from < t.end() {
		batch.Records = slices.Clone(limitBytes(t.records[from-t.first:], maxBytes))
		batch.Next = from + uint64(len(batch.Records))
	}
	return batch, t.changed, nil
}

// limitBytes returns the first record and those after it that fit into maxBytes together
// with it; 0 means no limit.
func limitBytes(records []cranstore.Record, maxBytes int) []cranstore.Record {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value)
		if maxBytes > 0 && size > maxBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// First returns the oldest retained offset.
func (t *Topic) First() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first
}

// End returns the offset of the next append.
func (t *Topic) End(context.Context, uint64) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end(), nil
}

// Newest returns a page of the newest record of each key, in order of key, that
// starts after a key.
func (t *Topic) Newest(_ context.Context, after string, _ func(bytes int)) (cranstore.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := cranstore.Page{End: t.end()}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if page.More = len(page.Records) == pageSize; page.More {
			break
		}
		page.Records = append(page.Records, t.newest[key])
	}
	return page, nil
}

// ExpireAll drops all retained records, so that reads of them return
// cranstore.ErrExpired. The newest record of each key remains.
func (t *Topic) ExpireAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = t.end()
	t.records = nil
}
