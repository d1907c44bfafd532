package cranlog

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

func payload(t require.TestingT, writer string, seq uint64) []byte {
	data, err := NewEnvelope(writer, seq, []byte("body")).Encode()
	require.NoError(t, err)
	return data
}

func TestTailerMarksMalformedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.put(payload(t, "a", 1), []byte("nonsense"), nil, payload(t, "", 1), payload(t, "a", 0), payload(t, "a", 2))
		var got []bool
		c := newCounts()
		tailer := NewTailer(log, "control", 0, func(e Entry) { got = append(got, e.Malformed()) }, WithCounter(c.add))
		time.Sleep(time.Second)
		require.NoError(t, tailer.Close())
		require.Equal(t, []bool{false, true, true, true, true, false}, got)
		require.Equal(t, 4, c.count(ReasonMalformed))
		require.NoError(t, tailer.Err())
	})
}

func TestTailerEndsWhenRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.put(payload(t, "a", 1), payload(t, "a", 2), payload(t, "a", 3))
		var got []uint64
		tailer := NewTailer(log, "control", 0, func(e Entry) { got = append(got, e.Offset()) })
		time.Sleep(time.Second)
		log.setDown(true)
		time.Sleep(10 * time.Second)
		log.put(payload(t, "a", 4), payload(t, "a", 5))
		log.expire(4)
		log.setDown(false)
		<-tailer.Done()
		require.ErrorIs(t, tailer.Err(), cranfault.MatchKind(cranfault.RecordsExpired))
		require.Equal(t, []uint64{0, 1, 2}, got)
		_, err := tailer.DeliverRelayed([]cranplatform.Record{{Offset: 3}})
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.RecordsExpired))
		require.NoError(t, tailer.Close())
	})
}

func TestDeliverRelayedContinuesWithoutGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.put(payload(t, "a", 1), payload(t, "a", 2))
		var got []uint64
		c := newCounts()
		tailer := NewTailer(log, "control", 0, func(e Entry) { got = append(got, e.Offset()) }, WithCounter(c.add))
		time.Sleep(time.Second)
		contact := tailer.LastContact()
		log.setDown(true)
		log.put(payload(t, "a", 3), payload(t, "a", 4), payload(t, "a", 5))
		records := log.all()
		time.Sleep(5 * time.Second)
		n, err := tailer.DeliverRelayed(records[3:])
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Conflict))
		require.Zero(t, n)
		n, err = tailer.DeliverRelayed(records[1:4])
		require.NoError(t, err)
		require.Equal(t, 2, n)
		require.Equal(t, uint64(4), tailer.Next())
		require.Equal(t, 1, c.count(ReasonRelayGap))
		require.Less(t, tailer.LastContact().Sub(contact), 2*time.Second)
		log.setDown(false)
		time.Sleep(5 * time.Second)
		require.NoError(t, tailer.Close())
		require.Equal(t, []uint64{0, 1, 2, 3, 4}, got)
	})
}

func TestRingRelaysRecentRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		for seq := range uint64(10) {
			log.put(payload(t, "a", seq+1))
		}
		tailer := NewTailer(log, "control", 0, func(Entry) {}, WithRing(4, 1<<20))
		defer func() { _ = tailer.Close() }()
		time.Sleep(time.Second)
		_, ok := tailer.RecentFrom(5)
		require.False(t, ok)
		records, ok := tailer.RecentFrom(6)
		require.True(t, ok)
		require.Equal(t, log.all()[6:], records)
		records, ok = tailer.RecentFrom(10)
		require.True(t, ok)
		require.Empty(t, records)
		require.True(t, tailer.Position().CaughtUp())
	})
}

// TestBacklogLargerThanTimeoutIsTailed guards against a tailer that repeats a read without
// progress because the records stored during an outage take longer than one read may last.
func TestBacklogLargerThanTimeoutIsTailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = 1000
		log := newFakeLog()
		log.recordTime = 5 * time.Millisecond
		for seq := range uint64(records) {
			log.put(payload(t, "a", seq+1))
		}
		got := 0
		tailer := NewTailer(log, "control", 0, func(Entry) { got++ })
		// All records take 5 s to arrive, one read may last 2 s. The rest is for reads that
		// fail before the size fits.
		time.Sleep(20 * time.Second)
		require.NoError(t, tailer.Close())
		require.Equal(t, records, got)
	})
}

// TestRelayedPortionFitsIntoMessage guards against an entry instance that never gets records
// from its peers because all of them together exceed the limit of a message.
func TestRelayedPortionFitsIntoMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records, size, messageLimit = 10, 100_000, 1 << 20
		log := newFakeLog()
		for range records {
			log.put(make([]byte, size))
		}
		tailer := NewTailer(log, "control", 0, func(Entry) {})
		defer func() { _ = tailer.Close() }()
		time.Sleep(time.Second)
		next := uint64(0)
		for next < records {
			portion, ok := tailer.RecentFrom(next)
			require.True(t, ok)
			require.NotEmpty(t, portion)
			require.Equal(t, next, portion[0].Offset)
			text, err := json.Marshal(portion)
			require.NoError(t, err)
			require.Less(t, len(text), messageLimit)
			next += uint64(len(portion))
		}
	})
}
