package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	// outageGapMs is the distance between two stamps that counts as an
	// outage of the log: live members append more often.
	outageGapMs = int64(3000)
	// minLeaseMs and maxLeaseMs bound a lease.
	minLeaseMs = int64(500)
	maxLeaseMs = int64(60 * 1000)
	// graceMarginMs is added to the longest request before a silent member
	// is written off.
	graceMarginMs = int64(1000)
)

type member struct {
	incarnation string
	// instance is empty once another incarnation took the instance over.
	instance   string
	address    string
	dataCentre string
	leaseMs    int64
	// expiryMs is in the platform's time and is put off by log outages.
	expiryMs int64
	// revision is the configuration that the member last reported.
	revision uint64
	// joined is the offset of its first record.
	joined uint64
	// gone is set when the platform reports the entry instance as gone.
	gone bool
}

// Member is a read-only view of a member.
type Member struct {
	m    member
	live bool
}

// Incarnation returns the member's unique name; a restarted process has
// another one.
func (m Member) Incarnation() string { return m.m.incarnation }

// Instance returns the platform's id of the entry instance, empty once
// another incarnation has taken it over.
func (m Member) Instance() string { return m.m.instance }

// Address returns where peers reach the member, IP and port.
func (m Member) Address() string { return m.m.address }

// DataCentre returns the member's data centre.
func (m Member) DataCentre() string { return m.m.dataCentre }

// ExpiryMs returns when the lease lapses, in the platform's time.
func (m Member) ExpiryMs() int64 { return m.m.expiryMs }

// Revision returns the configuration that the member last reported.
func (m Member) Revision() uint64 { return m.m.revision }

// Gone reports whether the platform's list lacks the entry instance, or
// another incarnation has taken its place.
func (m Member) Gone() bool { return m.m.gone }

// Live reports whether the lease had not lapsed at the last record.
func (m Member) Live() bool { return m.live }

func (s *State) memberView(m *member) Member {
	return Member{m: *m, live: m.expiryMs >= s.nowMs}
}

// advanceClock moves the clock. While the log was down nobody could renew a
// lease, so an outage puts off every expiry by its length; and a repeat may
// have been held back for as long, so no writer is forgotten in it.
func (c *applyContext) advanceClock(timeMs int64) {
	if timeMs <= c.nowMs {
		return
	}
	gap := timeMs - c.nowMs
	c.nowMs = timeMs
	if gap <= outageGapMs {
		return
	}
	for _, m := range c.members {
		m.expiryMs += gap
	}
	for shard, l := range c.leases {
		l.expiryMs += gap
		c.leases[shard] = l
	}
	for writer, m := range c.highWaterMarks {
		m.seenMs += gap
		c.highWaterMarks[writer] = m
	}
}

func (c *applyContext) join(e MemberJoined) *cranfault.Fault {
	if _, ok := c.members[c.in.Writer]; ok {
		return cranfault.New(cranfault.Conflict, "join once with each incarnation", "%q is a member already", c.in.Writer)
	}
	if e.LeaseMs < minLeaseMs || e.LeaseMs > maxLeaseMs {
		return cranfault.New(cranfault.Invalid, "set the lease within those bounds",
			"lease of %d ms is outside %d to %d ms", e.LeaseMs, minLeaseMs, maxLeaseMs)
	}
	c.supersede(e.Instance)
	c.members[c.in.Writer] = &member{
		incarnation: c.in.Writer,
		instance:    e.Instance,
		address:     e.Address,
		dataCentre:  e.DataCentre,
		leaseMs:     e.LeaseMs,
		expiryMs:    c.nowMs + e.LeaseMs,
		joined:      c.in.Offset,
	}
	c.reassignSlots()
	c.emit(MemberChanged{Member: c.in.Writer, Change: MemberAdded})
	return nil
}

// supersede marks earlier incarnations on the same entry instance as gone: an
// instance runs one process. Entries without a name are not the same.
func (c *applyContext) supersede(instance string) {
	if instance == "" {
		return
	}
	for _, m := range c.members {
		if m.instance == instance {
			m.gone = true
			m.instance = ""
		}
	}
}

// writerMember returns the writer's membership.
func (c *applyContext) writerMember() (*member, *cranfault.Fault) {
	m, ok := c.members[c.in.Writer]
	if !ok {
		return nil, cranfault.New(cranfault.UnknownMember, "join again as a new incarnation", "%q is no member", c.in.Writer)
	}
	return m, nil
}

func (c *applyContext) heartbeat(e Heartbeat) *cranfault.Fault {
	m, fault := c.writerMember()
	if fault != nil {
		return fault
	}
	m.expiryMs = max(m.expiryMs, c.nowMs+m.leaseMs)
	m.revision = e.Revision
	for _, id := range e.Drained {
		c.markDrained(m.incarnation, id)
	}
	return nil
}

func (c *applyContext) leave(MemberLeft) *cranfault.Fault {
	if _, fault := c.writerMember(); fault != nil {
		return fault
	}
	c.removeMember(c.in.Writer, MemberRemoved)
	return nil
}

// writeOffMembers removes members whose lease lapsed so long ago that no
// request of theirs can be in progress: a lease longer than it lasted, since
// an entry that hears from a majority without the log goes on that long, and
// then the longest request. It never writes off so many that the
// rest is a minority, unless the platform says that they are gone: a
// majority that lost the log alone goes on serving.
func (c *applyContext) writeOffMembers() {
	live := 0
	for _, m := range c.members {
		if m.expiryMs >= c.nowMs {
			live++
		}
	}
	total := len(c.members)
	grace := c.graceMs()
	for _, id := range sortedKeys(c.members) {
		m := c.members[id]
		if m.expiryMs+m.leaseMs+grace >= c.nowMs {
			continue
		}
		if m.gone || 2*live > total {
			c.removeMember(id, MemberWrittenOff)
		}
	}
}

// graceMs is the longest time that a request may be in progress after its
// entry lost its lease.
func (s *State) graceMs() int64 {
	grace := graceMarginMs
	if s.config == nil {
		return grace
	}
	for _, svc := range s.config.Services() {
		grace = max(grace, svc.MaxDuration().Milliseconds()+graceMarginMs)
	}
	return grace
}

func (c *applyContext) removeMember(id string, why MemberChange) {
	delete(c.members, id)
	for shard, l := range c.leases {
		if l.holder == id && why == MemberRemoved {
			delete(c.leases, shard)
		}
	}
	for _, in := range c.stops {
		delete(in.stop.waiting, id)
	}
	c.reassignSlots()
	c.emit(MemberChanged{Member: id, Change: why})
}
