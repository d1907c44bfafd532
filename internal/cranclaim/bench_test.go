package cranclaim

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// benchWriters is the number of writers in the benchmarks.
const benchWriters = 9

// benchWriter returns the name of writer number i, which is as long as a real
// incarnation.
func benchWriter(i int) string {
	return fmt.Sprintf("entry%02d-0123456789abcdef", i%benchWriters)
}

// payloads returns the encoded claim and report of request number i.
func payloads(b *testing.B, i int) [][]byte {
	var key Key
	binary.BigEndian.PutUint64(key[:], uint64(i)*0x9e3779b97f4a7c15)
	seq := uint64(i/benchWriters)*2 + 1
	records := []record{
		{Kind: kindClaim, Key: key, Attempt: seq, Fingerprint: uint64(i) << 32, SentMs: 1_700_000_000_000},
		{Kind: kindRan, Key: key, Attempt: seq},
	}
	var out [][]byte
	for n, r := range records {
		body, err := cranlog.EncodeBody(r)
		require.NoError(b, err)
		payload, err := cranlog.NewEnvelope(benchWriter(i), seq+uint64(n), body).Encode()
		require.NoError(b, err)
		out = append(out, payload)
	}
	return out
}

// benchRecords returns a stream with the given number of claims, ten in each
// millisecond, and the size of its payloads in bytes.
func benchRecords(b *testing.B, claims int) (records []cranplatform.Record, wire int) {
	for i := range claims {
		for _, payload := range payloads(b, i) {
			wire += len(payload)
			records = append(records, cranplatform.Record{
				Offset: uint64(len(records)), TimeMs: 1_700_000_000_000 + int64(i/10), Data: payload,
			})
		}
	}
	return records, wire
}

// heap returns the size of the allocated heap after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndex decodes and applies claims with their reports. It reports the
// bytes of a claim on the wire and in the index.
func BenchmarkIndex(b *testing.B) {
	for _, claims := range []int{10_000, 50_000, 250_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			records, wire := benchRecords(b, claims)
			held := 0
			for b.Loop() {
				b.StopTimer()
				before := heap()
				x := NewIndex(time.Hour, time.Minute)
				b.StartTimer()
				for _, record := range records {
					entry, _ := cranlog.Decode(record)
					x.Apply(entry)
				}
				b.StopTimer()
				held += int(heap() - before)
				require.Equal(b, claims, x.Len())
				b.StartTimer()
			}
			total := float64(b.N * claims)
			b.ReportMetric(float64(wire)/float64(claims), "wireB/claim")
			b.ReportMetric(float64(held)/total, "heapB/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/claim")
		})
	}
}

// countingLog counts the appends.
type countingLog struct {
	cranplatform.Log
	appends atomic.Int64
}

func (c *countingLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	c.appends.Add(1)
	return c.Log.Append(ctx, stream, payloads)
}

// BenchmarkGroupCommit has concurrent callers claim keys on a log with a delay
// of 5 ms for each call. It reports the rates of claims and of appends.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d/unspaced", callers), func(b *testing.B) {
			claimAll(b, callers, cranlog.WithBatchSpacing(0))
		})
		b.Run(fmt.Sprintf("callers=%d/window=30ms", callers), func(b *testing.B) {
			claimAll(b, callers, cranlog.WithBatchSpacing(0), cranlog.WithBatchWindow(defaultBatchSpacing))
		})
		b.Run(fmt.Sprintf("callers=%d/spacing=30ms", callers), func(b *testing.B) {
			claimAll(b, callers)
		})
	}
}

// claimAll claims b.N keys from concurrent callers and reports the rates.
func claimAll(b *testing.B, callers int, options ...cranlog.Option) {
	standIn := cranstandin.NewLog()
	log := &countingLog{Log: standIn}
	c := NewClaimer(log, StreamName(0), "entry1", WithMaxKeys(1<<30), WithLogOptions(options...))
	require.Eventually(b, func() bool { return c.Ready() == nil }, 10*time.Second, time.Millisecond)
	require.NoError(b, standIn.SetFaults(cranstandin.Faults{LogDelayMs: 5}))
	b.ResetTimer()
	var wg sync.WaitGroup
	var next atomic.Int64
	for range callers {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				_, err := c.Claim(context.Background(), HashKey(fmt.Sprint(i)), 1)
				require.NoError(b, err)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(log.appends.Load())/b.Elapsed().Seconds(), "appends/s")
	require.NoError(b, c.Close())
	require.NoError(b, standIn.Close())
}
