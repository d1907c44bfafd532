package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// fleetCap is the processor time of the cap of the only tenant: six tasks, of which a shard's equal part holds one.
const fleetCap = 3000

// newCappedFleet starts entry instances whose configuration has a tenant with a cap. Reads of it have the returned fault.
func newCappedFleet(t *testing.T, nodes int) (*testFleet, *fault) {
	f := newTestFleet(t, 0)
	tenants, err := crantenant.New([]crantenant.Entry{{Tenant: crantenant.Tenant{Name: "t", Weight: 1, Cap: cranjob.Resources{CPU: fleetCap}}}})
	require.NoError(t, err)
	decode := f.directory.DecodeOperatorRecord
	f.directory.DecodeOperatorRecord = func(key string, value []byte) (any, error) {
		decoded, err := decode(key, value)
		decoded.(*Config).Tenants = tenants
		return decoded, err
	}
	operatorFault := &fault{}
	f.directory.Operator = &link{Topic: f.directory.Operator.(*cranmemory.Topic), fault: &fault{}, readFault: operatorFault}
	for range nodes {
		n := &fleetNode{name: string(rune('a' + len(f.nodes))), fault: &fault{}}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f, operatorFault
}

func (f *testFleet) submitCapped(number int) *cranjob.Job {
	job := fleetJob(number)
	job.Tenant = "t"
	require.NoError(f.t, f.nodes[len(f.nodes)-1].node.Submit(f.t.Context(), job))
	return job
}

// watchCap checks the cap for some time and returns the most processor time that was in use.
func (f *testFleet) watchCap(d time.Duration) int {
	peak := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.targets.mu.Lock()
		used := 0
		for _, tgt := range f.targets.targets {
			tgt.endRuns(f.targets.clock().Steady)
			used += 500 * len(tgt.running)
		}
		f.targets.mu.Unlock()
		require.LessOrEqual(f.t, used, fleetCap)
		peak = max(peak, used)
	}
	return peak
}

// TestCapHoldsAcrossOwners guards against starts beyond a cap while the owners of four shards give each other shares and are
// lost, and against shares that are lost with them: the whole cap is in use in the end, and every job completes.
func TestCapHoldsAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newCappedFleet(t, 5)
		defer f.close()
		time.Sleep(4 * time.Second)
		require.Equal(t, allOwned, f.owners())
		var jobs []*cranjob.Job
		for number := range 200 {
			jobs = append(jobs, f.submitCapped(number))
		}
		for _, n := range f.nodes[:3] {
			f.watchCap(2 * time.Second)
			n.fault.set(true, 0)
			f.watchCap(4 * time.Second)
			n.fault.set(false, 0)
		}
		require.Equal(t, fleetCap, f.watchCap(8*time.Second))
		f.watchCap(40 * time.Second)
		last := f.nodes[len(f.nodes)-1].node
		for _, job := range jobs {
			state, found, err := last.State(t.Context(), job.ID)
			require.NoError(t, err)
			require.True(t, found)
			require.Equal(t, cranjob.Completed, state, job.ID)
		}
		gifts := 0
		for number := range fleetShards {
			r, _ := last.digest.Quota(number)
			gifts += len(r.Gifts)
		}
		require.Positive(t, gifts)
	})
}

// TestStartsAreWithheldOnOutdatedCaps guards against starts by a cap that may have been lowered longer ago than a
// configuration may take to be in effect, and against such a pause where no tenant has a cap.
func TestStartsAreWithheldOnOutdatedCaps(t *testing.T) {
	for name, capped := range map[string]bool{"capped": true, "no caps": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, operatorFault := newCappedFleet(t, 1)
				if !capped {
					decode := f.directory.DecodeOperatorRecord
					f.nodes[0].stop()
					f.directory.DecodeOperatorRecord = func(key string, value []byte) (any, error) {
						decoded, err := decode(key, value)
						decoded.(*Config).Tenants = nil
						return decoded, err
					}
					f.start(f.nodes[0])
				}
				defer f.close()
				time.Sleep(4 * time.Second)
				operatorFault.set(true, 0)
				time.Sleep(3 * time.Second)
				job := f.submitCapped(1)
				time.Sleep(2 * time.Second)
				state, _, err := f.nodes[0].node.State(t.Context(), job.ID)
				require.NoError(t, err)
				require.Equal(t, capped, state == cranjob.Queued)
				operatorFault.set(false, 0)
				time.Sleep(3 * time.Second)
				state, _, err = f.nodes[0].node.State(t.Context(), job.ID)
				require.NoError(t, err)
				require.Equal(t, cranjob.Completed, state)
			})
		})
	}
}
