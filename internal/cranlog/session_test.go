package cranlog

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

// transcript records what happens, with the time since the start.
type transcript struct {
	mu    sync.Mutex
	start time.Time
	text  bytes.Buffer
}

func (s *transcript) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.start).Round(time.Millisecond)
	fmt.Fprintf(&s.text, "%8s  %s\n", at, fmt.Sprintf(format, args...))
}

// TestSessionWithLostResponseAndOutage compares the readable transcript of a writer
// and its tailer, through lost responses, a late append and an outage of the log,
// with a golden file.
func TestSessionWithLostResponseAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &transcript{start: time.Now()}
		log := newFakeLog()
		log.logf = func(format string, args ...any) { out.logf("log     "+format, args...) }
		var w *Writer
		log.readDelay = 2 * time.Millisecond
		options := func(who string, backoff time.Duration) []Option {
			count := func(r Reason) { out.logf("count   %s: %s", who, r) }
			return []Option{WithRandom(fixedRandom), WithCounter(count), WithBackoff(backoff, 50*backoff)}
		}
		handler := func(e Entry) {
			out.logf("tailer  offset %d: writer %q seq %d body %q malformed %t",
				e.Offset(), e.Writer(), e.Seq(), e.Body(), e.Malformed())
			w.Observe(e)
		}
		w = NewWriter(log, "control", "entry1", options("writer", 20*time.Millisecond)...)
		tailer := NewTailer(log, "control", 0, handler, options("tailer", 52*time.Millisecond)...)
		call := func(body string, limit time.Duration) {
			ctx, cancel := withTimeout(limit)
			defer cancel()
			outcome, err := w.Append(ctx, []byte(body))
			if err != nil {
				out.logf("caller  %s: %v", body, err)
				return
			}
			out.logf("caller  %s: at offset %d as seq %d", body, outcome.Offset(), outcome.Seq())
		}
		heading := func(s string) {
			time.Sleep(707 * time.Millisecond)
			out.logf("# %s", s)
		}
		heading("an append that works")
		call("publish 1", time.Minute)
		heading("a response lost after the append took effect: the read-back ends the wait, nothing is repeated")
		log.inject(faultLostResponse)
		call("publish 2", time.Minute)
		heading("an append that fails and takes effect after its repeat")
		log.inject(faultLate)
		call("publish 3", time.Minute)
		heading("a foreign record that can't be decoded")
		log.put([]byte("nonsense"))
		heading("an outage: the first caller times out, the second waits, both records are appended")
		log.setDown(true)
		time.Sleep(911 * time.Millisecond)
		go call("publish 4", 500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		go call("publish 5", time.Minute)
		time.Sleep(1400 * time.Millisecond)
		out.logf("# the log is available again")
		log.setDown(false)
		time.Sleep(5 * time.Second)
		heading("closed")
		_ = w.Close()
		_ = tailer.Close()
		goldie.New(t).Assert(t, "session", out.text.Bytes())
	})
}
