package cranclaim

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Settings of the index under test, in milliseconds.
const (
	modelWindow   = 100
	modelMaxDelay = 20
)

// event is a record in the model's log.
type event struct {
	writer string
	seq    uint64
	record record
	timeMs int64
	// malformed is set for a record that isn't a claim record.
	malformed bool
}

// entry returns the event as a log entry.
func (e event) entry(t require.TestingT, offset int) cranlog.Entry {
	body := []byte("junk")
	if !e.malformed {
		var err error
		body, err = cranlog.EncodeBody(e.record)
		require.NoError(t, err)
	}
	return cranlog.NewEntry(uint64(offset), e.timeMs, cranlog.NewEnvelope(e.writer, e.seq, body))
}

// writerState holds the records that a writer of the model has sent, and the
// number of those that were appended.
type writerState struct {
	sent     []event
	appended int
	// claims holds the claims sent, in the order of their attempts.
	claims []record
}

// model generates a log that claimers and the platform may produce. Records of
// one writer are appended in order, may be duplicated at any time, and the time
// between records varies.
type model struct {
	nowMs   int64
	writers map[string]*writerState
	log     []event
}

var modelWriters = []string{"a", "b", "c"}

// drawModel generates a model by random steps.
func drawModel(rt *rapid.T) *model {
	m := &model{nowMs: 1000, writers: map[string]*writerState{}}
	for _, name := range modelWriters {
		m.writers[name] = &writerState{}
	}
	steps := []string{"claim", "claim", "claim", "release", "report", "append", "append", "append", "append", "duplicate", "tick", "tick", "longTick", "malformed"}
	for range rapid.IntRange(1, 150).Draw(rt, "steps") {
		name := rapid.SampledFrom(modelWriters).Draw(rt, "writer")
		m.step(rt, rapid.SampledFrom(steps).Draw(rt, "step"), name)
	}
	return m
}

func (m *model) step(rt *rapid.T, step, name string) {
	c := m.writers[name]
	switch step {
	case "claim":
		key := Key{byte(rapid.IntRange(1, 2).Draw(rt, "key"))}
		r := record{Kind: kindClaim, Key: key, Attempt: uint64(len(c.claims) + 1), SentMs: m.nowMs}
		c.claims = append(c.claims, r)
		m.send(name, r)
	case "release", "report":
		if len(c.claims) == 0 {
			return
		}
		r := c.claims[rapid.IntRange(0, len(c.claims)-1).Draw(rt, "attempt")]
		kind := map[string]recordKind{"release": kindRelease, "report": kindRan}[step]
		m.send(name, record{Kind: kind, Key: r.Key, Attempt: r.Attempt})
	case "append":
		if c.appended < len(c.sent) {
			m.appendEvent(c.sent[c.appended])
			c.appended++
		}
	case "duplicate":
		if c.appended > 0 {
			m.appendEvent(c.sent[rapid.IntRange(0, c.appended-1).Draw(rt, "duplicate")])
		}
	case "tick":
		m.nowMs += int64(rapid.IntRange(1, modelMaxDelay).Draw(rt, "tick"))
	case "longTick":
		m.nowMs += int64(rapid.IntRange(modelMaxDelay, modelWindow).Draw(rt, "longTick"))
	case "malformed":
		m.appendEvent(event{writer: "junk", seq: uint64(len(m.log) + 1), malformed: true})
	}
}

// send queues a record of a writer.
func (m *model) send(name string, r record) {
	c := m.writers[name]
	c.sent = append(c.sent, event{writer: name, seq: uint64(len(c.sent) + 1), record: r})
}

// appendEvent appends a record with the current time.
func (m *model) appendEvent(e event) {
	e.timeMs = m.nowMs
	m.log = append(m.log, e)
}

// verdicts is the oracle: it searches the whole log before each record.
func (m *model) verdicts() []Verdict {
	out := make([]Verdict, len(m.log))
	for i, e := range m.log {
		out[i] = m.verdict(i, e, out)
	}
	return out
}

