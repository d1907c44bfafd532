package cransched

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// simTarget is a target as the platform describes it.
type simTarget struct {
	info    TargetInfo
	born    time.Duration
	fence   uint64
	lease   int64
	runs    map[cranjob.TaskName]*simRun
	closed  map[cranjob.TaskName]int
	ends    []EndReport
	next    int64
	up, cut bool
}

// arrival is a start that has reached its target.
type arrival struct {
	StartRun
	at time.Duration
}

type simRun struct {
	number  int
	endsAt  time.Duration
	how     RunOutcome
	stopped bool
}

// addLife starts a target on an instance.
func (w *world) addLife(id, instance string) {
	w.fleet[id] = &simTarget{
		info: TargetInfo{
			ID: id, Pool: "p", Address: id, Labels: []string{"a", "r1"}, Instance: instance,
			Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}, ProcessStartMs: w.unix(),
		},
		born: w.now, runs: map[cranjob.TaskName]*simRun{}, closed: map[cranjob.TaskName]int{}, up: true,
	}
}

// lingerStep is how often a target looks whether a waiting hold can be answered.
const lingerStep = 20 * time.Millisecond

// linger answers a hold once a run has ended, or when its wait is over.
func (w *world) linger(s *Scheduler, id int, e Heartbeat, sent, wait time.Duration, held HeartbeatResponse) {
	if x := w.fleet[e.Target.ID]; held.Status == StatusOK && len(held.Finished) == 0 && wait > 0 && w.lingering && x != nil && x.up {
		w.after(lingerStep, func() {
			if held := w.report(e.Target); held.Status == StatusOK {
				w.linger(s, id, e, sent, wait-lingerStep, held)
				return
			}
			w.after(callLimit, func() { w.linger(s, id, e, sent, 0, HeartbeatResponse{}) })
		})
		return
	}
	if id == w.ownerID {
		held.SentAt = sent
		s.Advance(w.clock())
		s.HandleHeartbeatResponse(e.Target, held)
		w.settle(s, id)
	}
}

// report returns what a target says by itself.
func (w *world) report(to TargetRef) HeartbeatResponse {
	x := w.fleet[to.ID]
	if x == nil || !x.up || x.cut {
		return HeartbeatResponse{}
	}
	w.advance(x)
	return x.report(w.now)
}

func (x *simTarget) report(now time.Duration) HeartbeatResponse {
	held := HeartbeatResponse{Response: x.answer(now, StatusOK), Finished: slices.Clone(x.ends)}
	for _, name := range slices.SortedFunc(maps.Keys(x.runs), func(a, b cranjob.TaskName) int { return a.Index - b.Index }) {
		held.Running = append(held.Running, RunReport{Task: name, Run: x.runs[name].number, Percent: 100})
	}
	return held
}

func (x *simTarget) clock(now time.Duration) int64 { return (now - x.born).Milliseconds() }

// advance ends what has come to its end at a target.
func (w *world) advance(x *simTarget) {
	lapsed := x.lease > 0 && x.clock(w.now) > x.lease
	for _, name := range slices.SortedFunc(maps.Keys(x.runs), func(a, b cranjob.TaskName) int { return a.Index - b.Index }) {
		r := x.runs[name]
		switch {
		case r.endsAt <= w.now && (!lapsed || x.clock(r.endsAt) <= x.lease):
			w.end(x, name, r, r.how)
		case lapsed:
			w.end(x, name, r, OutcomeLeaseExpired)
		}
	}
}

func (w *world) end(x *simTarget, name cranjob.TaskName, r *simRun, how RunOutcome) {
	delete(x.runs, name)
	x.closed[name] = max(x.closed[name], r.number)
	if how == OutcomeDone {
		w.done[name] = true
	}
	x.next++
	x.ends = append(x.ends, EndReport{Number: x.next, Task: name, Run: r.number, Outcome: how})
}

func (x *simTarget) answer(now time.Duration, v CallStatus) Response {
	return Response{Status: v, ClockMs: x.clock(now), ProcessStartMs: x.info.ProcessStartMs}
}

// reach returns the target that an order reaches, and whether it takes it.
func (w *world) reach(to TargetRef, token uint64) (*simTarget, *Response) {
	x := w.fleet[to.ID]
	if x == nil || !x.up || x.cut {
		return nil, &Response{}
	}
	w.advance(x)
	if token < x.fence {
		a := x.answer(w.now, StatusFenced)
		return nil, &a
	}
	x.fence = token
	return x, nil
}

