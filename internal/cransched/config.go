package cransched

import "time"

// Queue is what the configuration says of a queue of jobs.
type Queue struct {
	Name string
	// Pool names the pool whose targets run the tasks.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// Attempts is how many runs of a task may fail before its job fails.
	Attempts int
	// Stretch times a job's longest chain of work, and LatencyTarget on top,
	// is when the job ought to be complete.
	Stretch       float64
	LatencyTarget time.Duration
	// Advised queues need a ticket of the advice service for each start.
	RequiresTicket bool
	// TicketLife is how long a ticket is valid.
	TicketValidity time.Duration
}

// Pool is what the configuration says of a pool of targets.
type Pool struct {
	Name string
	// Standby pools hold instances that are switched off.
	Standby bool
}

// Config is a configuration in force.
type Config struct {
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
}

// Timing holds the bounds that the deployment sets.
type Timing struct {
	// MaxLease is the longest lease that a target grants.
	MaxLease time.Duration
	// StopTime is how long a target may take to stop a task.
	StopTime time.Duration
	// OrderLease is how far the orders of two owners for one instance lie apart.
	OrderLease time.Duration
}

const (
	// renewEvery bounds the time between two holds of a target. Each hold
	// renews the lease; at this pace three may fail before it lapses.
	heartbeatInterval = 1000 * time.Millisecond
	// holdPause is the shortest time between two holds of a target that keeps
	// ending tasks, so that the ends of some milliseconds share a call.
	minHeartbeatGap = 40 * time.Millisecond
	// retryPause is the time before an unanswered call to a target is repeated.
	retryPause = 250 * time.Millisecond
	// leaseShare is the part of the longest lease that is asked for. The rest
	// is how much sooner the tasks of an unreachable target start elsewhere.
	leaseShare = 0.85
	// clockDrift is how much slower a target's steady clock may run.
	maxClockDrift = 0.02
	// lapseMargin is added to the time at which a lease ends, for the kill.
	leaseExpiryMargin = 250 * time.Millisecond
	// OwnershipBound is how long an owner acts without a confirmed append. A
	// successor adds it to the lease of targets that it can't reach.
	OwnershipTimeout = 2500 * time.Millisecond
	// OrderBound is the same for orders about instances. It is shorter, since a
	// successor waits for it before its first order for the same instance.
	OrderOwnershipTimeout = 1000 * time.Millisecond
	// silenceBound is how long a target may leave holds unanswered: the longest
	// wait of a hold, and the pause and the journey of the next.
	responseTimeout = heartbeatInterval + 800*time.Millisecond
	// failurePause is the first pause before a task that failed runs again; it
	// doubles with each failure up to failurePauseMax.
	failureBackoff    = 100 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
)
