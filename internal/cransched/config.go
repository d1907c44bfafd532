package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crantenant"
)

// Queue is the configuration of a queue of jobs.
type Queue struct {
	Name string
	// Pool names the pool whose targets run the tasks.
	Pool string
	// Priority orders the queues; 0 is the highest priority.
	Priority int
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int
	// Stretch and LatencyTarget define when a job should be complete: after Stretch times
	// the length of its critical path, plus LatencyTarget.
	Stretch       float64
	LatencyTarget time.Duration
	// RequiresTicket is set if each start needs a ticket of the advice service.
	RequiresTicket bool
	// TicketValidity is the default time for which a ticket is valid.
	TicketValidity time.Duration
	// TicketTime is how long the advice service takes for a request, and TicketTimePerTarget how much longer for
	// each target that the request names.
	TicketTime, TicketTimePerTarget time.Duration
	// Public is set if requests to the queue need no key.
	Public bool
}

// Pool is the configuration of a pool of targets.
type Pool struct {
	Name string
	// Standby is set for pools whose instances are switched off.
	Standby bool
}

// Config is one version of the scheduler's configuration.
type Config struct {
	Version int64
	Queues  map[string]*Queue
	Pools   map[string]*Pool
	// Tenants holds the tenants and their keys; nil if the deployment has none, and then no
	// request needs a key.
	Tenants *crantenant.Directory
}

// Timing holds the time limits that depend on the deployment, and how times are predicted.
type Timing struct {
	// MaxLease is the longest lease that a target accepts.
	MaxLease time.Duration
	// StopTime is the maximum time that a target takes to stop a task.
	StopTime time.Duration
	// OrderLease is the minimum time that the platform requires between the orders of two
	// owners for the same instance.
	OrderLease time.Duration
	// OrdersPerSecond is how many orders about instances the platform accepts per second.
	// 0 means that it is not known.
	OrdersPerSecond float64
	// DeliveryTime is how long after the end of a job its caller learns of it at the latest.
	DeliveryTime time.Duration
	// RunTimes says how run times are predicted.
	RunTimes RunTimeModel
}

// RunTimeModel says how run times are predicted.
type RunTimeModel int

const (
	// Distributions predicts distributions by queue, image, step, demand and tenant.
	Distributions RunTimeModel = iota
	// Regression predicts the mean by one regression line for each queue.
	Regression
	// DistributionsForTenants stands for Distributions if the configuration has tenants when a scheduler
	// is created, and for Regression otherwise.
	DistributionsForTenants
)

const (
	// heartbeatInterval is the maximum time between two heartbeats to a target. Each
	// heartbeat renews the lease; at this interval three in a row may fail before the
	// lease expires.
	heartbeatInterval = 1000 * time.Millisecond
	// startupWait is how long a target may delay its response while a wave waits for a
	// long-running task on it to be at work. Its progress ends no wait, unlike the end of a run.
	startupWait = 150 * time.Millisecond
	// probationWait is the same while a suspected task waits for runs to outlive their start.
	probationWait = 50 * time.Millisecond
	// minHeartbeatGap is the minimum time between two heartbeats to a target on which runs
	// keep ending, so that one response reports several ends.
	minHeartbeatGap = 40 * time.Millisecond
	// retryPause is the delay before an unanswered call to a target is retried.
	retryPause = 250 * time.Millisecond
	// leaseShare is the fraction of MaxLease that is requested. A shorter lease lets the
	// tasks of an unreachable target restart elsewhere sooner.
	leaseShare = 0.85
	// maxClockDrift is the maximum fraction by which a target's steady clock may run slower
	// than the clock of this process.
	maxClockDrift = 0.02
	// leaseExpiryMargin is added to the end of a lease to allow the target to kill its
	// runs.
	leaseExpiryMargin = 250 * time.Millisecond
	// deliveryTimeout is how long an order may be under way to a target. The sender of a heartbeat
	// gives up after 1.9 s, that of any other order sooner. What a target carries out later ends
	// with the target's process.
	deliveryTimeout = 2000 * time.Millisecond
	// OwnershipTimeout is how long an owner may send orders to targets after its last
	// confirmed append. A successor adds it to the lease of targets that it can't reach.
	OwnershipTimeout = 2500 * time.Millisecond
	// OrderOwnershipTimeout is the corresponding limit for orders about instances. It is
	// shorter because a successor waits for it before its first order for the same
	// instance.
	OrderOwnershipTimeout = 1000 * time.Millisecond
	// responseTimeout is the time without a response after which a target counts as
	// unresponsive: the longest wait of a heartbeat, plus the pause before the next one
	// and its round trip.
	responseTimeout = heartbeatInterval + 800*time.Millisecond
	// failureBackoff is the delay before a failed task runs again. It doubles with each
	// failure up to maxFailureBackoff.
	failureBackoff    = 100 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
)
