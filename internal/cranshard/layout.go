package cranshard

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Layout says which shard a job and an instance belong to. It is immutable.
type Layout struct {
	// count is the number of shards, at least 1.
	count int
	// targets is the number of targets for which the layout was made.
	targets int
	// instances holds the shard of each instance that was known when the layout was made;
	// each shard is below count. The shard of any other instance follows from its id.
	instances map[string]int
	// stripes is the number of partitions into which the submissions of a shard are divided, at
	// least 1.
	stripes int
}

// Option configures a Layout.
type Option func(*Layout)

// WithStripes sets the number of partitions into which the submissions of a shard are divided.
func WithStripes(n int) Option {
	return func(l *Layout) { l.stripes = min(max(n, 1), maxStripes) }
}

// New returns a layout with a number of shards for a number of targets, which divides the
// instances of each pool evenly. The instances are given by pool.
func New(count, targets int, pools map[string][]string, options ...Option) *Layout {
	l := &Layout{count: max(count, 1), targets: targets, instances: map[string]int{}, stripes: 1}
	for _, set := range options {
		set(l)
	}
	next := 0
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		// Ids that follow each other are often in one rack. Dealing them out in turn gives
		// each shard a part of every rack.
		for _, id := range slices.Sorted(slices.Values(pools[pool])) {
			l.instances[id] = next % l.count
			next++
		}
	}
	return l
}

// Count returns the number of shards.
func (l *Layout) Count() int { return l.count }

// TargetsPerShard returns the number of targets of a shard when the layout was made.
func (l *Layout) TargetsPerShard() int { return l.targets / l.count }

// OfJob returns the shard of a job. It depends on the id alone, so every entry instance
// stores a repeated submission in the same shard.
func (l *Layout) OfJob(id string) int { return l.hash(id) }

// Stripes returns the number of partitions of the submissions of a shard.
func (l *Layout) Stripes() int { return l.stripes }

// StripeOfJob returns the partition of its shard's submissions in which the records of a job are stored.
// Like OfJob it depends on the id alone.
func (l *Layout) StripeOfJob(id string) int {
	if l.stripes == 1 {
		return 0
	}
	// The shard follows from the upper half of the hash.
	return int((mix(id) >> 8 & 0xffff) % uint64(l.stripes))
}

// OfInstance returns the shard of an instance.
func (l *Layout) OfInstance(id string) int {
	if shard, known := l.instances[id]; known {
		return shard
	}
	return l.hash(id)
}

func (l *Layout) hash(id string) int {
	if l.count == 1 {
		return 0
	}
	return int((mix(id) >> 33) % uint64(l.count))
}

// mix returns a hash of an id. The low bits of FNV-1a are poorly mixed for ids that differ in few
// characters.
func mix(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	sum ^= sum >> 32
	return sum * 0x9e3779b97f4a7c15
}

// record is the stored form of a layout.
type record struct {
	Count   int `cbor:"1,keyasint"`
	Targets int `cbor:"3,keyasint,omitempty"`
	// Instances holds the ids of the instances of each shard.
	Instances [][]string `cbor:"2,keyasint,omitempty"`
	// Stripes is left out if the submissions of a shard are not divided.
	Stripes int `cbor:"4,keyasint,omitempty"`
}

// Encode returns the stored form of the layout.
func (l *Layout) Encode() []byte {
	r := record{Count: l.count, Targets: l.targets, Instances: make([][]string, l.count)}
	if l.stripes > 1 {
		r.Stripes = l.stripes
	}
	for _, id := range slices.Sorted(maps.Keys(l.instances)) {
		shard := l.instances[id]
		r.Instances[shard] = append(r.Instances[shard], id)
	}
	text, err := cbor.Marshal(r)
	if err != nil {
		// The record consists of numbers and strings, which can always be encoded.
		panic(err)
	}
	return text
}

// Decode decodes the stored form of a layout.
func Decode(text []byte) (*Layout, error) {
	var r record
	if err := cbor.Unmarshal(text, &r); err != nil {
		return nil, malformed("decode the layout: %v", err)
	}
	if r.Count < 1 || r.Count > maxShards || len(r.Instances) > r.Count {
		return nil, malformed("a layout has %d shards and %d sets of instances", r.Count, len(r.Instances))
	}
	if r.Stripes < 0 || r.Stripes > maxStripes {
		return nil, malformed("a layout divides the submissions of a shard into %d parts", r.Stripes)
	}
	l := &Layout{count: r.Count, targets: r.Targets, instances: map[string]int{}, stripes: max(r.Stripes, 1)}
	for shard, ids := range r.Instances {
		for _, id := range ids {
			l.instances[id] = shard
		}
	}
	return l, nil
}

func malformed(format string, args ...any) error {
	return cranfault.New(cranfault.Malformed, "find the other process that writes to the topic", format, args...)
}

const (
	// maxShards bounds the number of shards that a stored layout may have.
	maxShards = 4096
	// maxStripes bounds the partitions of a shard's submissions. An owner follows each of them, which takes two
	// reads a second without any load.
	maxStripes = 8
	// MaxTargetsPerShard bounds the targets of one owner, whatever its machine can do, so
	// that the loss of an owner stops the scheduling of a part of a large fleet only.
	MaxTargetsPerShard = 220
	// targetsPerCore and targetsPerMbps are how many targets an owner schedules with one
	// core and with 1 Mbit/s, at half of their capacity.
	targetsPerCore = 400
	targetsPerMbps = 25
	// FullLoad is how many times as many targets an owner schedules at its full capacity.
	FullLoad = 2
)

// Limits are the resources of an entry instance. A value of 0 means that it is not known.
type Limits struct {
	// Cores is the processor capacity in cores.
	Cores float64
	// LinkMbps is the rate of the network link in Mbit/s.
	LinkMbps float64
}

// Targets returns how many targets an entry instance can schedule.
func (l Limits) Targets() float64 {
	limit := math.Inf(1)
	if l.Cores > 0 {
		limit = min(limit, targetsPerCore*l.Cores)
	}
	if l.LinkMbps > 0 {
		limit = min(limit, targetsPerMbps*l.LinkMbps)
	}
	return limit
}

// Count returns the number of shards for a number of targets, between 1 and most, if entry
// instances have the given limits.
func Count(targets int, l Limits, most int) int {
	perShard := max(min(l.Targets(), MaxTargetsPerShard), 1)
	count := int(math.Round(float64(targets) / perShard))
	return min(max(count, 1), max(most, 1))
}
