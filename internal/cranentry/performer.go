package cranentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplan"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	// performInterval is how often the lease holder compares the state with
	// the world.
	performInterval = 200 * time.Millisecond
	// restInterval is how often it does so while nothing is under way.
	restInterval = time.Second
	// probeInterval is how often a serving instance is probed.
	probeInterval = 5 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// actInterval is how often an action is repeated that the platform does
	// not know.
	actInterval = time.Second
	// repairPatience is how long a pool must lack instances before others are
	// moved into it.
	repairPatience = 15 * time.Second
	// maxProbes bounds the probes in progress.
	maxProbes = 16
	// probeFailures is how many probes in a row must fail before an instance
	// counts as unhealthy.
	probeFailures = 3
	// roleEntry is the platform's word for an entry instance.
	roleEntry = "entry"
	// maxObserved bounds the lines of the list in one record.
	maxObserved = 200
)

// performer performs effects while this entry holds the effects lease.
type performer struct {
	e      *Entry
	fleet  cranplatform.Fleet
	client *http.Client
	// probed holds when each instance was last probed.
	probed map[string]time.Time
	// failed counts probes failed in a row.
	failed map[string]int
	// listed holds the entry instances that the list has shown.
	listed map[string]bool
	// acted holds when each action was last asked for.
	acted map[string]time.Time
	// repair refills pools; the control thread alone uses it.
	repair *cranplan.Repair
	// proposed holds the stops proposed and not yet seen in the state.
	proposed map[string]time.Time
}

func newPerformer(e *Entry, fleet cranplatform.Fleet) *performer {
	return &performer{
		e: e, fleet: fleet, client: &http.Client{Timeout: probeTimeout},
		probed: map[string]time.Time{}, failed: map[string]int{},
		repair: cranplan.NewRepair(repairPatience),
		listed: map[string]bool{}, acted: map[string]time.Time{}, proposed: map[string]time.Time{},
	}
}

// target is what the performer needs to know of an instance.
type target struct {
	id          string
	address     string
	phase       cranstate.Phase
	healthy     bool
	boots       int
	slots       int
	connections int
	hint        string
}

// work is what the control thread hands to the performer at each round.
type work struct {
	holds bool
	// underWay is set while an instance is on its way out or back.
	underWay bool
	targets  map[string]target
	entries  map[string]bool
	actions  []cranplatform.Action
	stops    []cranstate.StopProposed
}

// run performs effects until ctx ends.
func (p *performer) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	timer := time.NewTimer(performInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(p.round(ctx))
		}
	}
}

// holds reports whether the effects lease is held at this moment. It is
// asked again right before each action.
func (p *performer) holds(ctx context.Context) bool {
	held, err := read(ctx, p.e.control, func(*cranstate.State) bool {
		return time.Now().Before(p.e.beats.effectsUntil)
	})
	return err == nil && held
}

// round compares the state with the world once and returns when to do so
// again.
func (p *performer) round(ctx context.Context) time.Duration {
	w, err := read(ctx, p.e.control, p.gather)
	if err != nil || !w.holds {
		return performInterval
	}
	p.observe(ctx, w)
	p.probe(ctx, w)
	p.act(ctx, w)
	p.stop(ctx, w)
	if w.underWay {
		return performInterval
	}
	return restInterval
}

// gather copies what a round needs, on the control thread.
func (p *performer) gather(s *cranstate.State) work {
	w := work{holds: time.Now().Before(p.e.beats.effectsUntil), targets: map[string]target{}, entries: map[string]bool{}}
	if !w.holds {
		p.repair = cranplan.NewRepair(repairPatience)
		return w
	}
	for _, in := range s.Instances() {
		w.underWay = w.underWay || in.Phase() != cranstate.PhaseServing
		w.targets[in.ID()] = target{
			id: in.ID(), address: in.Address(), phase: in.Phase(), healthy: in.Healthy(), boots: in.Boots(),
			slots: in.Slots(), connections: in.Connections(), hint: in.ReportedPool(),
		}
	}
	for _, m := range s.Members() {
		if m.Instance() != "" {
			w.entries[m.Instance()] = !m.Gone()
		}
	}
	w.actions = s.PendingActions()
	w.stops = append(cranplan.NextStops(s, p.e.maxParallel), p.repair.Next(s, time.Now())...)
	return w
}

// submit appends an event from the performer's goroutine.
func (p *performer) submit(ctx context.Context, event cranstate.Event) {
	_ = p.e.control.do(ctx, func(*cranstate.State) { p.e.submit(event) })
}

// act asks the platform for the pending actions and reports those done.
func (p *performer) act(ctx context.Context, w work) {
	var done []string
	for _, a := range w.actions {
		status, err := p.fleet.ActionStatus(ctx, a.ID)
		switch {
		case err != nil:
		case status.Done:
			done = append(done, a.ID)
		case !status.Known && time.Since(p.acted[a.ID]) >= actInterval && p.holds(ctx):
			p.acted[a.ID] = time.Now()
			// Whether an error means that nothing happened, the status tells.
			_ = p.fleet.Act(ctx, a)
		}
	}
	if len(done) > 0 {
		p.submit(ctx, cranstate.ActionsObserved{Done: done})
	}
	p.forget(w)
}

// forget drops what is remembered of actions and instances that are gone.
func (p *performer) forget(w work) {
	pending := map[string]bool{}
	for _, a := range w.actions {
		pending[a.ID] = true
	}
	for id := range p.acted {
		if !pending[id] {
			delete(p.acted, id)
		}
	}
	for id := range p.probed {
		if _, ok := w.targets[id]; !ok {
			delete(p.probed, id)
			delete(p.failed, id)
		}
	}
}

// stop proposes the next stops of waves and the moves that refill pools.
func (p *performer) stop(ctx context.Context, w work) {
	for id, at := range p.proposed {
		if time.Since(at) > p.e.heartbeat {
			delete(p.proposed, id)
		}
	}
	for _, s := range w.stops {
		if _, recent := p.proposed[s.Instance]; recent || !p.holds(ctx) {
			continue
		}
		p.proposed[s.Instance] = time.Now()
		p.submit(ctx, s)
	}
}
