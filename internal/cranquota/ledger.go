package cranquota

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// Unit identifies what is started as a whole: a task of a step, or a gang. Its index is always 0.
type Unit = cranjob.TaskName

// Ledger holds the shares that a shard has of the tenants' caps, and what the tenants use. It isn't safe
// for concurrent use.
type Ledger struct {
	shard, shards int
	accounts      map[string]*account
	// others holds the records of the other shards as they were read.
	others map[int]*view
	now    time.Duration
	unixMs int64
	// giftBytes is the size of the gifts in the record.
	giftBytes int
	publication
	transfers []Transfer
	// sorted holds the names of the accounts in order, so that the decisions don't depend on the order of a map.
	sorted []string
	// version is that of the configuration in force, caps the checksum of its caps.
	version int64
	caps    uint64
	// counted is set once everything on targets was counted with the caps in force.
	counted bool
}

// Transfer is a gift that was decided.
type Transfer struct {
	Tenant string
	To     int
	Share  int64
}

// view is the record of another shard by tenant.
type view struct {
	// given is the total of its gifts, toShard those to each shard.
	given   map[string]int64
	toShard map[giftKey]int64
	wants   map[string]Want
	// pins and over are those of the record.
	pins, over map[string]int64
	version    int64
	caps       uint64
}

// New returns the ledger of a shard whose newest stored record is own.
func New(shard, shards int, own Record) *Ledger {
	l := &Ledger{shard: shard, shards: max(shards, 1), accounts: map[string]*account{}, others: map[int]*view{}}
	for _, g := range own.Gifts {
		l.account(g.Tenant).give(g.To, g.Total)
		l.giftBytes += len(g.Tenant) + entryBytes
	}
	for _, t := range own.Removed {
		a := l.account(t.Tenant)
		a.cap, a.removed = t.Cap, true
	}
	l.published = own
	return l
}

func (l *Ledger) account(tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{given: map[int]int64{}, unsettled: true}
		l.accounts[tenant] = a
		at, _ := slices.BinarySearch(l.sorted, tenant)
		l.sorted = slices.Insert(l.sorted, at, tenant)
	}
	return a
}

// SetCaps applies the caps of all tenants of a version of the configuration. A tenant that it doesn't have keeps its
// last cap.
func (l *Ledger) SetCaps(version int64, caps map[string]cranjob.Resources) {
	for name, a := range l.accounts {
		if _, known := caps[name]; !known && a.limited() {
			a.removed = true
		}
	}
	sum := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(caps)) {
		limit := caps[name]
		if limit != (cranjob.Resources{}) {
			_, _ = fmt.Fprintf(sum, "%q%d", name, limit)
		} else if l.accounts[name] == nil {
			continue
		}
		a := l.account(name)
		if isLower(limit.CPU, a.cap.CPU) || isLower(limit.Memory, a.cap.Memory) || isLower(limit.Accelerators, a.cap.Accelerators) {
			a.unsettled, a.since = true, version
		}
		a.cap, a.removed = limit, false
	}
	for _, a := range l.accounts {
		if a.since == 0 {
			a.since = version
		}
	}
	l.version, l.caps, l.counted = version, sum.Sum64(), false
}

// isLower reports whether a quantity of a cap is lower than before; 0 means that there is no limit.
func isLower(now, before int) bool { return now != 0 && (before == 0 || now < before) }

// Forget drops the caps of removed tenants that have nothing left in the shard.
func (l *Ledger) Forget(present func(tenant string) bool) {
	for name, a := range l.accounts {
		if a.removed && a.used == (cranjob.Resources{}) && !present(name) {
			a.cap, a.removed, a.queue = cranjob.Resources{}, false, queue{}
		}
	}
}

// HasRemoved reports whether the cap of a removed tenant is kept.
func (l *Ledger) HasRemoved() bool {
	for _, a := range l.accounts {
		if a.removed {
			return true
		}
	}
	return false
}

