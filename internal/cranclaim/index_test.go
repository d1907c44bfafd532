package cranclaim

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Times of the model, in milliseconds.
const (
	modelWindow = 100
	modelLate   = 20
)

// event is a record as it stands in the model's log.
type event struct {
	writer string
	seq    uint64
	record record
	timeMs int64
	// junk stands for a record that is no claim record at all.
	junk bool
}

func (e event) entry(t require.TestingT, offset int) cranlog.Entry {
	body := []byte("junk")
	if !e.junk {
		var err error
		body, err = cranlog.EncodeBody(e.record)
		require.NoError(t, err)
	}
	return cranlog.NewEntry(uint64(offset), e.timeMs, cranlog.NewEnvelope(e.writer, e.seq, body))
}

// claimer is a writer of the model: what it has sent, and how much landed.
type claimer struct {
	sent   []event
	landed int
	// claims holds the claims sent, by attempt less one.
	claims []record
}

// world makes a log as claimers and the platform may: records of one writer
// land in order, may land again at any time, and time leaps now and then.
type world struct {
	nowMs    int64
	claimers map[string]*claimer
	log      []event
}

var modelWriters = []string{"a", "b", "c"}

func drawWorld(rt *rapid.T) *world {
	w := &world{nowMs: 1000, claimers: map[string]*claimer{}}
	for _, name := range modelWriters {
		w.claimers[name] = &claimer{}
	}
	steps := []string{"claim", "claim", "claim", "release", "done", "land", "land", "land", "land", "repeat", "tick", "tick", "leap", "junk"}
	for range rapid.IntRange(1, 150).Draw(rt, "steps") {
		name := rapid.SampledFrom(modelWriters).Draw(rt, "writer")
		w.step(rt, rapid.SampledFrom(steps).Draw(rt, "step"), name)
	}
	return w
}

func (w *world) step(rt *rapid.T, step, name string) {
	c := w.claimers[name]
	switch step {
	case "claim":
		key := Key{byte(rapid.IntRange(1, 2).Draw(rt, "key"))}
		r := record{Kind: kindClaim, Key: key, Attempt: uint64(len(c.claims) + 1), SentMs: w.nowMs}
		c.claims = append(c.claims, r)
		w.send(name, r)
	case "release", "done":
		if len(c.claims) == 0 {
			return
		}
		r := c.claims[rapid.IntRange(0, len(c.claims)-1).Draw(rt, "attempt")]
		kind := map[string]recordKind{"release": kindRelease, "done": kindDone}[step]
		w.send(name, record{Kind: kind, Key: r.Key, Attempt: r.Attempt})
	case "land":
		if c.landed < len(c.sent) {
			w.land(c.sent[c.landed])
			c.landed++
		}
	case "repeat":
		if c.landed > 0 {
			w.land(c.sent[rapid.IntRange(0, c.landed-1).Draw(rt, "repeated")])
		}
	case "tick":
		w.nowMs += int64(rapid.IntRange(1, modelLate).Draw(rt, "tick"))
	case "leap":
		w.nowMs += int64(rapid.IntRange(modelLate, modelWindow).Draw(rt, "leap"))
	case "junk":
		w.land(event{writer: "junk", seq: uint64(len(w.log) + 1), junk: true})
	}
}

func (w *world) send(name string, r record) {
	c := w.claimers[name]
	c.sent = append(c.sent, event{writer: name, seq: uint64(len(c.sent) + 1), record: r})
}

func (w *world) land(e event) {
	e.timeMs = w.nowMs
	w.log = append(w.log, e)
}

// verdicts is the oracle: it looks through the whole log before each record.
func (w *world) verdicts() []Verdict {
	out := make([]Verdict, len(w.log))
	for i, e := range w.log {
		out[i] = w.verdict(i, e, out)
	}
	return out
}

