package cranlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

var errDown = errors.New("the log is down")

// appendFault is how the fake log handles one append.
type appendFault int

const (
	faultNone appendFault = iota
	// faultLostResponse makes the append take effect and then fail.
	faultLostResponse
	// faultRefused makes the append fail without effect.
	faultRefused
	// faultLate makes the append fail and take effect after lateDelay.
	faultLate
	// faultPrefix makes the append fail after its first record has taken effect.
	faultPrefix
	// faultSilent makes the append block without effect until its context ends.
	faultSilent
)

// lateDelay is the time between the failure of an append and its late effect.
const lateDelay = 300 * time.Millisecond

// fakeLog is a log of one stream in memory that can inject faults.
type fakeLog struct {
	mu      sync.Mutex
	records []cranplatform.Record
	oldest  uint64
	down    bool
	faults  []appendFault
	appends int
	logf    func(format string, args ...any)
	// readDelay delays the responses that have records.
	readDelay time.Duration
	// recordTime is how long each record of a response takes to arrive.
	recordTime time.Duration
	changed    chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{}), logf: func(string, ...any) {}}
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
		f.logf("append of %d: no response", len(payloads))
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, ctx.Err()
	case f.down || fault == faultRefused:
		f.logf("append of %d: refused", len(payloads))
		return 0, errDown
	case fault == faultLate:
		f.logf("append of %d: failed, takes effect later", len(payloads))
		time.AfterFunc(lateDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.add(payloads)
		})
		return 0, errDown
	case fault == faultPrefix:
		f.logf("append of %d: failed after the first took effect", len(payloads))
		f.add(payloads[:1])
		return 0, errDown
	}
	f.add(payloads)
	if fault == faultLostResponse {
		f.logf("append of %d at offset %d: response lost", len(payloads), first)
		return 0, errDown
	}
	f.logf("append of %d at offset %d: confirmed", len(payloads), first)
	return first, nil
}

// add appends records. The caller holds mu.
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
		batch, changed, err := f.readNow(from, limit)
		if err != nil || len(batch.Records) > 0 {
			time.Sleep(f.readDelay)
			cranpause.Sleep(ctx, time.Duration(len(batch.Records))*f.recordTime)
			if err == nil && f.recordTime > 0 && ctx.Err() != nil {
				return cranplatform.Batch{}, ctx.Err()
			}
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

func (f *fakeLog) readNow(from uint64, limit int) (cranplatform.Batch, chan struct{}, error) {
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

// counts records how often each reason was counted.
type counts struct {
	mu       sync.Mutex
	byReason map[Reason]int
}

func newCounts() *counts { return &counts{byReason: map[Reason]int{}} }

func (c *counts) add(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byReason[r]++
}

func (c *counts) count(r Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byReason[r]
}
