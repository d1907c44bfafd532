package crancapacity

import (
	"fmt"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranquota"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

const (
	// tenantShards is the number of shards between which caps and entitlements are divided.
	tenantShards = 4
	// tenantRounds is how many rounds of placement are timed, of roundInterval each.
	tenantRounds  = 25
	roundInterval = 400 * time.Millisecond
	// lookups is how many times a key is looked up.
	lookups = 10_000
)

// TenantCost holds the cost of a number of tenants, each with a key, a cap and work in every shard.
type TenantCost struct {
	Tenants int `json:"tenants"`
	// HeapBytes and BuildMs are of the directory of the keys, LookupNanos of one request's key.
	HeapBytes   uint64  `json:"heapBytes"`
	BuildMs     float64 `json:"buildMs"`
	LookupNanos float64 `json:"lookupNanos"`
	// CapBytes is the largest record of the shares of the caps that one shard publishes, UsageBytes that of the
	// entitlements used.
	CapBytes   int `json:"capBytes"`
	UsageBytes int `json:"usageBytes"`
	// CapRoundMicros is the mean time of the decisions on caps in one round of a shard.
	CapRoundMicros float64 `json:"capRoundMicros"`
}

// MeasureTenants measures the cost of that many tenants.
func MeasureTenants(count int) (TenantCost, error) {
	cost := TenantCost{Tenants: count}
	entries := make([]crantenant.Entry, count)
	caps := make(map[string]cranjob.Resources, count)
	for i := range entries {
		name := fmt.Sprintf("tenant-%03d", i)
		caps[name] = cranjob.Resources{CPU: 16_000, Memory: 64_000}
		entries[i] = crantenant.Entry{
			Tenant: crantenant.Tenant{Name: name, Weight: 1, Cap: caps[name]},
			Keys:   []string{"key-of-" + name},
		}
	}
	before, start := heapBytes(), time.Now()
	directory, err := crantenant.New(entries)
	if err != nil {
		return cost, err
	}
	cost.BuildMs = millis(time.Since(start))
	cost.HeapBytes = heapBytes() - before
	start = time.Now()
	for i := range lookups {
		directory.Authenticate(entries[i%count].Keys[0])
	}
	cost.LookupNanos = float64(time.Since(start)) / lookups
	cost.measureUsage(directory)
	cost.measureCaps(directory.Names(), caps)
	return cost, nil
}

func (c *TenantCost) measureUsage(d *crantenant.Directory) {
	ledger := cranfair.NewLedger(0, tenantShards)
	ledger.SetTenants(d, 0)
	for ms := range int64(100) {
		for _, name := range d.Names() {
			ledger.Classify(name, ms*100, ms*100)
		}
	}
	c.UsageBytes = len(crandigest.UsageRecord(0, ledger.Totals()).Value)
}

// measureCaps plays rounds in which the tenants want more than their caps in the shards in turn, so that
// shares move.
func (c *TenantCost) measureCaps(names []string, caps map[string]cranjob.Resources) {
	ledgers := make([]*cranquota.Ledger, tenantShards)
	for i := range ledgers {
		ledgers[i] = cranquota.New(i, tenantShards, cranquota.Record{})
		ledgers[i].SetCaps(1, caps)
	}
	demand := cranjob.Resources{CPU: 1000, Memory: 2000}
	var spent time.Duration
	for round := range tenantRounds {
		now := time.Duration(round) * roundInterval
		for shard, l := range ledgers {
			start := time.Now()
			l.Begin(now, now.Milliseconds(), func(func(string, cranjob.Resources, bool)) {})
			for i, name := range names {
				unit := cranquota.Unit{Job: name}
				if (i+round/5)%tenantShards == shard && !l.Allows(name, unit, demand, false) {
					l.Wait(name, unit, demand, cranjob.Resources{CPU: 32_000, Memory: 64_000}, false)
				}
			}
			l.End(true)
			record, changed := l.NextRecord(now)
			spent += time.Since(start)
			if !changed {
				continue
			}
			c.CapBytes = max(c.CapBytes, len(crandigest.QuotaRecord(shard, record).Value))
			for other, o := range ledgers {
				if other != shard {
					o.SetRecord(shard, record)
				}
			}
		}
	}
	c.CapRoundMicros = float64(spent.Microseconds()) / (tenantRounds * tenantShards)
}
