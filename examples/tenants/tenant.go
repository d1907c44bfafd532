package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// The targets have 64 cores, and a job takes 8 of them for half a second: the service completes up to 16 jobs per second.
const (
	tasksPerJob = 2
	taskCPU     = 4000 // thousandths of a core
)

// phaseNames are the phases of the program, by their order.
var phaseNames = [...]string{"before", "during", "after"}

// tenant is a tenant and its callers.
type tenant struct {
	name string
	// number distinguishes the ids of its jobs from those of other tenants.
	number int
	// weight is the entitlement, and rates what the callers send in each phase, in jobs per second.
	weight float64
	rates  [len(phaseNames)]float64
	// keys are the keys in the configuration.
	keys []string

	// inUse is held for reading during a call with the key that the callers use.
	inUse sync.RWMutex
	key   string
	jobs  []*job
}

// job is a job that was sent.
type job struct {
	id      string
	phase   int
	sentAt  time.Time
	outcome standin.Outcome
}

// send sends jobs through all entry instances in turn, in phases of the given length, and waits for the responses.
func (t *tenant) send(ctx context.Context, s *service, c *standin.Caller, length time.Duration) {
	var calls sync.WaitGroup
	defer calls.Wait()
	begin := time.Now()
	for phase, rate := range t.rates {
		for i := range int(rate * length.Seconds()) {
			due := begin.Add(time.Duration(phase)*length + time.Duration(float64(i)/rate*float64(time.Second)))
			if cranpause.Sleep(ctx, time.Until(due)); ctx.Err() != nil {
				return
			}
			n := len(t.jobs)
			j := &job{id: fmt.Sprintf("%08x%08x", t.number, n), phase: phase}
			t.jobs = append(t.jobs, j)
			calls.Go(func() { t.submit(ctx, c, s.entries[n%len(s.entries)], j) })
		}
	}
}

// submit submits a job once. A caller of a real deployment would repeat it after the Retry-After of a refusal.
func (t *tenant) submit(ctx context.Context, c *standin.Caller, entry string, j *job) {
	t.inUse.RLock()
	defer t.inUse.RUnlock()
	j.sentAt = time.Now()
	j.outcome = c.WithKey(t.key).SubmitJob(ctx, entry, standin.Job{
		ID: j.id, Steps: []int{tasksPerJob}, CPU: taskCPU, Estimate: taskDuration, Tenant: t.name,
	})
}

// useKey makes the callers use another key. When it returns, no call with the key before it is in progress.
func (t *tenant) useKey(key string) {
	t.inUse.Lock()
	defer t.inUse.Unlock()
	t.key = key
}
