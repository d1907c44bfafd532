package crandigest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// MergeThreshold is the number of segments of a shard that its owner merges into one.
	MergeThreshold = 64
	// maxSegmentJobs bounds the jobs of one segment, which then has at most 64 KiB.
	maxSegmentJobs = 3000
)

// Digest is a process's copy of the digest. It is not safe for concurrent use.
type Digest struct {
	layout *cranshard.Layout
	shards map[int]*shard
	jobs   map[string]jobState
	// pending counts the queued jobs by the hash of their queue.
	pending map[uint32]int
	waves   map[waveKey]WaveProgress
	// admissions holds the newest figures for admission of each shard.
	admissions map[int]*Admission
	// usage holds the entitlements that each shard has used.
	usage map[int]map[string]uint64
}

// shard holds the claim of a shard and its segments.
type shard struct {
	claim   cranjob.Claim
	renewal Renewal
	stripes Stripes
	leases  Leases
	// leasesReadAt is when leases was read, on the steady clock of the process.
	leasesReadAt time.Duration
	quota        quota
	// segments holds the keys of the jobs in each segment that is not merged yet.
	segments map[string][]string
}

// jobState is the state of a job. The queue is 0 unless the job is queued.
type jobState struct {
	state cranjob.State
	queue uint32
}

type waveKey struct{ wave, shard int }

// New returns an empty digest.
func New() *Digest {
	return &Digest{
		shards: map[int]*shard{}, jobs: map[string]jobState{}, pending: map[uint32]int{}, waves: map[waveKey]WaveProgress{},
		admissions: map[int]*Admission{}, usage: map[int]map[string]uint64{},
	}
}

// Layout returns the layout of the shards, or nil if none is stored yet.
func (d *Digest) Layout() *cranshard.Layout { return d.layout }

// Claim returns the newest claim of a shard. Its fields Renewal and AppendMs are those of
// the newest renewal.
func (d *Digest) Claim(number int) cranjob.Claim {
	s := d.shards[number]
	if s == nil {
		return cranjob.Claim{}
	}
	c := s.claim
	if s.renewal.Epoch == c.Epoch {
		c.Renewal, c.AppendMs = s.renewal.Number, s.renewal.AppendMs
	}
	return c
}

// Through returns the offset in a partition of the submissions of a shard up to which all jobs are
// in the digest.
func (d *Digest) Through(number, stripe int) uint64 {
	s := d.shards[number]
	switch {
	case s == nil:
		return 0
	case stripe < len(s.stripes.Through):
		return s.stripes.Through[stripe]
	case stripe == 0:
		return s.renewal.Through
	}
	return 0
}

// Leases returns the newest record of the leases of a shard, and when it was read.
func (d *Digest) Leases(number int) (Leases, time.Duration) {
	if s := d.shards[number]; s != nil {
		return s.leases, s.leasesReadAt
	}
	return Leases{}, 0
}

// Job returns the state of a job and whether the digest has it.
func (d *Digest) Job(id string) (cranjob.State, bool) {
	j, found := d.jobs[jobKey(id)]
	return j.state, found
}

// Len returns the number of jobs.
func (d *Digest) Len() int { return len(d.jobs) }

// Pending returns the number of a queue's jobs of which no task has started.
func (d *Digest) Pending(queue string) int { return d.pending[queueHash(queue)] }

// Wave returns how far a shard has come with a wave.
func (d *Digest) Wave(wave, number int) WaveProgress { return d.waves[waveKey{wave, number}] }

// ChangeKind is the kind of change that a record has caused.
type ChangeKind uint8

// Kinds of change.
const (
	// NoChange is the kind of a record that changes nothing that readers react to.
	NoChange ChangeKind = iota
	LayoutChanged
	// Claimed is the kind of a claim or of a release.
	Claimed
	// Renewed is the kind of every other record that an owner has written.
	Renewed
	WaveChanged
	// LoadPublished is the kind of figures for admission.
	LoadPublished
)

// Change describes the effect of one record.
type Change struct {
	Kind  ChangeKind
	Shard int
	// Newer is set for a renewal that is newer than the one known before.
	Newer bool
	// Before is the claim that a claim has replaced.
	Before cranjob.Claim
}

