package cranstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// queueTopic processes one append at a time, each of which takes a while.
type queueTopic struct {
	Topic
	turn sync.Mutex
	mu   sync.Mutex
	// appendTime is how long an append takes. lose drops the answers of appends,
	// refuse refuses them.
	appendTime   time.Duration
	lose, refuse bool
	records      []Record
	appends      int
}

func (q *queueTopic) Append(ctx context.Context, records []Record, _ AppendOptions) (uint64, error) {
	q.turn.Lock()
	time.Sleep(q.appendTime)
	q.mu.Lock()
	q.appends++
	lose, refuse, first := q.lose, q.refuse, uint64(len(q.records))
	if !refuse {
		q.records = append(q.records, records...)
	}
	q.mu.Unlock()
	q.turn.Unlock()
	switch {
	case refuse:
		return 0, Refused(errors.New("the store is full"))
	case lose:
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return first, nil
}

func (q *queueTopic) all() []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]Record(nil), q.records...)
}

func keyed(i int) Record { return Record{Key: fmt.Sprintf("j%d", i), Value: []byte{byte(i)}} }

// TestBatcherUnderSlowStore guards against callers that wait for each other's
// appends: 40 callers append at once to a partition that takes 50 ms for each
// append, and all have to be served within the time of three appends.
func TestBatcherUnderSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &queueTopic{appendTime: 50 * time.Millisecond}
		b := NewBatcher(topic, func(bool) {})
		defer b.Close()
		var callers sync.WaitGroup
		offsets := make([]uint64, 40)
		for i := range offsets {
			callers.Go(func() {
				at, err := b.Append(t.Context(), keyed(i))
				require.NoError(t, err)
				offsets[i] = at
			})
		}
		start := time.Now()
		callers.Wait()
		require.LessOrEqual(t, time.Since(start), 150*time.Millisecond)
		records := topic.all()
		require.Len(t, records, 40)
		for i, at := range offsets {
			require.Equal(t, keyed(i), records[at])
		}
	})
}

// TestBatcherLostAnswer guards against waiting for the timeout of an append whose
// answer is lost: once its records are read from the topic, the append has
// succeeded and the next one follows at once.
func TestBatcherLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &queueTopic{lose: true}
		b := NewBatcher(topic, func(bool) {})
		defer b.Close()
		done := make(chan error, 1)
		go func() {
			_, err := b.Append(t.Context(), keyed(1))
			done <- err
		}()
		synctest.Wait()
		b.Observe(topic.all())
		require.NoError(t, <-done)
		topic.mu.Lock()
		topic.lose = false
		topic.mu.Unlock()
		start := time.Now()
		_, err := b.Append(t.Context(), keyed(2))
		require.NoError(t, err)
		require.Less(t, time.Since(start), time.Second)
	})
}

// TestBatcherSeparatesRefusedFromUncertain guards against reporting a record as
// certainly not stored although it may be, and the other way round.
func TestBatcherSeparatesRefusedFromUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &queueTopic{refuse: true}
		b := NewBatcher(topic, func(bool) {})
		defer b.Close()
		_, err := b.Append(t.Context(), keyed(1))
		require.True(t, IsRefused(err))
		topic.refuse, topic.lose = false, true
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first := make(chan error, 1)
		go func() {
			_, err := b.Append(short, keyed(2))
			first <- err
		}()
		synctest.Wait()
		// The second record waits behind the first and is never sent.
		_, err = b.Append(short, keyed(3))
		require.True(t, IsRefused(err))
		err = <-first
		require.Error(t, err)
		require.False(t, IsRefused(err))
		time.Sleep(5 * time.Second)
		require.Len(t, topic.all(), 1)
	})
}

// TestLostResponseIsReadBack checks that a caller whose record is stored is told so within a
// second, although the response to the append is lost: by reading the topic back, or from what
// is known elsewhere.
func TestLostResponseIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &queueTopic{lose: true}
		b := NewBatcher(topic, func(bool) {}, WithReadBack(func(context.Context) []Record { return topic.all() }))
		defer b.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		start := time.Now()
		_, err := b.Append(ctx, keyed(1))
		require.NoError(t, err)
		require.Less(t, time.Since(start), time.Second)

		settled := NewBatcher(topic, func(bool) {})
		defer settled.Close()
		go func() {
			time.Sleep(100 * time.Millisecond)
			settled.Settle(func(key string) bool { return key == keyed(2).Key })
		}()
		start = time.Now()
		_, err = settled.Append(ctx, keyed(2))
		require.NoError(t, err)
		require.Less(t, time.Since(start), time.Second)
	})
}

// TestAppendAfterClose guards against an append that begins while Close waits: Close returned
// before its writer had ended.
func TestAppendAfterClose(t *testing.T) {
	topic := &queueTopic{}
	b := NewBatcher(topic, func(bool) {})
	var callers sync.WaitGroup
	for i := range 20 {
		callers.Go(func() { _, _ = b.Append(t.Context(), keyed(i)) })
	}
	b.Close()
	stored := len(topic.all())
	callers.Wait()
	_, err := b.Append(t.Context(), keyed(20))
	require.ErrorIs(t, err, ErrClosed)
	require.True(t, IsRefused(err))
	require.Len(t, topic.all(), stored)
}

// TestWaitingRecordsAreWithdrawn guards against callers who wait until their deadline behind an append that
// the store doesn't answer. The records that wait behind it, and those that come later, are refused and never
// stored, while the record in flight is never refused. Once the store answers, records are stored again.
func TestWaitingRecordsAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = time.Second
		topic := &queueTopic{lose: true}
		b := NewBatcher(topic, func(bool) {}, WithWithdrawal(bound))
		defer b.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2850*time.Millisecond)
		defer cancel()
		start := time.Now()
		first := make(chan error, 1)
		go func() {
			_, err := b.Append(ctx, keyed(1))
			first <- err
		}()
		synctest.Wait()
		var waiting sync.WaitGroup
		for i := range 5 {
			waiting.Go(func() {
				_, err := b.Append(ctx, keyed(2+i))
				require.True(t, IsRefused(err), "%v", err)
				require.ErrorIs(t, err, ErrWithdrawn)
				require.Equal(t, bound, time.Since(start))
			})
		}
		waiting.Wait()
		_, err := b.Append(ctx, keyed(7))
		require.True(t, IsRefused(err))
		require.Equal(t, bound, time.Since(start))
		err = <-first
		require.Error(t, err)
		require.False(t, IsRefused(err))
		topic.mu.Lock()
		topic.lose = false
		topic.mu.Unlock()
		time.Sleep(attemptTimeout)
		_, err = b.Append(t.Context(), keyed(8))
		require.NoError(t, err)
		for _, r := range topic.all() {
			require.Contains(t, []string{"j1", "j8"}, r.Key)
		}
	})
}

// TestSlowAppendsWithdrawNothing guards against the refusal of records that a slow store would still store in
// time: each append takes less than the bound.
func TestSlowAppendsWithdrawNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBatcher(&queueTopic{appendTime: 1100 * time.Millisecond}, func(bool) {}, WithWithdrawal(1200*time.Millisecond))
		defer b.Close()
		var callers sync.WaitGroup
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			callers.Go(func() {
				start := time.Now()
				_, err := b.Append(t.Context(), keyed(i))
				require.NoError(t, err)
				require.Less(t, time.Since(start), 2850*time.Millisecond)
			})
		}
		callers.Wait()
	})
}
