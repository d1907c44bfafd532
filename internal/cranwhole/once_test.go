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

// orders sends non-idempotent requests until stop is called: each key goes
// through two entries at once and, unless it was answered, once more through
// a third, as an impatient caller's retries do.
func (s *system) orders(service time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	ids := []string{"e1", "e2", "e3"}
	for w := range 6 {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.order(fmt.Sprintf("order-%d-%d", w, n), ids[(w+n)%3], ids[(w+n+1)%3], ids[(w+n+2)%3], service)
			}
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

func (s *system) order(key, first, second, third string, service time.Duration) {
	var both sync.WaitGroup
	told := make([]string, 2)
	for i, id := range []string{first, second} {
		both.Go(func() { told[i] = s.callFor(id, http.MethodPost, key, service) })
	}
	both.Wait()
	if told[0] != "answered" && told[1] != "answered" {
		s.callFor(third, http.MethodPost, key, service)
	}
}

// TestOnceThroughSeveralEntries sends each order through several entries.
func TestOnceThroughSeveralEntries(t *testing.T) {
	s := newFleet(t)
	s.eventually("claims ready", func() bool { return s.call("e1", http.MethodPost, "first") == "answered" })
	stop := s.orders(20 * time.Millisecond)
	time.Sleep(3 * time.Second)
	stop()
	s.checkLedgers()
}

// TestOnceUnderFaults does the same while answers of the log are lost, an
// entry is paused past its lease and woken, another is killed, and the log
// is down for a while.
func TestOnceUnderFaults(t *testing.T) {
	s := newFleet(t)
	s.eventually("claims ready", func() bool { return s.call("e1", http.MethodPost, "first") == "answered" })
	stop := s.orders(20 * time.Millisecond)
	s.platformFaults(cranstandin.Faults{LoseEveryAppendAnswer: 3, DuplicateEveryAppend: 4})
	time.Sleep(2 * time.Second)
	s.entries["e3"].signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	s.platformFaults(cranstandin.Faults{LogOutage: true})
	time.Sleep(2 * time.Second)
	s.platformFaults(cranstandin.Faults{LoseEveryAppendAnswer: 3})
	s.entries["e3"].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	s.entries["e2"].kill()
	time.Sleep(2 * time.Second)
	stop()
	s.eventually("answered again", func() bool { return s.call("e1", http.MethodPost, "last") == "answered" })
	s.checkLedgers()
	require.NotEmpty(t, s.told)
}
