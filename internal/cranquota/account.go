package cranquota

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// account is the state of one tenant.
type account struct {
	cap cranjob.Resources
	// removed is set while the configuration doesn't have the tenant.
	removed bool
	// unsettled is set while other shards may use more of the cap than their shares, as it was lowered. Nothing starts until
	// all have published what they use, by the caps of the version since or of a newer one.
	unsettled bool
	since     int64
	given     map[int]int64
	// used is what the tenant has on targets of the shard, lasting the part of its long-running tasks.
	used, lasting cranjob.Resources
	// owed is the part of the share that is to go to other shards as soon as it is unused.
	owed int64
	// peak is the largest share that was used since peakAt or shortly before.
	peak   int64
	peakAt time.Duration
	queue
}

// queue is what waits for the cap of a tenant.
type queue struct {
	// waiting is the demand of all tasks that don't fit in this round, first the first unit of them.
	waiting cranjob.Resources
	first   unitDemand
	// head is the unit that has waited since headSince, at headSinceMs in Unix milliseconds; seen is set if it waits
	// in this round, too. urgent is set while it has precedence, and holds while no other unit may start.
	head                unitDemand
	headSince           time.Duration
	headSinceMs         int64
	seen, urgent, holds bool
	seenAt              time.Duration
}

type unitDemand struct {
	known  bool
	unit   Unit
	demand cranjob.Resources
}

func (a *account) give(to int, share int64) { a.given[to] += share }

// limited reports whether the tenant has a cap.
func (a *account) limited() bool { return a.cap != (cranjob.Resources{}) }

// limit returns what fits into a share of a quantity. Rounding adds one millionth, as parts that are the
// whole together would otherwise not all fit.
func limit(share int64, quantity int) int64 {
	return min(max(share, -1)+1, Whole) * int64(quantity) / Whole
}

// excess returns what is used beyond a share, as a part of the cap.
func (a *account) excess(share int64) int64 {
	used := int64(0)
	for _, q := range [][2]int{{a.used.CPU, a.cap.CPU}, {a.used.Memory, a.cap.Memory}, {a.used.Accelerators, a.cap.Accelerators}} {
		if part, whole := int64(q[0]), int64(q[1]); whole > 0 && part > 0 {
			used = max(used, min((min(part, maxUsed)*Whole+whole-1)/whole-1, maxTotal))
		}
	}
	return max(used-max(share, 0), 0)
}

// maxUsed bounds a used quantity, so that its product with the whole doesn't overflow.
const maxUsed = 1 << 43

// shareFor returns the least share of the cap that holds a demand.
func (a *account) shareFor(d cranjob.Resources) int64 {
	share := int64(0)
	for _, q := range [][2]int{{d.CPU, a.cap.CPU}, {d.Memory, a.cap.Memory}, {d.Accelerators, a.cap.Accelerators}} {
		if part, whole := int64(q[0]), int64(q[1]); whole > 0 && part > 0 {
			part = min(part, whole)
			share = max(share, (part*Whole+whole-1)/whole-1)
		}
	}
	return share
}

// fits reports whether a demand fits into a share of the cap.
func (a *account) fits(d cranjob.Resources, share int64) bool {
	within := func(demand, quantity int) bool {
		return quantity == 0 || demand <= 0 || int64(demand) <= limit(share, quantity)
	}
	return within(d.CPU, a.cap.CPU) && within(d.Memory, a.cap.Memory) && within(d.Accelerators, a.cap.Accelerators)
}

// clamp returns a demand with no quantity above the cap. A task that alone exceeds the cap starts once the shard has
// the whole cap and nothing of the tenant uses that quantity; otherwise it would never run.
func (a *account) clamp(d cranjob.Resources) cranjob.Resources {
	least := func(demand, quantity int) int {
		if quantity == 0 {
			return demand
		}
		return min(demand, quantity)
	}
	return cranjob.Resources{CPU: least(d.CPU, a.cap.CPU), Memory: least(d.Memory, a.cap.Memory), Accelerators: least(d.Accelerators, a.cap.Accelerators)}
}
