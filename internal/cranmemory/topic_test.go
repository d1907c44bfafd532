package cranmemory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

func record(value byte) []cranstore.Record {
	return []cranstore.Record{{Key: "a", Value: []byte{value}}}
}

// TestFencing checks that a repeated append is answered again, that an append out
// of sequence is refused, and that a lower epoch is refused after a higher one.
func TestFencing(t *testing.T) {
	topic := New()
	options := func(epoch, sequence uint64) cranstore.AppendOptions {
		return cranstore.AppendOptions{Producer: "p", Epoch: epoch, Sequence: sequence}
	}
	first, err := topic.Append(t.Context(), record(1), options(1, 0))
	require.NoError(t, err)
	repeated, err := topic.Append(t.Context(), record(1), options(1, 0))
	require.NoError(t, err)
	require.Equal(t, first, repeated)
	_, err = topic.Append(t.Context(), record(2), options(1, 2))
	var sequence *cranstore.SequenceError
	require.ErrorAs(t, err, &sequence)
	require.EqualValues(t, 1, sequence.Expected)
	_, err = topic.Append(t.Context(), record(3), options(2, 7))
	require.NoError(t, err)
	_, err = topic.Append(t.Context(), record(4), options(1, 1))
	var fenced *cranstore.FencedError
	require.ErrorAs(t, err, &fenced)
	end, err := topic.End(t.Context(), 0)
	require.NoError(t, err)
	require.EqualValues(t, 2, end)
}

// TestNewest checks that the newest record of each key is loaded over several
// pages after a key was deleted and all records have expired.
func TestNewest(t *testing.T) {
	topic := New()
	for i := range 1100 {
		topic.Put(fmt.Sprintf("k%04d", i), []byte{1})
	}
	topic.Put("k0007", nil)
	topic.ExpireAll()
	records, end, err := cranstore.Load(t.Context(), topic)
	require.NoError(t, err)
	require.Len(t, records, 1099)
	require.EqualValues(t, 1101, end)
	_, err = topic.Read(t.Context(), 5, cranstore.ReadOptions{})
	require.ErrorIs(t, err, cranstore.ErrExpired)
}

// TestReadWaits checks that a read returns at the next append, or at the end of
// its wait.
func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := New()
		start := time.Now()
		batch, err := topic.Read(t.Context(), 0, cranstore.ReadOptions{Wait: time.Second})
		require.NoError(t, err)
		require.Empty(t, batch.Records)
		require.Equal(t, time.Second, time.Since(start))
		time.AfterFunc(300*time.Millisecond, func() { topic.Put("a", []byte{1}) })
		batch, err = topic.Read(t.Context(), 0, cranstore.ReadOptions{Wait: time.Second})
		require.NoError(t, err)
		require.Len(t, batch.Records, 1)
		require.Equal(t, 1300*time.Millisecond, time.Since(start))
	})
}
