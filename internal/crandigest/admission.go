package crandigest

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// keyAdmission is the prefix of the keys of the figures for admission.
const keyAdmission = 'b'

// Bounds of a record of figures for admission.
const (
	maxAdmissionQueues  = 10_000
	maxAdmissionTenants = 10_000
	maxTenantName       = 256
	// maxAdmissionFigure bounds each figure, so that sums and products of them stay far from an overflow. It
	// is 24 days in milliseconds.
	maxAdmissionFigure = 1 << 31
	// Thousand is the denominator of the fractions in the record.
	Thousand = 1000
)

// Admission is the record of the load of a shard, by which entry instances admit or refuse jobs. Each record
// replaces the one before.
type Admission struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	// Queues holds the queues with waiting work.
	Queues []QueueLoad
	// Tenants holds the tenants that are beyond their entitlement.
	Tenants []TenantShare
}

// QueueLoad is the load of a queue in a shard.
type QueueLoad struct {
	_ struct{} `cbor:",toarray"`
	// Queue is the hash of the queue's name.
	Queue uint32
	// Waiting is the number of jobs of which no task has started.
	Waiting int64
	// DrainMs is the time until all waiting work has been served at the present rate. AheadMs is the part
	// that is served before a new job beyond its tenant's entitlement, WithinMs that before one within it.
	DrainMs, AheadMs, WithinMs int64
	// PathMs is the expected longest path of a job, JobMs by how much one more job lengthens the drain.
	PathMs, JobMs int64
	// Arrivals is the rate of accepted jobs per 1000 s, ArrivalsWithin that of those within entitlements.
	Arrivals, ArrivalsWithin int64
	// Share is the admitted share of the work beyond entitlements, Arriving the capacity on its way as a
	// fraction of the rate of service, both in thousandths.
	Share, Arriving int64
}

// TenantShare is the share of a tenant's jobs that is within its entitlement, in thousandths.
type TenantShare struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Within int64
}

// QueueHash returns the hash of a queue's name in QueueLoad.
func QueueHash(name string) uint32 { return queueHash(name) }

// Record returns the record of the figures for a shard.
func (a Admission) Record(shard int) cranstore.Record {
	return cranstore.Record{Key: string(keyAdmission) + strconv.Itoa(shard), Value: cranjob.Encode(a)}
}

// Queue returns the load of a queue, and whether it is among those published.
func (a *Admission) Queue(name string) (QueueLoad, bool) {
	hash := queueHash(name)
	for i := range a.Queues {
		if a.Queues[i].Queue == hash {
			return a.Queues[i], true
		}
	}
	return QueueLoad{}, false
}

// validate returns an error if a figure is out of range or a queue or tenant is repeated.
func (a *Admission) validate() error {
	if len(a.Queues) > maxAdmissionQueues || len(a.Tenants) > maxAdmissionTenants {
		return fmt.Errorf("it has %d queues and %d tenants", len(a.Queues), len(a.Tenants))
	}
	queues := make(map[uint32]bool, len(a.Queues))
	for i := range a.Queues {
		q := &a.Queues[i]
		if queues[q.Queue] {
			return errors.New("a queue is repeated")
		}
		queues[q.Queue] = true
		if q.Share > Thousand {
			return fmt.Errorf("the share %d of a queue is out of range", q.Share)
		}
		for _, figure := range []int64{q.Waiting, q.DrainMs, q.AheadMs, q.WithinMs, q.PathMs, q.JobMs, q.Arrivals, q.ArrivalsWithin, q.Share, q.Arriving} {
			if figure < 0 || figure > maxAdmissionFigure {
				return fmt.Errorf("the figure %d of a queue is out of range", figure)
			}
		}
	}
	tenants := make(map[string]bool, len(a.Tenants))
	for _, t := range a.Tenants {
		if t.Name == "" || len(t.Name) > maxTenantName || tenants[t.Name] || t.Within < 0 || t.Within > Thousand {
			return fmt.Errorf("the entry of the tenant %.20q is invalid or repeated", t.Name)
		}
		tenants[t.Name] = true
	}
	return nil
}

// Admission returns the newest figures of a shard; nil if there are none.
func (d *Digest) Admission(number int) *Admission { return d.admissions[number] }

// applyAdmission applies figures unless those of a later owner are known.
func (d *Digest) applyAdmission(key string, number int, value []byte) (Change, error) {
	a, err := decode[Admission](key, value)
	if err != nil {
		return Change{}, err
	}
	if err := a.validate(); err != nil {
		return Change{}, malformed(key, err)
	}
	if known := d.admissions[number]; known != nil && a.Epoch < known.Epoch {
		return Change{}, nil
	}
	d.admissions[number] = a
	return Change{Kind: LoadPublished, Shard: number}, nil
}
