package cranpredict

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var queueFeatures = Features{Queue: "q", Tenant: "t", Image: "i", CPU: 1500, Memory: 3000}

// job is a step of eight tasks whose estimate is off by a standard deviation of the logarithm of 0.9. Jobs differ
// by 0.5, tasks of a step by 0.15.
type job struct {
	class     Class
	durations []float64
}

func newJob(random *rand.Rand, f Features, medianMs float64) job {
	logOfJob := math.Log(medianMs) + 0.5*random.NormFloat64()
	f.EstimateMs = int64(math.Exp(logOfJob + 0.9*random.NormFloat64()))
	j := job{class: Classify(f)}
	for range 8 {
		j.durations = append(j.durations, math.Exp(logOfJob+0.15*random.NormFloat64()))
	}
	return j
}

// observe lets a model learn from a job whose tasks all start at once. Runs longer than limitMs are stopped then.
func (j job) observe(m *Model, nowMs int64, limitMs float64) {
	expected := m.Predict(j.class, Siblings{}, nowMs).Expect()
	var finished Siblings
	for _, d := range j.durations {
		m.Observe(Observation{
			Class: j.class, DurationMs: min(d, limitMs), Censored: d > limitMs, Tasks: len(j.durations), Siblings: finished, Expected: expected, NowMs: nowMs,
		})
		if d <= limitMs {
			finished.Add(d)
		}
	}
}

// train lets a model learn from n jobs.
func train(m *Model, f Features, n int, medianMs, limitMs float64) {
	random := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range n {
		newJob(random, f, medianMs).observe(m, int64(i), limitMs)
	}
}

// median returns the predicted median for an estimate of 1 s.
func median(m *Model, f Features, nowMs int64) float64 {
	f.EstimateMs = 1000
	return m.Predict(Classify(f), Siblings{}, nowMs).QuantileMs(0.5)
}

// TestConvergence guards against predictions that trust bad estimates, quantiles that don't match the runs, and
// against too little weight of the finished tasks of a step.
func TestConvergence(t *testing.T) {
	const n = 2000
	random, m := rand.New(rand.NewPCG(1, 1)), New()
	train(m, queueFeatures, 1000, 1000, math.Inf(1))
	m.TakeCalibration()
	var ofEstimate, ofModel, ofSiblings float64
	for range n {
		j := newJob(random, queueFeatures, 1000)
		var finished Siblings
		finished.Add(j.durations[0])
		logDuration := math.Log(j.durations[1])
		ofEstimate += math.Abs(j.class.x+math.Log(1000)-logDuration) / n
		ofModel += math.Abs(math.Log(m.Predict(j.class, Siblings{}, 1000).QuantileMs(0.5))-logDuration) / n
		ofSiblings += math.Abs(math.Log(m.Predict(j.class, finished, 1000).QuantileMs(0.5))-logDuration) / n
		j.observe(m, 1000, math.Inf(1))
	}
	require.Less(t, ofModel, 0.6*ofEstimate)
	require.Less(t, ofSiblings, 0.2)
	c := m.TakeCalibration()
	require.Equal(t, 8*n, c.Runs)
	require.InDelta(t, 0.5, float64(c.Within50)/float64(c.Runs), 0.05)
	require.InDelta(t, 0.9, float64(c.Within90)/float64(c.Runs), 0.03)
	require.InDelta(t, 0.15*0.15, m.queues["q"].within(0), 0.003)
}

// TestCensoredRunsCount stops half of all runs. Without them, predictions would settle at the shorter half.
func TestCensoredRunsCount(t *testing.T) {
	m := New()
	train(m, queueFeatures, 2000, 1000, 1000)
	require.InDelta(t, 1000, median(m, queueFeatures, 2000), 150)
}

// TestNarrowGroups guards against a group of few samples that determines its predictions, and against one of many
// that doesn't.
func TestNarrowGroups(t *testing.T) {
	m, slow := New(), queueFeatures
	slow.Image = "slow"
	train(m, queueFeatures, 300, 1000, math.Inf(1))
	train(m, slow, 1, 5000, math.Inf(1))
	require.Less(t, median(m, slow, 300), 2500.0)
	train(m, slow, 60, 5000, math.Inf(1))
	require.Greater(t, median(m, slow, 300), 3000.0)
	require.InDelta(t, 1000, median(m, queueFeatures, 300), 350)
}