// Reload prepares the digest for the newest record of every key, after which Apply is called
// for each of them.
func (d *Digest) Reload() {
	for _, s := range d.shards {
		clear(s.segments)
	}
}

// Apply applies a record that was read at a time on the process's steady clock. A record may be
// applied more than once. It returns an error for one that can't be decoded; such a record
// changes nothing.
func (d *Digest) Apply(key string, value []byte, readAt time.Duration) (Change, error) {
	switch key {
	case KeyLayout:
		return d.applyLayout(value)
	case "":
		return Change{}, malformed(key, "the key is empty")
	}
	number, rest, err := parseKey(key)
	if err != nil {
		return Change{}, err
	}
	switch key[0] {
	case keyClaim:
		return d.applyClaim(key, number, value)
	case keyRenewal:
		r, err := decode[Renewal](key, value)
		if err != nil {
			return Change{}, err
		}
		s := d.shard(number)
		if r.Epoch < s.renewal.Epoch || r.Epoch == s.renewal.Epoch && r.Number < s.renewal.Number {
			return Change{}, nil
		}
		newer := r.Epoch > s.renewal.Epoch || r.Number > s.renewal.Number
		s.renewal = *r
		return Change{Kind: Renewed, Shard: number, Newer: newer}, nil
	case keyStripes:
		return d.applyStripes(key, number, value)
	case keyLeases:
		l, err := decode[Leases](key, value)
		if err != nil {
			return Change{}, err
		}
		s := d.shard(number)
		s.leases, s.leasesReadAt = *l, readAt
		return Change{Kind: Renewed, Shard: number}, nil
	case keyAdmission:
		return d.applyAdmission(key, number, value)
	case keyQuota:
		return d.applyQuota(key, number, value)
	case keySegment:
		return d.applySegment(key, number, value)
	case keyWave:
		return d.applyWave(key, number, rest, value)
	case keyUsage:
		return d.applyUsage(key, number, value)
	}
	return Change{}, malformed(key, "the kind of the record is unknown")
}

// maxStripes bounds the partitions that a record names.
const maxStripes = 64

func (d *Digest) applyStripes(key string, number int, value []byte) (Change, error) {
	t, err := decode[Stripes](key, value)
	if err != nil {
		return Change{}, err
	}
	if len(t.Through) > maxStripes {
		return Change{}, malformed(key, fmt.Sprintf("it names %d partitions", len(t.Through)))
	}
	s := d.shard(number)
	if t.Epoch > s.stripes.Epoch || t.Epoch == s.stripes.Epoch && t.Number >= s.stripes.Number {
		s.stripes = *t
	}
	return Change{Kind: Renewed, Shard: number, Newer: false}, nil
}

// applyLayout applies the first layout and ignores any other.
func (d *Digest) applyLayout(value []byte) (Change, error) {
	if d.layout != nil {
		return Change{}, nil
	}
	l, err := cranshard.Decode(value)
	if err != nil {
		return Change{}, err
	}
	d.layout = l
	return Change{Kind: LayoutChanged}, nil
}

// applyClaim applies a claim of a higher epoch than the current one, or the release of the
// current one, or a change of whether its owner has stalled.
func (d *Digest) applyClaim(key string, number int, value []byte) (Change, error) {
	c, err := decode[cranjob.Claim](key, value)
	if err != nil {
		return Change{}, err
	}
	s := d.shard(number)
	released := c.Epoch == s.claim.Epoch && c.Released && !s.claim.Released
	if c.Epoch == s.claim.Epoch && !c.Released && !s.claim.Released && c.Stalled != s.claim.Stalled {
		s.claim.Stalled = c.Stalled
		return Change{Kind: Renewed, Shard: number}, nil
	}
	if c.Epoch <= s.claim.Epoch && !released {
		return Change{}, nil
	}
	before := s.claim
	s.claim = *c
	return Change{Kind: Claimed, Shard: number, Before: before}, nil
}

