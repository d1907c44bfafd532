package cransched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranquota"
)

// whereLoad is a random load: jobs of several kinds, targets that restart or fall silent, and changes of the owner.
type whereLoad struct {
	seed                               uint64
	targets                            int
	tenants, tickets, standbys, isCalm bool
	lag                                time.Duration
	surveyedAtOnce                     int
	events, pausesMs                   []int
}

const (
	takeOverEvent = iota + 10
	restartEvent
	silenceEvent
	events
)

func drawWhereLoad(t *rapid.T, isCalm bool) whereLoad {
	l := whereLoad{seed: rapid.Uint64().Draw(t, "seed"), targets: rapid.IntRange(2, 6).Draw(t, "targets"), isCalm: isCalm}
	l.tenants = rapid.Bool().Draw(t, "tenants")
	l.tickets = rapid.Bool().Draw(t, "tickets") && (!isCalm || rapid.Bool().Draw(t, "tickets in a calm load"))
	// With a long lag, few starts may be under way.
	l.lag = rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "lag")
	l.standbys = rapid.Bool().Draw(t, "standby pool")
	l.surveyedAtOnce = rapid.SampledFrom([]int{0, defaultSurveyedAtOnce}).Draw(t, "surveyed at once")
	n := rapid.IntRange(5, 25).Draw(t, "events")
	l.events = rapid.SliceOfN(rapid.IntRange(0, events-1), n, n).Draw(t, "event")
	l.pausesMs = rapid.SliceOfN(rapid.IntRange(0, 300), n, n).Draw(t, "pause in ms")
	return l
}

// newJob returns a job of one of several kinds.
func (l *whereLoad) newJob(id string, kind int) *cranjob.Job {
	j := newBatchJob(id, 2+kind%4)
	j.Queue, j.Pool, j.Tenant = "q", "p", fmt.Sprintf("t%d", kind%2)
	if l.tickets {
		j.Queue = "k"
	}
	switch first := &j.Steps[0]; kind {
	case 2:
		j.Steps = newLongRunningJob(id, 3).Steps
	case 3:
		// The simulated targets don't end the members of a gang of which one has succeeded.
		j.Steps = j.Steps[:1]
		first.Gang, first.SameRack = true, true
	case 4:
		first.MaxPerTarget = 1
	case 5:
		first.Requires = "none"
	case 6:
		j.Steps, j.Times, j.IntervalMs = j.Steps[:1], 2, 700
	case 7:
		first.Demand = cranjob.Resources{CPU: 3900, Memory: 3000}
	case 8:
		first.BestEffort = true
		j.Steps[1].After = nil
	case 9:
		j.Steps[1].After = nil
	}
	return j
}

// play plays the load. The function between is called after each event.
func (l *whereLoad) play(t *testing.T, beforeTick func(s *Scheduler), between func(sim *simulation, event int)) []string {
	sim := newSimulation(t, l.seed, l.targets)
	var trace []string
	sim.observe = func(text string) { trace = append(trace, text) }
	sim.beforeTick = func(s *Scheduler) {
		s.survey.surveyedAtOnce = l.surveyedAtOnce
		s.SetLag(l.lag)
		beforeTick(s)
	}
	if l.tickets {
		sim.adviser = newSimAdviser(5*time.Millisecond, time.Millisecond, time.Second)
	}
	sim.config.Queues["k"] = &Queue{Name: "k", Pool: "p", Priority: 1, Attempts: 3, Stretch: 2, LatencyTarget: time.Second, RequiresTicket: true, TicketValidity: time.Second}
	if l.tenants {
		sim.withTenants(2, 2)
		sim.newQuota = func() Quota {
			q := cranquota.New(0, 1, cranquota.Record{})
			q.SetCaps(1, map[string]cranjob.Resources{"t1": {CPU: 3000}})
			return q
		}
	}
	if !l.standbys {
		// Instances that aren't needed stay.
		delete(sim.config.Pools, "off")
	}
	if l.isCalm {
		// All targets stay.
		sim.platformDown = true
	} else {
		sim.lossRate, sim.noResponseRate, sim.delayRate = 0.02, 0.03, 0.02
	}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(500 * time.Millisecond)
	for i, event := range l.events {
		sim.runFor(time.Duration(l.pausesMs[i]) * time.Millisecond)
		ids := slices.Sorted(maps.Keys(sim.targets))
		victim := ids[i%len(ids)]
		switch {
		case event < takeOverEvent:
			sim.submit(l.newJob(fmt.Sprintf("j%d", i), event))
		case l.isCalm:
		case event == takeOverEvent:
			sim.takeOver(sim.now + OwnershipTimeout)
		case event == restartEvent:
			sim.restart(victim)
		case event == silenceEvent:
			sim.targets[victim].unreachable = !sim.targets[victim].unreachable
		}
		between(sim, i)
	}
	sim.runFor(2 * time.Second)
	return trace
}

// shareOrder returns a copy of the order of the work beyond entitlements; nil without tenants.
func (s *Scheduler) shareOrder() *cranfair.Order {
	if s.fairness == nil {
		return nil
	}
	return s.fairness.Order("p").Clone()
}

