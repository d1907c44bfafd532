package cranentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// probe asks instances for their health and reports what changed.
func (p *performer) probe(ctx context.Context, w work) {
	var mu sync.Mutex
	var probes []cranstate.Probe
	var running sync.WaitGroup
	limit := make(chan struct{}, maxProbes)
	for _, t := range w.targets {
		if !p.probeDue(t) {
			continue
		}
		p.probed[t.id] = time.Now()
		limit <- struct{}{}
		running.Go(func() {
			defer func() { <-limit }()
			healthy := p.healthy(ctx, t)
			mu.Lock()
			defer mu.Unlock()
			if p.changed(t, healthy) {
				probes = append(probes, cranstate.Probe{Instance: t.id, Boots: t.boots, Healthy: healthy})
			}
		})
	}
	running.Wait()
	if len(probes) > 0 && p.holds(ctx) {
		p.submit(ctx, cranstate.ProbesObserved{Probes: probes})
	}
}

func (p *performer) probeDue(t target) bool {
	if t.phase == cranstate.PhaseReturning {
		return true
	}
	return t.phase == cranstate.PhaseServing && time.Since(p.probed[t.id]) >= probeInterval
}

// changed decides whether a probe is news: one success brings an instance
// back, several failures in a row take it out.
func (p *performer) changed(t target, healthy bool) bool {
	if healthy {
		p.failed[t.id] = 0
		return !t.healthy || t.phase == cranstate.PhaseReturning
	}
	p.failed[t.id]++
	return t.healthy && p.failed[t.id] >= probeFailures
}

func (p *performer) healthy(ctx context.Context, t target) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := p.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
