package cranfair

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

func directory(t require.TestingT, weights map[string]float64) *crantenant.Directory {
	var entries []crantenant.Entry
	for name, weight := range weights {
		entries = append(entries, crantenant.Entry{Tenant: crantenant.Tenant{Name: name, Weight: weight}})
	}
	d, err := crantenant.New(entries)
	require.NoError(t, err)
	return d
}

// TestEntitlementIsBounded guards against a tenant that is entitled to more than its weight and one
// depth, whatever it saves up, however late its jobs are read and whatever the clocks of entry
// instances say.
func TestEntitlementIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0, 30).Draw(t, "weight")
		shards := rapid.IntRange(1, 4).Draw(t, "shards")
		l := NewLedger(0, shards)
		l.SetTenants(directory(t, map[string]float64{"a": weight}), 0)
		nowMs, within := int64(1_000_000), 0
		startMs := nowMs
		for range rapid.IntRange(1, 200).Draw(t, "jobs") {
			nowMs += rapid.Int64Range(0, 4000).Draw(t, "pause")
			if l.Classify("a", nowMs+rapid.Int64Range(-5000, 5000).Draw(t, "skew"), nowMs) {
				within++
			}
			part := (weight*float64(nowMs-startMs+5000)/1000 + Depth(weight)) / float64(shards)
			require.LessOrEqual(t, float64(within), max(part, 1)+1)
		}
	})
}

// TestRandomArrivalsAreWithin guards against a bucket that is too shallow for a tenant which sends
// half its weight at random times.
func TestRandomArrivalsAreWithin(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, weight := range []float64{0.5, 3, 20} {
		l := NewLedger(0, 1)
		l.SetTenants(directory(t, map[string]float64{"a": weight}), 0)
		at, beyond := 1e6, 0
		for range 20_000 {
			at += random.ExpFloat64() * 2000 / weight
			if !l.Classify("a", int64(at), int64(at)) {
				beyond++
			}
		}
		require.Less(t, beyond, 200, weight)
	}
}

// TestClocksOfEntryInstances guards against a tenant that loses its entitlement because the clock of
// an entry instance is wrong.
func TestClocksOfEntryInstances(t *testing.T) {
	l := NewLedger(0, 1)
	l.SetTenants(directory(t, map[string]float64{"a": 1}), 0)
	const hourMs = 3_600_000
	nowMs := int64(10 * hourMs)
	require.True(t, l.Classify("a", nowMs, nowMs))
	require.True(t, l.Classify("a", nowMs-hourMs, nowMs))
	for range 10 {
		l.Classify("a", nowMs+hourMs, nowMs)
	}
	require.False(t, l.Classify("a", nowMs, nowMs))
	require.True(t, l.Classify("a", nowMs+2000, nowMs+2000))
}

// TestShardsShareEntitlement guards against an entitlement that is lost where the jobs of a tenant
// reach one shard more than the others, and against one that counts more than once. Totals are
// published every 400 ms and read with a delay, or not at all for a while.
func TestShardsShareEntitlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const weight, endMs = 10.0, 60_000
		shards := rapid.IntRange(2, 4).Draw(t, "shards")
		delayMs := rapid.Int64Range(50, 1500).Draw(t, "delay")
		outageMs := rapid.Int64Range(0, 20_000).Draw(t, "outage")
		uneven := rapid.IntRange(0, 9).Draw(t, "uneven")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		ledgers := make([]*Ledger, shards)
		for i := range ledgers {
			ledgers[i] = NewLedger(i, shards)
			ledgers[i].SetTenants(directory(t, map[string]float64{"a": weight}), 0)
		}
		type publication struct {
			atMs   int64
			shard  int
			totals map[string]uint64
		}
		var published []publication
		within := 0
		const startMs = int64(1_000_000)
		for nowMs := startMs; nowMs < startMs+endMs; nowMs += 20 {
			// The tenant sends 25 jobs per second.
			if random.IntN(2) == 0 {
				l := ledgers[random.IntN(shards)]
				if random.IntN(10) < uneven {
					l = ledgers[0]
				}
				if l.Classify("a", nowMs, nowMs) {
					within++
				}
			}
			if nowMs%400 == 0 {
				for i, l := range ledgers {
					published = append(published, publication{nowMs, i, l.Totals()})
				}
			}
			if nowMs%200 == 0 && (nowMs-startMs < 20_000 || nowMs-startMs >= 20_000+outageMs) {
				for ; len(published) > 0 && published[0].atMs <= nowMs-delayMs; published = published[1:] {
					for _, l := range ledgers {
						l.Observe(published[0].shard, published[0].totals)
					}
				}
				for _, l := range ledgers {
					l.Confirm(nowMs - delayMs)
				}
			}
		}
		// What the others have used in the time that their totals take is learnt too late, by each shard.
		late := weight * float64(delayMs+400) / 1000 * float64(shards)
		require.LessOrEqual(t, float64(within), weight*endMs/1000+Depth(weight)+late)
		if outageMs == 0 {
			require.GreaterOrEqual(t, float64(within), 0.85*weight*endMs/1000)
		}
	})
}