// SetRecord applies the record of another shard that was read.
func (l *Ledger) SetRecord(shard int, r Record) {
	if shard == l.shard {
		return
	}
	v := &view{given: map[string]int64{}, toShard: map[giftKey]int64{}, wants: map[string]Want{}, pins: map[string]int64{}, over: map[string]int64{}, version: r.Version, caps: r.Caps}
	for _, g := range r.Gifts {
		v.given[g.Tenant] += g.Total
		v.toShard[giftKey{g.Tenant, g.To}] += g.Total
	}
	for _, w := range r.Wants {
		v.wants[w.Tenant] = w
	}
	for _, p := range r.Pins {
		v.pins[p.Tenant] = p.Share
	}
	for _, o := range r.Over {
		v.over[o.Tenant] = o.Share
	}
	l.others[shard] = v
}

// base returns the share that a shard has without gifts. They sum to the whole.
func (l *Ledger) base(shard int) int64 {
	share, rest := Whole/l.shards, Whole%l.shards
	if shard < rest {
		share++
	}
	return int64(share)
}

// Share returns the share of a tenant's cap that a shard has, as far as it is known here. That of the ledger's
// own shard is never too high.
func (l *Ledger) Share(shard int, tenant string) int64 {
	share := l.base(shard)
	if a := l.accounts[tenant]; a != nil {
		for to, total := range a.given {
			switch shard {
			case l.shard:
				share -= total
			case to:
				share += total
			}
		}
	}
	for number, v := range l.others {
		if number == shard {
			share -= v.given[tenant]
		}
		share += v.toShard[giftKey{tenant, shard}]
	}
	return share
}

// Active reports whether any tenant has a cap.
func (l *Ledger) Active() bool {
	for _, a := range l.accounts {
		if a.limited() {
			return true
		}
	}
	return false
}

// Limited reports whether a tenant has a cap.
func (l *Ledger) Limited(tenant string) bool {
	a := l.accounts[tenant]
	return a != nil && a.limited()
}

// Begin begins a round of placement. The function run counts each run that is or may be on a target of the shard, whatever
// its phase, with its tenant, its demand, and whether its task is long-running.
func (l *Ledger) Begin(now time.Duration, unixMs int64, runs Runs) {
	l.now, l.unixMs = now, unixMs
	l.Recount(runs)
	oldest, agreed := l.oldestVersion(), l.agree()
	for _, a := range l.accounts {
		a.waiting, a.first, a.seen = cranjob.Resources{}, unitDemand{}, false
		a.unsettled = !agreed || oldest < a.since
	}
}

// Runs calls count for each run.
type Runs = func(count func(tenant string, d cranjob.Resources, longRunning bool))

// agree reports whether no other shard has published anything by caps of an older version that differ from those in force.
// They may have been higher, also if the owner of this shard has not seen that version. Versions that follow each other
// quickly without a change of the caps cause no pause.
func (l *Ledger) agree() bool {
	for _, v := range l.others {
		if v.version < l.version && v.caps != l.caps {
			return false
		}
	}
	return true
}

// oldestVersion returns the oldest version by which another shard has published its newest record; 0 if one has published
// none.
func (l *Ledger) oldestVersion() int64 {
	oldest := int64(math.MaxInt64)
	for shard := range l.shards {
		switch v := l.others[shard]; {
		case shard == l.shard:
		case v == nil:
			return 0
		default:
			oldest = min(oldest, v.version)
		}
	}
	return oldest
}

// Recount counts the runs anew within a round.
func (l *Ledger) Recount(runs Runs) {
	for _, a := range l.accounts {
		a.used, a.lasting = cranjob.Resources{}, cranjob.Resources{}
	}
	runs(l.count)
	l.counted = true
}

