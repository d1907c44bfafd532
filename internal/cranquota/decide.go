package cranquota

import (
	"cmp"
	"reflect"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// publishInterval is the least time between two records. A want is read, answered and the answer read
	// within 1.2 s then, plus the time of two appends.
	publishInterval = 400 * time.Millisecond
	// checkInterval is how often a record is built to see whether it has changed. That takes time for each tenant.
	checkInterval = 100 * time.Millisecond
	// precedenceDelay is how long a unit waits, while other work of its tenant runs on the shard, until it
	// takes precedence.
	precedenceDelay = time.Second
	// holdTime is how long a unit has precedence at first, and maxHoldTime how long at last. It loses it for
	// holdTime in between, so that small jobs don't wait for a unit that runs behind very long ones.
	holdTime    = 4 * time.Second
	maxHoldTime = 64 * time.Second
	// peakTime is how long a share that was used isn't given away.
	peakTime = time.Second
	// wantStep is the granularity of wants, so that records don't change with each start.
	wantStep = Whole / 20
	// minGift is the least gift, except where small ones add up.
	minGift = Whole / 100
	// maxUnseen is how long a unit counts as waiting if rounds end before it is considered.
	maxUnseen = time.Second
	// reserveDivisor is the part of the equal share, as a divisor, that a shard keeps for its next jobs unless a unit has
	// precedence: it would wait for over a second for a share.
	reserveDivisor = 8
)

// End ends a round and decides gifts. The round is complete if every waiting unit was considered.
func (l *Ledger) End(complete bool) {
	for _, name := range l.sorted {
		a := l.accounts[name]
		if !a.limited() {
			a.owed, a.queue = 0, queue{}
			continue
		}
		a.observePeak(l.now)
		if complete || l.now-a.seenAt > maxUnseen {
			a.chooseHead(l.now, l.unixMs)
		}
		l.judgeHead(name, a)
		a.owed = 0
		if a.urgent || l.isWanted(name) {
			l.share(name, a)
		}
	}
}

// isWanted reports whether another shard asks for a share of the tenant's cap.
func (l *Ledger) isWanted(tenant string) bool {
	for _, v := range l.others {
		if _, wanted := v.wants[tenant]; wanted {
			return true
		}
	}
	return false
}

func (a *account) observePeak(now time.Duration) {
	if used := a.shareFor(a.used); used >= a.peak || now-a.peakAt > peakTime {
		a.peak, a.peakAt = used, now
	}
}

// chooseHead keeps the unit that has waited longest until it starts or is gone.
func (a *account) chooseHead(now time.Duration, unixMs int64) {
	if a.head.known && a.seen {
		return
	}
	a.head, a.headSince, a.headSinceMs, a.seenAt = a.first, now, unixMs, now
}

// judgeHead decides whether the unit that has waited longest has precedence. It has none if the long-running
// tasks of the tenant leave no room for it.
func (l *Ledger) judgeHead(tenant string, a *account) {
	a.urgent, a.holds = false, false
	if !a.head.known {
		return
	}
	pinned := a.shareFor(a.lasting)
	for _, v := range l.others {
		pinned += v.pins[tenant]
	}
	if a.shareFor(a.head.demand)+pinned > Whole {
		return
	}
	waited := l.now - a.headSince
	a.holds = hasPrecedence(waited - precedenceDelay)
	a.urgent = a.holds || a.used == (cranjob.Resources{}) && hasPrecedence(waited)
}

// hasPrecedence reports whether a unit has precedence that could have had it for some time.
func hasPrecedence(waited time.Duration) bool {
	for length := holdTime; waited >= 0; length = min(2*length, maxHoldTime) {
		if waited < length {
			return true
		}
		if waited -= length + holdTime; length == maxHoldTime {
			waited %= length + holdTime
		}
	}
	return false
}

// need is the share with which the head fits.
func (a *account) need() int64 { return a.shareFor(a.used.Add(a.head.demand)) }

// claim is the precedence of a unit on a shard.
type claim struct {
	shard   int
	need    int64
	sinceMs int64
}

// firstClaim returns the unit with precedence, among those that don't fit, that has waited longest. All owners that have
// read the same records agree on it.
func (l *Ledger) firstClaim(tenant string, a *account) (first claim, found bool) {
	consider := func(c claim) {
		if c.need <= l.Share(c.shard, tenant) {
			return
		}
		if !found || cmp.Or(cmp.Compare(c.sinceMs, first.sinceMs), c.shard-first.shard) < 0 {
			first, found = c, true
		}
	}
	if a.urgent {
		consider(claim{l.shard, a.need(), a.headSinceMs})
	}
	for shard, v := range l.others {
		if w, known := v.wants[tenant]; known && w.Need > 0 && shard < l.shards {
			consider(claim{shard, w.Need, w.SinceMs})
		}
	}
	return first, found
}

