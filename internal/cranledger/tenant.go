package cranledger

import "time"

// capOverrun is how far what a tenant has running may exceed its cap, besides one task.
const capOverrun = 1.1

// tenantCap is the cap of a tenant, in thousandths of a core, until it was replaced by another one
// at replacedAt, which is zero for the newest. 0 means no limit.
type tenantCap struct {
	cpu        int
	replacedAt time.Time
}

// SetTenant records the tenant of a job that was passed to ExpectJob, and what one of its tasks takes,
// in thousandths of a core. It must not be called after a task of the job has started, but may be repeated.
func (l *Ledger) SetTenant(name, tenant string, cpu int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[name]; j != nil && j.tenant == "" {
		j.tenant, j.cpu = tenant, cpu
	}
}

// SetCap records that a cap of a tenant, in thousandths of a core, is stored from a time on. The one before
// may be in effect for the given bound longer.
func (l *Ledger) SetCap(tenant string, cpu int, at time.Time, bound time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	caps := l.caps[tenant]
	if n := len(caps); n > 0 {
		caps[n-1].replacedAt = at.Add(bound)
	}
	l.caps[tenant] = append(caps, tenantCap{cpu: cpu})
}

// checkCap adds a violation if a start has brought what the tenant of a job has running above its cap. The
// highest cap that may be in effect counts. The caller holds the lock.
func (l *Ledger) checkCap(task string, j *job, at time.Time) {
	limit := 0
	for _, c := range l.caps[j.tenant] {
		if !c.replacedAt.IsZero() && at.After(c.replacedAt) {
			continue
		}
		if c.cpu == 0 {
			return
		}
		limit = max(limit, c.cpu)
	}
	if used := l.used[j.tenant]; limit > 0 && float64(used) > capOverrun*float64(limit)+float64(j.cpu) {
		l.addViolation("%s starts, which brings the tenant %s to %d of a cap of %d thousandths of a core", task, j.tenant, used, limit)
	}
}

// checkRoom records that a tenant has half of its cap running or more, if that is so. The lowest cap that
// may be in effect counts. The caller holds the lock.
func (l *Ledger) checkRoom(tenant string, at time.Time) {
	limit := 0
	for _, c := range l.caps[tenant] {
		if c.cpu > 0 && (c.replacedAt.IsZero() || !at.After(c.replacedAt)) && (limit == 0 || c.cpu < limit) {
			limit = c.cpu
		}
	}
	if limit > 0 && 2*l.used[tenant] >= limit && at.After(l.cappedAt[tenant]) {
		l.cappedAt[tenant] = at
	}
}
