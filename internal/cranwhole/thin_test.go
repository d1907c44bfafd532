package cranwhole

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startLoad sends idempotent requests through every entry until stop is called. Each
// entry has four callers. stop returns the number of requests that were not answered.
func (s *system) startLoad(serviceTime time.Duration) (stop func() int64) {
	var failed, n atomic.Int64
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for id := range s.entries {
		for range 4 {
			callers.Go(func() {
				for ctx.Err() == nil {
					key, sentAt := fmt.Sprintf("load-%d", n.Add(1)), time.Since(start)
					if outcome, body := s.request(id, http.MethodGet, key, serviceTime); outcome != "answered" {
						failed.Add(1)
						s.t.Logf("%s through %s: outcome %q, body %.200s, after %v, sent at %v", key, id, outcome, body, time.Since(start)-sentAt, sentAt)
					}
				}
			})
		}
	}
	return func() int64 {
		cancel()
		callers.Wait()
		return failed.Load()
	}
}

// TestRequestsDuringPlannedOperations sends requests during a move, a drain and the
// planned stop of an entry. Every request must be answered until the entry stops.
func TestRequestsDuringPlannedOperations(t *testing.T) {
	s := newSystem(t)
	for i := range 3 {
		s.startTarget(fmt.Sprintf("r%d", i+1), "roster", fmt.Sprintf("rack%d", i+1))
	}
	s.startTarget("o1", "office", "rack4")
	for _, id := range []string{"e1", "e2", "e3"} {
		s.startEntry(id)
	}
	s.publish("e1", testConfig(t, 3, 1))
	s.waitAvailable(3)
	stop := s.startLoad(700 * time.Millisecond)
	_, err := s.entries["e2"].admin.Move(context.Background(), "o1", "roster")
	require.NoError(t, err)
	s.waitAvailable(4)
	_, err = s.entries["e3"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("r1 did not reboot", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.waitAvailable(4)
	require.Zero(t, stop(), "requests were not answered")
	s.entries["e1"].stop()
	delete(s.entries, "e1")
	s.eventually("the stopped entry is still a member", func() bool { return len(s.status("e2").Members) == 2 })
	require.Equal(t, "answered", s.call("e2", http.MethodGet, "last"))
	s.checkLedgers()
}
