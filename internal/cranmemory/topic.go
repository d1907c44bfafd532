// Package cranmemory is a topic in memory, for tests and stand-ins: fenced
// appends, reads that wait, and the newest record of each key.
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
	// pageSize is the most records of one page of newest records.
	pageSize = 500
	// repeats is how many of a producer's newest appends may be repeated.
	repeats = 5
)

// Topic implements cranstore.Topic.
type Topic struct {
	mu sync.Mutex
	// records are retained from the offset first on.
	records []cranstore.Record
	first   uint64
	newest  map[string]cranstore.Record
	// changed is closed and replaced at each append.
	changed   chan struct{}
	producers map[string]*producer
}

type producer struct {
	epoch, sequence uint64
	// answers are the first answers to the newest sequence numbers.
	answers map[uint64]uint64
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
		p = &producer{epoch: o.Epoch, answers: map[uint64]uint64{}}
		t.producers[o.Producer] = p
	default:
		if first, repeat := p.answers[o.Sequence]; repeat {
			return first, nil
		}
		if o.Sequence != p.sequence+1 {
			return 0, &cranstore.SequenceError{Expected: p.sequence + 1}
		}
	}
	p.sequence = o.Sequence
	p.answers[o.Sequence] = t.add(records)
	delete(p.answers, o.Sequence-repeats)
	return p.answers[o.Sequence], nil
}

// Put adds a record of a writer that nobody fences.
func (t *Topic) Put(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add([]cranstore.Record{{Key: key, Value: value}})
}

// add adds records. The lock is held.
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

// Read returns the records from an offset on; it waits for the first.
func (t *Topic) Read(ctx context.Context, from uint64, wait time.Duration) (cranstore.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := t.look(from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
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

// look returns what there is from an offset on, and what closes at the next
// append.
func (t *Topic) look(from uint64) (cranstore.Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < t.first {
		return cranstore.Batch{}, nil, cranstore.ErrExpired
	}
	batch := cranstore.Batch{Next: from, End: t.end()}
	if from < t.end() {
		batch.Records, batch.Next = slices.Clone(t.records[from-t.first:]), t.end()
	}
	return batch, t.changed, nil
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

// Newest returns a page of the newest record of each key.
func (t *Topic) Newest(_ context.Context, after string) (cranstore.Page, error) {
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

// ExpireAll drops the history: readers have to load the newest records.
func (t *Topic) ExpireAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = t.end()
	t.records = nil
}
