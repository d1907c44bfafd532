package cranadmit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simTick = 10 * time.Millisecond
	// simSlots is the capacity; each job takes one slot for simWork.
	simSlots   = 20
	simWork    = time.Second
	simEntries = 35
	simStretch = 1.6
	simLatency = 600 * time.Millisecond
	// simObjective is Stretch times the path plus the latency target.
	simObjective = 2200 * time.Millisecond
)

// simJob is a job of the simulation.
type simJob struct {
	request   Request
	within    bool
	arrivedAt time.Duration
	// sendAt is when the caller sends it next, after sent attempts.
	sendAt time.Duration
	sent   int
	// acceptedAt is when it was accepted, endAt when it ends; 0 before.
	acceptedAt, endAt time.Duration
}

// simulation plays callers, entry instances with a board each, and an owner that serves work within entitlements
// first, late work last. Figures are published every 400 ms and read after a delay that differs between entry
// instances.
type simulation struct {
	now               time.Duration
	random            *rand.Rand
	boards            [simEntries]*Board
	jobs, callers     []*simJob
	waiting, running  []*simJob
	accepted, refused int
	// delivered holds the figures that each entry instance reads next, and when.
	delivered [simEntries]struct {
		at      time.Duration
		figures Figures
	}
	controller *Controller
	admitAll   bool
}

func newSimulation() *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 1)), controller: NewController()}
	for i := range s.boards {
		s.boards[i] = NewBoard()
	}
	return s
}

// arrive adds the jobs that a tenant sends in one tick.
func (s *simulation) arrive(tenant string, perSecond float64, withinShare float64) {
	for expected := perSecond * simTick.Seconds(); expected > 0; expected-- {
		if s.random.Float64() >= expected {
			continue
		}
		j := &simJob{arrivedAt: s.now, sendAt: s.now}
		j.request = Request{ID: fmt.Sprintf("%016x", s.random.Uint64()), Queue: "q", Tenant: tenant, Stretch: simStretch, LatencyTarget: simLatency}
		j.within = withinShare >= 1 || hashOf(j.request.ID).fraction(0) < withinShare
		s.jobs, s.callers = append(s.jobs, j), append(s.callers, j)
	}
}

// send sends what is due: a caller sends up to 4 times within 3 s, each time to another entry instance.
func (s *simulation) send() {
	s.callers = slices.DeleteFunc(s.callers, func(j *simJob) bool {
		if j.sendAt > s.now {
			return false
		}
		j.sent++
		d := s.boards[s.random.IntN(simEntries)].Decide(j.request, s.now)
		if s.admitAll || d.Admitted {
			j.acceptedAt, s.accepted = s.now+1, s.accepted+1
			s.waiting = append(s.waiting, j)
			return true
		}
		s.refused++
		j.sendAt = s.now + time.Duration(d.RetryAfter)*time.Second
		return j.sent >= 4 || j.sendAt > j.arrivedAt+3*time.Second
	})
}

func (s *simulation) late(j *simJob) bool { return s.now+simWork > j.arrivedAt+simObjective }

// rank orders waiting jobs: work within entitlements first, inside each class late work last.
func (s *simulation) rank(j *simJob) (r int) {
	if s.late(j) {
		r = 1
	}
	if !j.within {
		r += 2
	}
	return r
}

// serve ends and starts jobs.
func (s *simulation) serve() {
	s.running = slices.DeleteFunc(s.running, func(j *simJob) bool { return j.endAt <= s.now })
	slices.SortStableFunc(s.waiting, func(a, b *simJob) int { return s.rank(a) - s.rank(b) })
	for len(s.waiting) > 0 && len(s.running) < simSlots {
		s.waiting[0].endAt = s.now + simWork
		s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
	}
}

