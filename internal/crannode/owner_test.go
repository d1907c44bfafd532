package crannode

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
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
	n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{})
	const count = 300
	records := make([]cranstore.Record, count)
	for i := range records {
		records[i] = cranstore.Record{Key: string(rune('a' + i)), Value: make([]byte, 5000)}
	}
	records[7].Value = make([]byte, maxAppendBytes)
	parts := splitBatch(records, maxAppendBytes)
	_, err := n.appendParts(t.Context(), limitedTopic{topic, maxAppendBytes}, parts, cranstore.AppendOptions{Producer: producer, Epoch: 1, Sequence: 1})
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

// pagedInstances is a list of instances with one instance a page. Each page takes pageTime,
// and every third request fails.
type pagedInstances struct {
	noInstances
	pages    int
	pageTime time.Duration
	requests int
}

func (p *pagedInstances) ListInstances(ctx context.Context, page string) ([]cransched.InstanceInfo, string, error) {
	p.requests++
	cranpause.Sleep(ctx, p.pageTime)
	if ctx.Err() != nil || p.requests%3 == 0 {
		return nil, "", context.DeadlineExceeded
	}
	number, _ := strconv.Atoi(page)
	next := strconv.Itoa(number + 1)
	if number+1 == p.pages {
		next = ""
	}
	return []cransched.InstanceInfo{{Instance: page}}, next, nil
}

// TestLongListOfInstancesIsRead guards against a list that is never read because all of its
// pages together take longer than one call may last.
func TestLongListOfInstancesIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages = 16
		orders := &pagedInstances{pages: pages, pageTime: callTimeout / 3}
		n := New("a", "a-1", memoryTopics(), Directory{}, orders)
		list, err := n.listInstances(t.Context())
		require.NoError(t, err)
		require.Len(t, list, pages)
	})
}