// share decides what the shard owes to others, and gives what it doesn't use of that.
func (l *Ledger) share(tenant string, a *account) {
	first, found := l.firstClaim(tenant, a)
	switch {
	case found && first.shard == l.shard:
		return
	case found:
		l.settle(tenant, a, first.shard, first.need-l.Share(first.shard, tenant), true)
		return
	}
	for shard := range l.shards {
		v := l.others[shard]
		if v == nil {
			continue
		}
		w, known := v.wants[tenant]
		missing := w.Share - l.Share(shard, tenant)
		if !known || missing <= 0 {
			continue
		}
		own := l.Share(l.shard, tenant)
		if a.first.known {
			l.balance(tenant, a, shard, missing, w.Unit)
			continue
		}
		l.give(tenant, a, shard, min(missing, own-max(a.peak, a.shareFor(a.used))-l.base(l.shard)/reserveDivisor), false)
	}
}

// balance decides between two shards that both want more. Neither keeps so much above the equal part that the other could
// start a unit with it. Of two remainders that are too small for a unit, the one of the higher shard is given away.
func (l *Ledger) balance(tenant string, a *account, to int, missing, unit int64) {
	own := l.Share(l.shard, tenant)
	if above := min(missing, own-l.base(l.shard), l.base(to)-l.Share(to, tenant)); above >= max(unit, minGift) {
		l.settle(tenant, a, to, above, false)
		return
	}
	if l.shard > to {
		l.give(tenant, a, to, min(missing, own-max(a.peak, a.shareFor(a.used))), true)
	}
}

// settle withholds a share from the shard's own starts and gives what is unused of it.
func (l *Ledger) settle(tenant string, a *account, to int, share int64, precedence bool) {
	if share <= 0 || !precedence && share < minGift {
		return
	}
	free := l.Share(l.shard, tenant) - a.shareFor(a.used) - a.excess(Whole)
	given := l.give(tenant, a, to, min(share, free), precedence)
	a.owed += share - given
}

// give gives a share to another shard and returns it. Gifts below minGift are made only where small parts of several shards
// may add up to what a unit needs.
func (l *Ledger) give(tenant string, a *account, to int, share int64, addsUp bool) int64 {
	_, known := a.given[to]
	bytes := len(tenant) + entryBytes
	if share <= 0 || share < minGift && !addsUp || !known && l.giftBytes+bytes > maxRecordBytes {
		return 0
	}
	if !known {
		l.giftBytes += bytes
	}
	a.give(to, share)
	for i := range l.transfers {
		if t := &l.transfers[i]; t.Tenant == tenant && t.To == to {
			t.Share += share
			return share
		}
	}
	l.transfers = append(l.transfers, Transfer{tenant, to, share})
	return share
}

// Transfers returns the gifts since the last call, one for each tenant and shard.
func (l *Ledger) Transfers() []Transfer {
	list := l.transfers
	l.transfers = nil
	return list
}

// publication is what was published, and when the next record may be.
type publication struct {
	published Record
	nextAt    time.Duration
}

// NextRecord returns the record to append if it has changed. Its gifts are deducted already.
func (l *Ledger) NextRecord(now time.Duration) (Record, bool) {
	if l.shards == 1 || now < l.nextAt || !l.counted || !l.Active() && len(l.published.Wants) == 0 {
		return Record{}, false
	}
	r := l.record()
	if reflect.DeepEqual(r, l.published) {
		l.nextAt = now + checkInterval
		return Record{}, false
	}
	l.published, l.nextAt = r, now+publishInterval
	return r, true
}

func (l *Ledger) record() Record {
	r := Record{Version: l.version, Caps: l.caps}
	for _, name := range l.sorted {
		a := l.accounts[name]
		for to := range l.shards {
			if total := a.given[to]; total > 0 {
				r.Gifts = append(r.Gifts, Gift{Tenant: name, To: to, Total: total})
			}
		}
		if !a.limited() {
			continue
		}
		if a.removed {
			r.Removed = append(r.Removed, RemovedTenant{Tenant: name, Cap: a.cap})
		}
		if pinned := a.shareFor(a.lasting); pinned > 0 {
			r.Pins = append(r.Pins, Amount{Tenant: name, Share: pinned})
		}
		if excess := a.excess(l.Share(l.shard, name)); excess > 0 {
			r.Over = append(r.Over, Amount{Tenant: name, Share: excess})
		}
		if a.first.known {
			w := Want{Tenant: name, Share: roundUp(a.shareFor(a.used.Add(a.waiting))), Unit: a.shareFor(a.first.demand)}
			if a.urgent {
				w.Need, w.SinceMs = a.need(), a.headSinceMs
			}
			r.Wants = append(r.Wants, w)
		}
	}
	return r
}

func roundUp(share int64) int64 { return min((share+wantStep-1)/wantStep*wantStep, Whole) }
