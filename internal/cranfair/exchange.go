package cranfair

// Totals returns how many jobs of each tenant were within its entitlement in this shard, without
// the tenants that had none. A total never falls.
func (l *Ledger) Totals() map[string]uint64 {
	totals := map[string]uint64{}
	for name, a := range l.accounts {
		if a.used > 0 {
			totals[name] = a.used
		}
	}
	return totals
}

// Classified returns how many jobs of tenants this ledger has found within and beyond their
// entitlement. The first number changes whenever a total does.
func (l *Ledger) Classified() (within, beyond uint64) { return l.within, l.beyond }

// Resume raises the totals to those that the predecessor has published.
func (l *Ledger) Resume(totals map[string]uint64) {
	for name, used := range totals {
		if l.isConfigured(name) {
			a := l.account(name)
			a.used = max(a.used, used)
		}
	}
}

// Observe records the totals that another shard has published. It must come before the call of
// Confirm for the read that returned them.
func (l *Ledger) Observe(shard int, totals map[string]uint64) {
	if shard == l.number || shard < 0 || shard >= l.shards {
		return
	}
	for name, used := range totals {
		if l.isConfigured(name) {
			l.account(name).observe(shard, used)
		}
	}
}

// Confirm records that everything which the other shards had published by a time was observed, and
// adds what they have left of their part. What is not confirmed adds nothing, so a process that
// doesn't read the totals has its own part alone.
func (l *Ledger) Confirm(atMs int64) {
	elapsedMs := atMs - l.confirmedMs
	if elapsedMs <= 0 {
		return
	}
	first := l.confirmedMs == 0
	l.confirmedMs = atMs
	if first || l.shards < 2 || !l.enabled {
		return
	}
	for name := range l.weights {
		l.account(name).share(l.number, l.shards, elapsedMs)
	}
}

// isConfigured reports whether a tenant was ever configured. Others get no account by a record.
func (l *Ledger) isConfigured(tenant string) bool {
	_, known := l.weights[tenant]
	return known
}
