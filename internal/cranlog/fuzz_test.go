package cranlog

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// session runs several writers on one log and records what their callers got.
type session struct {
	log   *fakeLog
	nodes []*node
	// accepted and refused hold the bodies by the result that the caller of Append
	// got.
	accepted map[string]bool
	refused  map[string]bool
	// outcomes holds what Append returned, by writer, sequence number and body.
	outcomes map[string]Outcome
	stopped  map[string]bool
	bodies   int
	starts   int
}

// node is one process: a writer, the tailer that feeds it, and the entries that
// the tailer has delivered.
type node struct {
	*writerTailer
	name      string
	mu        sync.Mutex
	delivered []Entry
	appends   chan func()
	waiting   int
}

func (s *session) start() *node {
	s.starts++
	n := &node{name: fmt.Sprintf("w%d", s.starts), appends: make(chan func(), 1000)}
	n.writerTailer = &writerTailer{counts: newCounts()}
	options := []Option{
		WithRandom(fixedRandom), WithMaxPending(6), WithMaxBatch(3, 1<<10), WithPoll(time.Second, 2),
		WithBatchWindow(time.Duration(s.starts%2) * 5 * time.Millisecond),
	}
	n.writer = NewWriter(s.log, "control", n.name, options...)
	n.tailer = NewTailer(s.log, "control", 0, func(e Entry) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.delivered = append(n.delivered, e)
		n.writer.Observe(e)
	}, options...)
	return n
}

func (n *node) entries() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Entry(nil), n.delivered...)
}

func (s *session) stop(n *node) {
	n.close()
	s.stopped[n.name] = true
	s.collectResults(n)
}

// collectResults records the results that the callers of Append have got so far.
func (s *session) collectResults(n *node) {
	synctest.Wait()
	for len(n.appends) > 0 {
		record := <-n.appends
		record()
		n.waiting--
	}
}

func (s *session) startAppend(rt *rapid.T, n *node, limit time.Duration) {
	s.bodies++
	body := fmt.Sprintf("body%d", s.bodies)
	ctx, cancel := withTimeout(limit)
	n.waiting++
	go func() {
		defer cancel()
		outcome, err := n.writer.Append(ctx, []byte(body))
		n.appends <- func() { s.recordResult(rt, n, body, outcome, err) }
	}()
	synctest.Wait()
}

func (s *session) recordResult(rt *rapid.T, n *node, body string, outcome Outcome, err error) {
	switch cranfault.KindOf(err) {
	case "":
		s.outcomes[fmt.Sprintf("%s/%d/%s", n.name, outcome.Seq(), body)] = outcome
		s.accepted[body] = true
	case cranfault.QueueFull:
		s.refused[body] = true
	case cranfault.Timeout:
		require.ErrorContains(rt, err, "unknown")
		s.accepted[body] = true
	case cranfault.Cancelled:
	default:
		rt.Fatalf("unexpected result: %v", err)
	}
}

// bubbleTB hides the Deadline method of a test, which must not be called in a
// synctest bubble.
type bubbleTB struct{ testing.TB }

func TestWritersAndTailersAgainstOracle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			s := &session{
				log: newFakeLog(), accepted: map[string]bool{}, refused: map[string]bool{},
				outcomes: map[string]Outcome{}, stopped: map[string]bool{},
			}
			s.nodes = []*node{s.start(), s.start()}
			defer func() {
				for _, n := range s.nodes {
					n.close()
				}
				time.Sleep(time.Minute)
			}()
			rt.Repeat(s.actions())
			s.checkAtEnd(rt)
		})
	})
}

func (s *session) actions() map[string]func(*rapid.T) {
	pick := func(rt *rapid.T) int { return rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node") }
	return map[string]func(*rapid.T){
		"append": func(rt *rapid.T) {
			limit := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "limitMs")) * time.Millisecond
			s.startAppend(rt, s.nodes[pick(rt)], limit)
		},
		"burst": func(rt *rapid.T) {
			n := s.nodes[pick(rt)]
			for range rapid.IntRange(2, 9).Draw(rt, "bodies") {
				s.startAppend(rt, n, time.Minute)
			}
		},
		"fault": func(rt *rapid.T) {
			fault := rapid.IntRange(int(faultLostResponse), int(faultSilent)).Draw(rt, "fault")
			s.log.inject(appendFault(fault))
		},
		"outage": func(rt *rapid.T) { s.log.setDown(rapid.Bool().Draw(rt, "down")) },
		"wait": func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
		},
		"malformed": func(*rapid.T) { s.log.put([]byte("nonsense")) },
		"relay": func(rt *rapid.T) {
			from, to := s.nodes[pick(rt)], s.nodes[pick(rt)]
			offset := uint64(rapid.IntRange(0, int(from.tailer.Next())).Draw(rt, "offset"))
			records, ok := from.tailer.RecentFrom(offset)
			require.True(rt, ok)
			_, err := to.tailer.DeliverRelayed(records)
			if err != nil {
				require.ErrorIs(rt, err, cranfault.MatchKind(cranfault.Conflict))
			}
		},
		"restart": func(rt *rapid.T) {
			i := pick(rt)
			s.stop(s.nodes[i])
			s.nodes[i] = s.start()
		},
		"": func(rt *rapid.T) { s.check(rt) },
	}
}

