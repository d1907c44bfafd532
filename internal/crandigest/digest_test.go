package crandigest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranquota"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// apply applies records, which must be well-formed.
func apply(t require.TestingT, d *Digest, records []cranstore.Record) {
	for _, r := range records {
		_, err := d.Apply(r.Key, r.Value, 0)
		require.NoError(t, err)
	}
}

// oracle holds the states of all jobs and their queues.
type oracle struct {
	states map[string]cranjob.State
	queues map[string]string
}

// check compares a digest with the oracle.
func (o *oracle) check(t require.TestingT, d *Digest) {
	require.Equal(t, len(o.states), d.Len())
	pending := map[string]int{}
	for id, want := range o.states {
		state, known := d.Job(id)
		require.True(t, known, id)
		require.Equal(t, want, state, id)
		if want == cranjob.Queued {
			pending[o.queues[id]]++
		}
	}
	for _, queue := range []string{"a", "b"} {
		require.Equal(t, pending[queue], d.Pending(queue), queue)
	}
}

// TestReadersAgreeWithOwner lets the states of jobs of two shards rise, and their owners
// publish them and merge their segments. A reader that follows the records, one that reads
// them twice, and one that starts at any time and loads the newest record of each key must
// know the same states.
func TestReadersAgreeWithOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topic := cranmemory.New()
		want := &oracle{states: map[string]cranjob.State{}, queues: map[string]string{}}
		owner, repeating := New(), New()
		steps := rapid.IntRange(1, 4*MergeThreshold).Draw(t, "steps")
		for sequence := range uint64(steps) {
			shard := rapid.IntRange(0, 1).Draw(t, "shard")
			var states []JobState
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				id := fmt.Sprintf("%015x%d", rapid.IntRange(0, 200).Draw(t, "job"), shard)
				old, known := want.states[id]
				if known && old.Final() {
					continue
				}
				next := cranjob.State(rapid.IntRange(int(old), int(cranjob.Cancelled)).Draw(t, "state"))
				if !known {
					want.queues[id] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "queue")
				}
				want.states[id] = next
				states = append(states, JobState{ID: id, Queue: want.queues[id], State: next})
			}
			records := append(Segments(shard, 1, sequence, states), owner.Merge(shard, 1, sequence)...)
			_, err := topic.Append(t.Context(), records, cranstore.AppendOptions{})
			require.NoError(t, err)
			apply(t, owner, records)
			apply(t, repeating, records)
			apply(t, repeating, records)
		}
		want.check(t, owner)
		want.check(t, repeating)
		loaded, _, err := cranstore.Load(t.Context(), topic)
		require.NoError(t, err)
		require.Less(t, len(loaded), 2*MergeThreshold+steps/10)
		started := New()
		apply(t, started, loaded)
		want.check(t, started)
	})
}

// TestMergedSegmentsAreNotRepeated checks that a successor merges the segments of its
// predecessor, and that merged ones stay.
func TestMergedSegmentsAreNotRepeated(t *testing.T) {
	d := New()
	for i := range uint64(MergeThreshold) {
		require.Empty(t, d.Merge(3, 1, i))
		apply(t, d, Segments(3, 1, i, []JobState{{ID: fmt.Sprintf("%016x", i), State: cranjob.Completed}}))
	}
	records := d.Merge(3, 2, 1)
	require.Len(t, records, MergeThreshold+1)
	apply(t, d, records)
	require.Empty(t, d.Merge(3, 2, 2))
	require.Equal(t, MergeThreshold, d.Len())
}

// TestClaimsRise checks that neither a claim nor a renewal of an earlier owner is used after a
// later one, and that a release ends a claim for good.
func TestClaimsRise(t *testing.T) {
	d := New()
	claim := func(epoch uint64, node string, released bool) cranstore.Record {
		return ClaimRecord(0, cranjob.Claim{Epoch: epoch, Node: node, Released: released})
	}
	apply(t, d, []cranstore.Record{
		claim(1, "a", false), Renewal{Epoch: 1, Number: 4, Through: 10}.Record(0),
		claim(2, "b", false), claim(1, "a", true),
		Renewal{Epoch: 1, Number: 5, Through: 12}.Record(0),
	})
	require.Equal(t, cranjob.Claim{Epoch: 2, Node: "b"}, d.Claim(0))
	require.EqualValues(t, 12, d.Through(0, 0))
	apply(t, d, []cranstore.Record{
		Renewal{Epoch: 2, Number: 2, Through: 20, AppendMs: 7}.Record(0), Renewal{Epoch: 1, Number: 9, Through: 15}.Record(0),
		Renewal{Epoch: 2, Number: 1, Through: 18}.Record(0),
	})
	require.Equal(t, cranjob.Claim{Epoch: 2, Node: "b", Renewal: 2, AppendMs: 7}, d.Claim(0))
	require.EqualValues(t, 20, d.Through(0, 0))
	apply(t, d, []cranstore.Record{claim(2, "b", true), claim(2, "b", false)})
	require.True(t, d.Claim(0).Released)
	require.Equal(t, cranjob.Claim{}, d.Claim(1))
}

