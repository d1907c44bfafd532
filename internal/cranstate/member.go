package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	// outageGapMs is the gap between two timestamps above which the log counts
	// as having been unavailable: live members append more often.
	outageGapMs = int64(3000)
	// minLeaseMs and maxLeaseMs bound the duration of a lease.
	minLeaseMs = int64(500)
	maxLeaseMs = int64(60 * 1000)
	// graceMarginMs is added to the longest duration of a request before a
	// member with an expired lease is written off.
	graceMarginMs = int64(1000)
)

type member struct {
	incarnation string
	// instance is the platform's id of the entry instance; it is empty once a
	// newer incarnation on the same instance has joined.
	instance   string
	address    string
	dataCentre string
	leaseMs    int64
	// expiryMs is the platform's time at which the lease expires. An outage of
	// the log postpones it.
	expiryMs int64
	// revision is the configuration revision that the member last reported.
	revision uint64
	// joined is the offset of the record by which the member joined.
	joined uint64
	// gone is set while the platform reports the entry instance as gone, and
	// once a newer incarnation on the same instance has joined.
	gone bool
}

// Member is a read-only view of a member.
type Member struct {
	m    member
	live bool
}

// Incarnation returns the unique name of the member's process. A restarted
// process has another one.
func (m Member) Incarnation() string { return m.m.incarnation }

// Instance returns the platform's id of the entry instance. It is empty once a
// newer incarnation on the same instance has joined.
func (m Member) Instance() string { return m.m.instance }

// Address returns the IP address and port at which peers reach the member.
func (m Member) Address() string { return m.m.address }

// DataCentre returns the member's data centre.
func (m Member) DataCentre() string { return m.m.dataCentre }

// ExpiryMs returns the platform's time, in milliseconds since the epoch, at which
// the member's lease expires.
func (m Member) ExpiryMs() int64 { return m.m.expiryMs }

// Revision returns the configuration revision that the member last reported.
func (m Member) Revision() uint64 { return m.m.revision }

// Gone reports whether the platform reports the entry instance as gone, or a
// newer incarnation on the same instance has joined.
func (m Member) Gone() bool { return m.m.gone }

// Live reports whether the lease was still valid at the time of the last record.
func (m Member) Live() bool { return m.live }

func (s *State) memberView(m *member) Member {
	return Member{m: *m, live: m.expiryMs >= s.nowMs}
}

// advanceClock advances the platform's time to a record's timestamp. During an
// outage of the log no lease could be renewed, so the outage postpones every
// expiry by its length. A repeated record may have been delayed for as long, so
// the retention of high-water marks is extended likewise.
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
		return cranfault.New(cranfault.Conflict, "join once with each incarnation", "%q is already a member", c.in.Writer)
	}
	if e.LeaseMs < minLeaseMs || e.LeaseMs > maxLeaseMs {
		return cranfault.New(cranfault.Invalid, "set a lease duration within the bounds",
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

// supersede marks earlier incarnations on the same entry instance as gone, since
// an instance runs one process. Members without an instance id are taken as
// different instances.
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

// writerMember returns the member that wrote the record, or a fault if the writer
// is not a member.
func (c *applyContext) writerMember() (*member, *cranfault.Fault) {
	m, ok := c.members[c.in.Writer]
	if !ok {
		return nil, cranfault.New(cranfault.UnknownMember, "join again as a new incarnation", "%q is not a member", c.in.Writer)
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

// writeOffMembers removes members whose lease expired so long ago that no request
// of theirs can be in progress. It waits for one further lease duration, since
// an entry instance that hears from a majority but not from the log serves that
// long, and then for the longest request. Members that the platform does not
// report as gone are written off only while a majority of the members is live:
// a majority that lost only its connection to the log goes on serving.
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

// graceMs returns how long a request may still be in progress after its entry
// instance stopped serving, with a margin.
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

// removeMember removes a member and stops waiting for it in drain barriers. The
// leases of a member that left are released; those of a member that was written
// off stay until they expire.
func (c *applyContext) removeMember(id string, change MemberChange) {
	delete(c.members, id)
	for shard, l := range c.leases {
		if l.holder == id && change == MemberRemoved {
			delete(c.leases, shard)
		}
	}
	for _, in := range c.stops {
		delete(in.stop.waiting, id)
	}
	c.reassignSlots()
	c.emit(MemberChanged{Member: id, Change: change})
}
