package crantraffic

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runCounts counts the runs of each key at all targets.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounts) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
}

// faultyTarget runs requests. A seeded generator decides whether it answers,
// cuts the answer short, delays it or refuses the request.
func faultyTarget(t *testing.T, counts *runCounts, seed uint64) string {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // test faults need no secure randomness
	return newTargetServer(t, func(w http.ResponseWriter, in *http.Request) {
		mu.Lock()
		fault := r.IntN(8)
		mu.Unlock()
		if fault == 0 {
			w.Header().Set(headerRefused, refusedSlots)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		counts.add(in.Header.Get(headerKey))
		switch fault {
		case 1:
			panic(http.ErrAbortHandler)
		case 2, 6, 7:
			time.Sleep(20 * time.Millisecond)
		case 3:
			w.Header().Set(headerRequestID, "other")
		case 4:
			w.WriteHeader(http.StatusInternalServerError)
		case 5:
			w.Header().Set("Content-Length", "100")
		}
		_, _ = fmt.Fprint(w, "done")
	})
}

// TestAtMostOnceUnderFaults sends each key one to four times through two
// entries, at once and again later, with short deadlines and faulty targets. No
// key may run twice, and none may run if all its callers got notRun.
func TestAtMostOnceUnderFaults(t *testing.T) {
	const keys, maxTries = 160, 4
	counts := &runCounts{runs: make(map[string]int)}
	addresses := map[string]string{}
	for i, id := range []string{"a", "b", "c"} {
		addresses[id] = faultyTarget(t, counts, uint64(i+1))
	}
	first := newRig(t, newFakeSlots(3, "a", "b", "c"), addresses)
	second := newRig(t, newFakeSlots(3, "a", "b", "c"), addresses)
	second.claims = first.claims
	second.proxy.claims = first.claims
	for _, g := range []*rig{first, second} {
		g.view(addresses, 100*time.Millisecond, nil)
	}
	var mu sync.Mutex
	outcomesByKey := map[string]map[string]int{}
	for k := range keys {
		outcomesByKey[fmt.Sprint("k", k)] = map[string]int{}
	}
	var wg sync.WaitGroup
	for k := range keys {
		key := fmt.Sprint("k", k)
		for i := range 1 + k%maxTries {
			wg.Go(func() {
				time.Sleep(time.Duration(i/2*50) * time.Millisecond)
				g := []*rig{first, second}[i%2]
				deadline := []string{"10", "30", "500"}[(k+i)%3]
				got := g.call("POST", "/s/orders/a", "", headerKey, key, headerDeadline, deadline)
				mu.Lock()
				defer mu.Unlock()
				outcomesByKey[key][got.outcome]++
			})
		}
	}
	wg.Wait()
	require.NoError(t, first.proxy.Close())
	require.NoError(t, second.proxy.Close())
	counts.mu.Lock()
	defer counts.mu.Unlock()
	sum := map[string]int{}
	for key, outcomes := range outcomesByKey {
		require.LessOrEqual(t, counts.runs[key], 1, key)
		n := 0
		for outcome, times := range outcomes {
			sum[outcome] += times
			n += times
		}
		if outcomes["notRun"] == n {
			require.Zero(t, counts.runs[key], "key %s got only notRun but ran", key)
		}
		if outcomes["answered"] > 0 {
			require.Equal(t, 1, counts.runs[key])
		}
	}
	require.Equal(t, keys*(1+maxTries)/2, sum["answered"]+sum["notRun"]+sum["unknown"])
}

// TestNothingStartsOnAClosedInstance closes an instance repeatedly under load.
// Once SetView has returned and no exchange is in flight, no request may start
// there.
func TestNothingStartsOnAClosedInstance(t *testing.T) {
	var runs atomic.Int64
	addresses := map[string]string{"a": newTargetServer(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
	})}
	g := newRig(t, newFakeSlots(4, "a"), addresses)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					g.call([]string{"GET", "POST"}[i%2], "/s/orders/a", "", headerDeadline, "50")
				}
			}
		})
	}
	for range 60 {
		g.view(addresses, time.Second, map[string]bool{"a": true})
		require.Eventually(t, func() bool { return g.proxy.InFlight("a") == 0 }, 10*time.Second, 100*time.Microsecond)
		before := runs.Load()
		time.Sleep(2 * time.Millisecond)
		require.Equal(t, before, runs.Load())
		g.view(addresses, time.Second, nil)
		time.Sleep(2 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	require.Positive(t, runs.Load())
}
