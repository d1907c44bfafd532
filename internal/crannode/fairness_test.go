package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// TestOwnersExchangeEntitlements guards against an entitlement of which a tenant gets one shard's part alone, where all
// of its jobs reach one shard, and against totals that fall when the owner is lost.
func TestOwnersExchangeEntitlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const weight = 8
		f := newTestFleet(t, 0)
		defer f.close()
		tenants, err := crantenant.New([]crantenant.Entry{{Tenant: crantenant.Tenant{Name: "a", Weight: weight}}})
		require.NoError(t, err)
		decode := f.directory.DecodeOperatorRecord
		f.directory.DecodeOperatorRecord = func(key string, value []byte) (any, error) {
			record, err := decode(key, value)
			record.(*Config).Tenants = tenants
			return record, err
		}
		for _, name := range []string{"n0", "n1", "n2"} {
			n := &fleetNode{name: name, fault: &fault{}}
			f.nodes = append(f.nodes, n)
			f.start(n)
		}
		time.Sleep(3 * time.Second)
		number := 0
		submit := func(jobs int) {
			for range jobs {
				job := fleetJob(number)
				for ; f.nodes[0].node.digest.Layout().OfJob(job.ID) != 0; job = fleetJob(number) {
					number++
				}
				number++
				job.Tenant, job.ReceivedMs = "a", f.targets.clock().UnixMs
				require.NoError(t, f.nodes[0].node.Submit(t.Context(), job))
				time.Sleep(time.Second / weight)
			}
		}
		used := func() uint64 {
			n := f.nodes[0].node
			var used uint64
			n.postAndWait(t.Context(), func() { used = n.digest.Usage(0)["a"] })
			return used
		}
		submit(10 * weight)
		time.Sleep(time.Second)
		before := used()
		require.Greater(t, before, uint64(7*weight), "a shard's part alone allows for a quarter, and its depth")
		require.LessOrEqual(t, before, uint64(10*weight))
		for _, n := range f.nodes[1:] {
			n.stop()
			f.start(n)
		}
		f.nodes[0].stop()
		f.start(f.nodes[0])
		time.Sleep(5 * time.Second)
		require.GreaterOrEqual(t, used(), before)
		submit(2)
		time.Sleep(time.Second)
		require.Equal(t, before+2, used())
	})
}