func (l *Ledger) count(tenant string, d cranjob.Resources, longRunning bool) {
	a := l.accounts[tenant]
	if a == nil {
		return
	}
	a.used = a.used.Add(d)
	if longRunning {
		a.lasting = a.lasting.Add(d)
	}
}

// Start counts a unit, or a task of it, that starts in the round. A unit of several tasks waits anew after each start, so
// that a large step doesn't take precedence while it gets on.
func (l *Ledger) Start(tenant string, unit Unit, d cranjob.Resources, longRunning bool) {
	l.count(tenant, d, longRunning)
	if a := l.accounts[tenant]; a != nil && a.head.unit == unit {
		a.head = unitDemand{}
	}
}

// Release takes back a run that was counted.
func (l *Ledger) Release(tenant string, d cranjob.Resources) {
	if a := l.accounts[tenant]; a != nil {
		a.used = a.used.Sub(d)
	}
}

// Exceeded reports whether a tenant uses more than its share of the cap by a run of the given demand, which
// was counted and hasn't started yet, or may do so.
func (l *Ledger) Exceeded(tenant string, d cranjob.Resources) bool {
	a := l.accounts[tenant]
	return a != nil && a.limited() && (a.unsettled || !a.fits(a.used.Sub(d).Add(a.clamp(d)), l.usable(tenant)))
}

// usable returns the share of the cap that the shard may use: not what others use beyond their shares.
func (l *Ledger) usable(tenant string) int64 {
	share := l.Share(l.shard, tenant)
	for _, v := range l.others {
		share -= v.over[tenant]
	}
	return share
}

// Allows reports whether a unit with the given demand may start. The demand of a gang is that of all its tasks.
func (l *Ledger) Allows(tenant string, unit Unit, d cranjob.Resources, gang bool) bool {
	a := l.accounts[tenant]
	if a == nil || !a.limited() {
		return true
	}
	if a.unsettled || a.holds && a.head.unit != unit {
		return false
	}
	if !gang {
		d = a.clamp(d)
	}
	return a.fits(a.used.Add(d), l.usable(tenant)-a.owed)
}

// Wait records a unit that Allows refuses, and the demand of the whole step that waits with it.
func (l *Ledger) Wait(tenant string, unit Unit, d, all cranjob.Resources, gang bool) {
	a := l.accounts[tenant]
	if a == nil || !a.limited() {
		return
	}
	if !gang {
		d = a.clamp(d)
	}
	if !a.fits(d, Whole) {
		// A gang above the cap can't ever start, and must not keep others waiting.
		return
	}
	a.waiting = a.waiting.Add(a.clamp(all))
	if !a.first.known {
		a.first = unitDemand{true, unit, d}
	}
	if a.head.known && a.head.unit == unit {
		a.seen, a.seenAt, a.head.demand = true, l.now, d
	}
}

// Room returns what a tenant with a cap may still start on the shard, as of the last count, and the cap. A quantity
// without a cap is 0 in both.
func (l *Ledger) Room(tenant string) (room, whole cranjob.Resources) {
	a := l.accounts[tenant]
	if a == nil || !a.limited() {
		return cranjob.Resources{}, cranjob.Resources{}
	}
	if a.unsettled {
		return cranjob.Resources{}, a.cap
	}
	share := l.usable(tenant) - a.owed
	left := func(used, quantity int) int {
		if quantity == 0 {
			return 0
		}
		return max(int(limit(share, quantity))-used, 0)
	}
	return cranjob.Resources{
		CPU: left(a.used.CPU, a.cap.CPU), Memory: left(a.used.Memory, a.cap.Memory), Accelerators: left(a.used.Accelerators, a.cap.Accelerators),
	}, a.cap
}

// WaitingTenants returns the tenants of which tasks wait for the cap, in order.
func (l *Ledger) WaitingTenants() []string {
	var names []string
	for _, name := range l.sorted {
		if l.accounts[name].first.known {
			names = append(names, name)
		}
	}
	return names
}
