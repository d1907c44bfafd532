package cransnapshot

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

const stream = "snapshots"

var fastBackoff = WithBackoff(cranlog.NewBackoff(10*time.Millisecond, time.Second, func() float64 { return 0.5 }))

func stateOf(size int) []byte {
	state := make([]byte, size)
	for i := range state {
		state[i] = byte(i * 7)
	}
	return state
}

func TestWriteThenLoad(t *testing.T) {
	for _, size := range []int{0, 1, 9, 10, 11, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				log := cranstandin.NewLog()
				defer func() { require.NoError(t, log.Close()) }()
				require.NoError(t, log.SetFaults(cranstandin.Faults{LoseEveryAppendAnswer: 3, DuplicateEveryAppend: 2}))
				for offset := range uint64(3) {
					want := New(offset, stateOf(size))
					require.NoError(t, Write(ctx, log, stream, want, WithChunkBytes(10), fastBackoff))
					got, err := LoadLatest(ctx, log, stream, WithWindow(7))
					require.NoError(t, err)
					require.Equal(t, want.Offset(), got.Offset())
					require.Equal(t, want.Digest(), got.Digest())
					require.True(t, bytes.Equal(want.State(), got.State()))
				}
			})
		})
	}
}

func TestWriteFailsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := cranstandin.NewLog()
		defer func() { require.NoError(t, log.Close()) }()
		require.NoError(t, log.SetFaults(cranstandin.Faults{LogOutage: true}))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		retries := 0
		count := WithCounter(func(cranlog.Reason) { retries++ })
		err := Write(ctx, log, stream, New(1, stateOf(3)), fastBackoff, count)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Timeout))
		require.Greater(t, retries, 10)
		err = Write(ctx, log, stream, New(1, stateOf(maxChunks+1)), WithChunkBytes(1))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.TooLarge))
	})
}

func TestVerifyRejectsWrongDigest(t *testing.T) {
	s := New(4, []byte("state"))
	_, err := Verify(5, []byte("state"), s.Digest())
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
	_, err = Verify(4, []byte("other"), s.Digest())
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
	got, err := Verify(4, []byte("state"), s.Digest())
	require.NoError(t, err)
	require.Equal(t, s, got)
}

// chunkStream is a stream of chunks with the faults that failing writers and a
// faulty platform can leave.
type chunkStream struct {
	records [][]byte
	written []Snapshot
	// intact holds, by snapshot and index, the last position of a valid chunk.
	intact map[identity]map[uint32]int
	counts map[identity]uint32
}

// drawChunkStream draws a stream of interleaved chunks of several snapshots, with
// truncated snapshots, duplicate and damaged chunks, and invalid records.
func drawChunkStream(rt *rapid.T) *chunkStream {
	s := &chunkStream{intact: map[identity]map[uint32]int{}, counts: map[identity]uint32{}}
	var queues [][]chunk
	for i := range rapid.IntRange(0, 5).Draw(rt, "snapshots") {
		offset := uint64(rapid.IntRange(0, 6).Draw(rt, "offset"))
		state := append([]byte{byte(i)}, stateOf(rapid.IntRange(0, 12).Draw(rt, "bytes"))...)
		written := New(offset, state)
		chunks, err := split(written, 3)
		require.NoError(rt, err)
		s.written = append(s.written, written)
		queues = append(queues, chunks)
	}
	for len(queues) > 0 {
		i := rapid.IntRange(0, len(queues)-1).Draw(rt, "writer")
		c := queues[i][0]
		switch rapid.SampledFrom([]string{"good", "good", "good", "twice", "damaged", "wrongSum", "nonsense", "stop"}).Draw(rt, "step") {
		case "good":
			s.add(rt, c)
			queues[i] = queues[i][1:]
		case "twice":
			s.add(rt, c)
		case "damaged":
			damaged := c
			damaged.Data = append([]byte{1}, c.Data...)
			s.put(rt, damaged)
		case "wrongSum":
			wrong := c
			wrong.Index = wrong.ID.Count
			s.put(rt, wrong)
		case "nonsense":
			s.records = append(s.records, []byte("nonsense"))
		case "stop":
			queues[i] = nil
		}
		if len(queues[i]) == 0 {
			queues = append(queues[:i], queues[i+1:]...)
		}
	}
	return s
}

func (s *chunkStream) put(rt *rapid.T, c chunk) {
	payload, err := cranlog.EncodeBody(c)
	require.NoError(rt, err)
	s.records = append(s.records, payload)
}