// TestFirstLayoutHolds checks that a second layout changes nothing.
func TestFirstLayoutHolds(t *testing.T) {
	d := New()
	for _, count := range []int{3, 5} {
		apply(t, d, []cranstore.Record{{Key: KeyLayout, Value: cranshard.New(count, 0, nil).Encode()}})
		require.Equal(t, 3, d.Layout().Count())
	}
}

// TestWaveProgressIsNotReset checks that a record of an owner that knows less doesn't reset
// what an earlier one has written.
func TestWaveProgressIsNotReset(t *testing.T) {
	d := New()
	apply(t, d, []cranstore.Record{WaveProgress{Begun: true, Done: true}.Record(7, 1), WaveProgress{Begun: true}.Record(7, 1)})
	require.Equal(t, WaveProgress{Begun: true, Done: true}, d.Wave(7, 1))
	require.Equal(t, WaveProgress{}, d.Wave(7, 0))
}

// TestUnknownStateIsRefused guards against a state for which there is no name.
func TestUnknownStateIsRefused(t *testing.T) {
	d := New()
	r := Segments(0, 1, 1, []JobState{{ID: "a", State: cranjob.Cancelled + 1}})[0]
	_, err := d.Apply(r.Key, r.Value, 0)
	require.Error(t, err)
	require.Zero(t, d.Len())
}

// FuzzApply checks that a record of another writer neither ends the process nor changes the
// state of a job.
func FuzzApply(f *testing.F) {
	f.Add("s0.1.1.0", []byte{1})
	f.Add("c0", []byte{0xa1})
	f.Add("r-1", []byte{0x84})
	f.Add("w1.x", []byte{0x82, 0xf5, 0xf5})
	f.Add("layout", []byte{0xa1, 1, 0})
	f.Add("q0", QuotaRecord(0, cranquota.Record{Gifts: []cranquota.Gift{{Tenant: "t", To: 1, Total: 5}}}).Value)
	f.Add("", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		d := New()
		apply(t, d, Segments(0, 1, 1, []JobState{{ID: "0000000000000001", State: cranjob.Completed}}))
		_, _ = d.Apply(key, value, 0)
		state, known := d.Job("0000000000000001")
		require.True(t, known)
		require.Equal(t, cranjob.Completed, state)
		d.Merge(0, 2, 1)
	})
}

// TestLeases applies records of leases. The newest one replaces the others, and one that can't
// be decoded changes nothing.
func TestLeases(t *testing.T) {
	d := New()
	none, _ := d.Leases(3)
	require.Empty(t, none.Targets)
	for i, l := range []Leases{
		{Epoch: 7, Targets: []SilentTarget{{ID: "a", EndsInMs: 4000}, {ID: "b", EndsInMs: 100}}},
		{Epoch: 7, Targets: []SilentTarget{{ID: "b", EndsInMs: 50}}},
		{Epoch: 8},
	} {
		r := l.Record(3)
		readAt := time.Duration(i+1) * time.Second
		change, err := d.Apply(r.Key, r.Value, readAt)
		require.NoError(t, err)
		require.Equal(t, Change{Kind: Renewed, Shard: 3}, change)
		leases, at := d.Leases(3)
		require.Equal(t, l, leases)
		require.Equal(t, readAt, at)
	}
	_, err := d.Apply("l3", []byte{0x83}, time.Minute)
	require.Error(t, err)
	leases, at := d.Leases(3)
	require.Equal(t, uint64(8), leases.Epoch)
	require.Equal(t, 3*time.Second, at)
}

// TestWaveOfInvalidShard guards against a negative shard number, which readers use as an index.
func TestWaveOfInvalidShard(t *testing.T) {
	r := WaveProgress{Begun: true}.Record(1, -1)
	_, err := New().Apply(r.Key, r.Value, 0)
	require.Error(t, err)
}

