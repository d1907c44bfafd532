package cransched

import (
	"math"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranorder"
)

// Where returns where the tasks of a job would go if it were submitted now, and a sentence for each reason that keeps
// it from starting. It changes nothing: no decision depends on whether it was called.
func (s *Scheduler) Where(submission *cranjob.Job, now Clock) (cranexplain.Placement, []string) {
	before := s.clock
	s.clock = now
	defer func() { s.clock = before }()
	received := *submission
	received.ReceivedMs = now.UnixMs
	j := newJob(&received, nil)
	j.queue = s.queueConfig(j.Queue)
	j.beyond = s.fairness != nil && !s.fairness.IsWithin(j.Tenant, j.ReceivedMs, now.UnixMs)
	s.updateEstimates(j)
	p := cranexplain.Placement{Beyond: j.beyond, GivenUp: s.wouldGiveUp(j), CapRoom: s.capRoom(j), Pool: s.fleet.planned[j.Pool]}
	list := s.previewCandidates(j)
	outcomes := s.rehearse(list, j)
	p.StagesAhead = stagesAhead(list, j)
	var reasons []string
	if due := j.DueMs(0) - now.UnixMs; due > 0 {
		reasons = append(reasons, dueSentence(due))
	}
	for _, st := range j.stages[:len(j.Steps)] {
		step := cranexplain.Step{Step: st.name.Step, Ready: j.ready(st, now.UnixMs)}
		step.MedianMs, step.P90Ms = s.runTimeOf(j, st)
		if o := outcomes[st]; step.Ready && o != nil {
			step.Target, step.Score, step.Excluded = o.target, o.score, o.excluded
			reasons = appendSentences(reasons, st, o, p.StagesAhead)
		}
		p.Steps = append(p.Steps, step)
	}
	return p, reasons
}

// runTimeOf returns the expected run time of a task at the median and at the 90th percentile; 0 if it isn't predicted.
func (s *Scheduler) runTimeOf(j *job, st *stage) (medianMs, p90Ms float64) {
	switch {
	case st.step.LongRunning:
		return 0, 0
	case s.runTimes == nil:
		return j.durationMs[st.name.Step], 0
	}
	d := s.predictStep(j, st.name.Step)
	return d.QuantileMs(0.5), d.QuantileMs(0.9)
}

// capRoom returns what the tenant of a job may still start on the shard; nil if it has no cap.
func (s *Scheduler) capRoom(j *job) *cranexplain.CapRoom {
	if !s.limitsTenant(j) {
		return nil
	}
	room, whole := s.quota.Room(j.Tenant)
	part := func(left, quantity int) *int {
		if quantity == 0 {
			return nil
		}
		return &left
	}
	return &cranexplain.CapRoom{
		CPU: part(room.CPU, whole.CPU), MemoryMB: part(room.Memory, whole.Memory), Accelerators: part(room.Accelerators, whole.Accelerators),
	}
}

// wouldGiveUp reports whether a new job would be given up if the jobs to be served in time were selected now.
func (s *Scheduler) wouldGiveUp(j *job) bool {
	o := s.poolCapacities()[j.Pool]
	if o == nil || !isSelectable(j) {
		return false
	}
	for other := range s.openJobs() {
		if other.Pool != j.Pool || !isSelectable(other) {
			continue
		}
		if other.durationMs == nil {
			other = other.preview()
			s.updateEstimates(other)
		}
		s.addToOrder(o, other)
	}
	s.addToOrder(o, j)
	n := len(o.jobs) - 1
	return n >= 0 && o.jobs[n] == j && !cranorder.Select(o.items, o.capacity)[n]
}

// preview returns a copy of a job of which the estimates can be updated without a change of the job.
func (j *job) preview() *job {
	c := *j
	c.criticalPathMs, c.durationMs, c.measuredMs = slices.Clone(j.criticalPathMs), slices.Clone(j.durationMs), slices.Clone(j.measuredMs)
	c.longestMs, c.endsWithinMs = slices.Clone(j.longestMs), slices.Clone(j.endsWithinMs)
	c.expected = slices.Clone(j.expected)
	if j.upper != nil {
		c.upper = &upperEstimates{longestMs: slices.Clone(j.upper.longestMs), criticalPathMs: slices.Clone(j.upper.criticalPathMs), workMs: j.upper.workMs}
	}
	return &c
}

// previewCandidates returns the candidates of the next round with those of a new job, in placement order. While every
// round looks at all jobs it does so, too. Otherwise it takes those of the last round and the stages that have become
// ready since: looking at all jobs would take longer than a round.
func (s *Scheduler) previewCandidates(j *job) []candidate {
	v := &s.survey
	orders := map[string]*cranfair.Order{}
	orderOf := func(pool string) *cranfair.Order {
		if orders[pool] == nil {
			orders[pool] = s.fairness.Order(pool).Clone()
		}
		return orders[pool]
	}
	if len(s.jobs) <= v.surveyedAtOnce {
		var list []candidate
		for other := range s.openJobs() {
			list = s.appendPreviews(list, other.preview())
		}
		list = s.appendPreviews(list, j)
		slices.SortFunc(list, compareCandidates)
		s.rankBeyond(list, orderOf)
		return list
	}
	isNew := map[*stage]bool{}
	var list []candidate
	for _, other := range v.added[:min(len(v.added), maxAdded)] {
		for _, c := range s.appendPreviews(nil, other.preview()) {
			if c.rank = math.MaxFloat64; !c.beyond {
				c.rank = 0
			}
			if !isNew[c.stage] {
				isNew[c.stage] = true
				list = append(list, c)
			}
		}
	}
	for _, c := range s.appendPreviews(nil, j) {
		if c.beyond {
			// All work of the tenant that waits comes first.
			c.rank = orderOf(j.Pool).Rank(j.Tenant, 0)
		}
		list = append(list, c)
	}
	slices.SortFunc(list, compareCandidates)
	return mergeCandidates(v.list, list, isNew)
}

// appendPreviews appends the ready stages of a job that have waiting tasks, as appendCandidates does. The estimates of
// the job are updated.
func (s *Scheduler) appendPreviews(list []candidate, j *job) []candidate {
	if j.waiting == 0 || j.state.Final() {
		return list
	}
	if !j.idle() || j.waitsSince == 0 {
		j.waitsSince = s.clock.Steady
	}
	for _, st := range j.stages {
		if st.waiting > 0 && j.ready(st, s.clock.UnixMs) {
			list = append(list, s.candidateOf(j, st))
		}
	}
	return list
}

// mergeCandidates returns the candidates of two sorted lists in order, without those of the first that are replaced.
func mergeCandidates(a, b []candidate, replaced map[*stage]bool) []candidate {
	merged := make([]candidate, 0, len(a)+len(b))
	for i := range a {
		if len(replaced) > 0 && replaced[a[i].stage] {
			continue
		}
		for len(b) > 0 && compareCandidates(b[0], a[i]) < 0 {
			merged, b = append(merged, b[0]), b[1:]
		}
		merged = append(merged, a[i])
	}
	return append(merged, b...)
}

// stagesAhead returns the number of waiting stages of the job's pool before its first one.
func stagesAhead(list []candidate, j *job) int {
	ahead := 0
	for i := range list {
		switch c := &list[i]; {
		case c.job == j:
			return ahead
		case c.job.Pool == j.Pool && c.isWaiting():
			ahead++
		}
	}
	return 0
}
