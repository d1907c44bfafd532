package cranstate

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// Lease is the exclusive right of a member to do the work of one shard until the
// lease lapses.
type Lease struct {
	holder   string
	token    uint64
	expiryMs int64
}

// Holder returns the incarnation of the member that holds the lease.
func (l Lease) Holder() string { return l.holder }

// Token returns the fencing token: the offset of the record that granted the
// lease.
func (l Lease) Token() uint64 { return l.token }

// ExpiryMs returns the platform's time, in milliseconds since the epoch, at which
// the lease lapses.
func (l Lease) ExpiryMs() int64 { return l.expiryMs }

func (c *applyContext) requestLease(e LeaseRequested) *cranfault.Fault {
	if _, fault := c.writerMember(); fault != nil {
		return fault
	}
	if e.Shard == "" || e.DurationMs < minLeaseMs || e.DurationMs > maxLeaseMs {
		return cranfault.New(cranfault.Invalid, "name a shard and request a duration within the bounds",
			"lease on %q of %d ms is outside %d to %d ms", e.Shard, e.DurationMs, minLeaseMs, maxLeaseMs)
	}
	l, ok := c.leases[e.Shard]
	if ok && l.holder == c.in.Writer {
		l.expiryMs = max(l.expiryMs, c.nowMs+e.DurationMs)
		c.leases[e.Shard] = l
		return nil
	}
	if ok && l.expiryMs >= c.nowMs {
		return cranfault.New(cranfault.LeaseHeld, "wait until the lease lapses", "lease on %q is held by %q", e.Shard, l.holder)
	}
	l = Lease{holder: c.in.Writer, token: c.in.Offset, expiryMs: c.nowMs + e.DurationMs}
	c.leases[e.Shard] = l
	c.emit(LeaseTaken{Shard: e.Shard, Holder: l.holder, Token: l.token})
	return nil
}

func (c *applyContext) returnLease(e LeaseReturned) *cranfault.Fault {
	if c.leases[e.Shard].holder != c.in.Writer {
		return cranfault.New(cranfault.LeaseLost, "stop acting on the shard", "lease on %q is not held by %q", e.Shard, c.in.Writer)
	}
	delete(c.leases, e.Shard)
	return nil
}