// check verifies that the entries delivered to each node are a prefix of the log,
// which must hold after every step.
func (s *session) check(rt *rapid.T) {
	for _, n := range s.nodes {
		s.collectResults(n)
	}
	records := s.log.all()
	for _, n := range s.nodes {
		for i, e := range n.entries() {
			require.Equal(rt, uint64(i), e.Offset())
			want, _ := Decode(records[i])
			require.Equal(rt, want, e)
		}
	}
}

// checkAtEnd ends all faults, waits until every append has ended, and compares the
// results with the log.
func (s *session) checkAtEnd(rt *rapid.T) {
	s.log.mu.Lock()
	s.log.faults = nil
	s.log.down = false
	s.log.mu.Unlock()
	time.Sleep(2 * time.Minute)
	s.check(rt)
	for _, n := range s.nodes {
		require.Zero(rt, n.waiting, "an append has not returned")
		require.Len(rt, n.entries(), len(s.log.all()))
		require.Equal(rt, Backlog{}, n.writer.Backlog())
	}
	s.checkOutcomes(rt, s.log.all())
}

// checkOutcomes uses the whole log as the oracle. It verifies that the first
// occurrences of each writer's records are in order without gaps, that no body
// takes effect twice, that every outcome returned by Append matches the log, that
// no refused body is in the log, and that every record of a writer that was not
// stopped is.
func (s *session) checkOutcomes(rt *rapid.T, records []cranplatform.Record) {
	first := map[string]Entry{}
	last := map[string]uint64{}
	marks := HighWater{}
	present := map[string]bool{}
	for _, r := range records {
		e, err := Decode(r)
		if err != nil {
			continue
		}
		key := fmt.Sprintf("%s/%d/%s", e.Writer(), e.Seq(), e.Body())
		_, seen := first[key]
		require.Equal(rt, !seen, marks.Fresh(e.Writer(), e.Seq()), "%s at %d", key, e.Offset())
		if marks.Accept(e.Writer(), e.Seq()) {
			require.Equal(rt, last[e.Writer()]+1, e.Seq())
			last[e.Writer()] = e.Seq()
			first[key] = e
			require.False(rt, present[string(e.Body())], "%s took effect twice", e.Body())
			present[string(e.Body())] = true
		}
	}
	for key, outcome := range s.outcomes {
		require.Equal(rt, first[key].Offset(), outcome.Offset(), key)
		require.Equal(rt, first[key].TimeMs(), outcome.TimeMs(), key)
		require.True(rt, present[key[strings.LastIndex(key, "/")+1:]], key)
	}
	for body := range s.refused {
		require.False(rt, present[body], "%s was refused", body)
	}
	s.checkAccepted(rt, first)
}

// checkAccepted verifies that the log has every record of the writers that were
// not stopped.
func (s *session) checkAccepted(rt *rapid.T, first map[string]Entry) {
	found := map[string]int{}
	for _, e := range first {
		found[e.Writer()]++
	}
	for _, n := range s.nodes {
		n.writer.mu.Lock()
		assigned := n.writer.assigned
		unread := len(n.writer.confirmed)
		n.writer.mu.Unlock()
		require.Zero(rt, unread)
		require.Equal(rt, int(assigned), found[n.name])
	}
}

func TestHighWaterAgainstSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		marks := HighWater{}
		seen := map[string]map[uint64]bool{"a": {}, "b": {}}
		next := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			writer := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "writer")
			seq := uint64(rapid.IntRange(1, int(next[writer])+1).Draw(rt, "seq"))
			next[writer] = max(next[writer], seq)
			before := marks.Clone()
			require.Equal(rt, !seen[writer][seq], marks.Fresh(writer, seq))
			require.Equal(rt, before, marks)
			require.Equal(rt, !seen[writer][seq], marks.Accept(writer, seq))
			seen[writer][seq] = true
		}
	})
}

func FuzzDecode(f *testing.F) {
	good, err := NewEnvelope("a", 1, []byte("body")).Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(good[:len(good):len(good)], 0))
	f.Add([]byte("nonsense"))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := Decode(cranplatform.Record{Offset: 7, Data: data})
		require.Equal(t, uint64(7), entry.Offset())
		require.Equal(t, err != nil, entry.Malformed())
		if err != nil {
			require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
			require.Empty(t, entry.Writer())
			return
		}
		again, err := NewEnvelope(entry.Writer(), entry.Seq(), entry.Body()).Encode()
		require.NoError(t, err)
		same, err := Decode(cranplatform.Record{Offset: 7, Data: again})
		require.NoError(t, err)
		require.Equal(t, entry, same)
	})
}

func TestBodiesRoundTrip(t *testing.T) {
	type note struct {
		Name  string `cbor:"name"`
		Count int    `cbor:"count"`
	}
	body, err := EncodeBody(note{Name: "x", Count: 3})
	require.NoError(t, err)
	got, err := DecodeBody[note](NewEntry(1, 2, NewEnvelope("a", 1, body)))
	require.NoError(t, err)
	require.Equal(t, note{Name: "x", Count: 3}, got)
	_, err = DecodeBody[note](NewEntry(1, 2, NewEnvelope("a", 1, []byte{0xff})))
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
	_, err = DecodeBody[note](Entry{malformed: true})
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
	_, err = EncodeBody(context.Background)
	require.Error(t, err)
}
