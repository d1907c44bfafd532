package cranorder

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAllAreSelectedIfTheyFit guards against a job that is given up although the order of least slack
// would serve all of them in time.
func TestAllAreSelectedIfTheyFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Capacity{Instances: rapid.Float64Range(1, 50).Draw(t, "instances"), Arriving: rapid.Float64Range(0, 20).Draw(t, "arriving"), ArrivingMs: 2000}
		var jobs []Job
		work := 0.0
		for range rapid.IntRange(0, 40).Draw(t, "jobs") {
			j := Job{Work: rapid.Float64Range(0, 10).Draw(t, "work"), SlackMs: c.waitMs(work) + 1}
			work += j.Work
			jobs = append(jobs, j)
		}
		require.NotContains(t, Select(jobs, c), false)
	})
}

// TestSelectedJobsFit guards against a selection that can't be served in time itself, unless all of it
// has been started, and against jobs that are selected though they are late.
func TestSelectedJobsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Capacity{Instances: float64(rapid.IntRange(0, 10).Draw(t, "instances")), Arriving: float64(rapid.IntRange(0, 10).Draw(t, "arriving")), ArrivingMs: 2000}
		jobs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Job {
			return Job{Work: float64(rapid.IntRange(0, 1000).Draw(t, "work")) / 100, SlackMs: float64(rapid.IntRange(-500, 5000).Draw(t, "slack"))}
		}), 0, 40).Draw(t, "jobs")
		selected := Select(jobs, c)
		var kept []Job
		for i, j := range jobs {
			if selected[i] {
				require.GreaterOrEqual(t, j.SlackMs, 0.0)
				kept = append(kept, j)
			}
		}
		slices.SortStableFunc(kept, func(a, b Job) int { return cmp.Compare(a.SlackMs, b.SlackMs) })
		work := 0.0
		for _, j := range kept {
			require.LessOrEqual(t, c.waitMs(work), j.SlackMs+1e-6)
			work += j.Work
		}
	})
}

// TestOverloadServesWhatTheRoomAllows plays a surge of twice the capacity of a pool. With the order of
// least slack alone, hardly any job is in time; with the selection, at least 0.8 of what a bound with
// hindsight allows must be. That bound is the share of the work that the pool can do.
func TestOverloadServesWhatTheRoomAllows(t *testing.T) {
	const instances, workMs, slackMs, lengthMs, stepMs, overload = 40, 2500, 1700, 20_000, 25, 2.0
	play := func(selecting bool) (inTime, arrived int) {
		random := rand.New(rand.NewPCG(1, 1))
		type item struct {
			work, left, startBy float64
			started             bool
		}
		var waiting, running []*item
		due := 0.0
		for now := 0.0; now < lengthMs; now += stepMs {
			for due += overload * instances * stepMs / workMs; due >= 1; due-- {
				work := workMs * (0.5 + random.Float64())
				waiting = append(waiting, &item{work: work, left: work, startBy: now + slackMs})
				arrived++
			}
			for _, r := range running {
				r.left -= stepMs
			}
			running = slices.DeleteFunc(running, func(i *item) bool { return i.left <= 0 })
			slices.SortStableFunc(waiting, func(a, b *item) int { return cmp.Compare(a.startBy, b.startBy) })
			order := slices.Clone(waiting)
			if selecting {
				jobs, occupied := make([]Job, len(waiting)), 0.0
				for _, r := range running {
					occupied += r.left / 1000
				}
				for i, w := range waiting {
					jobs[i] = Job{Work: w.work / 1000, SlackMs: w.startBy - now}
				}
				selected := Select(jobs, Capacity{Instances: instances, Occupied: occupied})
				order = order[:0]
				for i, w := range waiting {
					if selected[i] {
						order = append(order, w)
					}
				}
				for i, w := range waiting {
					if !selected[i] {
						order = append(order, w)
					}
				}
			}
			for _, w := range order[:min(instances-len(running), len(order))] {
				w.started = true
				if now <= w.startBy {
					inTime++
				}
				running = append(running, w)
			}
			waiting = slices.DeleteFunc(waiting, func(i *item) bool { return i.started })
		}
		return inTime, arrived
	}
	plain, arrived := play(false)
	chosen, _ := play(true)
	t.Logf("of %d jobs in time: %d by least slack, %d selected", arrived, plain, chosen)
	require.GreaterOrEqual(t, float64(chosen), 0.8*float64(arrived)/overload)
	require.Greater(t, chosen, 2*plain)
}