func (w *world) hold(e Heartbeat) HeartbeatResponse {
	x, refused := w.reach(e.Target, e.Token)
	if refused != nil {
		return HeartbeatResponse{Response: *refused}
	}
	if e.DeadlineMs > 0 {
		x.lease = max(x.lease, min(e.DeadlineMs, x.clock(w.now)+6000))
	}
	for _, end := range x.ends {
		if end.Number <= e.AcknowledgedEnd {
			w.noted[end.Task] = append(w.noted[end.Task], end.Outcome)
		}
	}
	x.ends = slices.DeleteFunc(x.ends, func(end EndReport) bool { return end.Number <= e.AcknowledgedEnd })
	return x.report(w.now)
}

func (w *world) stop(e StopRun) Response {
	x, refused := w.reach(e.Target, e.Token)
	if refused != nil {
		return *refused
	}
	x.closed[e.Task] = max(x.closed[e.Task], e.Run)
	if r := x.runs[e.Task]; r != nil && r.number == e.Run && !r.stopped {
		w.judgeStop(e.Task)
	}
	if r := x.runs[e.Task]; r != nil && r.number == e.Run && !r.stopped {
		r.stopped, r.how, r.endsAt = true, OutcomeStopped, min(r.endsAt, w.now+simStop)
	}
	return x.answer(w.now, StatusOK)
}

// start carries out a start and judges it.
func (w *world) start(e StartRun) Response {
	x, refused := w.reach(e.Target, e.Token)
	if refused != nil {
		return *refused
	}
	if r := x.runs[e.Task]; r != nil && r.number == e.Run {
		return x.answer(w.now, StatusOK)
	}
	switch {
	case e.DeadlineMs > 0 && e.DeadlineMs < x.clock(w.now):
		return x.answer(w.now, StatusDeadlinePassed)
	case e.Run <= x.closed[e.Task]:
		return x.answer(w.now, StatusStaleRun)
	}
	w.judge(x, e)
	w.starts = append(w.starts, arrival{e, w.now})
	x.lease = max(x.lease, e.DeadlineMs)
	step := w.jobs[e.Task.Job].Steps[e.Task.Step]
	r := &simRun{number: e.Run, endsAt: w.now + time.Duration(float64(step.EstimateMs)*(0.5+w.random.Float64()))*time.Millisecond, how: OutcomeDone}
	if w.random.Float64() < w.failing {
		r.how = OutcomeFailed
	}
	if step.Lasting {
		r.endsAt = w.now + time.Hour
	}
	x.runs[e.Task] = r
	if step.Gang {
		w.gather(e, r.endsAt)
	}
	return x.answer(w.now, StatusOK)
}

// judge checks the rules that a start may break.
func (w *world) judge(x *simTarget, e StartRun) {
	job := w.jobs[e.Task.Job]
	used := job.Steps[e.Task.Step].Room()
	for name := range x.runs {
		used = used.Add(w.jobs[name.Job].Steps[name.Step].Room())
	}
	require.True(w.t, x.info.Capacity.Fits(used), "%v: %s is over its capacity: %v", w.now, x.info.ID, used)
	w.judgePlace(x, e)
	for id, other := range w.fleet {
		if !other.up {
			continue
		}
		w.advance(other)
		r := other.runs[e.Task]
		require.Nil(w.t, r, "%v: %v runs on %s and starts on %s", w.now, e.Task, id, x.info.ID)
	}
	failed := 0
	for _, how := range w.noted[e.Task] {
		require.NotEqual(w.t, OutcomeDone, how, "%v: %v starts after it was done", w.now, e.Task)
		if how == OutcomeFailed {
			failed++
		}
	}
	require.Less(w.t, failed, w.config.Queues["q"].Attempts, "%v starts beyond its attempts", e.Task)
	for _, earlier := range job.Steps[e.Task.Step].After {
		for i := range job.Steps[earlier].Count {
			name := cranjob.TaskName{Job: job.ID, Step: earlier, Index: i}
			require.True(w.t, w.done[name], "%v: %v starts before %v is done", w.now, e.Task, name)
		}
	}
}
