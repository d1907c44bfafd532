package cranentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// probeInstances probes the health of the targets for which a probe is due, and
// proposes the changes.
func (rc *reconciler) probeInstances(ctx context.Context, input reconcileInput) {
	var mu sync.Mutex
	var probes []cranstate.Probe
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentProbes)
	for _, t := range input.targets {
		if !rc.probeDue(t) {
			continue
		}
		rc.lastProbed[t.id] = time.Now()
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			healthy := rc.checkHealth(ctx, t)
			mu.Lock()
			defer mu.Unlock()
			if rc.probeChanged(t, healthy) {
				probes = append(probes, cranstate.Probe{Instance: t.id, Boots: t.boots, Healthy: healthy})
			}
		})
	}
	wg.Wait()
	if len(probes) > 0 && rc.holdsLease(ctx) {
		rc.submit(ctx, cranstate.ProbesObserved{Probes: probes})
	}
}

// probeDue reports whether a target should be probed. Returning targets are
// probed in every reconciliation.
func (rc *reconciler) probeDue(t target) bool {
	if t.phase == cranstate.PhaseReturning {
		return true
	}
	return t.phase == cranstate.PhaseServing && time.Since(rc.lastProbed[t.id]) >= probeInterval
}

// probeChanged reports whether the result of a probe changes the health of the
// target. One success makes it healthy; unhealthyThreshold consecutive failures
// make it unhealthy.
func (rc *reconciler) probeChanged(t target, healthy bool) bool {
	if healthy {
		rc.consecutiveFailures[t.id] = 0
		return !t.healthy || t.phase == cranstate.PhaseReturning
	}
	rc.consecutiveFailures[t.id]++
	return t.healthy && rc.consecutiveFailures[t.id] >= unhealthyThreshold
}

// checkHealth sends one health request to a target.
func (rc *reconciler) checkHealth(ctx context.Context, t target) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := rc.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