func (s *chunkStream) add(rt *rapid.T, c chunk) {
	if s.intact[c.ID] == nil {
		s.intact[c.ID] = map[uint32]int{}
	}
	s.intact[c.ID][c.Index] = len(s.records)
	s.counts[c.ID] = c.ID.Count
	s.put(rt, c)
}

// complete returns the offsets of the snapshots whose chunks are all kept.
func (s *chunkStream) complete(oldest int) map[uint64]bool {
	offsets := map[uint64]bool{}
	for id, parts := range s.intact {
		kept := uint32(0)
		for _, at := range parts {
			if at >= oldest {
				kept++
			}
		}
		if kept == s.counts[id] {
			offsets[id.Offset] = true
		}
	}
	return offsets
}

func (s *chunkStream) hasWritten(got Snapshot) bool {
	for _, w := range s.written {
		if w.offset == got.offset && bytes.Equal(w.state, got.state) {
			return true
		}
	}
	return false
}

func TestLoadLatestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		log := cranstandin.NewLog()
		defer func() { _ = log.Close() }()
		s := drawChunkStream(rt)
		if len(s.records) > 0 {
			_, err := log.Append(ctx, stream, s.records)
			require.NoError(rt, err)
		}
		oldest := rapid.IntRange(0, len(s.records)).Draw(rt, "oldest")
		log.Expire(stream, uint64(oldest))
		complete := s.complete(oldest)

		got, err := LoadLatest(ctx, log, stream, WithWindow(1000))
		if len(complete) == 0 {
			require.ErrorIs(rt, err, cranfault.MatchKind(cranfault.NotReady))
		} else {
			require.NoError(rt, err)
			require.True(rt, s.hasWritten(got))
			for offset := range complete {
				require.GreaterOrEqual(rt, got.Offset(), offset)
			}
		}

		window := rapid.IntRange(1, 5).Draw(rt, "window")
		got, err = LoadLatest(ctx, log, stream, WithWindow(window))
		require.Equal(rt, len(complete) == 0, err != nil)
		if err == nil {
			require.True(rt, s.hasWritten(got))
			require.True(rt, complete[got.Offset()])
		}
	})
}

// putChunks appends chunks to the snapshot stream in the given order.
func putChunks(t *testing.T, log *cranstandin.Log, chunks ...chunk) {
	for _, c := range chunks {
		payload, err := cranlog.EncodeBody(c)
		require.NoError(t, err)
		_, err = log.Append(context.Background(), stream, [][]byte{payload})
		require.NoError(t, err)
	}
}

func TestLoadContinuesForPartialLaterSnapshot(t *testing.T) {
	log := cranstandin.NewLog()
	defer func() { require.NoError(t, log.Close()) }()
	later, err := split(New(5, stateOf(6)), 3)
	require.NoError(t, err)
	earlier, err := split(New(3, stateOf(2)), 3)
	require.NoError(t, err)
	putChunks(t, log, later[0], earlier[0], later[1])
	got, err := LoadLatest(context.Background(), log, stream, WithWindow(2))
	require.NoError(t, err)
	require.Equal(t, uint64(5), got.Offset())
}

func TestLoadIgnoresSnapshotWithWrongDigest(t *testing.T) {
	log := cranstandin.NewLog()
	defer func() { require.NoError(t, log.Close()) }()
	intact, err := split(New(3, stateOf(2)), 3)
	require.NoError(t, err)
	wrong, err := split(New(5, stateOf(2)), 3)
	require.NoError(t, err)
	wrong[0].ID.Digest++
	putChunks(t, log, intact[0], wrong[0])
	got, err := LoadLatest(context.Background(), log, stream)
	require.NoError(t, err)
	require.Equal(t, uint64(3), got.Offset())
}

func FuzzChunk(f *testing.F) {
	chunks, err := split(New(3, stateOf(20)), 8)
	require.NoError(f, err)
	beyond := chunks[0]
	beyond.Index = beyond.ID.Count
	for _, c := range append(chunks, beyond) {
		payload, err := cranlog.EncodeBody(c)
		require.NoError(f, err)
		f.Add(payload)
	}
	f.Add([]byte("nonsense"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, valid := decodeChunk(data)
		if !valid {
			return
		}
		require.Less(t, c.Index, c.ID.Count)
		a := newAssembly(c.ID)
		a.add(c)
		a.add(c)
		require.Len(t, c.Data, a.bytes)
		s, complete := a.complete()
		if complete {
			require.Equal(t, New(c.ID.Offset, c.Data), s)
		}
	})
}
