package cransnapshot

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// meteredLog counts the bytes of payload that are written to a log and read from it.
type meteredLog struct {
	cranplatform.Log
	written, read int
}

func (m *meteredLog) Append(ctx context.Context, name string, payloads [][]byte) (uint64, error) {
	for _, p := range payloads {
		m.written += len(p)
	}
	return m.Log.Append(ctx, name, payloads)
}

func (m *meteredLog) Read(ctx context.Context, name string, from uint64, most, waitMs int) (cranplatform.Batch, error) {
	batch, err := m.Log.Read(ctx, name, from, most, waitMs)
	for _, r := range batch.Records {
		m.read += len(r.Data)
	}
	return batch, err
}

// BenchmarkSnapshot measures writing and loading snapshots of several sizes, with
// older snapshots in the stream and a log without delay.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{64 << 10, 1 << 20, 16 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			ctx := context.Background()
			standIn := cranstandin.NewLog(cranstandin.WithRetention(5 * (size>>16 + 1)))
			log := &meteredLog{Log: standIn}
			state := stateOf(size)
			offset := uint64(0)
			write := func() {
				offset++
				require.NoError(b, Write(ctx, log, stream, New(offset, state)))
			}
			for range 4 {
				write()
			}
			b.Run("write", func(b *testing.B) {
				log.written = 0
				n := 0
				for b.Loop() {
					write()
					n++
				}
				b.ReportMetric(float64(log.written)/float64(n), "wireB/op")
			})
			b.Run("load", func(b *testing.B) {
				log.read = 0
				n := 0
				for b.Loop() {
					s, err := LoadLatest(ctx, log, stream)
					require.NoError(b, err)
					require.Equal(b, offset, s.Offset())
					n++
				}
				b.ReportMetric(float64(log.read)/float64(n), "wireB/op")
			})
			require.NoError(b, standIn.Close())
		})
	}
}
