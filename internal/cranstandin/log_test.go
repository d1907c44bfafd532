package cranstandin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// oracleStream is the model of a stream: everything that was ever appended.
type oracleStream struct {
	data   []string
	times  []int64
	oldest int
}

// oracleLog is a simple model of a log.
type oracleLog struct {
	now       time.Time
	retention int
	maxAge    time.Duration
	streams   map[string]*oracleStream
}

func (o *oracleLog) stream(name string) *oracleStream {
	if o.streams[name] == nil {
		o.streams[name] = &oracleStream{}
	}
	return o.streams[name]
}

// expire applies the limits of count and age.
func (o *oracleLog) expire(s *oracleStream) {
	s.oldest = max(s.oldest, len(s.data)-o.retention)
	for s.oldest < len(s.data) && o.maxAge > 0 && s.times[s.oldest] < o.now.Add(-o.maxAge).UnixMilli() {
		s.oldest++
	}
}

func (o *oracleLog) append(s *oracleStream, payloads [][]byte) {
	at := o.now.UnixMilli()
	if n := len(s.times); n > 0 {
		at = max(at, s.times[n-1])
	}
	for _, p := range payloads {
		s.data = append(s.data, string(p))
		s.times = append(s.times, at)
	}
	o.expire(s)
}

// checkRead compares one read with the model.
func (o *oracleLog) checkRead(t *rapid.T, log cranplatform.Log, name string, from, maxRecords int) {
	s := o.stream(name)
	o.expire(s)
	batch, err := log.Read(context.Background(), name, uint64(from), maxRecords, 0)
	if from < s.oldest {
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.RecordsExpired))
		return
	}
	require.NoError(t, err)
	require.EqualValues(t, s.oldest, batch.Oldest)
	require.EqualValues(t, len(s.data), batch.Next)
	require.Equal(t, o.now.UnixMilli(), batch.TimeMs)
	require.Len(t, batch.Records, min(max(len(s.data)-from, 0), maxRecords))
	for n, r := range batch.Records {
		require.EqualValues(t, from+n, r.Offset)
		require.Equal(t, s.data[from+n], string(r.Data))
		require.Equal(t, s.times[from+n], r.TimeMs)
	}
}

// checkLog makes random calls to a log, with random faults, and compares the
// results with the model.
func checkLog(t *rapid.T, log cranplatform.Log, p *Platform, o *oracleLog) {
	names := rapid.SampledFrom([]string{"control", "claims/pool 1", "ü"})
	serial := 0
	t.Repeat(map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			name := names.Draw(t, "stream")
			payloads := make([][]byte, rapid.IntRange(1, 4).Draw(t, "payloads"))
			for n := range payloads {
				serial++
				payloads[n] = fmt.Append(nil, serial)
			}
			duplicate := rapid.Bool().Draw(t, "duplicate")
			lose := rapid.Bool().Draw(t, "lose")
			require.NoError(t, p.SetFaults(Faults{DuplicateAppends: oneIf(duplicate), LoseAppendAnswers: oneIf(lose)}))
			s := o.stream(name)
			next := len(s.data)
			first, err := log.Append(context.Background(), name, payloads)
			o.append(s, payloads)
			if duplicate {
				o.append(s, payloads)
			}
			if lose {
				require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
				return
			}
			require.NoError(t, err)
			require.EqualValues(t, next, first)
		},
		"outage": func(t *rapid.T) {
			require.NoError(t, p.SetFaults(Faults{LogOutage: true}))
			_, err := log.Append(context.Background(), names.Draw(t, "stream"), [][]byte{{0}})
			require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
			require.NoError(t, p.SetFaults(Faults{}))
		},
		"expire": func(t *rapid.T) {
			name := names.Draw(t, "stream")
			before := rapid.IntRange(0, 30).Draw(t, "before")
			p.Log().Expire(name, uint64(before))
			s := o.stream(name)
			s.oldest = max(s.oldest, min(before, len(s.data)))
		},
		"clock": func(t *rapid.T) {
			o.now = o.now.Add(time.Duration(rapid.IntRange(-1, 4).Draw(t, "steps")) * 500 * time.Millisecond)
		},
		"read": func(t *rapid.T) {
			from := rapid.IntRange(0, 40).Draw(t, "from")
			o.checkRead(t, log, names.Draw(t, "stream"), from, rapid.IntRange(1, 10).Draw(t, "max"))
		},
		"": func(t *rapid.T) {
			kept := 0
			for _, s := range o.streams {
				kept += len(s.data) - s.oldest
			}
			require.Equal(t, kept, p.Log().RecordCount())
		},
	})
}

