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
	simSlots     = 20
	simWork      = time.Second
	simEntries   = 35
	simObjective = 2200 * time.Millisecond
)

// simJob is a job of the simulation. Its caller sends it next at sendAt, after sent attempts. It was accepted at
// acceptedAt and ends at endAt; 0 before.
type simJob struct {
	request                              Request
	within                               bool
	sent                                 int
	arrivedAt, sendAt, acceptedAt, endAt time.Duration
}

// simulation plays callers, entry instances with a board each, and an owner that serves work within entitlements
// first, late work last. Its figures are read 50 to 290 ms after it has published them.
type simulation struct {
	now                             time.Duration
	random                          *rand.Rand
	boards                          [simEntries]*Board
	jobs, callers, waiting, running []*simJob
	accepted                        int
	controller                      *Controller
	figures                         Figures
	admitAll                        bool
}

// arrive adds the jobs that a tenant sends in one tick.
func (s *simulation) arrive(tenant string, perSecond, within float64) {
	for expected := perSecond * simTick.Seconds(); expected > 0; expected-- {
		if s.random.Float64() < expected {
			r := Request{ID: fmt.Sprintf("%016x", s.random.Uint64()), Queue: "q", Tenant: tenant, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
			j := &simJob{request: r, within: hashOf(r.ID).fraction(0) < within, arrivedAt: s.now, sendAt: s.now}
			s.jobs, s.callers = append(s.jobs, j), append(s.callers, j)
		}
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
			j.acceptedAt = s.now + 1
			s.accepted++
			s.waiting = append(s.waiting, j)
			return true
		}
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

// publish publishes the figures every 400 ms, and lets the entry instances read them.
func (s *simulation) publish(shares map[string]float64) {
	const interval = 400 * time.Millisecond
	if s.now%interval == 0 {
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
		s.figures = Figures{Queues: map[string]QueueLoad{"q": q}, Within: shares}
	}
	for i, b := range s.boards {
		if readAfter := 50*time.Millisecond + time.Duration(i%25)*simTick; s.now > interval && s.now%interval == readAfter {
			b.Publish(0, s.figures, s.now)
		}
	}
}

// worth returns the worth of a job: 1 in time, falling to 0 at three times its objective.
func (j *simJob) worth() float64 {
	took := j.endAt - j.arrivedAt
	if j.endAt == 0 || took >= worthlessFactor*simObjective {
		return 0
	}
	return min(1, 1-float64(took-simObjective)/float64((worthlessFactor-1)*simObjective))
}

// play plays a surge of 40 s at five times the capacity by one tenant, of whose jobs one in 50 is within, while the
// other tenant sends at 0.4 of the capacity. It returns the goodput in the surge, as a fraction of what is possible with
// hindsight, a job in each slot and second, and the share of the accepted jobs that were late.
func (s *simulation) play(t *testing.T) (goodput, late float64) {
	const surge = 40 * time.Second
	s.random, s.controller = rand.New(rand.NewPCG(1, 1)), NewController()
	for i := range s.boards {
		s.boards[i] = NewBoard()
	}
	shares := map[string]float64{"hot": 0.02}
	for s.now < surge || len(s.running)+len(s.waiting) > 0 {
		if s.now < surge {
			s.arrive("calm", 0.4*simSlots, 1)
			s.arrive("hot", 4.6*simSlots, shares["hot"])
		}
		s.publish(shares)
		s.send()
		s.serve()
		s.now += simTick
	}
	for _, j := range s.jobs {
		if j.endAt <= surge+simWork {
			goodput += j.worth() / (simSlots * surge.Seconds())
		}
		if j.acceptedAt > 0 && j.endAt-j.arrivedAt > simObjective {
			late += 1 / float64(s.accepted)
		}
		require.False(t, j.acceptedAt > 0 && j.endAt == 0, "an accepted job was dropped")
		require.False(t, j.within && j.acceptedAt == 0, "a job within its entitlement was refused")
		require.False(t, j.within && j.worth() < 1, "a job within its entitlement was late")
	}
	return goodput, late
}

// TestSurgeLeavesGoodput guards against an admission that accepts what becomes late, and against one that refuses so
// much that capacity is idle.
func TestSurgeLeavesGoodput(t *testing.T) {
	goodput, late := (&simulation{}).play(t)
	allGoodput, allLate := (&simulation{admitAll: true}).play(t)
	t.Logf("goodput %.3f, late %.3f; if all are admitted %.3f and %.3f", goodput, late, allGoodput, allLate)
	require.GreaterOrEqual(t, goodput, 0.8)
	require.Less(t, late, 0.3)
}
