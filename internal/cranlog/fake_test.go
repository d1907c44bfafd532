package cranlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

var errDown = errors.New("the log is down")

// appendFault is what the fake does with one append.
type appendFault int

const (
	faultNone appendFault = iota
	// faultLostAnswer: takes effect, then fails.
	faultLostAnswer
	// faultRefused: fails without effect.
	faultRefused
	// faultLate: fails, and takes effect some time later.
	faultLate
	// faultPrefix: the first record takes effect, then it fails.
	faultPrefix
	// faultSilent: no answer until the caller gives up, no effect.
	faultSilent
)

// lateBy is how long after its failure a late append takes effect.
const lateBy = 300 * time.Millisecond

// fakeLog is one stream in memory, with faults.
type fakeLog struct {
	mu      sync.Mutex
	records []cranplatform.Record
	oldest  uint64
	down    bool
	faults  []appendFault
	appends int
	note    func(format string, args ...any)
	// readDelay is how long an answer with records is under way.
	readDelay time.Duration
	changed   chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{}), note: func(string, ...any) {}}
}

func (f *fakeLog) Append(ctx context.Context, _ string, payloads [][]byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	fault := faultNone
	if len(f.faults) > 0 {
		fault = f.faults[0]
		f.faults = f.faults[1:]
	}
	first := uint64(len(f.records))
	switch {
	case fault == faultSilent:
		f.note("append of %d: no answer", len(payloads))
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, ctx.Err()
	case f.down || fault == faultRefused:
		f.note("append of %d: refused", len(payloads))
		return 0, errDown
	case fault == faultLate:
		f.note("append of %d: failed, takes effect later", len(payloads))
		time.AfterFunc(lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.add(payloads)
		})
		return 0, errDown
	case fault == faultPrefix:
		f.note("append of %d: one took effect, failed", len(payloads))
		f.add(payloads[:1])
		return 0, errDown
	}
	f.add(payloads)
	if fault == faultLostAnswer {
		f.note("append of %d at offset %d: answer lost", len(payloads), first)
		return 0, errDown
	}
	f.note("append of %d at offset %d: answered", len(payloads), first)
	return first, nil
}

// add holds mu.
func (f *fakeLog) add(payloads [][]byte) {
	for _, p := range payloads {
		f.records = append(f.records, cranplatform.Record{
			Offset: uint64(len(f.records)), TimeMs: time.Now().UnixMilli(), Data: p,
		})
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeLog) Read(ctx context.Context, _ string, from uint64, limit, waitMs int) (cranplatform.Batch, error) {
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		batch, changed, err := f.look(from, limit)
		if err != nil || len(batch.Records) > 0 {
			time.Sleep(f.readDelay)
			return batch, err
		}
		select {
		case <-ctx.Done():
			return cranplatform.Batch{}, ctx.Err()
		case <-timer.C:
			return batch, nil
		case <-changed:
		}
	}
}

func (f *fakeLog) look(from uint64, limit int) (cranplatform.Batch, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return cranplatform.Batch{}, nil, errDown
	}
	if from < f.oldest {
		return cranplatform.Batch{}, nil, cranfault.New(cranfault.RecordsExpired, "load a snapshot", "gone")
	}
	next := uint64(len(f.records))
	batch := cranplatform.Batch{Oldest: f.oldest, Next: next, TimeMs: time.Now().UnixMilli()}
	if from < next {
		batch.Records = append(batch.Records, f.records[from:min(next, from+uint64(limit))]...)
	}
	return batch, f.changed, nil
}

func (f *fakeLog) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeLog) expire(oldest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldest = oldest
}

func (f *fakeLog) inject(faults ...appendFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, faults...)
}

func (f *fakeLog) appendCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appends
}

func (f *fakeLog) put(payloads ...[]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(payloads)
}

func (f *fakeLog) all() []cranplatform.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]cranplatform.Record(nil), f.records...)
}

// counts gathers the reasons counted.
type counts struct {
	mu sync.Mutex
	by map[Reason]int
}

func newCounts() *counts { return &counts{by: map[Reason]int{}} }

func (c *counts) add(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[r]++
}

func (c *counts) of(r Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[r]
}
