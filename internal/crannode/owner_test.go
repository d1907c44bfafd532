package crannode

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// limitedTopic refuses appends above a number of bytes.
type limitedTopic struct {
	*cranmemory.Topic
	maxBytes int
}

func (t limitedTopic) Append(ctx context.Context, records []cranstore.Record, o cranstore.AppendOptions) (uint64, error) {
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	if size > t.maxBytes {
		return 0, cranstore.Refused(context.DeadlineExceeded)
	}
	return t.Topic.Append(ctx, records, o)
}

// TestBatchAboveLimitOfAppendIsStored guards against an owner that repeats an append for
// ever because the store refuses one of that size.
func TestBatchAboveLimitOfAppendIsStored(t *testing.T) {
	topic := cranmemory.New()
	n := New("a", "a-1", Topics{Progress: limitedTopic{topic, maxAppendBytes}}, Directory{}, noInstances{})
	const count = 300
	records := make([]cranstore.Record, count)
	for i := range records {
		records[i] = cranstore.Record{Key: string(rune('a' + i)), Value: make([]byte, 5000)}
	}
	records[7].Value = make([]byte, maxAppendBytes)
	parts := splitBatch(records, maxAppendBytes)
	_, err := n.appendParts(t.Context(), parts, cranstore.AppendOptions{Producer: producer, Epoch: 1, Sequence: 1})
	require.NoError(t, err)
	batch, err := topic.Read(t.Context(), 0, cranstore.ReadOptions{})
	require.NoError(t, err)
	require.Len(t, batch.Records, count)
	for i, r := range batch.Records {
		require.Equal(t, records[i].Key, r.Key)
	}
	_, err = topic.Append(t.Context(), records[:1], cranstore.AppendOptions{Producer: producer, Epoch: 1, Sequence: uint64(len(parts)) + 1})
	require.NoError(t, err)
	require.Empty(t, splitBatch(nil, 1))
}
