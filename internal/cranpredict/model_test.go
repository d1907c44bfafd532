package cranpredict

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

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
		o := Observation{
			Class: j.class, DurationMs: min(d, limitMs), Censored: d > limitMs, Tasks: len(j.durations), Siblings: finished, Expected: expected, NowMs: nowMs,
		}
		m.Observe(o)
		if !o.Censored {
			finished.Add(d)
		}
	}
}

var queueFeatures = Features{Queue: "q", Tenant: "t", Image: "i", CPU: 1500, Memory: 3000}

// TestConvergence guards against predictions that trust bad estimates, quantiles that don't match the runs, and
// against too little weight of the finished tasks of a step.
func TestConvergence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	m := New()
	var ofEstimate, ofModel, ofSiblings, squares float64
	for i := range 3000 {
		j := newJob(random, queueFeatures, 1000)
		if i == 1000 {
			m.TakeCalibration()
		}
		if i >= 1000 {
			var finished Siblings
			finished.Add(j.durations[0])
			logDuration := math.Log(j.durations[1])
			ofEstimate += math.Abs(j.class.x + math.Log(1000) - logDuration)
			ofModel += math.Abs(math.Log(m.Predict(j.class, Siblings{}, int64(i)).QuantileMs(0.5)) - logDuration)
			ofSiblings += math.Abs(math.Log(m.Predict(j.class, finished, int64(i)).QuantileMs(0.5)) - logDuration)
			squares++
		}
		j.observe(m, int64(i), math.Inf(1))
	}
	require.Less(t, ofModel/squares, 0.6*ofEstimate/squares)
	require.Less(t, ofSiblings/squares, 0.2)
	c := m.TakeCalibration()
	require.Equal(t, 16000, c.Runs)
	require.InDelta(t, 0.5, float64(c.Within50)/float64(c.Runs), 0.05)
	require.InDelta(t, 0.9, float64(c.Within90)/float64(c.Runs), 0.03)
	require.InDelta(t, 0.15*0.15, m.queues["q"].within(0), 0.003)
}

// TestCensoredRunsCount stops half of all runs. Without them, predictions would settle at the shorter half.
func TestCensoredRunsCount(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	m := New()
	for i := range 2000 {
		newJob(random, queueFeatures, 1000).observe(m, int64(i), 1000)
	}
	f := queueFeatures
	f.EstimateMs = 1000
	require.InDelta(t, 1000, m.Predict(Classify(f), Siblings{}, 2000).QuantileMs(0.5), 250)
}

// TestNarrowGroups guards against a group of few samples that determines its predictions, and against one of many
// that doesn't.
func TestNarrowGroups(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	m := New()
	slow := queueFeatures
	slow.Image = "slow"
	for i := range 300 {
		newJob(random, queueFeatures, 1000).observe(m, int64(i), math.Inf(1))
	}
	median := func(f Features) float64 {
		f.EstimateMs = 1000
		return m.Predict(Classify(f), Siblings{}, 300).QuantileMs(0.5)
	}
	newJob(random, slow, 5000).observe(m, 300, math.Inf(1))
	require.Less(t, median(slow), 2500.0)
	for range 60 {
		newJob(random, slow, 5000).observe(m, 300, math.Inf(1))
	}
	require.Greater(t, median(slow), 3000.0)
	require.InDelta(t, 1000, median(queueFeatures), 350)
}

// TestAgeing guards against samples that count for good, by number and by time.
func TestAgeing(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 1))
	m := New()
	f := queueFeatures
	f.EstimateMs = 1000
	for i := range 2000 {
		newJob(random, queueFeatures, 1000).observe(m, int64(i), math.Inf(1))
	}
	for i := range 500 {
		newJob(random, queueFeatures, 4000).observe(m, int64(i), math.Inf(1))
	}
	require.InDelta(t, 4000, m.Predict(Classify(f), Siblings{}, 2000).QuantileMs(0.5), 1500)
	require.InDelta(t, 1000, m.Predict(Classify(f), Siblings{}, 40*halfLifeMs).QuantileMs(0.5), 300, "only the estimate is left")
}

// TestStateIsBounded submits ever new images, queues and extreme figures.
func TestStateIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	m := New()
	for i := range 20000 {
		f := queueFeatures
		f.Image = fmt.Sprint(i)
		f.Queue = fmt.Sprint(i % 300)
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
	f := queueFeatures
	f.Queue, f.EstimateMs = "1", 1000
	require.InDelta(t, 1000, m.Predict(Classify(f), Siblings{}, 20000).QuantileMs(0.5), 500)
}

// TestRemaining guards against a remaining time that doesn't depend on the elapsed time, or is negative or no
// number long after the expected end. The distribution is exactly log-normal.
func TestRemaining(t *testing.T) {
	m := New()
	d := Distribution{mu: 0, between: 0.25 - priorWithin, within: priorWithin, shape: &m.shape}
	random := rand.New(rand.NewPCG(6, 1))
	var total, count, longest float64
	for range 200000 {
		if seconds := math.Exp(0.5 * random.NormFloat64()); seconds > 1.5 {
			total, count = total+seconds-1.5, count+1
		}
	}
	require.InDelta(t, 1000*total/count, d.RemainingMs(1500), 20)
	require.InDelta(t, d.MeanMs(), d.RemainingMs(0), 1)
	narrow := Distribution{within: 0.001, between: 0.001, shape: &m.shape}
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
		longest += most / 20000
	}
	require.InDelta(t, 1000*longest, d.LongestMs(8), 15)
	require.InDelta(t, 1000*longest*math.Exp(d.between/2), d.MeanLongestMs(8), 15)
}

// TestUnknown guards against predictions without any information: a step without an estimate.
func TestUnknown(t *testing.T) {
	m := New()
	d := m.Predict(Classify(Features{Queue: "q"}), Siblings{}, 0)
	require.False(t, d.Known())
	require.Zero(t, d.MeanMs()+d.LongestMs(8)+d.RemainingMs(5)+d.QuantileMs(0.9))
	c := Classify(Features{Queue: "q", EstimateMs: 700})
	require.InDelta(t, 700, m.Predict(c, Siblings{}, 0).QuantileMs(0.5), 1)
}

func BenchmarkPredict(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	m := New()
	for i := range 2000 {
		newJob(random, queueFeatures, 1000).observe(m, int64(i), math.Inf(1))
	}
	f := queueFeatures
	f.EstimateMs = 1300
	c := Classify(f)
	var finished Siblings
	finished.Add(900)
	b.ReportAllocs()
	sum := 0.0
	for b.Loop() {
		d := m.Predict(c, finished, 5000)
		sum += d.MeanMs() + d.LongestMs(8) + d.QuantileMs(0.9)
	}
	_ = sum
}

func BenchmarkObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	m := New()
	j := newJob(random, queueFeatures, 1000)
	e := m.Predict(j.class, Siblings{}, 0).Expect()
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(Observation{Class: j.class, DurationMs: 1000, Tasks: 8, Expected: e})
	}
}