func oneIf(on bool) int {
	if on {
		return 1
	}
	return 0
}

// newOracleLog draws the limits of a log and returns its model.
func newOracleLog(t *rapid.T) *oracleLog {
	return &oracleLog{
		now:       time.UnixMilli(1_000_000),
		retention: rapid.IntRange(1, 12).Draw(t, "retention"),
		maxAge:    time.Duration(rapid.IntRange(0, 3).Draw(t, "maxAge")) * time.Second,
		streams:   map[string]*oracleStream{},
	}
}

// options returns the log options that match the model.
func (o *oracleLog) options() PlatformOption {
	now := func() time.Time { return o.now }
	return WithLogOptions(WithRetention(o.retention), WithMaxAge(o.maxAge), WithLogClock(now))
}

func TestLogAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracleLog(t)
		p := NewPlatform(o.options())
		defer func() { require.NoError(t, p.Close()) }()
		checkLog(t, p.Log(), p, o)
	})
}

func TestReadWaitsForAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog()
		start := time.Now()
		time.AfterFunc(time.Second, func() {
			_, err := l.Append(context.Background(), "other", [][]byte{{1}})
			require.NoError(t, err)
		})
		time.AfterFunc(2*time.Second, func() {
			_, err := l.Append(context.Background(), "s", [][]byte{{2}})
			require.NoError(t, err)
		})
		batch, err := l.Read(context.Background(), "s", 0, 5, 5000)
		require.NoError(t, err)
		require.Equal(t, []byte{2}, batch.Records[0].Data)
		require.Equal(t, 2*time.Second, time.Since(start))
		time.AfterFunc(time.Second, func() {
			_, err := l.Append(context.Background(), "s", [][]byte{{3}})
			require.NoError(t, err)
		})
		batch, err = l.Read(context.Background(), "s", 1, 5, 5000)
		require.NoError(t, err)
		require.Equal(t, []byte{3}, batch.Records[0].Data)
		require.Equal(t, 3*time.Second, time.Since(start))
		batch, err = l.Read(context.Background(), "s", 2, 5, 5000)
		require.NoError(t, err)
		require.Empty(t, batch.Records)
		require.Equal(t, 8*time.Second, time.Since(start))
		require.NoError(t, l.Close())
	})
}

func TestOutageWakesWaitingReads(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l := NewLog()
			start := time.Now()
			time.AfterFunc(time.Second, func() { require.NoError(t, l.SetFaults(Faults{LogOutage: true, OutageHangs: hangs})) })
			time.AfterFunc(9*time.Second, func() { require.NoError(t, l.SetFaults(Faults{})) })
			_, err := l.Read(context.Background(), "s", 0, 5, 5000)
			require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
			require.Equal(t, time.Duration(1+8*oneIf(hangs))*time.Second, time.Since(start))
			require.NoError(t, l.Close())
		})
	}
}

func TestDelayedAppendTakesEffectAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog()
		require.NoError(t, l.SetFaults(Faults{LogDelayMs: 3000}))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := l.Append(ctx, "s", [][]byte{{1}})
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.LogUnavailable))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, l.RecordCount())
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, l.RecordCount())

		ctx, cancel = context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = l.Append(ctx, "s", [][]byte{{2}})
		require.Error(t, err)
		require.NoError(t, l.Close())
		time.Sleep(time.Minute)
		require.Equal(t, 1, l.RecordCount(), "a closed log drops a delayed append")
	})
}