// TestAgeing guards against samples that count for good, by number and by time.
func TestAgeing(t *testing.T) {
	m := New()
	train(m, queueFeatures, 2000, 1000, math.Inf(1))
	train(m, queueFeatures, 500, 4000, math.Inf(1))
	require.InDelta(t, 4000, median(m, queueFeatures, 2000), 1500)
	require.InDelta(t, 1000, median(m, queueFeatures, 40*halfLifeMs), 300, "only the estimate is left")
}

// TestStateIsBounded submits ever new images and queues, and extreme figures.
func TestStateIsBounded(t *testing.T) {
	random, m, f := rand.New(rand.NewPCG(5, 1)), New(), queueFeatures
	for i := range 20000 {
		f.Image, f.Queue = fmt.Sprint(i), fmt.Sprint(i%300)
		newJob(random, f, 1000).observe(m, int64(i), math.Inf(1))
	}
	require.Len(t, m.queues, maxQueues)
	for _, q := range m.queues {
		require.LessOrEqual(t, len(q.groups), maxGroups)
	}
	require.Less(t, len(m.Encode("1", 1)), maxRecord)
	for _, d := range []float64{math.NaN(), 0, -1, math.Inf(1), math.MaxFloat64} {
		m.Observe(Observation{Class: Classify(Features{Queue: "1", EstimateMs: math.MaxInt64}), DurationMs: d, Tasks: 1, NowMs: math.MaxInt64})
	}
	f.Queue = "1"
	require.InDelta(t, 1000, median(m, f, 20000), 500)
}

// TestRemaining guards against a remaining time that doesn't depend on the elapsed time, or is negative or no
// number long after the expected end, and against a wrong longest task. The distribution is exactly log-normal.
func TestRemaining(t *testing.T) {
	random, m := rand.New(rand.NewPCG(6, 1)), New()
	d := Distribution{between: 0.25 - priorWithin, within: priorWithin, shape: &m.shape}
	narrow := Distribution{within: 0.001, between: 0.001, shape: &m.shape}
	var total, count, longest float64
	for range 200000 {
		if seconds := math.Exp(0.5 * random.NormFloat64()); seconds > 1.5 {
			total, count = total+seconds-1.5, count+1
		}
	}
	require.InDelta(t, 1000*total/count, d.RemainingMs(1500), 20)
	require.InDelta(t, d.MeanMs(), d.RemainingMs(0), 1)
	for elapsed := 1.0; elapsed < 1e9; elapsed *= 1.3 {
		for _, d := range []Distribution{d, narrow} {
			require.Positive(t, d.RemainingMs(elapsed))
			require.GreaterOrEqual(t, d.RemainingQuantileMs(elapsed, 0.9), 0.0)
			require.Less(t, d.RemainingMs(elapsed), 2*elapsed+2000)
		}
	}
	for range 20000 {
		most := 0.0
		for range 8 {
			most = max(most, math.Exp(0.15*random.NormFloat64()))
		}
		longest += most / 20
	}
	require.InDelta(t, longest, d.LongestMs(8), 15)
	require.InDelta(t, longest*math.Exp(d.between/2), d.MeanLongestMs(8), 15)
}

// TestUnknown guards against predictions without any information: a step without an estimate.
func TestUnknown(t *testing.T) {
	d := New().Predict(Classify(Features{Queue: "q"}), Siblings{}, 0)
	require.False(t, d.Known())
	require.Zero(t, d.MeanMs()+d.LongestMs(8)+d.RemainingMs(5)+d.QuantileMs(0.9))
	require.InDelta(t, 1000, median(New(), queueFeatures, 0), 1)
}

func BenchmarkPredict(b *testing.B) {
	m, f := New(), queueFeatures
	train(m, f, 2000, 1000, math.Inf(1))
	f.EstimateMs = 1300
	c := Classify(f)
	var finished Siblings
	finished.Add(900)
	b.ReportAllocs()
	for b.Loop() {
		d := m.Predict(c, finished, 5000)
		_ = d.MeanMs() + d.LongestMs(8) + d.QuantileMs(0.9)
	}
}
