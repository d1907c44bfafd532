package cranstore

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// delayedTopic grows by a rate of records and takes receiveTime between the first and the last part of each
// response, whatever its size, as for a process that waits for the processor.
type delayedTopic struct {
	slowTopic
	clock       func() time.Duration
	perSecond   int
	receiveTime time.Duration
	recordBytes int
}

func (d *delayedTopic) end() uint64 { return uint64(d.clock().Seconds() * float64(d.perSecond)) }

func (d *delayedTopic) Read(ctx context.Context, from uint64, o ReadOptions) (Batch, error) {
	b := Batch{Next: from, End: d.end()}
	for size := 0; b.Next < b.End && size < o.MaxBytes; size += d.recordBytes {
		b.Records = append(b.Records, Record{Key: string(binary.BigEndian.AppendUint64(nil, b.Next)), Value: make([]byte, d.recordBytes-8), Offset: b.Next})
		b.Next++
	}
	if len(b.Records) == 0 {
		cranpause.Sleep(ctx, o.Wait)
		return b, ctx.Err()
	}
	cranpause.Sleep(ctx, 5*time.Millisecond)
	o.Received(1)
	cranpause.Sleep(ctx, d.receiveTime)
	o.Received(len(b.Records) * d.recordBytes)
	return b, ctx.Err()
}

func (d *delayedTopic) Newest(context.Context, string, func(int)) (Page, error) { return Page{}, nil }

// TestReaderWithLittleProcessorTimeKeepsUp guards against a reader that falls behind more and more, because
// its reads shrink although smaller ones take as long.
func TestReaderWithLittleProcessorTimeKeepsUp(t *testing.T) {
	for _, perSecond := range []int{50, 100, 200, 400} {
		for _, receiveTime := range []time.Duration{310, 350, 450, 600} {
			t.Run(fmt.Sprint(perSecond, "-", int(receiveTime)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					start := time.Now()
					clock := func() time.Duration { return time.Since(start) }
					topic := &delayedTopic{clock: clock, perSecond: perSecond, receiveTime: receiveTime * time.Millisecond, recordBytes: 500}
					ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
					defer cancel()
					f := NewFollower(topic, clock, WithWait(500*time.Millisecond), WithPause(30*time.Millisecond))
					var newest, oldest time.Duration
					f.Run(ctx, func(u Update) {
						if at, current := u.CurrentAt(); current {
							oldest, newest = max(oldest, clock()-newest), at
						}
					})
					require.Less(t, max(oldest, clock()-newest), 4*time.Second)
				})
			})
		}
	}
}