// TestSuccessorResumesTotals guards against totals that fall with a new owner, and against accounts
// for names that no configuration has.
func TestSuccessorResumesTotals(t *testing.T) {
	l := NewLedger(1, 2)
	l.SetTenants(directory(t, map[string]float64{"a": 5, "b": 5}), 0)
	require.True(t, l.Classify("a", 1, 1))
	l.Resume(map[string]uint64{"a": 7, "x": 3})
	require.True(t, l.Classify("a", 1, 1))
	l.Observe(0, map[string]uint64{"a": 100, "y": 4})
	l.Observe(1, map[string]uint64{"b": 100})
	require.Equal(t, map[string]uint64{"a": 8}, l.Totals())
	require.Len(t, l.accounts, 1)
}

// TestWhoIsWithin guards against refusing what is owed where nothing is limited, and against an
// entitlement for tenants that have none.
func TestWhoIsWithin(t *testing.T) {
	l := NewLedger(0, 1)
	require.True(t, l.Classify("a", 1, 1), "there are no tenants")
	l.SetTenants(directory(t, map[string]float64{"a": 1, "zero": 0}), 1)
	for range 10 {
		require.True(t, l.Classify("", 1, 1), "a public queue")
	}
	require.True(t, l.Classify("a", 1, 1))
	require.False(t, l.Classify("zero", 1, 1))
	require.False(t, l.Classify("unknown", 1, 1))
	require.Equal(t, []Standing{{"unknown", 0}, {"zero", 0}}, l.Beyond(1))
	require.Empty(t, l.Beyond(1+standingMs))
	// A tenant that is removed keeps its weight for what it has sent before.
	l.SetTenants(directory(t, map[string]float64{"b": 1}), 2)
	require.True(t, l.Classify("a", 2, 2))
}

// TestOrderSharesByWeight guards against a tenant that gets more than its share of the room by
// sending more or larger jobs, and against credit for the time in which it sent nothing.
func TestOrderSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights, sizes := map[string]float64{}, map[string]float64{}
		for i := range rapid.IntRange(2, 6).Draw(t, "tenants") {
			name := fmt.Sprint(i)
			weights[name] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
			sizes[name] = rapid.Float64Range(0.2, 5).Draw(t, "work")
		}
		o := newOrder(weights)
		served := map[string]float64{}
		for round := range 2000 {
			o.Begin()
			first, least := "", 0.0
			for name := range weights {
				// Tenant 0 begins late, and must not catch up.
				if name == "0" && round < 1000 {
					continue
				}
				if rank := o.Rank(name, sizes[name]); first == "" || rank < least {
					first, least = name, rank
				}
			}
			o.Charge(first, sizes[first])
			if round >= 1000 {
				served[first] += sizes[first]
			}
		}
		for a := range weights {
			for b := range weights {
				// Start-time fair queueing is unfair by one job of each at most.
				bound := 2 * (sizes[a]/weights[a] + sizes[b]/weights[b])
				require.InDelta(t, served[a]/weights[a], served[b]/weights[b], bound, "%s and %s", a, b)
			}
		}
	})
}

// TestOrderComesCloseToFairShares guards against an order that serves a tenant much worse than the weighted max-min
// shares, which are computed with hindsight from all that the tenants send.
func TestOrderComesCloseToFairShares(t *testing.T) {
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 7))
		const tenants, servers, steps = 20, 40, 600
		weights, demand := map[string]float64{}, map[string]float64{}
		sent, served := map[string]float64{}, map[string]float64{}
		for i := range tenants {
			name := fmt.Sprint(i)
			weights[name] = 0.2 + 3*random.Float64()
			// A job has 7 steps of work on average, so 1.75 times the capacity is asked for.
			demand[name] = random.Float64()
		}
		// waiting holds, by tenant, the lengths of its waiting jobs in steps, and busy those of the running ones.
		waiting := map[string][]int{}
		var busy []int
		o := newOrder(weights)
		for range steps {
			running := busy[:0]
			for _, left := range busy {
				if left > 1 {
					running = append(running, left-1)
				}
			}
			busy = running
			type entry struct {
				tenant string
				work   int
				rank   float64
			}
			var list []entry
			o.Begin()
			for i := range tenants {
				name := fmt.Sprint(i)
				if random.Float64() < demand[name] {
					work := 1 + random.IntN(13)
					waiting[name] = append(waiting[name], work)
					sent[name] += float64(work)
				}
				for _, work := range waiting[name] {
					list = append(list, entry{name, work, o.Rank(name, float64(work))})
				}
			}
			slices.SortStableFunc(list, func(a, b entry) int { return cmp.Compare(a.rank, b.rank) })
			for _, e := range list[:min(len(list), servers-len(busy))] {
				busy = append(busy, e.work)
				waiting[e.tenant] = waiting[e.tenant][1:]
				served[e.tenant] += float64(e.work)
				o.Charge(e.tenant, float64(e.work))
			}
		}
		// Raises the level until the shares, which no demand exceeds, use the capacity.
		level, total := 0.0, 0.0
		for total < 0.999*servers*steps && level < servers*steps {
			level += steps / 1000.0
			total = 0
			for name := range weights {
				total += min(sent[name], level*weights[name])
			}
		}
		for name := range weights {
			require.GreaterOrEqual(t, served[name], 0.95*min(sent[name], level*weights[name])-50, "seed %d, tenant %s", seed, name)
		}
	}
}
