package cranwhole

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// startNonIdempotentLoad sends non-idempotent requests through several entries until
// stop is called. Six callers send one key after the other.
func (s *system) startNonIdempotentLoad(serviceTime time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	ids := []string{"e1", "e2", "e3"}
	for w := range 6 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.callThroughSeveral(fmt.Sprintf("order-%d-%d", w, n), ids[(w+n)%3], ids[(w+n+1)%3], ids[(w+n+2)%3], serviceTime)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// callThroughSeveral sends the same request through two entries concurrently and, if
// neither answered, through a third, like the retries of a caller.
func (s *system) callThroughSeveral(key, first, second, third string, serviceTime time.Duration) {
	var calls sync.WaitGroup
	outcomes := make([]string, 2)
	for i, id := range []string{first, second} {
		calls.Go(func() { outcomes[i] = s.callWithDuration(id, http.MethodPost, key, serviceTime) })
	}
	calls.Wait()
	if outcomes[0] != "answered" && outcomes[1] != "answered" {
		s.callWithDuration(third, http.MethodPost, key, serviceTime)
	}
}

// TestAtMostOnceThroughSeveralEntries sends each non-idempotent request through
// several entries. None may run twice.
func TestAtMostOnceThroughSeveralEntries(t *testing.T) {
	s := startFleet(t)
	s.eventually("the first request was not answered", func() bool { return s.call("e1", http.MethodPost, "first") == "answered" })
	stop := s.startNonIdempotentLoad(20 * time.Millisecond)
	time.Sleep(3 * time.Second)
	stop()
	s.checkLedgers()
}

// TestAtMostOnceUnderFaults sends each non-idempotent request through several entries
// while the log loses responses and duplicates appends, the log is unavailable for a
// while, one entry is paused beyond its lease and resumed, and another is killed.
// None may run twice.
func TestAtMostOnceUnderFaults(t *testing.T) {
	s := startFleet(t)
	s.eventually("the first request was not answered", func() bool { return s.call("e1", http.MethodPost, "first") == "answered" })
	stop := s.startNonIdempotentLoad(20 * time.Millisecond)
	s.setPlatformFaults(cranstandin.Faults{LoseEveryAppendAnswer: 3, DuplicateEveryAppend: 4})
	time.Sleep(2 * time.Second)
	s.entries["e3"].signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	s.setPlatformFaults(cranstandin.Faults{LogOutage: true})
	time.Sleep(2 * time.Second)
	s.setPlatformFaults(cranstandin.Faults{LoseEveryAppendAnswer: 3})
	s.entries["e3"].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	s.entries["e2"].kill()
	time.Sleep(2 * time.Second)
	stop()
	s.eventually("no request was answered after the faults", func() bool { return s.call("e1", http.MethodPost, "last") == "answered" })
	s.checkLedgers()
	require.NotEmpty(t, s.outcomes)
}
