package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// halfBeyond takes the jobs with an odd number for work beyond entitlements.
type halfBeyond struct{}

func (halfBeyond) Beyond(job string) bool { return (job[len(job)-1]-'0')%2 == 1 }

func (halfBeyond) WithinShares() map[string]float64 { return map[string]float64{"hot": 0.5} }

// TestDrainPredictsBacklog guards against figures that say little about how long a backlog takes, that don't tell apart
// who waits for whom, or that are published where nothing waits or nobody has tenants.
func TestDrainPredictsBacklog(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 10)
			sim.failureRate, sim.longPolls = 0, true
			sim.takeOver(sim.now - time.Hour)
			sim.runFor(time.Second)
			for i := range 40 {
				sim.submit(newBatchJob(fmt.Sprintf("warm%d", i), 4))
				sim.runFor(150 * time.Millisecond)
			}
			sim.runFor(10 * time.Second)
			for i := range 100 {
				sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 8))
			}
			sim.runFor(20 * time.Millisecond)
			require.Empty(t, sim.owner.AdmissionFigures().Queues, "the deployment has no tenants")
			sim.config.Tenants = &crantenant.Directory{}
			f := sim.owner.AdmissionFigures()
			require.Nil(t, f.Within)
			// One instance of the pool is awake. The others are idle, and no move is ordered yet.
			first := f.Queues["q"]
			t.Logf("at first %v, with %.1f times the capacity on its way %v", first.Drain, first.Arriving, first.After(first.Drain))
			require.Less(t, first.After(first.Drain), time.Minute)
			sim.owner.SetEntitlements(halfBeyond{})
			for range 5 {
				sim.runFor(400 * time.Millisecond)
				sim.owner.AdmissionFigures()
			}
			f = sim.owner.AdmissionFigures()
			q := f.Queues["q"]
			require.Equal(t, halfBeyond{}.WithinShares(), f.Within)
			require.InDelta(t, 0.5, q.Within.Seconds()/q.Drain.Seconds(), 0.15)
			require.LessOrEqual(t, q.Within, q.Ahead)
			require.LessOrEqual(t, q.Ahead, q.Drain)
			require.Positive(t, q.Path)
			require.Positive(t, q.JobTime)
			start := sim.now
			for i := range 100 {
				for e, _ := sim.stored.Lookup(fmt.Sprintf("j%d", i)); e.State() != cranjob.Completed; {
					sim.runFor(50 * time.Millisecond)
				}
			}
			took := sim.now - start
			t.Logf("drain %v, with %.1f times the capacity on its way %v, took %v", q.Drain, q.Arriving, q.After(q.Drain), took)
			require.InDelta(t, 1, q.After(q.Drain).Seconds()/took.Seconds(), 0.4)
			require.Empty(t, sim.owner.AdmissionFigures().Queues)
		})
	}
}
