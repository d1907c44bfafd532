package crannode

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// newTenantFleet starts entry instances with one tenant, a.
func newTenantFleet(t *testing.T, nodes int, weight float64, options ...Option) *testFleet {
	f := newTestFleet(t, 0, options...)
	tenants, err := crantenant.New([]crantenant.Entry{{Tenant: crantenant.Tenant{Name: "a", Weight: weight}}})
	require.NoError(t, err)
	decode := f.directory.DecodeOperatorRecord
	f.directory.DecodeOperatorRecord = func(key string, value []byte) (any, error) {
		record, err := decode(key, value)
		record.(*Config).Tenants = tenants
		return record, err
	}
	for i := range nodes {
		n := &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// submitForTenant submits a job of the tenant.
func (f *testFleet) submitForTenant(job *cranjob.Job) {
	job.Tenant, job.ReceivedMs = "a", f.targets.clock().UnixMs
	require.NoError(f.t, f.nodes[0].node.Submit(f.t.Context(), job))
}

// TestOwnersExchangeEntitlements guards against an entitlement of which a tenant gets one shard's part alone, where all
// of its jobs reach one shard, and against totals that fall when the owner is lost.
func TestOwnersExchangeEntitlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const weight = 8
		f := newTenantFleet(t, 3, weight)
		defer f.close()
		time.Sleep(3 * time.Second)
		number := 0
		submit := func(jobs int) {
			for range jobs {
				job := fleetJob(number)
				for ; f.nodes[0].node.digest.Layout().OfJob(job.ID) != 0; job = fleetJob(number) {
					number++
				}
				number++
				f.submitForTenant(job)
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

// TestTenantsBeyondEntitlementAreReported guards against a tenant of which operators can't see that it sends too much,
// or that it no longer does.
func TestTenantsBeyondEntitlementAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		metrics := cranmetric.NewJobs()
		f := newTenantFleet(t, 1, 1, WithLogger(cranevent.New(&lines, cranevent.WithStrict())), WithMetrics(metrics))
		time.Sleep(3 * time.Second)
		scrape := func() string {
			response := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return response.Body.String()
		}
		for number := range 40 {
			f.submitForTenant(fleetJob(number))
		}
		time.Sleep(1900 * time.Millisecond)
		// Each of the four shards has one token.
		require.Contains(t, scrape(), `tenant="a"`)
		time.Sleep(6 * time.Second)
		require.Contains(t, scrape(), "cranberrypick_jobs_classified_total{class=\"beyond\"} 36\n")
		require.Contains(t, scrape(), "cranberrypick_jobs_classified_total{class=\"within\"} 4\n")
		require.NotContains(t, scrape(), `tenant="a"`)
		f.close()
		require.Equal(t, fleetShards, bytes.Count(lines.Bytes(), []byte(`"tenantBeyond"`)))
		require.Equal(t, fleetShards, bytes.Count(lines.Bytes(), []byte(`"tenantWithin"`)))
	})
}