// holder returns the index of the claim among the first n records that holds
// the key at timeMs, or -1, and whether it was reported as run.
func (m *model) holder(n int, key Key, timeMs int64, before []Verdict) (holder int, ran bool) {
	holder = -1
	for j, o := range m.log[:n] {
		if o.record.Key != key {
			continue
		}
		switch {
		case before[j] == VerdictGranted && o.timeMs >= timeMs-modelWindow:
			holder, ran = j, false
		case before[j] == VerdictReleased:
			holder = -1
		case before[j] == VerdictReported:
			ran = true
		}
	}
	return holder, ran
}

// verdict returns the expected verdict on record i, given those before it.
func (m *model) verdict(i int, e event, before []Verdict) Verdict {
	duplicate := slices.ContainsFunc(m.log[:i], func(o event) bool { return o.writer == e.writer && o.seq == e.seq })
	if e.malformed || duplicate {
		return VerdictIgnored
	}
	if e.record.Kind == kindClaim && e.timeMs-e.record.SentMs > modelMaxDelay {
		return VerdictVoid
	}
	holder, _ := m.holder(i, e.record.Key, e.timeMs, before)
	own := holder >= 0 && m.log[holder].writer == e.writer && m.log[holder].record.Attempt == e.record.Attempt
	switch {
	case e.record.Kind == kindClaim && holder < 0:
		return VerdictGranted
	case e.record.Kind == kindClaim:
		return VerdictLost
	case !own:
		return VerdictIgnored
	case e.record.Kind == kindRelease:
		return VerdictReleased
	}
	return VerdictReported
}

// requireVerdict compares a verdict with the oracle. A reader that has
// forgotten or never knew the writer's high-water mark may decide that a late
// duplicate of a claim is void, and may accept the duplicate of a report.
func requireVerdict(rt *rapid.T, want Verdict, got Decision, e event, i int) {
	late := e.record.Kind == kindClaim && e.timeMs-e.record.SentMs > modelMaxDelay
	again := e.record.Kind == kindRan && got.Verdict() == VerdictReported
	if want == VerdictIgnored && (again || late && got.Verdict() == VerdictVoid) {
		return
	}
	require.Equal(rt, want, got.Verdict(), "record %d", i)
}

// requireHolder compares the holder of a key after the first n records with the
// oracle.
func (m *model) requireHolder(rt *rapid.T, x *Index, n int, key Key, want []Verdict) {
	nowMs := m.log[n-1].timeMs
	h, held := x.Lookup(key, nowMs)
	j, ran := m.holder(n, key, nowMs, want)
	require.Equal(rt, j >= 0, held, "whether the key is held after record %d", n-1)
	if !held {
		return
	}
	require.Equal(rt, uint64(j), h.Offset())
	require.Equal(rt, m.log[j].writer, h.Claimer())
	require.Equal(rt, ran, h.Outcome() == OutcomeRan)
}

func TestIndexAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := drawModel(rt)
		want := m.verdicts()
		x := NewIndex(modelWindow*time.Millisecond, modelMaxDelay*time.Millisecond)
		for i, e := range m.log {
			requireVerdict(rt, want[i], x.Apply(e.entry(rt, i)), e, i)
			for _, key := range []Key{{1}, {2}} {
				m.requireHolder(rt, x, i+1, key, want)
			}
		}
	})
}

// TestPartialIndexAgreesWithTheFullLog starts readers in the middle of the log.
// A claim that they decide as granted or lost must have that verdict in the
// full log, and they must decide claims that no expired record can affect.
func TestPartialIndexAgreesWithTheFullLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := drawModel(rt)
		if len(m.log) < 2 {
			return
		}
		want := m.verdicts()
		start := rapid.IntRange(1, len(m.log)-1).Draw(rt, "from")
		unreadUntilMs := m.log[start].timeMs
		x := NewPartialIndex(modelWindow*time.Millisecond, modelMaxDelay*time.Millisecond, unreadUntilMs)
		decidedFromMs := unreadUntilMs + modelWindow + modelMaxDelay
		uncertainKeys := map[Key]bool{}
		for i := start; i < len(m.log); i++ {
			e := m.log[i]
			d := x.Apply(e.entry(rt, i))
			if e.record.Kind != kindClaim || e.malformed {
				continue
			}
			if d.Verdict() == VerdictGranted || d.Verdict() == VerdictLost {
				requireVerdict(rt, want[i], d, e, i)
			}
			if e.timeMs > decidedFromMs && !uncertainKeys[e.record.Key] {
				requireVerdict(rt, want[i], d, e, i)
			}
			if e.timeMs <= decidedFromMs {
				require.NotEqual(rt, VerdictGranted, d.Verdict(), "record %d", i)
				uncertainKeys[e.record.Key] = true
			}
		}
	})
}