// TestWhereHasNoSideEffects guards against a query that changes what the scheduler does afterwards: the records, the
// effects and their times must be those of a scheduler that nobody asks.
func TestWhereHasNoSideEffects(t *testing.T) {
	answered, unanswered := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		load := drawWhereLoad(rt, false)
		queries := 0
		asked := load.play(t, func(s *Scheduler) {
			queries++
			j := load.newJob(fmt.Sprintf("query%d", queries), queries%takeOverEvent)
			underWay, order := s.StartsUnderWay(), s.shareOrder()
			// A query may come some time after the last event.
			p, _ := s.Where(j, Clock{Steady: s.clock.Steady + 5*time.Millisecond, UnixMs: s.clock.UnixMs + 5})
			require.Equal(rt, underWay, s.StartsUnderWay())
			require.Equal(rt, order, s.shareOrder())
			if p.Steps[0].Target != "" {
				answered++
			} else {
				unanswered++
			}
		}, func(*simulation, int) {})
		unasked := load.play(t, func(*Scheduler) {}, func(*simulation, int) {})
		for i := range min(len(unasked), len(asked)) {
			require.Equal(rt, unasked[i], asked[i])
		}
		require.Len(rt, asked, len(unasked))
	})
	require.Greater(t, answered, unanswered/20, "hardly any query finds a target")
}

// TestNamedTargetGetsTask guards against an answer that names another target than the one that gets the task if the job
// is submitted then, or a target for a job that would wait.
func TestNamedTargetGetsTask(t *testing.T) {
	named, unnamed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		load := drawWhereLoad(rt, true)
		if load.tenants {
			// In a backlog, work beyond entitlements is ranked only when all jobs are looked at again.
			load.surveyedAtOnce = defaultSurveyedAtOnce
		}
		load.play(t, func(*Scheduler) {}, func(sim *simulation, event int) {
			s := sim.owner
			s.Advance(sim.clock())
			s.Tick()
			j := load.newJob(fmt.Sprintf("asked%d", event), event%takeOverEvent)
			p, sentences := s.Where(j, sim.clock())
			sim.submit(j)
			s.Tick()
			for i, step := range p.Steps {
				first := s.jobs[j.ID].stages[i].tasks[0]
				require.Equal(rt, first.Target, step.Target, "step %d of %+v: %+v %v", i, j, p, sentences)
				switch {
				case step.Target != "":
					named++
				case step.Ready:
					unnamed++
					require.NotEmpty(rt, sentences)
					sum := 0
					for _, n := range step.Excluded {
						sum += n
					}
					require.Equal(rt, len(s.sorted), sum)
				}
			}
			sim.storeAndPerform(s, sim.ownerID)
		})
	})
	require.Greater(t, named, unnamed/10)
	require.Greater(t, unnamed, named/10)
}

// TestReasonsAgainstTargets guards against an answer that gives the wrong reason for a target that is excluded.
func TestReasonsAgainstTargets(t *testing.T) {
	s := newBenchScheduler(cranjob.NewReplica(), 5)
	s.targets["t000"].info.Draining = true
	s.targets["t001"].health.suspendedUntil = s.clock.Steady + time.Second
	s.targets["t002"].info.Labels = nil
	s.targets["t003"].used = s.targets["t003"].info.Capacity
	j := newBenchJob(1)
	j.Steps[0].Requires = "a"
	j.Steps[0].Demand.CPU = 1500
	s.targets["t004"].info.Capacity.CPU = 1400
	p, sentences := s.Where(j, s.clock)
	require.Equal(t, map[cranexplain.Reason]int{
		cranexplain.Leaving: 1, cranexplain.NotSchedulable: 1, cranexplain.NoLabel: 1, cranexplain.NoRoom: 2,
	}, p.Steps[0].Excluded)
	require.Contains(t, sentences, "1.5 cores and 3000 MB free on one target of pool p")
	require.Contains(t, sentences, "a target of pool p with the label a")
	require.Len(t, sentences, 4)
}

// TestStageThatIsListedTwiceIsPlacedOnce guards against resources of a tentative run that stay taken. In a backlog a
// stage is listed twice if its estimates have changed since it was inserted.
func TestStageThatIsListedTwiceIsPlacedOnce(t *testing.T) {
	s := newBenchScheduler(cranjob.NewReplica(), 1)
	waiting := newBenchJob(1)
	waiting.ReceivedMs = s.clock.UnixMs
	s.AddJob(waiting)
	c := s.candidates()
	s.survey.surveyedAtOnce, s.survey.added, s.survey.list = 0, nil, append(c, c...)
	p, _ := s.Where(newBenchJob(2), s.clock)
	require.Equal(t, "t000", p.Steps[0].Target, "16 of 21 places are taken")
	require.Equal(t, 2, p.StagesAhead)
	require.Zero(t, s.sorted[0].used)
	require.Empty(t, s.sorted[0].runs)
}

// TestOverdueJobsStartFirst guards against an answer that gives a start to a job which an overdue one gets.
func TestOverdueJobsStartFirst(t *testing.T) {
	s := newBenchScheduler(cranjob.NewReplica(), 1)
	s.config.Queues["low"] = &Queue{Name: "low", Pool: "p", Priority: 1, Attempts: 3, Stretch: 1.6}
	// Eight starts may be under way.
	s.SetLag(5 * time.Second)
	newJob := func(n int, queue string) *cranjob.Job {
		j := newBenchJob(n)
		j.Queue, j.Steps[0].Count, j.ReceivedMs = queue, 1, s.clock.UnixMs
		return j
	}
	overdue, asked := newJob(1, "low"), newJob(100, "q")
	s.AddJob(overdue)
	for n := range minStartsUnderWay - 1 {
		s.AddJob(newJob(2+n, "q"))
	}
	p, _ := s.Where(asked, s.clock)
	require.Equal(t, "t000", p.Steps[0].Target)
	s.startsLimited = true
	s.jobs[overdue.ID].waitsSince = s.clock.Steady - 2*overdueAfter
	p, sentences := s.Where(asked, s.clock)
	require.Empty(t, p.Steps[0].Target)
	require.Contains(t, sentences[0], "responses to the starts under way")
	s.AddJob(asked)
	first := s.jobs[asked.ID].tasks[0]
	s.place()
	require.Equal(t, cranjob.Waiting, first.Status)
	require.True(t, s.startsLimited)
}
