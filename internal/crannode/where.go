package crannode

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// whereTimeout is how long the control goroutine may take to answer a query.
const whereTimeout = 2 * time.Second

// WhereQuery asks where a job would go if it were submitted now.
type WhereQuery struct {
	Host, Path string
	// Tenant is the name of the tenant whose key the request would carry.
	Tenant string
	// Job returns the job that a request to a queue would submit, given the path without the route's prefix, and
	// whether its id is assumed.
	Job func(queue *cransched.Queue, rest, tenant string) (j *cranjob.Job, isAssumed bool, err error)
}

// Where answers a query. It stores, accepts, starts and counts nothing. It returns a fault of kind NotReady if the control
// goroutine doesn't answer in time.
func (n *Node) Where(ctx context.Context, q WhereQuery) (cranexplain.Answer, error) {
	a := cranexplain.Answer{ReadAgeMs: n.digestAgeMs()}
	config, f := n.config.Load(), n.configFreshness()
	if config == nil || !f.known {
		a.Refused = "no configuration is known here yet"
		return a, nil
	}
	queue, rest := config.FindQueue(q.Host, q.Path)
	if queue == nil {
		a.Refused = fmt.Sprintf("no queue is at %s%s", q.Host, q.Path)
		return a, nil
	}
	a.Queue, a.Pool, a.RequiresKey = queue.Name, queue.Pool, config.Tenants != nil && !queue.Public
	if a.RequiresKey {
		switch {
		case q.Tenant == "":
			a.Refused = fmt.Sprintf("the queue %q requires a key; name the tenant", queue.Name)
			return a, nil
		case config.Tenants.Tenant(q.Tenant) == nil:
			a.Refused = fmt.Sprintf("the configuration in force has no tenant %q", q.Tenant)
			return a, nil
		}
		a.Tenant = q.Tenant
	}
	j, isAssumed, err := q.Job(queue, rest, a.Tenant)
	if err != nil {
		a.Refused = err.Error()
		return a, nil
	}
	a.Job, a.JobAssumed = j.ID, isAssumed
	if err := j.Validate(); err != nil {
		a.Admission = refusal(err)
		a.WouldChange = []string{changeOf(a.Admission)}
		return a, nil
	}
	if status, known := n.lookup(j.ID); known {
		a.State = status.state.String()
	}
	a.Admission = n.previewAdmission(j, queue, f, a.RequiresKey)
	return a, n.askControl(ctx, j, &a)
}

// digestAgeMs returns the age of what was read from the digest, in milliseconds; -1 if it has not been read to its end.
func (n *Node) digestAgeMs() int64 {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.digestCurrentAt == 0 {
		return -1
	}
	return (n.now().Steady - n.digestCurrentAt).Milliseconds()
}

// previewAdmission returns what Submit would decide, in the same order, without a count or a log entry.
func (n *Node) previewAdmission(j *cranjob.Job, q *cransched.Queue, f freshness, requiresKey bool) *cranexplain.Admission {
	if !f.confirmed || requiresKey && f.age > n.keyBound-configMargin {
		return refusal(cranfault.New(cranfault.NotReady, "try another entry instance",
			"the configuration has not been confirmed for %v", f.age.Round(time.Millisecond)))
	}
	if _, known := n.lookup(j.ID); known {
		return &cranexplain.Admission{Admitted: true, Reason: "the job is known already"}
	}
	if !n.storeAnswers() {
		return refusal(cranfault.New(cranfault.LogUnavailable, "submit the job to another entry instance", "the store doesn't answer this entry instance"))
	}
	s := n.shardOf(j.ID)
	if s == nil {
		return refusal(cranfault.New(cranfault.NotReady, "submit the job to another entry instance", "the shards are not known here yet"))
	}
	if n.config.Load().Tenants == nil {
		return &cranexplain.Admission{Admitted: true}
	}
	n.admission.mu.Lock()
	d, known := n.admission.board.Peek(admissionRequest(j, q, s), n.now().Steady)
	n.admission.mu.Unlock()
	a := &cranexplain.Admission{Admitted: true}
	if !d.Admitted {
		a = refusal(notAdmitted(d))
	}
	a.HasFigures, a.FiguresAgeMs = known, d.Age.Milliseconds()
	return a
}

// admissionRequest returns what the admission of a job is decided by.
func admissionRequest(j *cranjob.Job, q *cransched.Queue, s *shard) cranadmit.Request {
	return cranadmit.Request{
		ID: j.ID, Queue: j.Queue, Tenant: j.Tenant, Shard: s.number, Stretch: q.Stretch, LatencyTarget: q.LatencyTarget,
	}
}

// notAdmitted returns the fault of a job that is refused.
func notAdmitted(d cranadmit.Decision) error {
	return cranfault.New(cranfault.QueueFull, "submit the job again later",
		"a new job would wait for %v, and the cause of the refusal is %s", d.Wait.Round(time.Millisecond), d.Cause).WithRetryAfter(d.RetryAfter)
}

func refusal(err error) *cranexplain.Admission {
	return &cranexplain.Admission{Kind: string(cranfault.KindOf(err)), Reason: err.Error(), RetryAfter: cranfault.RetryAfterOf(err)}
}

// changeOf returns what would have to change for a refused job to be accepted.
func changeOf(a *cranexplain.Admission) string {
	if a.RetryAfter > 0 {
		return fmt.Sprintf("a shorter wait in the queue; submit the job again in %d s", a.RetryAfter)
	}
	return "the end of what the refusal names: " + a.Reason
}

// askControl adds what the control goroutine knows. A query that is still queued when its time is over does nothing.
func (n *Node) askControl(ctx context.Context, j *cranjob.Job, a *cranexplain.Answer) error {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	answered := make(chan cranexplain.Answer, 1)
	// The control goroutine may still use them when this one has given up.
	begun, admission := *a, *a.Admission
	begun.Admission = &admission
	n.post(ctx, func() {
		if ctx.Err() == nil {
			answered <- n.control.where(j, begun)
		}
	})
	select {
	case *a = <-answered:
		return nil
	case <-ctx.Done():
		return cranfault.New(cranfault.NotReady, "ask again later", "the control goroutine hasn't answered within %v", whereTimeout)
	}
}

// where completes an answer with the shard of a job and its placement.
func (c *control) where(j *cranjob.Job, a cranexplain.Answer) cranexplain.Answer {
	n := c.node
	if d := a.Admission; !d.Admitted {
		a.WouldChange = append(a.WouldChange, changeOf(d))
	}
	s := n.shardOf(j.ID)
	if s == nil {
		return a
	}
	claim := s.claim()
	a.Shard = &cranexplain.Shard{Number: s.number, ClaimAgeMs: -1}
	if claim.Epoch == 0 || claim.Released {
		a.WouldChange = append(a.WouldChange, fmt.Sprintf("an owner of shard %d", s.number))
		return a
	}
	now := n.now()
	a.Shard.Owner, a.Shard.ClaimAgeMs = claim.Node, (now.Steady - s.claimReadAt).Milliseconds()
	switch {
	case claim.Incarnation != n.incarnation:
		a.AskAt = claim.Node
	case !s.scheduling():
		a.Loading = true
		a.WouldChange = append(a.WouldChange, fmt.Sprintf("the end of the loading of shard %d", s.number))
	case a.State == "":
		p, reasons := s.owner.scheduler.Where(j, now)
		a.Placement = &p
		a.WouldChange = append(a.WouldChange, reasons...)
	}
	return a
}
