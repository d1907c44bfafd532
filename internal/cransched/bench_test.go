package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// newBenchScheduler returns a scheduler with idle targets that have answered a heartbeat.
func newBenchScheduler(stored *cranjob.Replica, targets int) *Scheduler {
	config := &Config{Version: 1, Queues: map[string]*Queue{
		"q": {Name: "q", Pool: "p", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond},
	}, Pools: map[string]*Pool{"p": {Name: "p"}}}
	c := Clock{Steady: time.Hour, UnixMs: 1_700_000_000_000}
	s := New(1, simTiming, config, stored, c, Predecessor{})
	var list []TargetInfo
	for i := range targets {
		id := fmt.Sprintf("t%03d", i)
		list = append(list, TargetInfo{
			ID: id, Pool: "p", Address: id, Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			Capacity: cranjob.Resources{CPU: 32000, Memory: 128000}, ProcessStartMs: 1,
		})
	}
	s.SetTargets(list)
	for _, t := range list {
		s.HandleHeartbeatResponse(TargetRef{ID: t.ID, Address: t.Address}, HeartbeatResponse{Response: Response{Status: StatusOK, ClockMs: 1000, ProcessStartMs: 1, SentAt: c.Steady}})
	}
	return s
}

// BenchmarkPlace measures the placement of a job with 16 tasks on 100 targets.
func BenchmarkPlace(b *testing.B) {
	s := newBenchScheduler(cranjob.NewReplica(), 100)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		b.StopTimer()
		if n%100 == 0 {
			s = newBenchScheduler(cranjob.NewReplica(), 100)
		}
		s.AddJob(newBenchJob(n))
		n++
		b.StartTimer()
		s.place()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(16*b.N), "ns/task")
}

func newBenchJob(n int) *cranjob.Job {
	return &cranjob.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Pool: "p", Spec: "spec", Steps: []cranjob.Step{
		{Count: 16, Demand: cranjob.Resources{CPU: 1500, Memory: 3000}, EstimateMs: 1000},
	}}
}

// BenchmarkTakeover measures how long a new owner takes to restore 1,000 running tasks on
// 100 targets and to send the first heartbeats.
func BenchmarkTakeover(b *testing.B) {
	stored := cranjob.NewReplica()
	offset := uint64(0)
	apply := func(key string, value []byte) {
		if _, err := stored.Apply(key, value, offset); err != nil {
			b.Fatal(err)
		}
		offset++
	}
	bytes := 0
	for n := range 63 {
		j := newBenchJob(n)
		p := cranjob.Progress{State: cranjob.Running}
		for i := range 16 {
			p.Tasks = append(p.Tasks, cranjob.Task{Status: cranjob.Placed, Run: 1, Target: fmt.Sprintf("t%03d", (n*16+i)%100)})
		}
		record := cranjob.Encode(p)
		bytes += len(record)
		apply(cranjob.SubmissionKey(j.ID), cranjob.Encode(*j))
		apply(cranjob.ProgressKey(j.ID), record)
	}
	b.ReportAllocs()
	for b.Loop() {
		s := newBenchScheduler(stored, 100)
		s.Tick()
		if len(s.Effects()) < 100 {
			b.Fatal("not every target got a heartbeat")
		}
	}
	b.ReportMetric(float64(bytes)/63, "B/job")
}

// BenchmarkBacklog measures a tick while 4,000 jobs wait for full targets.
func BenchmarkBacklog(b *testing.B) {
	s := newBenchScheduler(cranjob.NewReplica(), 100)
	for n := range 4000 {
		s.AddJob(newBenchJob(n))
	}
	now := s.clock
	b.ReportAllocs()
	for b.Loop() {
		now.Steady += 12 * time.Millisecond
		now.UnixMs += 12
		s.Advance(now)
		s.Tick()
		s.Effects()
		if records, decided := s.NextBatch(); decided && len(records) > 0 {
			s.ConfirmBatch()
		}
	}
}

