package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranquota"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// capReportDelay is how long the tasks of a tenant wait for its cap until that is logged.
const capReportDelay = time.Second

// ownerQuota is an owner's part of the caps of tenants.
type ownerQuota struct {
	ledger *cranquota.Ledger
	// revisions are those of the records of the other shards that the ledger has.
	revisions map[int]uint64
	// waitsSince holds since when tasks of a tenant have waited for its cap, and reported the tenants of which that
	// was logged.
	waitsSince map[string]time.Duration
	reported   map[string]bool
}

// beginQuota takes over the shares of the shard. The digest has all records of earlier owners: they precede the claim,
// which was read back.
func (o *ownership) beginQuota(config *cransched.Config) {
	s, n := o.shard, o.shard.node
	own, revision := n.digest.Quota(s.number)
	o.quota = ownerQuota{
		ledger:    cranquota.New(s.number, n.digest.Layout().Count(), own),
		revisions: map[int]uint64{}, waitsSince: map[string]time.Duration{}, reported: map[string]bool{},
	}
	o.setCaps(config)
	o.readQuota()
	o.scheduler.SetQuota(o.quota.ledger)
	if revision > 0 {
		n.log.Emit(cranevent.SharesInherited, cranevent.Shard(s.name), cranevent.Epoch(o.epoch), cranevent.Count(len(own.Gifts)))
	}
}

// setCaps applies the caps of a configuration.
func (o *ownership) setCaps(config *cransched.Config) {
	caps := map[string]cranjob.Resources{}
	for _, name := range config.Tenants.Names() {
		caps[name] = config.Tenants.Tenant(name).Cap
	}
	o.quota.ledger.SetCaps(config.Version, caps)
}

// readQuota passes what the owners of other shards have published to the ledger.
func (o *ownership) readQuota() {
	d := o.shard.node.digest
	for shard := range d.Layout().Count() {
		if r, revision := d.Quota(shard); revision != o.quota.revisions[shard] {
			o.quota.revisions[shard] = revision
			o.quota.ledger.SetRecord(shard, r)
		}
	}
}

// quotaRecords returns the record to append if what the owner has to publish has changed.
func (o *ownership) quotaRecords(now time.Duration) []cranstore.Record {
	if o.scheduler == nil {
		return nil
	}
	r, changed := o.quota.ledger.NextRecord(now)
	if !changed {
		return nil
	}
	n := o.shard.node
	for _, t := range o.quota.ledger.Transfers() {
		n.metrics.ShareGiven()
		n.log.Emit(cranevent.ShareGiven, cranevent.Shard(o.shard.name), cranevent.Tenant(t.Tenant), cranevent.Number(t.To), cranevent.Count(int(t.Share)))
	}
	return []cranstore.Record{crandigest.QuotaRecord(o.shard.number, r)}
}

// reportQuota logs which tenants have tasks that wait for their cap.
func (o *ownership) reportQuota(now time.Duration) {
	n, q := o.shard.node, &o.quota
	waiting := q.ledger.WaitingTenants()
	if len(waiting) == 0 && len(q.waitsSince) == 0 {
		return
	}
	n.metrics.CappedTenants(o.shard.name, len(waiting))
	waits := make(map[string]bool, len(waiting))
	for _, name := range waiting {
		waits[name] = true
		since, known := q.waitsSince[name]
		switch {
		case !known:
			q.waitsSince[name] = now
		case now-since >= capReportDelay && !q.reported[name]:
			q.reported[name] = true
			n.log.Emit(cranevent.CapReached, cranevent.Shard(o.shard.name), cranevent.Tenant(name),
				cranevent.Count(int(q.ledger.Share(o.shard.number, name))))
		}
	}
	for name, since := range q.waitsSince {
		if waits[name] {
			continue
		}
		if q.reported[name] {
			n.log.Emit(cranevent.CapRelieved, cranevent.Shard(o.shard.name), cranevent.Tenant(name), cranevent.Elapsed(now-since))
		}
		delete(q.waitsSince, name)
		delete(q.reported, name)
	}
}

// configPremise returns the time up to which the caps in force are known to be in effect, if any tenant has one.
func (o *ownership) configPremise() []premise {
	if !o.quota.ledger.Active() {
		return nil
	}
	n := o.shard.node
	readAt := n.control.configReadAt
	return []premise{{"operator", readAt, readAt + n.configBound - minStartTime - startMargin}}
}
