package cransched

import (
	"slices"
	"time"
)

const (
	// maxTicketTargets is the maximum number of targets in one ticket request. The advice
	// service answers more slowly the more targets a request names.
	maxTicketTargets = 30
	// ticketMargin is subtracted from a ticket's validity to allow for the time that a
	// start takes to reach the target.
	ticketMargin = 300 * time.Millisecond
)

// Ticket permits the tasks of one step to start on one target until it expires.
type Ticket struct{ Target, Text string }

// ensureTicket requests tickets for a stage, unless a target with a valid ticket has room or as many requests are under
// way as the advice service can handle in time. It reports whether the stage can be placed: either its queue
// requires no tickets or a valid one exists.
func (s *Scheduler) ensureTicket(c candidate, targets []*target) bool {
	if c.job.queue == nil || !c.job.queue.RequiresTicket {
		return true
	}
	now := s.clock.Steady
	hasTicket, hasRoom := false, false
	for _, t := range targets {
		if t.validTicket(c.stage.name, now) != "" {
			hasTicket = true
			hasRoom = hasRoom || s.canHold(c.stage, t)
		}
	}
	if hasRoom || !s.tickets.mayRequest(c.stage.name, now) {
		return hasTicket
	}
	var ids []string
	for _, t := range targets {
		if len(ids) < maxTicketTargets && !t.denied[c.stage.name] && t.validTicket(c.stage.name, now) == "" && s.canHold(c.stage, t) {
			ids = append(ids, t.info.ID)
		}
	}
	if len(ids) == 0 {
		return hasTicket
	}
	if e, mayBegin := s.tickets.begin(c.job.queue, c.stage.name, ids); mayBegin {
		s.emit(e)
	}
	return hasTicket
}

// canHold reports whether a task of a stage could run on a target now if it had a ticket.
func (s *Scheduler) canHold(st *stage, t *target) bool {
	return t.free().Fits(st.step.Reservation()) && s.meetsPlacementRules(st, t)
}

// HandleTickets records the tickets that the advice service granted for a step. They are
// valid for the given time from the sending of the request; 0 means the TicketValidity of
// the queue. The policy doesn't change, so a target without a ticket isn't asked about again.
func (s *Scheduler) HandleTickets(e RequestTickets, tickets []Ticket, valid time.Duration, sentAt time.Duration) {
	s.tickets.answered(e.Step, s.clock.Steady)
	if valid == 0 {
		if q := s.queueConfig(e.Queue); q != nil {
			valid = q.TicketValidity
		}
	}
	if s.jobs[e.Step.Job] == nil {
		s.tickets.forget(e.Step)
		return
	}
	if len(tickets) == 0 {
		// The next request names other targets.
		s.tickets.stage(e.Step).notBefore = s.clock.Steady
	}
	for _, id := range e.Targets {
		if t := s.targets[id]; t != nil && !slices.ContainsFunc(tickets, func(granted Ticket) bool { return granted.Target == id }) {
			if t.denied == nil {
				t.denied = map[StepName]bool{}
			}
			t.denied[e.Step] = true
		}
	}
	for _, granted := range tickets {
		t := s.targets[granted.Target]
		if t == nil {
			continue
		}
		if t.tickets == nil {
			t.tickets = map[StepName]ticket{}
		}
		t.tickets[e.Step] = ticket{text: granted.Text, expiresAt: sentAt + valid - ticketMargin}
	}
}

// HandleTicketsUnavailable handles a ticket request without an answer.
func (s *Scheduler) HandleTicketsUnavailable(e RequestTickets) {
	s.tickets.failed(e.Step, s.clock.Steady)
	if s.jobs[e.Step.Job] == nil {
		s.tickets.forget(e.Step)
	}
}

// forgetAdvice drops what is known of the steps of a job that has ended.
func (s *Scheduler) forgetAdvice(j *job) {
	for _, st := range j.stages {
		s.tickets.forget(st.name)
	}
	if j.queue == nil || !j.queue.RequiresTicket {
		return
	}
	for _, t := range s.sorted {
		for _, st := range j.stages {
			delete(t.tickets, st.name)
			delete(t.denied, st.name)
		}
	}
}

// validTicket returns the text of the unexpired ticket for a step on the target, or "" if
// there is none.
func (t *target) validTicket(step StepName, now time.Duration) string {
	granted, found := t.tickets[step]
	if !found || now >= granted.expiresAt {
		return ""
	}
	return granted.text
}
