package cransoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	// tenantCount is the number of tenants. Tenant 0 sends bursts, tenant 1 has a cap.
	tenantCount = 3
	// highCap and lowCap are the caps of tenant 1 in turn, in thousandths of a core. The low one
	// is less than a third of what it asks for.
	highCap = 16 * taskCPU
	lowCap  = 2 * taskCPU
	// publishing bounds the time that it takes to publish a configuration.
	publishing = 200 * time.Millisecond
	// maxKeyInterval is the longest time between two changes of the tenants.
	maxKeyInterval = 1500 * time.Millisecond
	// burstInterval is the time between two jobs of a burst of one tenant, and maxTenantBurst the
	// largest number of them.
	burstInterval  = 15 * time.Millisecond
	maxTenantBurst = 150
)

// tenants are the tenants of a soak, with keys that come and go and a cap that changes. A nil value
// means that the soak has none.
type tenants struct {
	soak   *soak
	random *rand.Rand

	mu     sync.Mutex
	capCPU int
	// keys holds every key that was ever published apart from the permanent ones, the newest last.
	keys []*probedKey
}

// probedKey is a key that is in the configurations of a certain time. Times are as those of a
// probedRoute.
type probedKey struct {
	key                          string
	tenant                       int
	addedAt, removing, removedAt time.Time
}

func tenantName(number int) string   { return fmt.Sprintf("tenant%d", number) }
func permanentKey(number int) string { return fmt.Sprintf("permanent-key-%d", number) }

// start publishes the first configuration with tenants.
func (t *tenants) start() {
	t.setCap(highCap)
	t.publish()
}

// setCap records the next cap of tenant 1. It is called before the cap is published, since an
// owner may use a higher one at once.
func (t *tenants) setCap(cpu int) {
	t.capCPU = cpu
	t.soak.deployment.Ledger().SetCap(tenantName(1), cpu, time.Now(), standin.ConfigBound+publishing)
}

// publish publishes a configuration with the present keys and cap.
func (t *tenants) publish() {
	list := make([]standin.Tenant, tenantCount)
	for i := range list {
		list[i] = standin.Tenant{Name: tenantName(i), Weight: 4, Keys: []string{permanentKey(i)}}
	}
	list[1].CapCPU = t.capCPU
	for _, k := range t.keys {
		if k.removing.IsZero() {
			list[k.tenant].Keys = append(list[k.tenant].Keys, k.key)
		}
	}
	t.soak.deployment.SetTenants(list)
	t.soak.configs.publish()
}

// change adds a key, removes the oldest one if there are several, and may change the cap.
func (t *tenants) change() {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := &probedKey{key: fmt.Sprintf("key-%d", len(t.keys)), tenant: t.random.IntN(tenantCount)}
	var removed *probedKey
	if n := len(t.keys); n >= 2 {
		removed = t.keys[n-2]
		removed.removing = time.Now()
	}
	t.keys = append(t.keys, added)
	switch t.random.IntN(4) {
	case 0:
		t.setCap(lowCap)
	case 1:
		t.setCap(highCap)
	}
	t.publish()
	added.addedAt = time.Now()
	if removed != nil {
		removed.removedAt = added.addedAt
	}
}

// run changes the tenants, probes keys and sends bursts of one tenant until ctx ends. It has random
// sources of its own, so that the other faults of a seed stay the same.
func (t *tenants) run(ctx, submitCtx context.Context) {
	s := t.soak
	s.group.Go(func() {
		for ctx.Err() == nil {
			cranpause.Sleep(ctx, time.Duration(t.random.Int64N(int64(maxKeyInterval))))
			t.change()
		}
	})
	s.group.Go(func() {
		random := rand.New(rand.NewPCG(s.Seed, 5))
		for ctx.Err() == nil {
			cranpause.Sleep(ctx, probeInterval)
			e, k := s.entries[random.IntN(s.Entries)], t.newest(random)
			s.group.Go(func() { t.probe(ctx, e, k) })
		}
	})
	s.group.Go(func() {
		random := rand.New(rand.NewPCG(s.Seed, 6))
		for n := burstJobs; ctx.Err() == nil; {
			cranpause.Sleep(ctx, time.Duration(random.Int64N(int64(maxFaultDuration))))
			for range random.IntN(maxTenantBurst) {
				n += tenantCount
				number, address, tasks := n, s.entries[random.IntN(s.Entries)].frontAddress, 1+random.IntN(4)
				s.group.Go(func() { s.submit(submitCtx, number, address, s.tenantJob(0, tasks)) })
				cranpause.Sleep(ctx, burstInterval)
			}
		}
	})
}

// burstJobs is above the numbers of all other jobs. Numbers that tenantCount divides are of tenant 0.
const burstJobs = tenantCount << 20

// newest returns one of the keys published last, some of them removed by now; nil for a key that was
// never published.
func (t *tenants) newest(random *rand.Rand) *probedKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := random.IntN(8)
	if i >= len(t.keys) {
		return nil
	}
	return t.keys[len(t.keys)-1-i]
}

// probe asks an entry instance for the number of pending jobs with a key, and checks the answer: a key
// that was removed longer than the bound before the request must not work, and one that was added
// longer than the bound of the configuration before must.
func (t *tenants) probe(ctx context.Context, e *entry, k *probedKey) {
	s, key := t.soak, "never-published"
	if k != nil {
		key = k.key
	}
	sent := time.Now()
	status, _ := s.caller.WithKey(key).Call(ctx, http.MethodGet, e.frontAddress, "/q/", nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case k == nil && status == http.StatusOK:
		s.addViolation("%s served a key that was never published", e.name)
	case k == nil:
	case status == http.StatusOK && !k.removedAt.IsZero() && k.removedAt.Before(sent.Add(-standin.RevokeBound)):
		s.addViolation("%s served the key %s, removed %v before the request", e.name, k.key, sent.Sub(k.removedAt))
	case status == http.StatusUnauthorized && !k.addedAt.IsZero() && k.addedAt.Before(sent.Add(-standin.ConfigBound)) && k.removing.IsZero():
		s.addViolation("%s refused the key %s, added %v before the request", e.name, k.key, sent.Sub(k.addedAt))
	}
}

// tenantJob returns a small job of a tenant.
func (s *soak) tenantJob(tenant, tasks int) standin.Job {
	j := smallJob(tasks, false)
	if s.tenants != nil {
		j.Tenant = tenantName(tenant)
	}
	return j
}

// callerOf returns a caller with the permanent key of a tenant, or without a key if the soak has no
// tenants.
func (s *soak) callerOf(tenant int) *standin.Caller {
	if s.tenants == nil {
		return s.caller
	}
	return s.caller.WithKey(permanentKey(tenant % tenantCount))
}
