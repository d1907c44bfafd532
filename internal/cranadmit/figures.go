package cranadmit

import "time"

// MaxAge is the age above which figures aren't used. The owner that has published them may be lost, and with
// it the order of what waits.
const MaxAge = 2 * time.Second

// Figures is what the owner of a shard has published.
type Figures struct {
	// Queues holds the queues with waiting work.
	Queues map[string]QueueLoad
	// Within holds the tenants that are beyond their entitlement, and the share of their jobs that is within
	// it, from 0 to 1.
	Within map[string]float64
}

// QueueLoad is the load of a queue in one shard. No value is negative.
type QueueLoad struct {
	// Waiting is the number of jobs of which no task has started.
	Waiting int
	// Drain is the time until all waiting work has been served at the rate of the last seconds. Ahead is the
	// part of it that is served before a new job beyond its tenant's entitlement, and Within the part before
	// a new job within it.
	Drain, Ahead, Within time.Duration
	// Path is the expected length of the longest path of tasks of a job.
	Path time.Duration
	// JobTime is by how much one more job lengthens Drain.
	JobTime time.Duration
	// Arrivals is the rate of accepted jobs per second, and ArrivalsWithin that of those within entitlements.
	Arrivals, ArrivalsWithin float64
	// Share is the share of the work beyond entitlements that is admitted, from 0 to 1; see Controller.
	Share float64
	// Arriving is the capacity that is on its way or idle in other pools, as a fraction of the rate of service.
	Arriving float64
}

// maxShareWithin bounds the share of the capacity that new work within entitlements is assumed to take.
const maxShareWithin = 0.95

// shareBeyond returns the share of the capacity that new work within entitlements leaves to other work, which it
// overtakes while that waits.
func (q *QueueLoad) shareBeyond() float64 {
	return 1 - min(q.ArrivalsWithin*q.JobTime.Seconds(), maxShareWithin)
}

// arrivalTime is the time from the order of a move to the first task on the instance in its new pool.
const arrivalTime = 2 * time.Second

// After returns how long work takes that takes drain at the present rate, if the capacity that is on its
// way helps once it has arrived.
func (q *QueueLoad) After(drain time.Duration) time.Duration {
	if drain <= arrivalTime {
		return drain
	}
	return arrivalTime + time.Duration(float64(drain-arrivalTime)/(1+q.Arriving))
}
