package cranwavesim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplan"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/internal/cranvirtual"
)

// world is the virtual time, the platform and the members around the real
// state.
type world struct {
	cranvirtual.Engine[int64]
	settings Settings
	journal  *journal
	budget   *budget
	random   *rand.Rand
	// index is the number of each instance.
	index map[string]int
	// drainedMs is when the last request on a stop's instance ends.
	drainedMs map[uint64]int64
	// drainMs is how long the drain of each stop takes.
	drainMs map[uint64]int64
	// drawnMs is the sum of the cycles drawn for the reboots of each pool.
	drawnMs map[string]int64
	// acting holds the actions that the platform has taken in; it performs each id once.
	acting map[string]bool
	// listed holds lines of the platform's list not yet reported.
	listed []cranstate.Observation
	// probes holds outcomes not yet reported.
	probes []cranstate.Probe
	// waking is set while a round is planned.
	waking bool
	// replan is set when an instance enters or leaves service unplanned, or a
	// wave changes: nothing else allows another stop.
	replan bool
	// open counts waves not ended.
	open   int
	result Result
}

func newWorld(s Settings) *world {
	return &world{
		Engine:   cranvirtual.NewEngine[int64](startMs),
		settings: s, journal: newJournal(), budget: newBudget(s.MaxUnavailable),
		random: rand.New(rand.NewPCG(s.Seed, s.Seed)), index: map[string]int{},
		drainedMs: map[uint64]int64{}, drainMs: map[uint64]int64{}, drawnMs: map[string]int64{},
		acting: map[string]bool{},
	}
}

// send applies one event and takes in its effects.
func (w *world) send(writer string, e cranstate.Event) {
	for _, effect := range w.journal.apply(w.Now(), writer, e) {
		switch effect := effect.(type) {
		case cranstate.InstanceChanged:
			w.budget.note(effect)
			w.changed(effect)
		case cranstate.WaveChanged:
			w.waveChanged(effect)
		default:
		}
	}
}

func (w *world) changed(e cranstate.InstanceChanged) {
	w.wake()
	if e.To != cranstate.PhaseCordoned {
		w.replan = w.replan || e.To == cranstate.PhaseServing || e.From == cranstate.PhaseServing
		return
	}
	in, _ := w.journal.state.Instance(e.Instance)
	if stop, ok := in.Stop(); ok {
		drain := int64(w.random.ExpFloat64() * meanDrainMs)
		w.drainedMs[stop.ID()] = w.Now() + drain
		w.drainMs[stop.ID()] = drain
	}
}

// beat sends a member's heartbeat and plans the next.
func (w *world) beat(m int) {
	hb := cranstate.Heartbeat{Revision: w.journal.state.Revision()}
	for id, at := range w.drainedMs {
		if at <= w.Now() {
			hb.Drained = append(hb.Drained, id)
		}
	}
	slices.Sort(hb.Drained)
	w.send(memberID(m), hb)
	w.Schedule(w.Now()+beatMs, func() { w.beat(m) })
}

// wake plans the performer's next round.
func (w *world) wake() {
	if w.waking {
		return
	}
	w.waking = true
	w.Schedule((w.Now()/roundMs+1)*roundMs, w.round)
}

// round does what the performer does: it reads the state once, then reports
// and proposes.
func (w *world) round() {
	w.waking = false
	stops := w.plan()
	probes, listed := w.probes, w.listed
	w.probes, w.listed = nil, nil
	if len(probes) > 0 {
		w.send(memberID(0), cranstate.ProbesObserved{Probes: probes})
	}
	if len(listed) > 0 {
		w.send(memberID(0), cranstate.InstancesObserved{Instances: listed})
	}
	for _, o := range listed {
		w.probes = append(w.probes, cranstate.Probe{Instance: o.ID, Boots: o.Boots, Healthy: true})
	}
	w.act()
	refused := w.journal.refused
	for _, stop := range stops {
		w.send(memberID(0), stop)
	}
	w.replan = w.replan || w.journal.refused > refused
	w.count()
	if len(w.probes) > 0 {
		w.wake()
	}
}

// plan asks the policy if anything changed that could allow another stop.
func (w *world) plan() []cranstate.StopProposed {
	if !w.replan {
		return nil
	}
	w.replan = false
	start := time.Now()
	stops := cranplan.NextStops(w.journal.state, w.settings.MaxParallel)
	w.result.SlowestCallMs = max(w.result.SlowestCallMs, float64(time.Since(start))/float64(time.Millisecond))
	return stops
}

// act lets the platform start what is pending.
func (w *world) act() {
	for _, a := range w.journal.state.PendingActions() {
		if w.acting[a.ID] {
			continue
		}
		w.acting[a.ID] = true
		in, _ := w.journal.state.Instance(a.Instance)
		stop, _ := in.Stop()
		delete(w.drainedMs, stop.ID())
		boots := in.Boots() + 1
		took := minRebootMs + w.random.Int64N(maxRebootMs-minRebootMs)
		w.drawnMs[in.Pool()] += w.drainMs[stop.ID()] + took + listLagMs
		w.Schedule(w.Now()+took, func() { w.rebooted(a.ID, a.Instance, boots) })
	}
}

func (w *world) rebooted(action, id string, boots int) {
	w.result.Reboots++
	w.send(memberID(0), cranstate.ActionsObserved{Done: []string{action}})
	w.Schedule(w.Now()+listLagMs, func() {
		w.listed = append(w.listed, w.settings.observation(w.index[id], boots))
		w.wake()
	})
}

// count notes how many stops of a wave are in progress.
func (w *world) count() {
	for _, wave := range w.journal.state.Waves() {
		w.result.MaxActive = max(w.result.MaxActive, len(wave.Active()))
	}
}
