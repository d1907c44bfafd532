package crannode

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// figuresRepeat is how often an owner publishes figures that haven't changed, so that entry instances don't take
// them for those of a lost owner. Figures without any queue aren't repeated.
const figuresRepeat = time.Second

// admission holds the figures by which a process admits or refuses jobs.
type admission struct {
	mu    sync.Mutex
	board *cranadmit.Board
}

// admit returns a fault of kind QueueFull if a job is refused because of the load that is published for its shard.
// Nothing was stored then. Only deployments with tenants refuse jobs.
func (n *Node) admit(j *cranjob.Job, s *shard) error {
	config := n.config.Load()
	if config == nil || config.Tenants == nil || config.Queues[j.Queue] == nil {
		return nil
	}
	q := config.Queues[j.Queue]
	n.admission.mu.Lock()
	d := n.admission.board.Decide(admissionRequest(j, q, s), n.now().Steady)
	n.admission.mu.Unlock()
	if d.Admitted {
		return nil
	}
	n.metrics.NotAdmitted(j.Tenant, string(d.Cause))
	n.log.Emit(cranevent.JobNotAdmitted, cranevent.Job(j.ID), cranevent.Queue(j.Queue), cranevent.Tenant(j.Tenant), cranevent.Shard(s.name),
		cranevent.Cause(string(d.Cause)), cranevent.Remaining(d.Wait), cranevent.Objective(d.Objective), cranevent.Age(d.Age), cranevent.Number(d.RetryAfter))
	return notAdmitted(d)
}

// readFigures puts the figures on the board that the owner of a shard has published. Those that a load has returned, or
// a read of records that are stored for long, may be old. The caller holds the node's lock.
func (s *shard) readFigures(now time.Duration) {
	n := s.node
	config := n.config.Load()
	if config == nil || n.control.loadingDigest || !n.digestComplete || now-n.digestCurrentAt > maxDigestAge {
		return
	}
	published := n.digest.Admission(s.number)
	f := cranadmit.Figures{Queues: map[string]cranadmit.QueueLoad{}, Within: make(map[string]float64, len(published.Tenants))}
	for name := range config.Queues {
		if q, found := published.Queue(name); found {
			f.Queues[name] = queueLoad(q)
		}
	}
	for _, t := range published.Tenants {
		f.Within[t.Name] = fraction(t.Within)
	}
	n.admission.mu.Lock()
	defer n.admission.mu.Unlock()
	n.admission.board.Publish(s.number, f, now)
}

// queueLoad returns the load of a queue from its published form.
func queueLoad(q crandigest.QueueLoad) cranadmit.QueueLoad {
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	return cranadmit.QueueLoad{
		Waiting: int(q.Waiting), Drain: ms(q.DrainMs), Ahead: ms(q.AheadMs), Within: ms(q.WithinMs), Path: ms(q.PathMs), JobTime: ms(q.JobMs),
		Arrivals: fraction(q.Arrivals), ArrivalsWithin: fraction(q.ArrivalsWithin), Share: fraction(q.Share), Arriving: fraction(q.Arriving),
	}
}

func fraction(thousandths int64) float64 { return float64(thousandths) / crandigest.Thousand }

func thousandths(v float64) int64 { return int64(math.Round(v * crandigest.Thousand)) }

// figuresWriter publishes the figures of a shard. Its zero value is ready for use.
type figuresWriter struct {
	// controllers choose the admitted shares of the queues.
	controllers map[string]*cranadmit.Controller
	// published is the value of the newest record, appended at publishedAt; nil before.
	published   []byte
	publishedAt time.Duration
	// loggedAt is when an overload was last logged.
	loggedAt time.Duration
}

// figures returns the record of the figures for admission, or nothing if there is none to publish.
func (o *ownership) figures(now time.Duration) []cranstore.Record {
	if o.scheduler == nil {
		return nil
	}
	w := &o.figuresWriter
	f := o.scheduler.AdmissionFigures()
	record := w.record(f, o.shard.node.control.config, o.epoch, now).Record(o.shard.number)
	isEmpty := len(f.Queues) == 0 && len(f.Within) == 0
	if isEmpty && w.published == nil || bytes.Equal(record.Value, w.published) && (isEmpty || now-w.publishedAt < figuresRepeat) {
		return nil
	}
	w.published, w.publishedAt = record.Value, now
	if now-w.loggedAt >= figuresRepeat {
		w.loggedAt = now
		o.logOverload(f)
	}
	return []cranstore.Record{record}
}

// logOverload logs the queues of which work beyond entitlements is refused.
func (o *ownership) logOverload(f cranadmit.Figures) {
	n := o.shard.node
	for _, name := range slices.Sorted(maps.Keys(f.Queues)) {
		q, config := f.Queues[name], n.control.config.Queues[name]
		if share := o.figuresWriter.controllers[name].Share(); share < 1 && config != nil && len(f.Within) > 0 {
			n.log.Emit(cranevent.QueueOverloaded, cranevent.Queue(name), cranevent.Shard(o.shard.name), cranevent.Waiting(q.Waiting),
				cranevent.Remaining(q.Drain), cranevent.Objective(objective(config, &q)), cranevent.Number(int(thousandths(share))))
		}
	}
}

// objective returns the time within which the jobs of a queue should be complete.
func objective(config *cransched.Queue, q *cranadmit.QueueLoad) time.Duration {
	return time.Duration(config.Stretch*float64(q.Path)) + config.LatencyTarget
}

// record returns the figures with the shares to be admitted. Queues and tenants are sorted, so that equal figures have
// equal records.
func (w *figuresWriter) record(f cranadmit.Figures, config *cransched.Config, epoch uint64, now time.Duration) crandigest.Admission {
	a := crandigest.Admission{Epoch: epoch}
	controllers := make(map[string]*cranadmit.Controller, len(f.Queues))
	for name, q := range f.Queues {
		c := w.controllers[name]
		if c == nil {
			c = cranadmit.NewController()
		}
		controllers[name] = c
		if queue := config.Queues[name]; queue != nil {
			q.Share = c.Update(&q, objective(queue, &q), now)
		}
		a.Queues = append(a.Queues, crandigest.QueueLoad{
			Queue: crandigest.QueueHash(name), Waiting: int64(q.Waiting), DrainMs: q.Drain.Milliseconds(), AheadMs: q.Ahead.Milliseconds(),
			WithinMs: q.Within.Milliseconds(), PathMs: q.Path.Milliseconds(), JobMs: q.JobTime.Milliseconds(), Arrivals: thousandths(q.Arrivals),
			ArrivalsWithin: thousandths(q.ArrivalsWithin), Share: thousandths(q.Share), Arriving: thousandths(q.Arriving),
		})
	}
	w.controllers = controllers
	slices.SortFunc(a.Queues, func(a, b crandigest.QueueLoad) int { return int(int64(a.Queue) - int64(b.Queue)) })
	for name, share := range f.Within {
		a.Tenants = append(a.Tenants, crandigest.TenantShare{Name: name, Within: thousandths(share)})
	}
	slices.SortFunc(a.Tenants, func(a, b crandigest.TenantShare) int { return strings.Compare(a.Name, b.Name) })
	return a
}
