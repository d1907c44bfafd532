package crandemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// balancer distributes calls over the live entries. It stands in for the platform's load
// balancer.
type balancer struct {
	mu        sync.Mutex
	endpoints []endpoint
}

// remove takes an entry out of the rotation.
func (b *balancer) remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpoints = slices.DeleteFunc(slices.Clone(b.endpoints), func(e endpoint) bool { return e.id == id })
}

// pick returns the live entry at index n modulo the number of live entries.
func (b *balancer) pick(n uint64) endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoints[n%uint64(len(b.endpoints))]
}

// load generates requests, sends them to the entries and records the outcomes that the
// callers received.
type load struct {
	plan     plan
	balancer *balancer
	caller   *caller
	seed     uint64
	pending  sync.WaitGroup
	// offered, answered and notAnswered count requests for the progress lines. The last one
	// covers every outcome other than answered.
	offered     atomic.Int64
	answered    atomic.Int64
	notAnswered atomic.Int64

	mu   sync.Mutex
	done []request
}

func newLoad(p plan, b *balancer, seed uint64) *load {
	return &load{plan: p, balancer: b, caller: newCaller(), seed: seed}
}

// run generates the demand of all services until ctx ends, then waits for the requests in
// progress.
func (l *load) run(ctx context.Context) {
	start := time.Now()
	var pools sync.WaitGroup
	for n := range l.plan.config.Services() {
		pools.Go(func() { l.offer(ctx, n, start) })
	}
	pools.Wait()
	l.pending.Wait()
	l.caller.close()
}

// offer generates the requests of the n-th service as a Poisson process whose rate follows
// the surges.
func (l *load) offer(ctx context.Context, n int, start time.Time) {
	service := l.plan.config.Services()[n]
	pool, _ := l.plan.config.Pool(service.Pool())
	random := rand.New(rand.NewPCG(l.seed, uint64(n)))
	capacity := float64(pool.Instances()*slotsPerInstance) / serviceTime.Seconds()
	due := start
	for i := 0; ; i++ {
		rate := capacity * meanUtilisation * l.factor(n, due.Sub(start))
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !waitUntil(ctx, due) {
			return
		}
		r := request{key: fmt.Sprintf("%s-%d", service.Name(), i), service: service.Name(), idempotent: random.IntN(2) == 0}
		at := random.Uint64N(1 << 32)
		l.offered.Add(1)
		l.pending.Go(func() { l.runRequest(r, at) })
	}
}

// factor returns the factor by which the mean demand of the n-th service is multiplied at a
// time after the start. The services surge one after the other.
func (l *load) factor(n int, at time.Duration) float64 {
	if int(at/l.plan.surge) == n {
		return surgeFactor
	}
	return restFactor
}

// waitUntil waits until the due time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(due)):
		return ctx.Err() == nil
	}
}

// runRequest makes the calls of one request and records its outcomes. If a non-idempotent
// request is not answered, it is retried once through another entry with the same key.
func (l *load) runRequest(r request, at uint64) {
	first := l.caller.call(l.balancer.pick(at), r)
	r.calls = append(r.calls, first)
	if first.outcome != crantraffic.Answered && !r.idempotent {
		r.calls = append(r.calls, l.caller.call(l.otherEntry(first.entry, at), r))
	}
	l.record(r)
}

// otherEntry returns a live entry other than the named one, if there is one.
func (l *load) otherEntry(id string, at uint64) endpoint {
	e := l.balancer.pick(at + 1)
	if e.id == id {
		e = l.balancer.pick(at + 2)
	}
	return e
}

// record stores a request that has ended and counts it for the progress lines.
func (l *load) record(r request) {
	if r.outcome() == crantraffic.Answered {
		l.answered.Add(1)
	} else {
		l.notAnswered.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, r)
}

// requests returns the requests that have ended so far.
func (l *load) requests() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.done)
}
