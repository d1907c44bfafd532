package crannode

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// overloadFleet returns a fleet, with or without tenants, whose pool has minutes of work waiting.
func overloadFleet(t *testing.T, tenants *crantenant.Directory) *testFleet {
	f := newTestFleet(t, 0)
	f.routed(tenants)
	for i := range fleetShards + 2 {
		n := &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	time.Sleep(5 * time.Second)
	for i := range 80 {
		require.NoError(t, f.nodes[i%len(f.nodes)].node.Submit(t.Context(), bigJob(i)))
	}
	time.Sleep(2 * time.Second)
	return f
}

// figuresOf returns the figures of the first shard that a process has read.
func figuresOf(n *Node) *crandigest.Admission {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.digest.Admission(0)
}

// bigJob returns a job of which each task takes a whole target.
func bigJob(number int) *cranjob.Job {
	j := fleetJob(number)
	j.Steps[0] = cranjob.Step{Count: 32, Demand: cranjob.Resources{CPU: 4000, Memory: 4000}, EstimateMs: 1000}
	j.Tenant = "x"
	return j
}

// TestOverloadRefusesAtOnce guards against entry instances that accept work which can't end before it is worthless, that
// store what they refuse, that refuse a job which they know, and that go by figures of owners that are
// long gone.
func TestOverloadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenants, err := crantenant.New([]crantenant.Entry{{Tenant: crantenant.Tenant{Name: "x", Weight: 1e6}, Keys: []string{"k"}}})
		require.NoError(t, err)
		f := overloadFleet(t, tenants)
		defer f.close()
		for i, n := range f.nodes {
			start := time.Now()
			err := n.node.Submit(t.Context(), bigJob(1000+i))
			require.Equal(t, cranfault.QueueFull, cranfault.KindOf(err), "%v", err)
			require.Positive(t, cranfault.RetryAfterOf(err))
			require.Zero(t, time.Since(start))
			require.NoError(t, n.node.Submit(t.Context(), bigJob(i)))
		}
		for _, s := range f.shards {
			records, _, err := cranstore.Load(t.Context(), s.Submissions.(*cranmemory.Topic))
			require.NoError(t, err)
			for _, r := range records {
				id, _, _ := cranjob.ParseSubmissionKey(r.Key)
				require.Less(t, id, fmt.Sprintf("%016x", 1000))
			}
		}
		// An entry instance is cut off while figures are published, and reads them when their owners are gone.
		at := slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.node.owned.Load() == 0 })
		entry := f.nodes[at]
		entry.fault.set(true, 0)
		time.Sleep(3 * time.Second)
		for _, n := range f.nodes {
			if n != entry {
				n.stop()
			}
		}
		time.Sleep(3 * time.Second)
		entry.fault.set(false, 0)
		for !entry.node.storeAnswers() {
			time.Sleep(10 * time.Millisecond)
		}
		require.NotEmpty(t, figuresOf(entry.node).Queues)
		for i := range 8 {
			require.NoError(t, entry.node.Submit(t.Context(), bigJob(2000+i)))
		}
	})
}

// TestDeploymentWithoutTenantsAdmitsAll guards against refusals where no tenants are configured.
func TestDeploymentWithoutTenantsAdmitsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := overloadFleet(t, nil)
		defer f.close()
		for i, n := range f.nodes {
			require.NoError(t, n.node.Submit(t.Context(), bigJob(1000+i)))
			require.Nil(t, figuresOf(n.node))
		}
	})
}

// TestFiguresSurviveRecord guards against units that differ between the owner that publishes figures and the entry
// instance that reads them.
func TestFiguresSurviveRecord(t *testing.T) {
	q := cranadmit.QueueLoad{
		Waiting: 7, Drain: 9 * time.Second, Ahead: 8 * time.Second, Within: 3 * time.Second, Path: 1500 * time.Millisecond,
		JobTime: 40 * time.Millisecond, Arrivals: 12, ArrivalsWithin: 4.5, Share: 1, Arriving: 0.25,
	}
	f := cranadmit.Figures{Queues: map[string]cranadmit.QueueLoad{"q": q, "removed": q}, Within: map[string]float64{"x": 0.125, "a": 0}}
	config := &cransched.Config{Queues: map[string]*cransched.Queue{"q": {Name: "q", Stretch: 1.6}}}
	record := (&figuresWriter{}).record(f, config, 5, time.Hour).Record(2)
	d := crandigest.New()
	_, err := d.Apply(record.Key, record.Value, 0)
	require.NoError(t, err)
	read, found := d.Admission(2).Queue("q")
	require.True(t, found)
	require.Equal(t, q, queueLoad(read))
	require.Equal(t, []crandigest.TenantShare{{Name: "a"}, {Name: "x", Within: 125}}, d.Admission(2).Tenants)
}