// holder returns which of the first n records holds a key at a time, or -1,
// and whether it was reported as run.
func (w *world) holder(n int, key Key, timeMs int64, before []Verdict) (holder int, ran bool) {
	holder = -1
	for j, o := range w.log[:n] {
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

func (w *world) verdict(i int, e event, before []Verdict) Verdict {
	repeat := slices.ContainsFunc(w.log[:i], func(o event) bool { return o.writer == e.writer && o.seq == e.seq })
	if e.junk || repeat {
		return VerdictIgnored
	}
	if e.record.Kind == kindClaim && e.timeMs-e.record.SentMs > modelLate {
		return VerdictVoid
	}
	holder, _ := w.holder(i, e.record.Key, e.timeMs, before)
	own := holder >= 0 && w.log[holder].writer == e.writer && w.log[holder].record.Attempt == e.record.Attempt
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

// requireVerdict compares with the oracle. Once its writer's mark is forgotten
// or unknown, a repeat of a claim that comes late may be called void, too, and
// the repeat of a report may report the same again.
func requireVerdict(rt *rapid.T, want Verdict, got Decision, e event, i int) {
	late := e.record.Kind == kindClaim && e.timeMs-e.record.SentMs > modelLate
	again := e.record.Kind == kindDone && got.Verdict() == VerdictReported
	if want == VerdictIgnored && (again || late && got.Verdict() == VerdictVoid) {
		return
	}
	require.Equal(rt, want, got.Verdict(), "record %d", i)
}

// requireHolder compares who holds a key after the first n records.
func (w *world) requireHolder(rt *rapid.T, x *Index, n int, key Key, want []Verdict) {
	nowMs := w.log[n-1].timeMs
	h, held := x.Lookup(key, nowMs)
	j, ran := w.holder(n, key, nowMs, want)
	require.Equal(rt, j >= 0, held, "after record %d", n-1)
	if !held {
		return
	}
	require.Equal(rt, uint64(j), h.Offset())
	require.Equal(rt, w.log[j].writer, h.Claimer())
	require.Equal(rt, ran, h.Outcome() == OutcomeRan)
}

func TestIndexAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := drawWorld(rt)
		want := w.verdicts()
		x := NewIndex(modelWindow*time.Millisecond, modelLate*time.Millisecond)
		for i, e := range w.log {
			requireVerdict(rt, want[i], x.Apply(e.entry(rt, i)), e, i)
			for _, key := range []Key{{1}, {2}} {
				w.requireHolder(rt, x, i+1, key, want)
			}
		}
	})
}

// TestPartialIndexNeverContradicts starts readers in the midst of the log: what
// they say is granted or lost is so, and what no older record can touch they
// do decide.
func TestPartialIndexNeverContradicts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := drawWorld(rt)
		if len(w.log) < 2 {
			return
		}
		want := w.verdicts()
		from := rapid.IntRange(1, len(w.log)-1).Draw(rt, "from")
		since := w.log[from].timeMs
		x := NewPartialIndex(modelWindow*time.Millisecond, modelLate*time.Millisecond, since)
		ripe := since + modelWindow + modelLate
		doubtful := map[Key]bool{}
		for i := from; i < len(w.log); i++ {
			e := w.log[i]
			d := x.Apply(e.entry(rt, i))
			if e.record.Kind != kindClaim || e.junk {
				continue
			}
			if d.Verdict() == VerdictGranted || d.Verdict() == VerdictLost {
				requireVerdict(rt, want[i], d, e, i)
			}
			if e.timeMs > ripe && !doubtful[e.record.Key] {
				requireVerdict(rt, want[i], d, e, i)
			}
			if e.timeMs <= ripe {
				require.NotEqual(rt, VerdictGranted, d.Verdict(), "record %d", i)
				doubtful[e.record.Key] = true
			}
		}
	})
}

// TestUncertaintyOutlastsTheClaimsItCovers has a reader that never saw the
// claim at 1000. It can't know that the claim at 1101 is granted, since the
// one at 1060 looks like the holder, and must not grant the one at 1180.
func TestUncertaintyOutlastsTheClaimsItCovers(t *testing.T) {
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
			want := (&world{log: log}).verdicts()
			require.Equal(t, VerdictGranted, want[2])
			require.Equal(t, VerdictLost, want[len(log)-1])
			x := NewPartialIndex(modelWindow*time.Millisecond, modelLate*time.Millisecond, 1050)
			var last Decision
			for i, e := range log[1:] {
				last = x.Apply(e.entry(t, i+1))
			}
			require.True(t, x.CoversWindow(1180))
			require.Equal(t, VerdictUncertain, last.Verdict())
		})
	}
}

func TestIndexForgetsWhatIsOld(t *testing.T) {
	x := NewIndex(modelWindow*time.Millisecond, modelLate*time.Millisecond)
	for i := range 1000 {
		e := event{writer: string(rune('a' + i)), seq: 1, timeMs: int64(i), record: record{
			Kind: kindClaim, Key: HashKey(string(rune(i))), Attempt: 1, SentMs: int64(i),
		}}
		require.Equal(t, VerdictGranted, x.Apply(e.entry(t, i)).Verdict())
		require.LessOrEqual(t, x.Len(), modelWindow+1)
		require.LessOrEqual(t, len(x.marks.high), 2*modelLate+1)
		require.LessOrEqual(t, len(x.expiry.items), 4*modelWindow)
	}
	require.Len(t, x.marks.seenMs, len(x.marks.high))
}

func FuzzRecord(f *testing.F) {
	for kind := range kindDone + 2 {
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
