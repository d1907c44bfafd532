package cranpredict

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// TestSuccessor guards against a successor that predicts otherwise than its predecessor, also from the sums of an
// earlier version.
func TestSuccessor(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	m, next, seeded := New(), New(), New()
	var n, x, y, xx, xy float64
	for i := range 100 {
		j := newJob(random, queueFeatures, 3000)
		j.observe(m, int64(i), math.Inf(1))
		for _, d := range j.durations {
			lx, ly := j.class.x+math.Log(1000), math.Log(d)
			n, x, y, xx, xy = n+1, x+lx, y+ly, xx+lx*lx, xy+lx*ly
		}
	}
	r, err := Decode(m.Encode("q", 100))
	require.NoError(t, err)
	next.Restore("q", r, 50)
	seeded.Seed("q", n, x, y, xx, xy, 100)
	f := queueFeatures
	f.EstimateMs = 9000
	c := Classify(f)
	before, after := m.Predict(c, Siblings{}, 100), next.Predict(c, Siblings{}, 100)
	// The shape isn't stored: a successor begins with the normal distribution.
	require.InEpsilon(t, before.MeanMs(), after.MeanMs(), 1e-3)
	require.InEpsilon(t, before.LongestMs(8), after.LongestMs(8), 1e-3)
	require.InEpsilon(t, before.RemainingMs(2000), after.RemainingMs(2000), 1e-3)
	require.InEpsilon(t, before.QuantileMs(0.5), seeded.Predict(c, Siblings{}, 100).QuantileMs(0.5), 0.3)
	require.Nil(t, New().Encode("q", 0))
}

// TestRecordIsStoredSeldom guards against a record for every run: records cost the users money.
func TestRecordIsStoredSeldom(t *testing.T) {
	random, m, stored := rand.New(rand.NewPCG(1, 1)), New(), 0
	for i := range 1000 {
		nowMs := int64(1_700_000_000_000 + 20*i)
		newJob(random, queueFeatures, 1000).observe(m, nowMs, math.Inf(1))
		if m.NextRecord("q", nowMs) != nil {
			stored++
		}
	}
	require.Equal(t, 7, stored)
	require.Nil(t, m.NextRecord("unknown", 0))
}

// TestHostileRecords guards against records that no model has written.
func TestHostileRecords(t *testing.T) {
	good := wireGroup{Key: 5, N: 2, X: 1, Y: 1, XX: 1, XY: 1, YY: 1}
	with := func(change func(*wireRecord)) []byte {
		w := wireRecord{AtMs: 1, Squares: 1, Tasks: 10, Groups: []wireGroup{good}}
		change(&w)
		text, err := cbor.Marshal(w)
		require.NoError(t, err)
		return text
	}
	_, err := Decode(with(func(*wireRecord) {}))
	require.NoError(t, err)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	records := [][]byte{nil, {0xff}, {0x80}, make([]byte, maxRecord+1), append(with(func(*wireRecord) {}), 0)}
	for _, change := range []func(*wireRecord){
		func(w *wireRecord) { w.AtMs = -1 },
		func(w *wireRecord) { w.Squares = nan },
		func(w *wireRecord) { w.Squares = 1e9 },
		func(w *wireRecord) { w.Tasks = inf },
		func(w *wireRecord) { w.Tasks = -1 },
		func(w *wireRecord) { w.Groups = append(w.Groups, good) },
		func(w *wireRecord) { w.Groups = make([]wireGroup, maxStored+1) },
	} {
		records = append(records, with(change))
	}
	for _, bad := range []wireGroup{
		{N: nan}, {N: 0}, {N: 1e6}, {N: 2, X: inf}, {N: 2, Y: 1e6, YY: 1}, {N: 2, X: 1, XX: 0.1}, {N: 2, XX: 1, YY: 1, XY: 3}, {N: 2, YY: -1},
	} {
		records = append(records, with(func(w *wireRecord) { w.Groups[0] = bad }))
	}
	for i, text := range records {
		_, err := Decode(text)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed), "record %d", i)
	}
}

// FuzzDecode guards against records that are accepted and lead to predictions that are no numbers.
func FuzzDecode(f *testing.F) {
	m := New()
	train(m, queueFeatures, 1, 1000, math.Inf(1))
	f.Add(m.Encode("q", 1))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Decode(text)
		if err != nil {
			return
		}
		m := New()
		m.Restore("q", r, 100)
		feature := queueFeatures
		for _, feature.EstimateMs = range []int64{0, 1, 1000, math.MaxInt64} {
			for key := range m.queues["q"].groups {
				c := Classify(feature)
				c.keys[0] = key
				d := m.Predict(c, Siblings{}, 100)
				for _, v := range []float64{d.MeanMs(), d.LongestMs(8), d.QuantileMs(0.99), d.RemainingMs(500)} {
					require.False(t, math.IsNaN(v) || math.IsInf(v, 0) || v < 0)
				}
			}
		}
	})
}