// TestUncertainKeyStaysUncertainForAWindow has a reader that never read the
// claim at 1000. The claim at 1101 is granted, which the reader can't know
// since the claim at 1060 appears to hold the key. It must not grant the claim
// at 1180.
func TestUncertainKeyStaysUncertainForAWindow(t *testing.T) {
	key := Key{1}
	claim := func(writer string, timeMs int64) event {
		return event{writer: writer, seq: 1, timeMs: timeMs, record: record{
			Kind: kindClaim, Key: key, Attempt: 1, SentMs: timeMs,
		}}
	}
	release := event{writer: "b", seq: 2, timeMs: 1120, record: record{Kind: kindRelease, Key: key, Attempt: 1}}
	logs := map[string][]event{
		"claimed again": {claim("a", 1000), claim("b", 1060), claim("c", 1101), claim("d", 1180)},
		"released":      {claim("a", 1000), claim("b", 1060), claim("c", 1101), release, claim("d", 1180)},
	}
	for name, log := range logs {
		t.Run(name, func(t *testing.T) {
			want := (&model{log: log}).verdicts()
			require.Equal(t, VerdictGranted, want[2])
			require.Equal(t, VerdictLost, want[len(log)-1])
			x := NewPartialIndex(modelWindow*time.Millisecond, modelMaxDelay*time.Millisecond, 1050)
			var last Decision
			for i, e := range log[1:] {
				last = x.Apply(e.entry(t, i+1))
			}
			require.True(t, x.CoversWindow(1180))
			require.Equal(t, VerdictUncertain, last.Verdict())
		})
	}
}

func TestIndexDropsExpiredClaims(t *testing.T) {
	x := NewIndex(modelWindow*time.Millisecond, modelMaxDelay*time.Millisecond)
	for i := range 1000 {
		e := event{writer: string(rune('a' + i)), seq: 1, timeMs: int64(i), record: record{
			Kind: kindClaim, Key: HashKey(string(rune(i))), Attempt: 1, SentMs: int64(i),
		}}
		require.Equal(t, VerdictGranted, x.Apply(e.entry(t, i)).Verdict())
		require.LessOrEqual(t, x.Len(), modelWindow+1)
		require.LessOrEqual(t, len(x.seen.highWater), 2*modelMaxDelay+1)
		require.LessOrEqual(t, len(x.expiry.items), 4*modelWindow)
	}
	require.Len(t, x.seen.lastSeenMs, len(x.seen.highWater))
}

func FuzzRecord(f *testing.F) {
	for kind := range kindRan + 2 {
		body, err := cranlog.EncodeBody(record{Kind: kind, Key: Key{1}, Attempt: 1, SentMs: 5})
		require.NoError(f, err)
		f.Add(body)
	}
	f.Add([]byte("junk"))
	f.Fuzz(func(t *testing.T, body []byte) {
		x := NewIndex(time.Hour, time.Minute)
		entry := cranlog.NewEntry(0, 5, cranlog.NewEnvelope("a", 1, body))
		d := x.Apply(entry)
		r, known := decodeRecord(entry)
		if !known {
			require.Equal(t, VerdictIgnored, d.Verdict())
			return
		}
		require.Equal(t, r.Kind == kindClaim && 5-r.SentMs <= time.Minute.Milliseconds(), d.Verdict() == VerdictGranted)
		require.Equal(t, VerdictIgnored, x.Apply(entry).Verdict())
	})
}