// TestStallIsThatOfNewestClaim guards against an owner that counts as stalled since an earlier one was, and against a
// claim that a report of a stall brings back.
func TestStallIsThatOfNewestClaim(t *testing.T) {
	d := New()
	apply := func(epoch uint64, stalled, released bool) ChangeKind {
		r := ClaimRecord(0, cranjob.Claim{Epoch: epoch, Node: "a", Incarnation: "a-1", Stalled: stalled, Released: released})
		change, err := d.Apply(r.Key, r.Value, 0)
		require.NoError(t, err)
		return change.Kind
	}
	require.Equal(t, Claimed, apply(1, false, false))
	require.Equal(t, Renewed, apply(1, true, false))
	require.True(t, d.Claim(0).Stalled)
	require.Equal(t, NoChange, apply(1, true, false))
	require.Equal(t, Renewed, apply(1, false, false))
	require.False(t, d.Claim(0).Stalled)
	require.Equal(t, Claimed, apply(2, false, false))
	require.Equal(t, NoChange, apply(1, true, false))
	require.False(t, d.Claim(0).Stalled)
	require.Equal(t, Claimed, apply(2, false, true))
	require.Equal(t, NoChange, apply(2, true, false))
	require.True(t, d.Claim(0).Released)
	require.False(t, d.Claim(0).Stalled)
}

// TestUsageNeverFalls guards against totals of a shard that fall, which the other owners would count twice, and
// against records that name tenants which can't exist.
func TestUsageNeverFalls(t *testing.T) {
	d := New()
	apply := func(r cranstore.Record) {
		change, err := d.Apply(r.Key, r.Value, 0)
		require.NoError(t, err)
		require.Equal(t, Change{Kind: Renewed, Shard: 1}, change)
	}
	apply(UsageRecord(1, map[string]uint64{"a": 5, "b": 7}))
	apply(UsageRecord(1, map[string]uint64{"a": 4, "c": 1}))
	want := map[string]uint64{"a": 5, "c": 1}
	require.Equal(t, want, d.Usage(1))
	require.Empty(t, d.Usage(0))
	tooMany := usage{Tenants: make([]tenantUsage, crantenant.MaxTenants+1)}
	for _, value := range [][]byte{
		nil,
		{0x80},
		{0x81},
		{0x81, 0x81, 0x82, 0x61, 'a', 0x20},
		UsageRecord(1, map[string]uint64{"": 1}).Value,
		UsageRecord(1, map[string]uint64{"a": maxUsage + 1}).Value,
		UsageRecord(1, map[string]uint64{strings.Repeat("a", 1000): 1}).Value,
		cranjob.Encode(usage{Tenants: []tenantUsage{{Tenant: "a", Used: 8}, {Tenant: "a", Used: 9}}}),
		cranjob.Encode(tooMany),
	} {
		_, err := d.Apply("t1", value, 0)
		require.Equal(t, cranfault.Malformed, cranfault.KindOf(err))
		require.Equal(t, want, d.Usage(1))
	}
	many := map[string]uint64{}
	for i := range crantenant.MaxTenants {
		many[fmt.Sprintf("%0200d", i)] = uint64(i) + 1
	}
	r := UsageRecord(1, many)
	require.Less(t, len(r.Value), 2*maxUsageBytes)
	apply(r)
	require.NotEmpty(t, d.Usage(1))
}

// TestHostileQuotaIsRefused guards against shares that a record of another writer changes or that overflow, and against
// gifts that an older record takes back.
func TestHostileQuotaIsRefused(t *testing.T) {
	d := New()
	apply := func(r cranquota.Record) error {
		record := QuotaRecord(1, r)
		_, err := d.Apply(record.Key, record.Value, 0)
		return err
	}
	gift := cranquota.Gift{Tenant: "t", To: 0, Total: 9}
	require.NoError(t, apply(cranquota.Record{Gifts: []cranquota.Gift{gift}}))
	for _, hostile := range []cranquota.Record{
		{Gifts: []cranquota.Gift{{Tenant: "t", To: -1}}},
		{Gifts: []cranquota.Gift{{Tenant: "t", Total: 1 << 51}}},
		{Gifts: []cranquota.Gift{{Total: 1}}},
		{Wants: []cranquota.Want{{Tenant: "t", Share: cranquota.Whole + 1}}},
		{Wants: []cranquota.Want{{Tenant: "t", Need: -1}}},
		{Over: []cranquota.Amount{{Tenant: "t", Share: -1}}},
		{Removed: []cranquota.RemovedTenant{{Tenant: "t", Cap: cranjob.Resources{CPU: -1}}}},
	} {
		require.Error(t, apply(hostile), "%+v", hostile)
	}
	for _, value := range [][]byte{nil, {0xff}, {0x80}, QuotaRecord(1, cranquota.Record{}).Value[1:]} {
		_, err := d.Apply("q1", value, 0)
		require.Error(t, err)
	}
	require.NoError(t, apply(cranquota.Record{}))
	r, revision := d.Quota(1)
	require.Equal(t, []cranquota.Gift{gift}, r.Gifts)
	require.EqualValues(t, 2, revision)
}
