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

// load sends idempotent requests through every entry until stop is called,
// which returns how many were not answered.
func (s *system) load(service time.Duration) (stop func() int64) {
	var failed, n atomic.Int64
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for id := range s.entries {
		for range 4 {
			callers.Go(func() {
				for ctx.Err() == nil {
					key, began := fmt.Sprintf("load-%d", n.Add(1)), time.Since(start)
					if told, body := s.ask(id, http.MethodGet, key, service); told != "answered" {
						failed.Add(1)
						s.t.Logf("%s at %s: told %q, %.200s, after %v, sent at %v", key, id, told, body, time.Since(start)-began, began)
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

// TestWholePath serves callers throughout a publication, a move, a drain and
// the planned stop of an entry.
func TestWholePath(t *testing.T) {
	s := newSystem(t)
	for i := range 3 {
		s.startTarget(fmt.Sprintf("r%d", i+1), "roster", fmt.Sprintf("rack%d", i+1))
	}
	s.startTarget("o1", "office", "rack4")
	for _, id := range []string{"e1", "e2", "e3"} {
		s.startEntry(id)
	}
	s.publish("e1", testConfig(t, 3, 1))
	s.available(3)
	stop := s.load(700 * time.Millisecond)
	_, err := s.entries["e2"].admin.Move(context.Background(), "o1", "roster")
	require.NoError(t, err)
	s.available(4)
	_, err = s.entries["e3"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("rebooted", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.available(4)
	require.Zero(t, stop(), "every request was answered")
	s.entries["e1"].stop()
	delete(s.entries, "e1")
	s.eventually("left", func() bool { return len(s.status("e2").Members) == 2 })
	require.Equal(t, "answered", s.call("e2", http.MethodGet, "last"))
	s.checkLedgers()
}