func (d *Digest) applySegment(key string, number int, value []byte) (Change, error) {
	s := d.shard(number)
	if len(value) == 0 {
		delete(s.segments, key)
		return Change{Kind: Renewed, Shard: number}, nil
	}
	g, err := decode[segment](key, value)
	if err != nil {
		return Change{}, err
	}
	if i := slices.IndexFunc(g.Jobs, func(j wireJob) bool { return !j.State.Valid() }); i >= 0 {
		return Change{}, malformed(key, fmt.Sprintf("unknown state %d", g.Jobs[i].State))
	}
	keys := make([]string, 0, len(g.Jobs))
	for _, j := range g.Jobs {
		id := string(j.Key)
		d.raise(id, jobState{j.State, j.Queue})
		keys = append(keys, id)
	}
	if !g.Merged {
		s.segments[key] = keys
	}
	return Change{Kind: Renewed, Shard: number}, nil
}

// raise applies a state of a job unless the job has a later one, since segments may be applied
// in any order.
func (d *Digest) raise(id string, next jobState) {
	if next.state != cranjob.Queued {
		next.queue = 0
	}
	old, found := d.jobs[id]
	if found && (old.state >= next.state || old.state.Final()) {
		return
	}
	if found && old.queue != 0 {
		d.pending[old.queue]--
	}
	if next.queue != 0 {
		d.pending[next.queue]++
	}
	d.jobs[id] = next
}

func (d *Digest) applyWave(key string, wave int, rest string, value []byte) (Change, error) {
	number, err := strconv.Atoi(rest)
	if err != nil || number < 0 {
		return Change{}, malformed(key, "the key has no valid shard")
	}
	p, err := decode[WaveProgress](key, value)
	if err != nil {
		return Change{}, err
	}
	at := waveKey{wave, number}
	old := d.waves[at]
	d.waves[at] = WaveProgress{Begun: old.Begun || p.Begun, Done: old.Done || p.Done}
	return Change{Kind: WaveChanged, Shard: number}, nil
}

func (d *Digest) shard(number int) *shard {
	s := d.shards[number]
	if s == nil {
		s = &shard{segments: map[string][]string{}}
		d.shards[number] = s
	}
	return s
}

// Segments returns the records of states that have changed in a shard. The epoch and the
// sequence, which is used for one call only, make their keys unique.
func Segments(number int, epoch, sequence uint64, states []JobState) []cranstore.Record {
	var records []cranstore.Record
	for i := 0; i < len(states); i += maxSegmentJobs {
		part := states[i:min(i+maxSegmentJobs, len(states))]
		g := segment{Jobs: make([]wireJob, 0, len(part))}
		for _, s := range part {
			j := wireJob{Key: []byte(jobKey(s.ID)), State: s.State}
			if s.State == cranjob.Queued {
				j.Queue = queueHash(s.Queue)
			}
			g.Jobs = append(g.Jobs, j)
		}
		records = append(records, cranstore.Record{Key: segmentKey(number, epoch, sequence, i), Value: cranjob.Encode(g)})
	}
	return records
}

func segmentKey(number int, epoch, sequence uint64, part int) string {
	return fmt.Sprintf("%c%d%s%x%s%x%s%x", keySegment, number, keySeparator, epoch, keySeparator, sequence, keySeparator, part)
}

// Merge returns the records that replace the segments of a shard by one merged segment, or
// nothing if there are fewer than MergeThreshold. The epoch and the sequence make the key of
// the merged segment unique.
func (d *Digest) Merge(number int, epoch, sequence uint64) []cranstore.Record {
	s := d.shards[number]
	if s == nil || len(s.segments) < MergeThreshold {
		return nil
	}
	merged := segment{Merged: true}
	seen := map[string]bool{}
	var removed []cranstore.Record
	for _, key := range slices.Sorted(maps.Keys(s.segments)) {
		if len(seen) >= maxSegmentJobs {
			break
		}
		for _, id := range s.segments[key] {
			if seen[id] {
				continue
			}
			seen[id] = true
			j := d.jobs[id]
			merged.Jobs = append(merged.Jobs, wireJob{Key: []byte(id), State: j.state, Queue: j.queue})
		}
		removed = append(removed, cranstore.Record{Key: key})
	}
	key := segmentKey(number, epoch, sequence, maxSegmentJobs)
	return append([]cranstore.Record{{Key: key, Value: cranjob.Encode(merged)}}, removed...)
}
