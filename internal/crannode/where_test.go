package crannode

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// routed adds the route to the only queue to the configuration of a fleet that is not started.
func (f *testFleet) routed(tenants *crantenant.Directory) {
	decode := f.directory.DecodeOperatorRecord
	f.directory.DecodeOperatorRecord = func(key string, value []byte) (any, error) {
		c, err := decode(key, value)
		config := c.(*Config).Config
		config.Tenants = tenants
		return NewConfig(config, []Route{{Host: "h", Prefix: "/q/", Queue: "q"}}), err
	}
}

// where asks a process about a job of the fleet's queue.
func (f *testFleet) where(n *Node, j *cranjob.Job) cranexplain.Answer {
	a, err := n.Where(f.t.Context(), f.whereQuery(j))
	require.NoError(f.t, err)
	return a
}

func (f *testFleet) whereQuery(j *cranjob.Job) WhereQuery {
	return WhereQuery{Host: "h", Path: "/q/" + j.ID, Tenant: j.Tenant, Job: func(_ *cransched.Queue, rest, _ string) (*cranjob.Job, bool, error) {
		if rest != j.ID {
			return nil, false, errors.New("no id")
		}
		return j, false, nil
	}}
}

// whereWhileLoading returns the answer of an owner that has not loaded its shard.
func (f *testFleet) whereWhileLoading(n *Node, j *cranjob.Job) (a cranexplain.Answer) {
	n.postAndWait(f.t.Context(), func() {
		o := n.shardOf(j.ID).owner
		loaded := o.scheduler
		o.scheduler = nil
		a = n.control.where(j, cranexplain.Answer{Admission: &cranexplain.Admission{Admitted: true}})
		o.scheduler = loaded
	})
	return a
}

func (f *testFleet) storedRecords() int {
	count := 0
	for _, s := range f.shards {
		records, _, err := cranstore.Load(f.t.Context(), s.Submissions.(*cranmemory.Topic))
		require.NoError(f.t, err)
		count += len(records)
	}
	return count
}

// TestWhereNamesOwnerAndTarget guards against an answer by a process that doesn't own the shard, one that names another
// target than the task gets, and one that stores something.
func TestWhereNamesOwnerAndTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0)
		f.routed(nil)
		for i := range 2 {
			n := &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}}
			f.nodes = append(f.nodes, n)
			f.start(n)
		}
		defer f.close()
		time.Sleep(5 * time.Second)
		for number := range 6 {
			j := fleetJob(number)
			placed := 0
			for _, n := range f.nodes {
				a := f.where(n.node, j)
				require.True(t, a.Admission.Admitted)
				require.False(t, a.Admission.HasFigures)
				require.Less(t, a.Shard.ClaimAgeMs, int64(3000))
				if a.Placement == nil {
					require.Equal(t, a.Shard.Owner, a.AskAt)
					require.NotEqual(t, n.name, a.AskAt)
					continue
				}
				placed++
				require.Equal(t, n.name, a.Shard.Owner)
				require.NotEmpty(t, a.Placement.Steps[0].Target)
				require.Empty(t, a.WouldChange)
				loading := f.whereWhileLoading(n.node, j)
				require.True(t, loading.Loading)
				require.Nil(t, loading.Placement)
			}
			require.Equal(t, 1, placed)
		}
		require.Zero(t, f.storedRecords())
		known := fleetJob(9)
		require.NoError(t, f.nodes[0].node.Submit(t.Context(), known))
		require.Equal(t, "queued", f.where(f.nodes[0].node, known).State)
		invalid := fleetJob(10)
		invalid.Steps = nil
		require.Equal(t, string(cranfault.Invalid), f.where(f.nodes[0].node, invalid).Admission.Kind)

		f.nodes[0].fault.set(true, 0)
		time.Sleep(10 * time.Second)
		a := f.where(f.nodes[0].node, fleetJob(11))
		require.False(t, a.Admission.Admitted)
		require.Greater(t, a.ReadAgeMs, int64(8000))
	})
}

// TestWhereShowsOverload guards against a query that counts as an admitted job or that shows other figures than a
// submission meets, and against refusals of tenants that aren't told from those of the load.
func TestWhereShowsOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenants, err := crantenant.New([]crantenant.Entry{{Tenant: crantenant.Tenant{Name: "x", Weight: 1e6}, Keys: []string{"k"}}})
		require.NoError(t, err)
		f := overloadFleet(t, tenants)
		defer f.close()
		before := f.storedRecords()
		j := bigJob(1000)
		j.Tenant = "y"
		require.Contains(t, f.where(f.nodes[0].node, j).Refused, `no tenant "y"`)
		j.Tenant = ""
		require.Contains(t, f.where(f.nodes[0].node, j).Refused, "requires a key")
		j.Tenant = "x"
		placed := 0
		for _, n := range f.nodes {
			a := f.where(n.node, j)
			require.Equal(t, a, f.where(n.node, j))
			require.True(t, a.RequiresKey)
			require.Equal(t, string(cranfault.QueueFull), a.Admission.Kind)
			require.True(t, a.Admission.HasFigures)
			refused := n.node.Submit(t.Context(), j)
			require.Equal(t, cranfault.RetryAfterOf(refused), a.Admission.RetryAfter)
			require.Equal(t, refused.Error(), a.Admission.Reason)
			if p := a.Placement; p != nil {
				placed++
				require.Empty(t, p.Steps[0].Target)
				require.Positive(t, p.Steps[0].Excluded[cranexplain.NoRoom])
				require.Len(t, a.WouldChange, 2, "%v", a.WouldChange)
			}
		}
		require.Equal(t, 1, placed)
		require.Equal(t, before, f.storedRecords())
	})
}

// TestWhereAtBusyControlGoroutine guards against a query that waits for long, and against one that is answered when
// nobody waits for it any more.
func TestWhereAtBusyControlGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0)
		f.routed(nil)
		n := &fleetNode{name: "n0", fault: &fault{}}
		f.nodes = append(f.nodes, n)
		f.start(n)
		defer f.close()
		time.Sleep(4 * time.Second)
		n.node.post(t.Context(), func() { time.Sleep(5 * time.Second) })
		start := time.Now()
		a, err := n.node.Where(t.Context(), f.whereQuery(fleetJob(1)))
		require.Equal(t, cranfault.NotReady, cranfault.KindOf(err))
		require.Equal(t, whereTimeout, time.Since(start))
		require.Nil(t, a.Shard)
	})
}