// BenchmarkWhere measures a query, and a tick in which the jobs to be served in time are selected, by the number of jobs
// that wait for full targets. In an overload the query must not take longer than the tick.
func BenchmarkWhere(b *testing.B) {
	for _, jobs := range []int{100, 4000, 16000} {
		s := newBenchScheduler(cranjob.NewReplica(), 49)
		for _, t := range s.sorted {
			t.add(&run{name: cranjob.TaskName{Job: t.info.ID}, number: 1, reserved: t.info.Capacity, phase: confirmed, step: &cranjob.Step{}})
		}
		for n := range jobs {
			s.AddJob(newBenchJob(n))
		}
		now := s.clock
		tick := func() {
			now.Steady += orderInterval
			now.UnixMs += orderInterval.Milliseconds()
			s.Advance(now)
			for _, t := range s.sorted {
				t.lastResponseAt = now.Steady
			}
			s.Tick()
			s.Effects()
			if _, decided := s.NextBatch(); decided {
				s.ConfirmBatch()
			}
		}
		b.Run(fmt.Sprintf("tick/%d", jobs), func(b *testing.B) {
			for b.Loop() {
				tick()
			}
		})
		b.Run(fmt.Sprintf("query/%d", jobs), func(b *testing.B) {
			asked := newBenchJob(jobs)
			for b.Loop() {
				s.Where(asked, s.clock)
			}
		})
	}
}

// BenchmarkFullPool measures a tick in which nothing can start, by the number of waiting jobs of 16 tasks.
func BenchmarkFullPool(b *testing.B) {
	for _, jobs := range []int{100, 1000, 4000, 16000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			s := newBenchScheduler(cranjob.NewReplica(), 49)
			for _, t := range s.sorted {
				t.add(&run{name: cranjob.TaskName{Job: t.info.ID}, number: 1, reserved: t.info.Capacity, phase: confirmed, step: &cranjob.Step{}})
			}
			for n := range jobs {
				s.AddJob(newBenchJob(n))
			}
			now := s.clock
			b.ReportAllocs()
			for b.Loop() {
				now.Steady += 12 * time.Millisecond
				now.UnixMs += 12
				s.Advance(now)
				for _, t := range s.sorted {
					t.lastResponseAt = now.Steady
				}
				s.Tick()
				s.Effects()
				if _, decided := s.NextBatch(); decided {
					s.ConfirmBatch()
				}
			}
			if s.StartsUnderWay() > 0 {
				b.Fatal("a task has started")
			}
		})
	}
}

// BenchmarkStartsInBacklog measures a tick in which 12 tasks start while 16,000 jobs wait: 1,000 starts per second.
func BenchmarkStartsInBacklog(b *testing.B) {
	s := newBenchScheduler(cranjob.NewReplica(), 349)
	for n := range 16000 {
		s.AddJob(newBenchJob(n))
	}
	now, next, starts := s.clock, 16000, 0
	for b.Loop() {
		b.StopTimer()
		now.Steady += 12 * time.Millisecond
		now.UnixMs += 12
		s.Advance(now)
		ended := 0
		for _, t := range s.sorted {
			t.lastResponseAt = now.Steady
			for _, r := range t.sortedRuns() {
				if ended < 12 && r.phase == startSent {
					ended++
					t.remove(r)
					s.startsPaced.answered(runName{r.name, r.number})
					s.setStatus(r.task, cranjob.Done)
					s.completeIfDone(r.task.job)
				}
			}
		}
		for len(s.jobs) < 16000 {
			s.AddJob(newBenchJob(next))
			next++
		}
		b.StartTimer()
		s.Tick()
		for _, e := range s.Effects() {
			if _, isStart := e.(StartRun); isStart {
				starts++
			}
		}
		s.NextBatch()
		s.ConfirmBatch()
	}
	b.ReportMetric(float64(starts)/float64(b.N), "starts/tick")
}
