package cranpredict

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	// maxStored is the number of groups of a queue that are stored, those with the most samples.
	maxStored = 32
	// maxRecord is the size of the largest record that is read, in bytes.
	maxRecord = 4096
	// runsPerRecord and recordIntervalMs are the number of runs and the time between two records of a queue.
	runsPerRecord    = 50
	recordIntervalMs = 3000
	// tolerance is the relative error of stored sums, which have single precision.
	tolerance = 1e-4
)

// Record is the stored form of what was learned of a queue.
type Record struct{ wire wireRecord }

type wireRecord struct {
	_              struct{} `cbor:",toarray"`
	AtMs           int64
	Squares, Tasks float32
	Groups         []wireGroup
}

type wireGroup struct {
	_                   struct{} `cbor:",toarray"`
	Key                 uint64
	N, X, Y, XX, XY, YY float32
}

func (g *wireGroup) sums() sums {
	return sums{float64(g.N), float64(g.X), float64(g.Y), float64(g.XX), float64(g.XY), float64(g.YY)}
}

// valid reports whether the sums can be those of any samples.
func (s *sums) valid() bool {
	for _, v := range []float64{s.n, s.x, s.y, s.xx, s.xy, s.yy} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	if s.n <= 0 || s.n > maxSamples*(1+tolerance) {
		return false
	}
	limit := math.Log(maxMs)
	slack := func(v float64) float64 { return v*(1+tolerance) + tolerance }
	return math.Abs(s.x) <= slack(s.n*limit) && math.Abs(s.y) <= slack(s.n*limit) &&
		s.xx >= 0 && s.yy >= 0 && s.xx <= slack(s.n*limit*limit) && s.yy <= slack(s.n*2*limit*limit) &&
		s.x*s.x <= slack(s.n*s.xx) && s.y*s.y <= slack(s.n*s.yy) && s.xy*s.xy <= slack(s.xx*s.yy)
}

// Encode returns the record of a queue in its stored form, and nil if the queue is unknown.
func (m *Model) Encode(queue string, nowMs int64) []byte {
	q := m.queues[queue]
	if q == nil {
		return nil
	}
	w := wireRecord{AtMs: nowMs, Squares: float32(q.squares), Tasks: float32(q.tasks)}
	for _, key := range slices.Sorted(maps.Keys(q.groups)) {
		s := q.groups[key].aged(nowMs)
		g := wireGroup{
			Key: key, N: float32(s.n), X: float32(s.x), Y: float32(s.y), XX: float32(s.xx), XY: float32(s.xy), YY: float32(s.yy),
		}
		if stored := g.sums(); stored.valid() {
			w.Groups = append(w.Groups, g)
		}
	}
	// The whole queue has the smallest keys and the most samples.
	slices.SortStableFunc(w.Groups, func(a, b wireGroup) int { return cmp.Compare(b.N, a.N) })
	w.Groups = w.Groups[:min(len(w.Groups), maxStored)]
	text, err := cbor.Marshal(w)
	if err != nil {
		// Every type of this package can be encoded as CBOR.
		panic(err)
	}
	return text
}

// Decode decodes a stored record. It refuses one that no model can have written.
func Decode(text []byte) (*Record, error) {
	refuse := func(format string, args ...any) error {
		return cranfault.New(cranfault.Malformed, "find the other process that writes to the topic", format, args...)
	}
	if len(text) > maxRecord {
		return nil, refuse("the record of run times has %d bytes, at most %d are allowed", len(text), maxRecord)
	}
	var w wireRecord
	if err := cbor.Unmarshal(text, &w); err != nil {
		return nil, refuse("decode the record of run times: %v", err)
	}
	squares, tasks := float64(w.Squares), float64(w.Tasks)
	// A negated comparison also holds for NaN.
	if w.AtMs < 0 || len(w.Groups) > maxStored || !(tasks >= 0 && tasks <= maxWithin*(1+tolerance)) ||
		!(squares >= 0 && squares <= tasks*math.Log(maxMs)*math.Log(maxMs)) {
		return nil, refuse("the record of run times has figures out of their range")
	}
	keys := map[uint64]bool{}
	for i := range w.Groups {
		s := w.Groups[i].sums()
		if keys[w.Groups[i].Key] || !s.valid() {
			return nil, refuse("the sums of a group of run times are not those of any runs")
		}
		keys[w.Groups[i].Key] = true
	}
	return &Record{w}, nil
}

// Restore sets what is known of a queue from a record. Samples keep ageing from the time of the record on; a
// record from the future counts as of now.
func (m *Model) Restore(queue string, r *Record, nowMs int64) {
	q := m.queue(queue)
	if q == nil {
		return
	}
	q.squares, q.tasks = float64(r.wire.Squares), float64(r.wire.Tasks)
	clear(q.groups)
	for i := range r.wire.Groups {
		q.groups[r.wire.Groups[i].Key] = &group{sums: r.wire.Groups[i].sums(), atMs: min(r.wire.AtMs, nowMs)}
	}
	m.all.merge(q, nowMs)
}

// NextRecord returns the record of a queue if it is to be stored again, or else nil.
func (m *Model) NextRecord(queue string, nowMs int64) []byte {
	q := m.queues[queue]
	if q == nil || q.observed < runsPerRecord || nowMs-q.recordedMs < recordIntervalMs {
		return nil
	}
	q.observed, q.recordedMs = 0, nowMs
	return m.Encode(queue, nowMs)
}