// publish publishes the figures of the owner, and delivers those that have arrived.
func (s *simulation) publish(shares map[string]float64) {
	if s.now%(400*time.Millisecond) == 0 {
		q := QueueLoad{Waiting: len(s.waiting), Path: simWork, JobTime: simWork / simSlots}
		for _, j := range s.waiting {
			q.Drain += q.JobTime
			if j.within || !s.late(j) {
				q.Ahead += q.JobTime
			}
			if j.within {
				q.Within += q.JobTime
			}
		}
		for _, j := range s.jobs {
			if j.acceptedAt > 0 && s.now-j.acceptedAt < time.Second {
				q.Arrivals++
				if j.within {
					q.ArrivalsWithin++
				}
			}
		}
		q.Share = s.controller.Update(&q, simObjective, s.now)
		for i := range s.delivered {
			s.delivered[i].at = s.now + time.Duration(50+s.random.IntN(250))*time.Millisecond
			s.delivered[i].figures = Figures{Queues: map[string]QueueLoad{"q": q}, Within: shares}
		}
	}
	for i := range s.delivered {
		if d := &s.delivered[i]; d.at != 0 && s.now >= d.at {
			s.boards[i].Publish(0, d.figures, s.now)
			d.at = 0
		}
	}
}

func (s *simulation) step(shares map[string]float64) {
	s.publish(shares)
	s.send()
	s.serve()
	s.now += simTick
}

// worth returns the worth of a job: 1 in time, falling to 0 at three times its objective.
func (j *simJob) worth() float64 {
	took := j.endAt - j.arrivedAt
	if j.endAt == 0 || took >= worthlessFactor*simObjective {
		return 0
	}
	return min(1, 1-float64(took-simObjective)/float64((worthlessFactor-1)*simObjective))
}

// lateShare returns the share of the accepted jobs that missed their objective.
func (s *simulation) lateShare() float64 {
	late := 0
	for _, j := range s.jobs {
		if j.acceptedAt > 0 && j.endAt-j.arrivedAt > simObjective {
			late++
		}
	}
	return float64(late) / float64(s.accepted)
}

// play plays a surge of 40 s at five times the capacity by one tenant, of whose jobs one in 50 is within, while the
// other tenant sends at 0.4 of the capacity. It returns the goodput in the surge per second.
func (s *simulation) play(t *testing.T) float64 {
	const surge = 40 * time.Second
	shares := map[string]float64{"hot": 0.02}
	for s.now < surge {
		s.arrive("calm", 0.4*simSlots, 1)
		s.arrive("hot", 4.6*simSlots, shares["hot"])
		s.step(shares)
	}
	worth := 0.0
	for _, j := range s.jobs {
		if j.endAt != 0 {
			worth += j.worth()
		}
	}
	for len(s.running)+len(s.waiting) > 0 {
		s.step(shares)
	}
	for _, j := range s.jobs {
		require.False(t, j.acceptedAt > 0 && j.endAt == 0, "an accepted job was dropped")
		require.False(t, j.within && j.acceptedAt == 0, "a job within its entitlement was refused")
	}
	return worth / surge.Seconds()
}

// TestSurgeLeavesGoodput guards against an admission that accepts what becomes late, and against one that refuses so
// much that capacity is idle. With hindsight, a job can start in each slot and second of the surge.
func TestSurgeLeavesGoodput(t *testing.T) {
	s := newSimulation()
	goodput := s.play(t)
	require.GreaterOrEqual(t, goodput, 0.8*simSlots)
	require.NotZero(t, s.refused)
	require.Less(t, s.lateShare(), 0.3)
	t.Logf("goodput %.3f of the bound, %d accepted, %.2f of them late, %d refused", goodput/simSlots, s.accepted, s.lateShare(), s.refused)

	calm := []time.Duration{}
	for _, j := range s.jobs {
		if j.request.Tenant == "calm" {
			calm = append(calm, j.endAt-j.arrivedAt)
		}
	}
	slices.Sort(calm)
	require.LessOrEqual(t, calm[len(calm)*99/100], simObjective)

	without := newSimulation()
	without.admitAll = true
	goodput = without.play(t)
	t.Logf("if all are admitted: goodput %.3f of the bound, %d accepted, %.2f of them late", goodput/simSlots, without.accepted, without.lateShare())
}
