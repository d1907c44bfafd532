package cranlog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// fixedRandom makes the jitter of delays the same in every run.
func fixedRandom() float64 { return 0.5 }

// writerTailer is a writer with the tailer that feeds it.
type writerTailer struct {
	writer *Writer
	tailer *Tailer
	counts *counts
}

func newWriterTailer(log *fakeLog, options ...Option) *writerTailer {
	p := &writerTailer{counts: newCounts()}
	options = append([]Option{WithRandom(fixedRandom), WithCounter(p.counts.add)}, options...)
	p.writer = NewWriter(log, "control", "a", options...)
	p.tailer = NewTailer(log, "control", 0, p.writer.Observe, options...)
	return p
}

func (p *writerTailer) close() {
	_ = p.writer.Close()
	_ = p.tailer.Close()
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func TestAppendReturnsFirstOccurrence(t *testing.T) {
	faults := map[string]struct {
		fault   appendFault
		records int
		reason  Reason
	}{
		"none":         {faultNone, 1, ""},
		"lostResponse": {faultLostResponse, 1, ReasonAppendFailed},
		"refused":      {faultRefused, 1, ReasonAppendFailed},
		"late":         {faultLate, 2, ReasonAppendFailed},
		"silent":       {faultSilent, 1, ReasonAppendTimeout},
	}
	for name, c := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				p := newWriterTailer(log)
				defer p.close()
				log.inject(c.fault)
				ctx, cancel := withTimeout(time.Minute)
				defer cancel()
				outcome, err := p.writer.Append(ctx, []byte("x"))
				require.NoError(t, err)
				require.Equal(t, uint64(0), outcome.Offset())
				require.Equal(t, uint64(1), outcome.Seq())
				time.Sleep(time.Second)
				require.Len(t, log.all(), c.records)
				if c.reason != "" {
					require.Equal(t, 1, p.counts.count(c.reason))
				}
			})
		})
	}
}

func TestBodiesAreBatchedWhileAppendIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log)
		defer p.close()
		log.inject(faultSilent)
		ctx, cancel := withTimeout(time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				_, err := p.writer.Append(ctx, fmt.Appendf(nil, "%d", i))
				require.NoError(t, err)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, log.appendCount(), 3)
		require.Len(t, log.all(), 50)
	})
}

func TestBatchWindowCollectsBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log, WithBatchWindow(10*time.Millisecond))
		defer p.close()
		ctx, cancel := withTimeout(time.Minute)
		defer cancel()
		for range 5 {
			_, err := p.writer.Submit(ctx, []byte("x"))
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, 1, log.appendCount())
		require.Len(t, log.all(), 5)
	})
}

func TestBatchSpacingLimitsAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log, WithBatchSpacing(100*time.Millisecond))
		defer p.close()
		start := time.Now()
		for range 2 {
			_, err := p.writer.Append(context.Background(), []byte("x"))
			require.NoError(t, err)
			require.Zero(t, time.Since(start), "a body that arrives after a pause is sent immediately")
			time.Sleep(time.Second)
			start = time.Now()
		}
		for range 95 {
			_, err := p.writer.Submit(context.Background(), []byte("x"))
			require.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Len(t, log.all(), 97)
		require.Equal(t, 2+11, log.appendCount())
	})
}

func TestAppendTimesOutWithOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log)
		defer p.close()
		log.setDown(true)
		ctx, cancel := withTimeout(3 * time.Second)
		defer cancel()
		_, err := p.writer.Append(ctx, []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Timeout))
		require.ErrorContains(t, err, "unknown")
		require.Equal(t, 1, p.writer.Backlog().Records())
		require.False(t, p.writer.Backlog().Since().IsZero())
		log.setDown(false)
		time.Sleep(10 * time.Second)
		require.Len(t, log.all(), 1)
		require.Equal(t, Backlog{}, p.writer.Backlog())
	})
}

func TestWriterRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log, WithMaxPending(2), WithMaxBatch(1, 100))
		log.setDown(true)
		ctx := context.Background()
		_, err := p.writer.Submit(ctx, make([]byte, 101))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.TooLarge))
		for range 2 {
			_, err = p.writer.Submit(ctx, []byte("x"))
			require.NoError(t, err)
		}
		_, err = p.writer.Submit(ctx, []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.QueueFull))
		require.Equal(t, 1, p.counts.count(ReasonQueueFull))
		require.Equal(t, 1, p.counts.count(ReasonTooLarge))
		p.close()
		_, err = p.writer.Submit(ctx, []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Cancelled))
	})
}

func TestCloseReleasesWaitingAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log)
		log.setDown(true)
		go func() {
			time.Sleep(time.Second)
			p.close()
		}()
		_, err := p.writer.Append(context.Background(), []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Cancelled))
	})
}

func TestObserveSnapshotResolvesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		w := NewWriter(log, "control", "a", WithRandom(fixedRandom))
		defer func() { _ = w.Close() }()
		log.inject(faultLostResponse, faultRefused, faultRefused, faultRefused)
		go func() {
			time.Sleep(50 * time.Millisecond)
			w.ObserveSnapshot(1)
		}()
		_, err := w.Append(context.Background(), []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.RecordsExpired))
		time.Sleep(time.Minute)
		require.Len(t, log.all(), 1)
	})
}

func TestFlushWaitsForAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		p := newWriterTailer(log)
		defer p.close()
		require.NoError(t, p.writer.Flush(context.Background()))
		log.setDown(true)
		for range 3 {
			_, err := p.writer.Submit(context.Background(), []byte("x"))
			require.NoError(t, err)
		}
		ctx, cancel := withTimeout(time.Second)
		defer cancel()
		require.ErrorIs(t, p.writer.Flush(ctx), cranfault.MatchKind(cranfault.Timeout))
		time.AfterFunc(time.Second, func() { log.setDown(false) })
		require.NoError(t, p.writer.Flush(context.Background()))
		require.Len(t, log.all(), 3)
		synctest.Wait()
		require.Empty(t, p.writer.waiters)
	})
}

// TestObserveSkipResolvesConfirmedRecords guards against a writer that stays full:
// records that the log confirmed, but that expired before the owner read them, would
// otherwise count as pending forever.
func TestObserveSkipResolvesConfirmedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		w := NewWriter(log, "control", "a", WithRandom(fixedRandom), WithMaxPending(2))
		defer func() { _ = w.Close() }()
		time.AfterFunc(time.Second, func() { w.ObserveSkip(2) })
		for range 2 {
			go func() {
				_, err := w.Append(context.Background(), []byte("x"))
				require.ErrorIs(t, err, cranfault.MatchKind(cranfault.RecordsExpired))
			}()
		}
		time.Sleep(500 * time.Millisecond)
		_, err := w.Submit(context.Background(), []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.QueueFull))
		time.Sleep(time.Second)
		require.Zero(t, w.Backlog().Records())
		w.ObserveSkip(3)
		_, err = w.Append(context.Background(), []byte("x"))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.RecordsExpired), "confirmed after the skip")
		synctest.Wait()
		require.Empty(t, w.confirmed)
		_, err = w.Submit(context.Background(), []byte("x"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Equal(t, 1, w.Backlog().Records(), "a record after the skipped offset is still pending")
	})
}
