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

// balancer knows the live entries, as the platform's balancer does.
type balancer struct {
	mu        sync.Mutex
	endpoints []endpoint
}

func (b *balancer) remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpoints = slices.DeleteFunc(slices.Clone(b.endpoints), func(e endpoint) bool { return e.id == id })
}

// pick returns the n-th live entry, counted around.
func (b *balancer) pick(n uint64) endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoints[n%uint64(len(b.endpoints))]
}

// load offers requests to the entries and notes what their callers were told.
type load struct {
	plan     plan
	balancer *balancer
	caller   *caller
	seed     uint64
	waiting  sync.WaitGroup
	// offered, answered and refused count for the progress lines.
	offered  atomic.Int64
	answered atomic.Int64
	refused  atomic.Int64

	mu   sync.Mutex
	done []request
}

func newLoad(p plan, b *balancer, seed uint64) *load {
	return &load{plan: p, balancer: b, caller: newCaller(), seed: seed}
}

// run offers the demand of all pools until ctx ends, and waits for the
// callers.
func (l *load) run(ctx context.Context) {
	start := time.Now()
	var pools sync.WaitGroup
	for n := range l.plan.config.Services() {
		pools.Go(func() { l.offer(ctx, n, start) })
	}
	pools.Wait()
	l.waiting.Wait()
	l.caller.close()
}

// offer offers the demand of the n-th service.
func (l *load) offer(ctx context.Context, n int, start time.Time) {
	service := l.plan.config.Services()[n]
	pool, _ := l.plan.config.Pool(service.Pool())
	random := rand.New(rand.NewPCG(l.seed, uint64(n)))
	held := float64(pool.Instances()*slotsPerInstance) / serviceTime.Seconds()
	due := start
	for i := 0; ; i++ {
		rate := held * meanPart * l.factor(n, due.Sub(start))
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !waitUntil(ctx, due) {
			return
		}
		r := request{key: fmt.Sprintf("%s-%d", service.Name(), i), service: service.Name(), idempotent: random.IntN(2) == 0}
		at := random.Uint64N(1 << 32)
		l.offered.Add(1)
		l.waiting.Go(func() { l.serve(r, at) })
	}
}

// factor multiplies the mean demand of the n-th pool at a time: the pools
// surge in turn.
func (l *load) factor(n int, at time.Duration) float64 {
	if int(at/l.plan.surge) == n {
		return surgeFactor
	}
	return restFactor
}

// waitUntil reports whether the moment came before ctx ended.
func waitUntil(ctx context.Context, due time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(due)):
		return ctx.Err() == nil
	}
}

// serve makes the calls of one request. A caller whose non-idempotent request
// was not answered tries once more through another entry with the same key.
func (l *load) serve(r request, at uint64) {
	first := l.caller.call(l.balancer.pick(at), r)
	r.calls = append(r.calls, first)
	if first.verdict != crantraffic.Answered && !r.idempotent {
		r.calls = append(r.calls, l.caller.call(l.other(first.entry, at), r))
	}
	l.note(r)
}

// other returns a live entry that is not the one named, if there is one.
func (l *load) other(id string, at uint64) endpoint {
	e := l.balancer.pick(at + 1)
	if e.id == id {
		e = l.balancer.pick(at + 2)
	}
	return e
}

func (l *load) note(r request) {
	if r.outcome() == crantraffic.Answered {
		l.answered.Add(1)
	} else {
		l.refused.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, r)
}

// requests returns the requests that ended so far.
func (l *load) requests() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.done)
}
